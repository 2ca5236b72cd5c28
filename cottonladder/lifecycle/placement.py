"""What a manager is told at its start, read once from the file that ROUTER_CONFIG names."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from ..decisions import interface as it
from ..state.workers import Workers
from ..wire.discovery import read_list
from ..wire.peers import split_address
from ..wire.terms import Site, WireError, field, read_site

WHERE = "configuration"


@dataclass(frozen=True, slots=True)
class Placement:
    """Where this manager stands and what it starts from; `known` is the list as it was last held."""

    name: str
    listen: tuple[str, int]
    discovery: str
    sockets: int
    peer_listen: str
    peers: list[str]
    peers_all: str
    site: Site
    workers: Workers
    version: int
    known: it.Listing


def read_placement(path: str) -> Placement:
    try:
        with open(path, encoding="utf-8") as file:
            body = json.load(file)
    except OSError as exc:
        raise WireError(f"{WHERE}: {path}: {exc.strerror}") from None
    except ValueError as exc:
        raise WireError(f"{WHERE}: not JSON ({exc})") from None
    seed = field(body, "seed", str, WHERE)
    try:
        number = int(seed, 16)
    except ValueError:
        raise WireError(f"{WHERE}: field seed is not a hexadecimal number") from None
    site = read_site(field(body, "settings", dict, WHERE), number, f"{WHERE}: settings")
    if site.terms.slices:
        raise WireError(f"{WHERE}: settings: field KeyRanges is not 0, and this protocol has no slices")
    workers = Workers()
    known = field(body, "known", dict, WHERE)
    version, listing = read_list(known, site, workers.learn, f"{WHERE}: known")
    talks = site.terms.peers
    return Placement(
        name=field(body, "name", str, WHERE),
        listen=split_address(_address(body, "listen")),
        discovery=_address(body, "discovery"),
        sockets=field(field(body, "limits", dict, WHERE), "sockets", int, f"{WHERE}: limits"),
        peer_listen=_address(body, "peer_listen") if talks else "",
        peers=[_checked(peer, "peers") for peer in field(body, "peers", list, WHERE)] if talks else [],
        peers_all=_address(body, "peers_all") if talks else "",
        site=site,
        workers=workers,
        version=version,
        known=it.Listing(it.News.CACHED, listing.entries),
    )


def _address(body: Any, name: str) -> str:
    return _checked(field(body, name, str, WHERE), name)


def _checked(text: Any, name: str) -> str:
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not host or not port.isdigit() or int(port) > 65535:
        raise WireError(f"{WHERE}: field {name} is not an address (host:port)")
    return str(text)

"""Discovery: the whole list, and a watch on its changes; what fails is a failed call, never half a list."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import aiohttp
import structlog

from ..decisions import interface as it
from .terms import NUMBER, HostPort, Site, WireError, address, field, seconds

SILENCE = 3.0  # s without a byte: discovery writes at least an empty line each 2 s, and fails calls after 2 s
LIST_MOST = 8 << 20  # bytes of one line or list: some 50,000 workers; more is refused as unreadable
ID_MOST = 255  # characters of a worker's id: far above any seen, and a line stays short
MODES = {"Ready": it.Mode.READY, "Terminating": it.Mode.DRAINING, "Gone": it.Mode.GONE}
Learn = Callable[[str, str, float], int]  # id, address, start -> small index


def read_list(body: Any, site: Site, learn: Learn, where: str) -> tuple[int, it.Listing]:
    """The version and the listing; workers are learnt only once all of it has been read."""
    version = field(body, "version", int, where)
    full = field(body, "full", bool, where)
    rows: list[tuple[str, str, int, it.Mode, float, float]] = []
    for entry in field(body, "servers", list, where):
        be = field(entry, "id", str, where)
        state = field(entry, "state", str, where)
        if state not in MODES:
            raise WireError(f"{where}: field state has an unknown value")
        if not 0 < len(be) <= ID_MOST or not be.isascii() or not be.isprintable() or set(be) & set(", :"):
            raise WireError(f"{where}: field id can't stand in an order")
        weight, started = float(field(entry, "weight", NUMBER, where)), seconds(entry, "started_ms", where)
        if not (0 <= weight < float("inf") and 0 <= started < float("inf")):
            raise WireError(f"{where}: field weight or started_ms is not a finite figure of 0 or more")
        zone = site.zone(field(entry, "zone", str, where), f"{where}: field zone")
        host, port = address(entry, "addr", where)
        rows.append((be, f"{host}:{port}", zone, MODES[state], weight, started))
    entries = tuple(
        it.Entry(learn(be, addr, started), zone, mode, weight, started)
        for be, addr, zone, mode, weight, started in rows
    )
    return version, it.Listing(it.News.FULL if full else it.News.DELTA, entries)


class Discovery:
    """Owns its session and at most one watch and one call for the list; calls are never piled up."""

    def __init__(
        self, at: HostPort, site: Site, learn: Learn, post: Callable[[it.Input], None], version: int
    ) -> None:
        self._url = f"http://{at[0]}:{at[1]}/v1/servers"
        self._site, self._learn, self._post, self.version = site, learn, post, version
        self.log: structlog.stdlib.BoundLogger = structlog.get_logger()
        self._watch: asyncio.Task[None] | None = None
        self._call: asyncio.Task[None] | None = None
        self._answered = False  # the open watch has brought something
        quiet = aiohttp.ClientTimeout(total=None, sock_connect=SILENCE, sock_read=SILENCE)
        self._session = aiohttp.ClientSession(
            timeout=quiet, connector=aiohttp.TCPConnector(force_close=True, limit=4)
        )

    def follow(self, on: bool) -> None:
        if self._watch is not None and not self._watch.done():
            if on and not self._answered:
                return  # the call made is still under way: discovery takes calls one after another
            self._watch.cancel()
        self._watch = asyncio.create_task(self._run(self._follow)) if on else None

    def fetch(self) -> None:
        if self._call is None or self._call.done():
            self._call = asyncio.create_task(self._run(self._fetch))

    async def _run(self, call: Callable[[], Awaitable[None]]) -> None:
        try:
            return await call()
        except (aiohttp.ClientError, TimeoutError, OSError, WireError) as exc:
            self.log.info("discovery call failed", why=str(exc) or type(exc).__name__)
        except Exception:  # a fault of ours: unheard, the module would think that it follows
            self.log.exception("discovery call failed", why="a fault of this program")
        self._post(it.Listing(it.News.FAILED, ()))

    async def _fetch(self) -> None:
        async with self._session.get(self._url) as reply:
            self._expect(reply)
            text = b"".join([line async for line in _lines(reply, LIST_MOST, b"")])
            self._take(text)

    async def _follow(self) -> None:
        self._answered = False
        query = {"watch": "1", "after": str(self.version)}
        async with self._session.get(self._url, params=query) as reply:
            self._expect(reply)
            async for line in _lines(reply, LIST_MOST, b"\n"):
                if line.strip():
                    self._take(line)
                elif not self._answered:  # nothing has changed: the call is answered all the same
                    self._post(it.Listing(it.News.DELTA, ()))
                self._answered = True
        raise WireError("watch: ended by discovery")

    @staticmethod
    def _expect(reply: aiohttp.ClientResponse) -> None:
        if reply.status != 200:
            raise WireError(f"discovery: status {reply.status}")

    def _take(self, text: bytes) -> None:
        try:
            body = json.loads(text)
            if field(body, "version", int, "list") < self.version:
                held, self.version = self.version, 0  # it may have started over: the next call asks for all
                raise WireError(f"list: version {body['version']} after {held}")
            version, listing = read_list(body, self._site, self._learn, "list")
        except (RecursionError, OverflowError) as exc:
            raise WireError(f"list: {exc}") from None
        except json.JSONDecodeError:
            raise WireError("list: not JSON") from None
        self.version = version
        self._post(listing)

    async def close(self) -> None:
        tasks = [task for task in (self._watch, self._call) if task is not None]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._session.close()


async def _lines(reply: aiohttp.ClientResponse, most: int, end: bytes) -> AsyncIterator[bytes]:
    """Whole lines, or with no end given all of it; a rest that was cut off is an error, not a line."""
    rest = bytearray()
    async for chunk in reply.content.iter_any():
        rest += chunk
        while end and (at := rest.find(end)) >= 0:
            yield bytes(rest[:at])
            del rest[: at + len(end)]
        if len(rest) > most:
            raise WireError("list: too long")
    if end and rest:
        raise WireError("list: a line cut off")
    if rest:
        yield bytes(rest)

"""What proxies and collectors say, as inputs of the decisions, and one order on a stream, as bytes."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from ..config.deployment import DeploymentSettings
from ..config.errors import InputError
from ..model.inputs import Acknowledged, ArrivalReport, LoadReport, ProxyConnected
from . import resp

PING, PONG = resp.encode([b"PING"]), resp.encode([b"PONG"])


@dataclass(frozen=True, slots=True)
class Ping:
    pass


@dataclass(frozen=True, slots=True)
class CollectorConnected:
    """A collector names its zone."""

    zone: int


@dataclass(frozen=True, slots=True)
class UnlistedWorkerReport:
    """A report on a worker that the list has not named: nobody to book it on."""


@dataclass(frozen=True, slots=True)
class ExtensionMessage:
    """A message of an extension that is switched on, as its own reader made it; `proxy`: whose stream."""

    body: object
    proxy: int = -1


IncomingMessage = (
    Ping
    | CollectorConnected
    | UnlistedWorkerReport
    | ExtensionMessage
    | ProxyConnected
    | Acknowledged
    | LoadReport
    | ArrivalReport
)


class Fields:
    """The names and values of one message; each is read once and checked as it is read."""

    def __init__(self, kind: str, words: list[bytes]) -> None:
        self.kind = kind
        if len(words) % 2:
            raise InputError(f"{kind}: a name without a value")
        self.values = dict(zip(words[::2], words[1::2], strict=True))
        if 2 * len(self.values) != len(words):
            names = words[::2]
            twice = next(name for name in names if names.count(name) > 1)
            raise InputError(f"{kind}: field {shown(twice)} comes twice")

    def word(self, name: str) -> bytes:
        value = self.values.get(name.encode())
        if value is None:
            raise InputError(f"{self.kind}: field {name} is missing")
        return value

    def text(self, name: str) -> str:
        try:
            return self.word(name).decode()
        except UnicodeDecodeError:
            raise InputError(f"{self.kind}: field {name} is not text") from None

    def count(self, name: str) -> int:
        word = self.word(name)
        if not word.isdigit() or len(word) > 18:
            raise InputError(f"{self.kind}: field {name} is not a whole number of 0 or more")
        return int(word)

    def figure(self, name: str) -> float:
        return figure(self.word(name), f"{self.kind}: field {name}")

    def flag(self, name: str) -> bool:
        word = self.word(name)
        if word not in (b"0", b"1"):
            raise InputError(f"{self.kind}: field {name} is not 1 or 0")
        return word == b"1"

    def span(self, total: int) -> float:
        """Seconds that sums cover; none can't be, where something was counted."""
        span = self.figure("interval") / 1000.0
        if span <= 0 < total:
            raise InputError(f"{self.kind}: field interval is none, with a total of {total}")
        return span

    def metrics(self, name: str) -> dict[str, float]:
        pairs = [pair.rpartition(b":") for pair in self.values.get(name.encode(), b"").split(b",") if pair]
        where = f"{self.kind}: field {name}"
        return {key.decode(errors="replace"): figure(value, where) for key, _, value in pairs}


def shown(word: bytes) -> str:
    return word[:32].decode("ascii", errors="replace")


def figure(word: bytes, where: str) -> float:
    try:
        value = float(word)
    except ValueError:
        raise InputError(f"{where} is not a figure") from None
    if not math.isfinite(value) or value < 0 or b"_" in word:
        raise InputError(f"{where} is not a finite figure of 0 or more")
    return value


class MessageReader:
    """Reads messages for one site; `find` gives the small index of a listed worker, or none."""

    def __init__(self, site: DeploymentSettings, find: Callable[[bytes], int | None]) -> None:
        self.site, self.find = site, find
        self.more: dict[bytes, Callable[[list[bytes]], object]] = {}  # readers of extensions, by kind

    def read(self, words: list[bytes]) -> IncomingMessage:
        if not words:
            raise InputError("message: an array without words")
        reader = KINDS.get(words[0])
        if reader is None and words[0] in self.more:
            return ExtensionMessage(self.more[words[0]](words))
        if reader is None:
            raise InputError(f"{shown(words[0])}: unknown kind of message")
        return reader(self, Fields(shown(words[0]), words[1:]))

    def _zone(self, f: Fields) -> int:
        return self.site.zone_index(f.text("locality"), f"{f.kind}: field locality")

    def _node(self, f: Fields) -> int:
        node = f.count("node")
        if node >= self.site.parameters.proxy_count:
            raise InputError(f"{f.kind}: field node is beyond the settings")
        return node

    def _source(self, f: Fields) -> IncomingMessage:
        return CollectorConnected(self._zone(f))

    def _load(self, f: Fields) -> IncomingMessage:
        zone, worker = self._zone(f), self.find(f.word("endpoint"))
        total, errors = f.count("total"), f.count("errors")
        if errors > total:
            raise InputError(f"{f.kind}: field errors is more than total")
        span, report = f.span(total), f.metrics("metrics")
        took = f.figure("rtt") / 1000.0 if total > errors or b"rtt" in f.values else 0.0
        return (
            UnlistedWorkerReport()
            if worker is None
            else LoadReport(worker, zone, total, errors, span, took, report)
        )

    def _subscribe(self, f: Fields) -> IncomingMessage:
        return ProxyConnected(self._node(f), self._zone(f), f.figure("w"), f.flag("cold"))

    def _ack(self, f: Fields) -> IncomingMessage:
        return Acknowledged(self._node(f), f.count("nonce"), f.figure("latency") / 1000.0)

    def _rate(self, f: Fields) -> IncomingMessage:
        kind = self.site.class_index(f.text("route"), f"{f.kind}: field route")
        reqs, errors = f.count("total"), f.count("errors")  # of those, some came before the interval
        return ArrivalReport(self._node(f), kind, reqs, errors, f.span(reqs))


KINDS: dict[bytes, Callable[[MessageReader, Fields], IncomingMessage]] = {
    b"PING": lambda messages, f: Ping(),
    b"SOURCE": MessageReader._source,
    b"LOAD": MessageReader._load,
    b"SUBSCRIBE": MessageReader._subscribe,
    b"ACK": MessageReader._ack,
    b"RATE": MessageReader._rate,
}


@dataclass(slots=True)
class ConfigPart:
    """One part of a message to a proxy; workers stand by their ids."""

    kinds: bytes = b""  # names joined as the wire has them; empty for all
    replace: bool = False
    rows: dict[bytes, float] = field(default_factory=dict)
    gate: tuple[float, int] | None = None
    drop: list[bytes] = field(default_factory=list)
    undrop: list[bytes] = field(default_factory=list)
    stamp: int | None = None

    def words(self, more: bool) -> list[bytes]:
        words = [b"CONFIG"]
        if self.kinds:
            words += [b"for", self.kinds]
        if self.replace:
            words += [b"replace", b"1"]
        if self.rows:
            words += [b"rows", b",".join(b"%b:%b" % (worker, _plain(w)) for worker, w in self.rows.items())]
        if self.gate is not None:
            words += [b"gate", _plain(self.gate[0]), b"again", b"%d" % self.gate[1]]
        if self.drop:
            words += [b"drop", b",".join(self.drop)]
        if self.undrop:
            words += [b"undrop", b",".join(self.undrop)]
        if self.stamp is not None:
            words += [b"stamp", b"%d" % self.stamp]
        return words + [b"part", b"1"] if more else words


def _plain(value: float) -> bytes:
    return repr(float(value)).encode()


def encode_parts(parts: list[ConfigPart]) -> bytes:
    return b"".join(resp.encode(part.words(part is not parts[-1])) for part in parts)

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


class MessageFields:
    """The names and values of one message; each is read once and checked as it is read."""

    def __init__(self, kind: str, words: list[bytes]) -> None:
        self.message_type = kind
        if len(words) % 2:
            raise InputError(f"{kind}: a name without a value")
        self.values = dict(zip(words[::2], words[1::2], strict=True))
        if 2 * len(self.values) != len(words):
            names = words[::2]
            twice = next(name for name in names if names.count(name) > 1)
            raise InputError(f"{kind}: field {printable(twice)} comes twice")

    def raw(self, name: str) -> bytes:
        value = self.values.get(name.encode())
        if value is None:
            raise InputError(f"{self.message_type}: field {name} is missing")
        return value

    def text(self, name: str) -> str:
        try:
            return self.raw(name).decode()
        except UnicodeDecodeError:
            raise InputError(f"{self.message_type}: field {name} is not text") from None

    def count(self, name: str) -> int:
        word = self.raw(name)
        if not word.isdigit() or len(word) > 18:
            raise InputError(f"{self.message_type}: field {name} is not a whole number of 0 or more")
        return int(word)

    def number(self, name: str) -> float:
        return parse_number(self.raw(name), f"{self.message_type}: field {name}")

    def flag(self, name: str) -> bool:
        word = self.raw(name)
        if word not in (b"0", b"1"):
            raise InputError(f"{self.message_type}: field {name} is not 1 or 0")
        return word == b"1"

    def interval_s(self, total: int) -> float:
        """Seconds that sums cover; none can't be, where something was counted."""
        span = self.number("interval") / 1000.0
        if span <= 0 < total:
            raise InputError(f"{self.message_type}: field interval is none, with a total of {total}")
        return span

    def metrics(self, name: str) -> dict[str, float]:
        pairs = [pair.rpartition(b":") for pair in self.values.get(name.encode(), b"").split(b",") if pair]
        where = f"{self.message_type}: field {name}"
        return {key.decode(errors="replace"): parse_number(value, where) for key, _, value in pairs}


def printable(word: bytes) -> str:
    return word[:32].decode("ascii", errors="replace")


def parse_number(word: bytes, where: str) -> float:
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
        self.site, self.find_worker = site, find
        self.extension_readers: dict[bytes, Callable[[list[bytes]], object]] = {}  # by kind

    def read(self, words: list[bytes]) -> IncomingMessage:
        if not words:
            raise InputError("message: an array without words")
        reader = KINDS.get(words[0])
        if reader is None and words[0] in self.extension_readers:
            return ExtensionMessage(self.extension_readers[words[0]](words))
        if reader is None:
            raise InputError(f"{printable(words[0])}: unknown kind of message")
        return reader(self, MessageFields(printable(words[0]), words[1:]))

    def _zone(self, f: MessageFields) -> int:
        return self.site.zone_index(f.text("locality"), f"{f.message_type}: field locality")

    def _node(self, f: MessageFields) -> int:
        node = f.count("node")
        if node >= self.site.parameters.proxy_count:
            raise InputError(f"{f.message_type}: field node is beyond the settings")
        return node

    def _source(self, f: MessageFields) -> IncomingMessage:
        return CollectorConnected(self._zone(f))

    def _load(self, f: MessageFields) -> IncomingMessage:
        zone, worker = self._zone(f), self.find_worker(f.raw("endpoint"))
        total, errors = f.count("total"), f.count("errors")
        if errors > total:
            raise InputError(f"{f.message_type}: field errors is more than total")
        span, report = f.interval_s(total), f.metrics("metrics")
        took = f.number("rtt") / 1000.0 if total > errors or b"rtt" in f.values else 0.0
        return (
            UnlistedWorkerReport()
            if worker is None
            else LoadReport(worker, zone, total, errors, span, took, report)
        )

    def _subscribe(self, f: MessageFields) -> IncomingMessage:
        return ProxyConnected(self._node(f), self._zone(f), f.number("w"), f.flag("cold"))

    def _ack(self, f: MessageFields) -> IncomingMessage:
        return Acknowledged(self._node(f), f.count("nonce"), f.number("latency") / 1000.0)

    def _rate(self, f: MessageFields) -> IncomingMessage:
        kind = self.site.class_index(f.text("route"), f"{f.message_type}: field route")
        reqs, errors = f.count("total"), f.count("errors")  # of those, some came before the interval
        return ArrivalReport(self._node(f), kind, reqs, errors, f.interval_s(reqs))


KINDS: dict[bytes, Callable[[MessageReader, MessageFields], IncomingMessage]] = {
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

    classes: bytes = b""  # names joined as the wire has them; empty for all
    replaces_table: bool = False
    weights: dict[bytes, float] = field(default_factory=dict)
    admission: tuple[float, int] | None = None
    excluded: list[bytes] = field(default_factory=list)
    readmitted: list[bytes] = field(default_factory=list)
    checkpoint: int | None = None

    def words(self, more: bool) -> list[bytes]:
        words = [b"CONFIG"]
        if self.classes:
            words += [b"for", self.classes]
        if self.replaces_table:
            words += [b"replace", b"1"]
        if self.weights:
            words += [
                b"rows",
                b",".join(b"%b:%b" % (worker, _plain(w)) for worker, w in self.weights.items()),
            ]
        if self.admission is not None:
            words += [b"gate", _plain(self.admission[0]), b"again", b"%d" % self.admission[1]]
        if self.excluded:
            words += [b"drop", b",".join(self.excluded)]
        if self.readmitted:
            words += [b"undrop", b",".join(self.readmitted)]
        if self.checkpoint is not None:
            words += [b"stamp", b"%d" % self.checkpoint]
        return words + [b"part", b"1"] if more else words


def _plain(value: float) -> bytes:
    return repr(float(value)).encode()


def encode_parts(parts: list[ConfigPart]) -> bytes:
    return b"".join(resp.encode(part.words(part is not parts[-1])) for part in parts)

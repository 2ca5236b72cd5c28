"""Messages of proxies and collectors, read into inputs of the controller."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from ..config.deployment import DeploymentSettings
from ..model.inputs import Acknowledged, ArrivalReport, LoadReport, ProxyConnected
from . import resp
from .errors import FieldError, MessageError
from .message_fields import MS_PER_S, MessageFields, printable

PING = resp.encode([b"PING"])
PONG = resp.encode([b"PONG"])


@dataclass(frozen=True, slots=True)
class Ping:
    """Asks for a PONG, at any time."""


@dataclass(frozen=True, slots=True)
class CollectorConnected:
    """A collector names its zone."""

    zone: int


@dataclass(frozen=True, slots=True)
class UnlistedWorkerReport:
    """A report on a worker that the endpoint list has not named; it counts for nothing."""


@dataclass(frozen=True, slots=True)
class ExtensionMessage:
    """A message of an extension that is switched on, as its own reader made it."""

    body: object
    proxy: int = -1  # whose connection it came on


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


class MessageReader:
    """Reads messages for one deployment; `find_worker` gives the index of a listed worker, or None."""

    def __init__(self, site: DeploymentSettings, find_worker: Callable[[bytes], int | None]) -> None:
        self.site = site
        self.find_worker = find_worker
        self.extension_readers: dict[bytes, Callable[[list[bytes]], object]] = {}  # by message type

    def read(self, arguments: list[bytes]) -> IncomingMessage:
        """The message of these words; raises `InputError` where it can't be accepted."""
        if not arguments:
            raise MessageError("message", "an array without words")
        reader = MESSAGE_READERS.get(arguments[0])
        if reader is not None:
            return reader(self, MessageFields(printable(arguments[0]), arguments[1:]))
        extension_reader = self.extension_readers.get(arguments[0])
        if extension_reader is not None:
            return ExtensionMessage(extension_reader(arguments))
        raise MessageError(printable(arguments[0]), "unknown kind of message")

    def _zone(self, fields: MessageFields) -> int:
        return self.site.zone_index(fields.text("locality"), f"{fields.message_type}: field locality")

    def _proxy(self, fields: MessageFields) -> int:
        proxy = fields.count("node")
        if proxy >= self.site.parameters.proxy_count:
            raise FieldError(fields.message_type, "node", "is beyond the settings")
        return proxy

    def _read_ping(self, fields: MessageFields) -> IncomingMessage:
        return Ping()

    def _read_source(self, fields: MessageFields) -> IncomingMessage:
        return CollectorConnected(self._zone(fields))

    def _read_load(self, fields: MessageFields) -> IncomingMessage:
        zone = self._zone(fields)
        worker_index = self.find_worker(fields.raw("endpoint"))
        total = fields.count("total")
        errors = fields.count("errors")
        if errors > total:
            raise FieldError(fields.message_type, "errors", "is more than total")
        interval_s = fields.interval_s(total)
        metrics = fields.metrics("metrics")
        latency_s = 0.0
        if total > errors or b"rtt" in fields.values:
            latency_s = fields.number("rtt") / MS_PER_S
        if worker_index is None:
            return UnlistedWorkerReport()
        return LoadReport(worker_index, zone, total, errors, interval_s, latency_s, metrics)

    def _read_subscribe(self, fields: MessageFields) -> IncomingMessage:
        return ProxyConnected(
            self._proxy(fields), self._zone(fields), fields.number("w"), fields.flag("cold")
        )

    def _read_ack(self, fields: MessageFields) -> IncomingMessage:
        return Acknowledged(self._proxy(fields), fields.count("nonce"), fields.number("latency") / MS_PER_S)

    def _read_rate(self, fields: MessageFields) -> IncomingMessage:
        class_index = self.site.class_index(fields.text("route"), f"{fields.message_type}: field route")
        requests = fields.count("total")
        errors = fields.count("errors")  # some of these requests may have come before the interval
        return ArrivalReport(self._proxy(fields), class_index, requests, errors, fields.interval_s(requests))


MESSAGE_READERS: dict[bytes, Callable[[MessageReader, MessageFields], IncomingMessage]] = {
    b"PING": MessageReader._read_ping,
    b"SOURCE": MessageReader._read_source,
    b"LOAD": MessageReader._read_load,
    b"SUBSCRIBE": MessageReader._read_subscribe,
    b"ACK": MessageReader._read_ack,
    b"RATE": MessageReader._read_rate,
}

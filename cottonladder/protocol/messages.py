"""Decoder of messages of proxies and collectors into typed inputs of the routing controller."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from ..config.deployment import DeploymentSettings
from ..config.fields import MS_PER_S
from ..model.inputs import Acknowledged, ArrivalReport, LoadReport, ProxyConnected
from . import resp
from .errors import FieldError, MessageError
from .message_fields import MessageFields, printable

PING = resp.encode([b"PING"])
PONG = resp.encode([b"PONG"])


@dataclass(frozen=True, slots=True)
class Ping:
    """A PING message, to which the peer expects a PONG; allowed in each state of a connection."""


@dataclass(frozen=True, slots=True)
class CollectorConnected:
    """A SOURCE message, sent by a collector of load reports in the zone with index `zone`."""

    zone: int


@dataclass(frozen=True, slots=True)
class UnlistedWorkerReport:
    """A load report on a worker that is not in the endpoint list; it is ignored."""


@dataclass(frozen=True, slots=True)
class ExtensionMessage:
    """A message of a protocol extension; `body` is what the extension's own reader returned."""

    body: object
    proxy: int = -1  # index of the proxy that sent it; -1 until the connection sets it


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
    """Decoder of the messages of one deployment.

    `find_worker` returns the index of a listed worker by its id, or None.  An extension adds its message
    types to `extension_readers`.
    """

    def __init__(self, settings: DeploymentSettings, find_worker: Callable[[bytes], int | None]) -> None:
        self.settings = settings
        self.find_worker = find_worker
        self.extension_readers: dict[bytes, Callable[[list[bytes]], object]] = {}  # by message type

    def read(self, arguments: list[bytes]) -> IncomingMessage:
        """Reads one message, given as its arguments; raises `InputError` if it is not valid."""
        if not arguments:
            raise MessageError("message", "expected a message type, got an empty array")
        reader = MESSAGE_READERS.get(arguments[0])
        if reader is not None:
            return reader(self, MessageFields(printable(arguments[0]), arguments[1:]))
        extension_reader = self.extension_readers.get(arguments[0])
        if extension_reader is not None:
            return ExtensionMessage(extension_reader(arguments))
        raise MessageError(printable(arguments[0]), "unknown message type")

    def _zone(self, fields: MessageFields) -> int:
        return self.settings.zone_index(fields.text("locality"), f"{fields.message_type}: field locality")

    def _proxy(self, fields: MessageFields) -> int:
        proxy = fields.count("node")
        if proxy >= self.settings.parameters.proxy_count:
            raise fields.error("node", f"is not a proxy index below {self.settings.parameters.proxy_count}")
        return proxy

    def _read_ping(self, _fields: MessageFields) -> IncomingMessage:
        return Ping()

    def _read_source(self, fields: MessageFields) -> IncomingMessage:
        return CollectorConnected(self._zone(fields))

    def _read_load(self, fields: MessageFields) -> IncomingMessage:
        zone = self._zone(fields)
        worker_index = self.find_worker(fields.raw("endpoint"))
        total = fields.count("total")
        errors = fields.count("errors")
        if errors > total:
            raise FieldError(fields.message_type, "errors", "exceeds field total", f"{errors} of {total}")
        interval_s = fields.interval_s(total)
        metrics = fields.metrics("metrics")
        latency_s = 0.0  # a report without successful requests may omit rtt
        if total > errors or b"rtt" in fields.values:
            latency_s = fields.number("rtt") / MS_PER_S
        if worker_index is None:  # tested last, so that an invalid report is rejected for any worker
            return UnlistedWorkerReport()
        return LoadReport(worker_index, zone, total, errors, interval_s, latency_s, metrics)

    def _read_subscribe(self, fields: MessageFields) -> IncomingMessage:
        return ProxyConnected(
            self._proxy(fields), self._zone(fields), fields.number("w"), fields.flag("cold")
        )

    def _read_ack(self, fields: MessageFields) -> IncomingMessage:
        return Acknowledged(self._proxy(fields), fields.count("nonce"), fields.number("latency") / MS_PER_S)

    def _read_rate(self, fields: MessageFields) -> IncomingMessage:
        class_index = self.settings.request_class_index(
            fields.text("route"), f"{fields.message_type}: field route"
        )
        requests = fields.count("total")
        # May exceed the total: a request that arrived in an earlier interval may fail in this one.
        errors = fields.count("errors")
        return ArrivalReport(self._proxy(fields), class_index, requests, errors, fields.interval_s(requests))


MESSAGE_READERS: dict[bytes, Callable[[MessageReader, MessageFields], IncomingMessage]] = {
    b"PING": MessageReader._read_ping,
    b"SOURCE": MessageReader._read_source,
    b"LOAD": MessageReader._read_load,
    b"SUBSCRIBE": MessageReader._read_subscribe,
    b"ACK": MessageReader._read_ack,
    b"RATE": MessageReader._read_rate,
}

"""We ask advisors: as a SASP balancer, as a DFP manager.  One task an advisor; dial, follow, back off.

What an advisor says is handed on as words by member; what it is worth is decided in `decisions.advice`.
"""

from __future__ import annotations

import asyncio
import ssl
import time
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

import structlog

from ..config.fields import HostPort
from . import dfp, limits, sasp
from .registry import MemberIndex
from .server import WorkerLocation
from .tlv import AdviceError, parse_address

REQUESTED_KEEP_ALIVE = 10  # s of keep-alive that an agent is asked for


@dataclass(frozen=True, slots=True)
class ReportedWeight:
    """An advisor's word on one member: `be` where it is one of ours."""

    worker_index: int | None
    weight: int
    is_usable: bool


class AdviceListener:
    """Where words go: the adviser, in the owner's own loop."""

    def advisor_connected(self, advisor: str) -> None:
        """A connection to the advisor is up."""
        raise NotImplementedError

    def weights_received(self, advisor: str, weights: Iterable[ReportedWeight], is_complete: bool) -> None:
        """Weights came; `is_complete`: those of before no longer hold."""
        raise NotImplementedError


class AdvisorClient:
    """Keeps one advisor's connection; a subclass speaks its protocol.  `places` are our workers as listed."""

    def __init__(
        self,
        address: HostPort,
        listener: AdviceListener,
        tls: ssl.SSLContext | None,
        uniform: Callable[[], float],
    ) -> None:
        self.address, self.name, self.listener = address, f"{address[0]}:{address[1]}", listener
        self._tls, self._uniform = tls, uniform
        self.locations: list[WorkerLocation] = []
        self.lookup = MemberIndex(())
        self.unmatched = 0  # members of the last words that are none of ours
        self.is_connected = False
        self._writer: asyncio.StreamWriter | None = None
        self._task: asyncio.Task[None] | None = None
        self.log: structlog.stdlib.BoundLogger = structlog.get_logger()

    def start(self) -> None:
        """Starts the task that dials, follows and backs off."""
        self._task = asyncio.create_task(self._run())

    def update(self, places: list[WorkerLocation]) -> None:
        """Takes our workers as listed."""
        if places != self.locations:
            self.locations, self.lookup = places, MemberIndex(places)
            self.locations_changed()

    def locations_changed(self) -> None:
        """Our list is another one."""

    async def _run(self) -> None:
        wait = limits.MIN_BACKOFF
        while True:
            connecting_at = time.monotonic()
            reason = await self._follow()
            self.is_connected, self._writer = False, None
            self.log.info("advisor_disconnected", advisor=self.name, reason=reason)
            wait = limits.MIN_BACKOFF if time.monotonic() - connecting_at > limits.MAX_BACKOFF else wait
            await asyncio.sleep(wait * (0.5 + 0.5 * self._uniform()))
            wait = min(limits.MAX_BACKOFF, 2.0 * wait)

    async def _follow(self) -> str:
        try:
            dialling = asyncio.open_connection(*self.address, ssl=self._tls)
            reader, writer = await asyncio.wait_for(dialling, limits.CONNECT_TIMEOUT)
        except (OSError, TimeoutError, ssl.SSLError) as exc:
            return f"no connection: {exc or 'timed out'}"
        self._writer, self.is_connected = writer, True
        self.log.info("advisor_connected", advisor=self.name)
        self.listener.advisor_connected(self.name)
        try:
            self.start_session()
            while True:
                data = await asyncio.wait_for(reader.read(65_536), self.silence_timeout())
                if not data:
                    return "ended by the advisor"
                self.receive(data)
        except (AdviceError, OSError) as exc:
            return str(exc) or type(exc).__name__
        except TimeoutError:
            return f"silent for {self.silence_timeout():g} s"
        finally:
            writer.transport.abort()

    def send(self, data: bytes) -> None:
        """Writes to the advisor, if it is connected; one that reads nothing is cut off."""
        if self._writer is not None and not self._writer.transport.is_closing():
            if self._writer.transport.get_write_buffer_size() > limits.MAX_UNREAD_BYTES:
                self._writer.transport.abort()
            else:
                self._writer.write(data)

    def silence_timeout(self) -> float:
        """Seconds without a message after which the connection is given up."""
        return limits.SILENCE_TIMEOUT

    def start_session(self) -> None:
        """Says what the protocol says first on a new connection."""
        raise NotImplementedError

    def receive(self, data: bytes) -> None:
        """Takes bytes of the advisor; raises AdviceError for what the protocol doesn't allow."""
        raise NotImplementedError

    def poll(self) -> None:
        """Called each interval."""

    async def close(self) -> None:
        """Ends the task and its connection."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)


class SaspAdvisorClient(AdvisorClient):
    """Registers our workers as one group, asks to be pushed to, and asks by itself as often as it was
    told."""

    def __init__(
        self,
        address: HostPort,
        listener: AdviceListener,
        tls: ssl.SSLContext | None,
        uniform: Callable[[], float],
        uid: str,
        group: str,
    ) -> None:
        super().__init__(address, listener, tls, uniform)
        self._group = sasp.GroupData(uid.encode(), group.encode())
        self._reader = sasp.MessageReader()
        self._last_message_id = 0
        self._registered: dict[sasp.MemberData, None] = {}
        self._polled_at = 0.0
        self._poll_interval = float(limits.POLL_INTERVAL)

    def _send_message(self, message_type: int, **fields: object) -> None:
        self._last_message_id = (self._last_message_id + 1) & 0xFFFFFFFF
        message = sasp.Message(message_type, self._last_message_id, **fields)  # type: ignore[arg-type]
        self.send(sasp.encode_message(message))

    def start_session(self) -> None:
        self._reader = sasp.MessageReader()
        self._registered = {}
        self._send_message(
            sasp.SET_LB_STATE_REQUEST,
            lb_uid=self._group.lb_uid,
            lb_health=0x7F,
            flags=sasp.PUSH_FLAG | sasp.NO_CHANGE_NO_SEND_FLAG,
        )
        self.locations_changed()

    def locations_changed(self) -> None:
        """Registers who came and deregisters who went."""
        if not self.is_connected:
            return
        members = {
            sasp.MemberData(6, port, a, name): None for _, name, a, port in self.locations if a is not None
        }
        came = [m for m in members if m not in self._registered]
        went = [m for m in self._registered if m not in members]
        for kind, rows in ((sasp.DEREGISTRATION_REQUEST, went), (sasp.REGISTRATION_REQUEST, came)):
            if rows:
                grouped = sasp.GroupOfEntries(self._group, tuple(rows))
                reason = sasp.REASON_LEARNED_PURPOSEFUL if kind == sasp.DEREGISTRATION_REQUEST else 0
                self._send_message(kind, flags=sasp.LOAD_BALANCER_FLAG, reason=reason, groups=(grouped,))
        self._registered = members
        self._polled_at = 0.0

    def poll(self) -> None:
        now = time.monotonic()
        if self.is_connected and self._registered and now - self._polled_at >= self._poll_interval:
            self._polled_at = now
            self._send_message(sasp.GET_WEIGHTS_REQUEST, groups=(self._group,))

    def receive(self, data: bytes) -> None:
        for m in self._reader.feed(data):
            if m.message_type in (sasp.GET_WEIGHTS_REPLY, sasp.SEND_WEIGHTS):
                if m.response_code != sasp.SUCCESSFUL:
                    self.log.info(
                        "advisor_rejected_request",
                        advisor=self.name,
                        reason=sasp.RESPONSE_TEXTS.get(m.response_code, hex(m.response_code)),
                    )
                    continue
                if m.message_type == sasp.GET_WEIGHTS_REPLY and m.interval_s:
                    self._poll_interval = min(float(m.interval_s), limits.SILENCE_TIMEOUT / 3)
                self._report_weights(m)
            elif m.message_type in sasp.REPLY_TYPES.values():
                if m.response_code != sasp.SUCCESSFUL:
                    self.log.info(
                        "advisor_rejected_request",
                        advisor=self.name,
                        reason=sasp.RESPONSE_TEXTS.get(m.response_code, hex(m.response_code)),
                    )
            else:
                raise AdviceError(f"message {m.message_type:#06x} is not an advisor's")

    def _report_weights(self, m: sasp.Message) -> None:
        out: list[ReportedWeight] = []
        for g in m.groups:
            if not isinstance(g, sasp.GroupOfEntries) or g.group.group_name != self._group.group_name:
                continue
            for entry in g.entries:
                assert isinstance(entry, sasp.WeightEntry)
                usable = bool(entry.flags & sasp.CONTACT_SUCCESS_FLAG) and not entry.flags & sasp.QUIESCE_FLAG
                out.append(ReportedWeight(self.lookup(entry.member), entry.weight, usable))
        self.unmatched = sum(said.worker_index is None for said in out)
        self.listener.weights_received(self.name, out, is_complete=m.message_type == sasp.GET_WEIGHTS_REPLY)


class DfpAdvisorClient(AdvisorClient):
    """A manager: states how often it wants to hear, then listens."""

    def __init__(
        self, address: HostPort, listener: AdviceListener, uniform: Callable[[], float],
        secret: tuple[int, bytes] | None,
    ) -> None:  # fmt: skip
        super().__init__(address, listener, None, uniform)
        self._secret = secret
        self._reader = dfp.MessageReader()

    def start_session(self) -> None:
        self._reader = dfp.MessageReader(dict([self._secret]) if self._secret else None)
        self.send(
            dfp.encode_message(
                dfp.Message(dfp.DFP_PARAMETERS, keep_alive_s=REQUESTED_KEEP_ALIVE), self._secret
            )
        )

    def silence_timeout(self) -> float:
        return 2.0 * REQUESTED_KEEP_ALIVE

    def receive(self, data: bytes) -> None:
        for m in self._reader.feed(data):
            if m.message_type == dfp.PREFERENCE_INFORMATION:
                self._report_weights(m)
            elif m.message_type not in (dfp.BIND_ID_REPORT, dfp.BIND_ID_CHANGE_NOTICE):
                raise AdviceError(f"{dfp.MESSAGE_TYPES[m.message_type]}: not an agent's")

    def _report_weights(self, m: dfp.Message) -> None:
        """Port 0 stands for all ports of a host.  Weights of several BindIDs for one worker: the lowest."""
        hosts: dict[object, list[int]] = {}
        for be, _, a, _ in self.locations:
            hosts.setdefault(a, []).append(be)
        lowest: dict[int, int] = {}
        self.unmatched = 0
        for load in m.loads:
            for host in load.hosts:
                one = self.lookup(sasp.MemberData(load.protocol, load.port, host.address))
                found = hosts.get(host.address, []) if load.port == 0 else [] if one is None else [one]
                self.unmatched += not found
                for be in found:
                    lowest[be] = min(lowest.get(be, host.weight), host.weight)
        self.listener.weights_received(
            self.name, [ReportedWeight(be, weight, True) for be, weight in lowest.items()], is_complete=False
        )


def worker_locations(ids: Mapping[int, bytes], address: Callable[[int], str]) -> list[WorkerLocation]:
    """Workers as listed; one whose address is a name can be matched by its label alone."""
    out: list[WorkerLocation] = []
    for be, name in ids.items():
        host, _, port = address(be).rpartition(":")
        out.append(WorkerLocation(be, name, parse_address(host.strip("[]")), int(port)))
    return out

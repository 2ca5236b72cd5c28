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
from .registry import Finder
from .server import Place
from .tlv import AdviceError, address_of

ASK_FOR = 10  # s of keep-alive that an agent is asked for


@dataclass(frozen=True, slots=True)
class ReportedWeight:
    """An advisor's word on one member: `be` where it is one of ours."""

    be: int | None
    weight: int
    usable: bool


class AdviceListener:
    """Where words go: the adviser, in the owner's own loop."""

    def joined(self, advisor: str) -> None:
        raise NotImplementedError

    def heard(self, advisor: str, words: Iterable[ReportedWeight], whole: bool) -> None:
        raise NotImplementedError


class Follower:
    """Keeps one advisor's connection; a subclass speaks its protocol.  `places` are our workers as listed."""

    def __init__(
        self, at: HostPort, listener: AdviceListener, tls: ssl.SSLContext | None, uniform: Callable[[], float]
    ) -> None:
        self.at, self.name, self.listener = at, f"{at[0]}:{at[1]}", listener
        self._tls, self._uniform = tls, uniform
        self.places: list[Place] = []
        self.find = Finder(())
        self.unmatched = 0  # members of the last words that are none of ours
        self.up = False
        self._writer: asyncio.StreamWriter | None = None
        self._task: asyncio.Task[None] | None = None
        self.log: structlog.stdlib.BoundLogger = structlog.get_logger()

    def start(self) -> None:
        self._task = asyncio.create_task(self._run())

    def update(self, places: list[Place]) -> None:
        if places != self.places:
            self.places, self.find = places, Finder(places)
            self.changed()

    def changed(self) -> None:
        """Our list is another one."""

    async def _run(self) -> None:
        wait = limits.BACK_LEAST
        while True:
            begun = time.monotonic()
            why = await self._follow()
            self.up, self._writer = False, None
            self.log.info("advisor left", advisor=self.name, why=why)
            wait = limits.BACK_LEAST if time.monotonic() - begun > limits.BACK_MOST else wait
            await asyncio.sleep(wait * (0.5 + 0.5 * self._uniform()))
            wait = min(limits.BACK_MOST, 2.0 * wait)

    async def _follow(self) -> str:
        try:
            dialling = asyncio.open_connection(*self.at, ssl=self._tls)
            reader, writer = await asyncio.wait_for(dialling, limits.DIAL_WAIT)
        except (OSError, TimeoutError, ssl.SSLError) as exc:
            return f"no connection: {exc or 'timed out'}"
        self._writer, self.up = writer, True
        self.log.info("advisor joined", advisor=self.name)
        self.listener.joined(self.name)
        try:
            self.greet()
            while True:
                data = await asyncio.wait_for(reader.read(65_536), self.patience())
                if not data:
                    return "ended by the advisor"
                self.take(data)
        except (AdviceError, OSError) as exc:
            return str(exc) or type(exc).__name__
        except TimeoutError:
            return f"silent for {self.patience():g} s"
        finally:
            writer.transport.abort()

    def send(self, data: bytes) -> None:
        if self._writer is not None and not self._writer.transport.is_closing():
            if self._writer.transport.get_write_buffer_size() > limits.UNREAD_MOST:
                self._writer.transport.abort()
            else:
                self._writer.write(data)

    def patience(self) -> float:
        return limits.SILENT_MOST

    def greet(self) -> None:
        raise NotImplementedError

    def take(self, data: bytes) -> None:
        raise NotImplementedError

    def tick(self) -> None:
        """Called each interval."""

    async def close(self) -> None:
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)


class SaspFollower(Follower):
    """Registers our workers as one group, asks to be pushed to, and asks by itself as often as it was
    told."""

    def __init__(
        self,
        at: HostPort,
        listener: AdviceListener,
        tls: ssl.SSLContext | None,
        uniform: Callable[[], float],
        uid: str,
        group: str,
    ) -> None:
        super().__init__(at, listener, tls, uniform)
        self._group = sasp.Group(uid.encode(), group.encode())
        self._reader, self._number = sasp.Reader(), 0
        self._registered: dict[sasp.Member, None] = {}
        self._asked, self._every = 0.0, float(limits.ASK_EVERY)

    def _say(self, kind: int, **fields: object) -> None:
        self._number = (self._number + 1) & 0xFFFFFFFF
        self.send(sasp.write(sasp.Message(kind, self._number, **fields)))  # type: ignore[arg-type]

    def greet(self) -> None:
        self._reader, self._registered = sasp.Reader(), {}
        self._say(sasp.SET_BALANCER, uid=self._group.uid, health=0x7F, flags=sasp.PUSH | sasp.NO_CHANGE)
        self.changed()

    def changed(self) -> None:
        """Registers who came and deregisters who went."""
        if not self.up:
            return
        members = {sasp.Member(6, port, a, name): None for _, name, a, port in self.places if a is not None}
        came = [m for m in members if m not in self._registered]
        went = [m for m in self._registered if m not in members]
        for kind, rows in ((sasp.DEREGISTER, went), (sasp.REGISTER, came)):
            if rows:
                grouped = sasp.Grouped(self._group, tuple(rows))
                reason = sasp.PURPOSE_LEARNED if kind == sasp.DEREGISTER else 0
                self._say(kind, flags=sasp.BY_BALANCER, reason=reason, groups=(grouped,))
        self._registered = members
        self._asked = 0.0

    def tick(self) -> None:
        now = time.monotonic()
        if self.up and self._registered and now - self._asked >= self._every:
            self._asked = now
            self._say(sasp.GET_WEIGHTS, groups=(self._group,))

    def take(self, data: bytes) -> None:
        for m in self._reader.feed(data):
            if m.kind in (sasp.WEIGHTS_REPLY, sasp.SEND_WEIGHTS):
                if m.code != sasp.OK:
                    self.log.info(
                        "advisor refuses", advisor=self.name, why=sasp.WORDS.get(m.code, hex(m.code))
                    )
                    continue
                if m.kind == sasp.WEIGHTS_REPLY and m.interval:
                    self._every = min(float(m.interval), limits.SILENT_MOST / 3)
                self._words(m)
            elif m.kind in sasp.REPLIES.values():
                if m.code != sasp.OK:
                    self.log.info(
                        "advisor refuses", advisor=self.name, why=sasp.WORDS.get(m.code, hex(m.code))
                    )
            else:
                raise AdviceError(f"message {m.kind:#06x} is not an advisor's")

    def _words(self, m: sasp.Message) -> None:
        out: list[ReportedWeight] = []
        for g in m.groups:
            if not isinstance(g, sasp.Grouped) or g.group.name != self._group.name:
                continue
            for entry in g.entries:
                assert isinstance(entry, sasp.Weight)
                usable = bool(entry.flags & sasp.CONTACT) and not entry.flags & sasp.QUIESCED
                out.append(ReportedWeight(self.find(entry.member), entry.weight, usable))
        self.unmatched = sum(said.be is None for said in out)
        self.listener.heard(self.name, out, whole=m.kind == sasp.WEIGHTS_REPLY)


class DfpFollower(Follower):
    """A manager: states how often it wants to hear, then listens."""

    def __init__(
        self, at: HostPort, listener: AdviceListener, uniform: Callable[[], float],
        secret: tuple[int, bytes] | None,
    ) -> None:  # fmt: skip
        super().__init__(at, listener, None, uniform)
        self._secret = secret
        self._reader = dfp.Reader()

    def greet(self) -> None:
        self._reader = dfp.Reader(dict([self._secret]) if self._secret else None)
        self.send(dfp.write(dfp.Message(dfp.PARAMETERS, keep_alive=ASK_FOR), self._secret))

    def patience(self) -> float:
        return 2.0 * ASK_FOR

    def take(self, data: bytes) -> None:
        for m in self._reader.feed(data):
            if m.kind == dfp.PREFERENCE:
                self._words(m)
            elif m.kind not in (dfp.BIND_REPORT, dfp.BIND_CHANGE):
                raise AdviceError(f"{dfp.KINDS[m.kind]}: not an agent's")

    def _words(self, m: dfp.Message) -> None:
        """Port 0 stands for all ports of a host.  Weights of several BindIDs for one worker: the lowest."""
        hosts: dict[object, list[int]] = {}
        for be, _, a, _ in self.places:
            hosts.setdefault(a, []).append(be)
        lowest: dict[int, int] = {}
        self.unmatched = 0
        for load in m.loads:
            for host in load.hosts:
                one = self.find(sasp.Member(load.protocol, load.port, host.address))
                found = hosts.get(host.address, []) if load.port == 0 else [] if one is None else [one]
                self.unmatched += not found
                for be in found:
                    lowest[be] = min(lowest.get(be, host.weight), host.weight)
        self.listener.heard(
            self.name, [ReportedWeight(be, weight, True) for be, weight in lowest.items()], whole=False
        )


def places_of(ids: Mapping[int, bytes], address: Callable[[int], str]) -> list[Place]:
    """Workers as listed; one whose address is a name can be matched by its label alone."""
    out: list[Place] = []
    for be, name in ids.items():
        host, _, port = address(be).rpartition(":")
        out.append((be, name, address_of(host.strip("[]")), int(port)))
    return out

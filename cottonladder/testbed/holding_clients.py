"""Stand-in clients: customer care desks that hold a connection for hours and come back when told to."""

from __future__ import annotations

import asyncio
import itertools
import re
from collections import Counter
from dataclasses import dataclass, field

import aiohttp

HANDSHAKE_TIMEOUT_S = 10.0  # s for a handshake
BACK = re.compile(r"come back in (\d+) s")


@dataclass(slots=True)
class ClientCounters:
    """What all desks of a run met."""

    closes: Counter[str] = field(default_factory=Counter)
    opened: int = 0
    failed_handshakes: int = 0  # handshakes turned away or failed
    unanswered: int = 0  # closed while an answer was awaited
    outcome_unknown: int = 0  # of these, told that the outcome is unknown
    answered: int = 0
    reconnect_gaps: list[float] = field(default_factory=list)  # s without a connection


class HoldingClient:
    """One client.  `busy`: it asks again as soon as it is answered, every `every` seconds; `rude`: it ignores
    closes; `hasty`: it comes back at once."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        url: str,
        counts: ClientCounters,
        name: str,
        *,
        busy: bool = False,
        releases: bool = False,
        reconnects_at_once: bool = False,
        ask_interval_s: float = 0.2,
    ) -> None:
        self._session, self._url, self.counts, self.name = session, url, counts, name
        self._busy, self._releases, self._hasty, self._every = (
            busy,
            releases,
            reconnects_at_once,
            ask_interval_s,
        )
        self._numbers = itertools.count()
        self.connected = asyncio.Event()
        self.worker = ""
        self._awaited = ""
        self._task: asyncio.Task[None] | None = None
        self.socket: aiohttp.ClientWebSocketResponse | None = None

    def start(self) -> None:
        self._task = asyncio.create_task(self._run())

    async def _run(self) -> None:
        loop, left = asyncio.get_running_loop(), 0.0
        while True:
            wait = 0.0
            try:
                async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
                    socket = await self._session.ws_connect(self._url, autoping=True, max_msg_size=1 << 20)
            except aiohttp.WSServerHandshakeError as exc:
                self.counts.failed_handshakes += 1
                wait = float(exc.headers.get("Retry-After", "1")) if exc.headers else 1.0
            except (aiohttp.ClientError, TimeoutError, OSError):
                self.counts.failed_handshakes += 1
                wait = 0.5
            else:
                self.socket = socket
                self.counts.opened += 1
                if left:
                    self.counts.reconnect_gaps.append(loop.time() - left)
                self.connected.set()
                wait = await self._hold(socket)
                self.connected.clear()
                left = loop.time()
            await asyncio.sleep(0.0 if self._hasty else wait)

    async def _hold(self, socket: aiohttp.ClientWebSocketResponse) -> float:
        self._awaited = ""
        asking = asyncio.create_task(self._ask(socket)) if self._busy else None
        why = ""
        try:
            while True:
                message = await socket.receive()
                if message.type is aiohttp.WSMsgType.TEXT:
                    self._heard(message.data)
                elif message.type is aiohttp.WSMsgType.CLOSE:
                    why = str(message.extra or "")
                    self.counts.closes[f"{message.data} {BACK.sub('come back', why)}"] += 1
                    break
                else:
                    self.counts.closes[message.type.name] += 1
                    break
        finally:
            if asking is not None:
                asking.cancel()
            await socket.close()
        if self._awaited:
            self.counts.unanswered += 1
            self.counts.outcome_unknown += "outcome unknown" in why
        said = BACK.search(why)
        return float(said.group(1)) if said else 0.2

    def _heard(self, text: str) -> None:
        what, number, *_ = text.split(":")
        if what in ("answer", "done"):
            self.counts.answered += 1
            if number == self._awaited:
                self._awaited = ""

    async def ask(self, what: str = "ask") -> str:
        """Says one message; its number."""
        assert self.socket is not None
        number = f"{self.name}-{next(self._numbers)}"
        self._awaited = number
        await self.socket.send_str(f"{what}:{number}")
        return number

    async def _ask(self, socket: aiohttp.ClientWebSocketResponse) -> None:
        while not socket.closed:
            if not self._awaited:
                try:
                    await self.ask("release" if self._releases else "ask")
                except (ConnectionError, RuntimeError):
                    return
            await asyncio.sleep(self._every)

    async def stop(self) -> None:
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

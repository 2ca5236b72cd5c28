"""Simulated clients that hold an upgraded connection and reconnect after the delay that its close names."""

from __future__ import annotations

import asyncio
import itertools
import re
from collections import Counter
from dataclasses import dataclass, field

import aiohttp

HANDSHAKE_TIMEOUT_S = 10.0
MAX_MESSAGE_BYTES = 1 << 20
RECONNECT_DELAY_S = 0.2  # if the close names none
FAULT_DELAY_S = 0.5  # after a failed connection attempt
RECONNECT_REASON = re.compile(r"come back in (\d+) s")
OUTCOME_UNKNOWN = "outcome unknown"  # of a close's reason


@dataclass(slots=True)
class ClientCounters:
    """Counts over all clients of a run."""

    closes: Counter[str] = field(default_factory=Counter)
    opened: int = 0
    failed_handshakes: int = 0  # rejected or failed
    unanswered: int = 0  # connections closed while an answer was awaited
    outcome_unknown: int = 0  # of these, closed with the reason that the outcome is unknown
    answered: int = 0
    reconnect_gaps: list[float] = field(default_factory=list)  # seconds without a connection


class HandshakeError(Exception):
    """A connection attempt failed; `delay_s` is the time until the next one."""

    def __init__(self, delay_s: float) -> None:
        super().__init__(f"handshake failed, next in {delay_s:g} s")
        self.delay_s = delay_s


class HoldingClient:
    """One client with one connection at a time.

    A `busy` client sends a request every `ask_interval_s`, once the last one is answered; with `releases` its
    requests take effect at the worker. With `reconnects_at_once` it ignores the delay that a close names.
    """

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
        self.counts = counts
        self.name = name
        self.connected = asyncio.Event()
        self.worker = ""
        self.socket: aiohttp.ClientWebSocketResponse | None = None
        self._session = session
        self._url = url
        self._busy = busy
        self._releases = releases
        self._reconnects_at_once = reconnects_at_once
        self._ask_interval_s = ask_interval_s
        self._numbers = itertools.count()
        self._awaited = ""
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Connects, and reconnects whenever the connection ends."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Disconnects for good."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        disconnected_at: float | None = None
        while True:
            try:
                self.socket = await self._connect()
            except HandshakeError as exc:
                delay_s = exc.delay_s
            else:
                if disconnected_at is not None:
                    self.counts.reconnect_gaps.append(loop.time() - disconnected_at)
                self.connected.set()
                delay_s = await self._hold(self.socket)
                self.connected.clear()
                disconnected_at = loop.time()
            await asyncio.sleep(0.0 if self._reconnects_at_once else delay_s)

    async def _connect(self) -> aiohttp.ClientWebSocketResponse:
        """Opens the connection; raises HandshakeError with the time until the next attempt."""
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
                socket = await self._session.ws_connect(
                    self._url, autoping=True, max_msg_size=MAX_MESSAGE_BYTES
                )
        except aiohttp.WSServerHandshakeError as exc:
            self.counts.failed_handshakes += 1
            delay_s = exc.headers.get("Retry-After", "1") if exc.headers else "1"
            raise HandshakeError(float(delay_s)) from exc
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            self.counts.failed_handshakes += 1
            raise HandshakeError(FAULT_DELAY_S) from exc
        self.counts.opened += 1
        return socket

    async def _hold(self, socket: aiohttp.ClientWebSocketResponse) -> float:
        """Reads until the connection ends; gives the delay before the next one."""
        self._awaited = ""
        asking = asyncio.create_task(self._ask_repeatedly(socket)) if self._busy else None
        try:
            reason = await self._read_until_closed(socket)
        finally:
            if asking is not None:
                asking.cancel()
            await socket.close()
        if self._awaited:
            self.counts.unanswered += 1
            self.counts.outcome_unknown += OUTCOME_UNKNOWN in reason
        delay = RECONNECT_REASON.search(reason)
        return float(delay.group(1)) if delay else RECONNECT_DELAY_S

    async def _read_until_closed(self, socket: aiohttp.ClientWebSocketResponse) -> str:
        """Reads until the close; gives its reason, which may be empty."""
        while True:
            message = await socket.receive()
            if message.type is aiohttp.WSMsgType.TEXT:
                self._take_answer(message.data)
                continue
            if message.type is not aiohttp.WSMsgType.CLOSE:
                self.counts.closes[message.type.name] += 1
                return ""
            reason = str(message.extra or "")
            self.counts.closes[f"{message.data} {RECONNECT_REASON.sub('come back', reason)}"] += 1
            return reason

    def _take_answer(self, text: str) -> None:
        verb, number, *_ = text.split(":")
        if verb not in ("answer", "done"):
            return
        self.counts.answered += 1
        if number == self._awaited:
            self._awaited = ""

    async def ask(self, verb: str = "ask") -> str:
        """Sends one request; gives its id."""
        assert self.socket is not None
        number = f"{self.name}-{next(self._numbers)}"
        self._awaited = number
        await self.socket.send_str(f"{verb}:{number}")
        return number

    async def _ask_repeatedly(self, socket: aiohttp.ClientWebSocketResponse) -> None:
        while not socket.closed:
            if not self._awaited:
                try:
                    await self.ask("release" if self._releases else "ask")
                except (ConnectionError, RuntimeError):
                    return
            await asyncio.sleep(self._ask_interval_s)

"""Simulated clients that hold a WebSocket connection and reconnect after the delay in its close reason."""

from __future__ import annotations

import asyncio
import itertools
import re
from collections import Counter
from dataclasses import dataclass, field

import aiohttp

HANDSHAKE_TIMEOUT_S = 10.0
MAX_MESSAGE_BYTES = 1 << 20
DEFAULT_RECONNECT_DELAY_S = 0.2  # if the close reason states no delay
CONNECT_ERROR_DELAY_S = 0.5  # after a connection error or a timeout
DEFAULT_RETRY_AFTER_S = 1.0  # if the response has no Retry-After
RECONNECT_REASON = re.compile(r"come back in (\d+) s")  # in a close reason
OUTCOME_UNKNOWN = "outcome unknown"  # in a close reason


@dataclass(slots=True)
class ClientCounters:
    """Counts over all clients of a run."""

    closes: Counter[str] = field(default_factory=Counter)
    opened: int = 0
    failed_handshakes: int = 0  # rejected, failed or timed out
    unanswered: int = 0  # connections that ended during a request
    outcome_unknown: int = 0  # the unanswered ones whose close reason has OUTCOME_UNKNOWN
    answered: int = 0
    reconnect_gaps_s: list[float] = field(default_factory=list)  # durations without a connection


class HandshakeError(Exception):
    """A failed connection attempt, which the client retries after `delay_s`."""

    def __init__(self, delay_s: float) -> None:
        super().__init__(f"WebSocket handshake failed; retrying in {delay_s:g} s")
        self.delay_s = delay_s


def _retry_after_s(error: aiohttp.WSServerHandshakeError) -> float:
    if error.headers is None:
        return DEFAULT_RETRY_AFTER_S
    return float(error.headers.get("Retry-After", DEFAULT_RETRY_AFTER_S))


class HoldingClient:
    """A client with one connection at a time.

    A `busy` client sends a request every `request_interval_s`, unless one is unanswered; with `releases` it
    sends `release` requests, which take effect at the worker.  With `reconnects_immediately` it ignores all
    delays before a reconnect.
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
        reconnects_immediately: bool = False,
        request_interval_s: float = 0.2,
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
        self._reconnects_immediately = reconnects_immediately
        self._request_interval_s = request_interval_s
        self._request_numbers = itertools.count()
        self._pending_request_id = ""  # empty if all requests are answered
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Starts to connect, and to reconnect whenever the connection ends."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Disconnects and does not reconnect."""
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
                    self.counts.reconnect_gaps_s.append(loop.time() - disconnected_at)
                self.connected.set()
                delay_s = await self._hold(self.socket)
                self.connected.clear()
                disconnected_at = loop.time()
            await asyncio.sleep(0.0 if self._reconnects_immediately else delay_s)

    async def _connect(self) -> aiohttp.ClientWebSocketResponse:
        """Opens the connection; raises HandshakeError with the delay before the next attempt."""
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
                socket = await self._session.ws_connect(
                    self._url, autoping=True, max_msg_size=MAX_MESSAGE_BYTES
                )
        except aiohttp.WSServerHandshakeError as exc:
            self.counts.failed_handshakes += 1
            raise HandshakeError(_retry_after_s(exc)) from exc
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            self.counts.failed_handshakes += 1
            raise HandshakeError(CONNECT_ERROR_DELAY_S) from exc
        self.counts.opened += 1
        return socket

    async def _hold(self, socket: aiohttp.ClientWebSocketResponse) -> float:
        """Reads until the connection ends and returns the delay before the reconnect, in seconds."""
        self._pending_request_id = ""
        request_task = asyncio.create_task(self._send_requests(socket)) if self._busy else None
        try:
            reason = await self._read_until_closed(socket)
        finally:
            if request_task is not None:
                request_task.cancel()
            await socket.close()
        if self._pending_request_id:
            self.counts.unanswered += 1
            self.counts.outcome_unknown += OUTCOME_UNKNOWN in reason
        stated_delay = RECONNECT_REASON.search(reason)
        return float(stated_delay.group(1)) if stated_delay else DEFAULT_RECONNECT_DELAY_S

    async def _read_until_closed(self, socket: aiohttp.ClientWebSocketResponse) -> str:
        """Reads until the connection ends and returns the close reason, empty if there is none."""
        while True:
            message = await socket.receive()
            if message.type is aiohttp.WSMsgType.TEXT:
                self._handle_message(message.data)
                continue
            if message.type is not aiohttp.WSMsgType.CLOSE:
                self.counts.closes[message.type.name] += 1
                return ""
            reason = str(message.extra or "")
            self.counts.closes[f"{message.data} {RECONNECT_REASON.sub('come back', reason)}"] += 1
            return reason

    def _handle_message(self, text: str) -> None:
        verb, request_id, *_ = text.split(":")
        if verb not in ("answer", "done"):
            return
        self.counts.answered += 1
        if request_id == self._pending_request_id:
            self._pending_request_id = ""

    async def send_request(self, verb: str = "ask") -> str:
        """Sends one request, `ask` or `release`, and returns its id."""
        assert self.socket is not None
        request_id = f"{self.name}-{next(self._request_numbers)}"
        self._pending_request_id = request_id
        await self.socket.send_str(f"{verb}:{request_id}")
        return request_id

    async def _send_requests(self, socket: aiohttp.ClientWebSocketResponse) -> None:
        while not socket.closed:
            if not self._pending_request_id:
                try:
                    await self.send_request("release" if self._releases else "ask")
                except (ConnectionError, RuntimeError):
                    return
            await asyncio.sleep(self._request_interval_s)

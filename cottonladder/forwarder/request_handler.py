"""Carries one req: gate, worker, further tries, answer; or a handshake, and then the connection it opens.

All of it runs on the loop; what is decided is asked of `routing`, `draining` and `limits`.
"""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import AsyncIterator, Callable, Iterable, Mapping
from dataclasses import replace
from typing import TYPE_CHECKING, Any

import aiohttp
import structlog
from aiohttp import web
from multidict import CIMultiDict

from ..planning.plugin_bounds import RoutePreference, narrow_candidates
from .client_listener import (
    BodyTooLargeError,
    ClientListener,
    UpgradedResponse,
    body_pieces,
    switching_protocols_head,
)
from .connection_drainer import ConnectionDrainer, CutConnections, StartMove
from .connection_registry import ConnectionRegistry
from .frame_scanner import GOING_AWAY, INTERNAL_ERROR, SERVICE_RESTART
from .load_recorder import LoadRecorder
from .resource_limits import (
    MAX_BUFFERED_BODY_BYTES,
    STALL_TIMEOUT,
    AdmissionPacer,
    ResourceLimits,
    retry_after,
)
from .router import NOT_IDEMPOTENT, RequestClass, Router, classify, should_retry
from .tunnel import CLOSE_TIMEOUT, CLOSED, CLOSING, HandshakeError, Tunnel, UpgradePolicy, WorkerEnd, connect
from .worker_connections import (
    HOP_BY_HOP_HEADERS,
    WorkerConnections,
    WorkerError,
    WorkerRequest,
    forwarded_headers,
)

if TYPE_CHECKING:
    from ..plugins.chain import PluginChain

MIN_ATTEMPT_TIMEOUT = 0.05  # s for a try that starts near its deadline
DEFAULT_RETRY_DELAY = 1.0  # s after which one that was denied may come again, where nothing tells more
MAX_HANDSHAKE_ATTEMPTS = 3  # workers that a handshake is offered to before the client is told to come back
MAX_END_REASONS = 32  # ways to end told apart between two lines
OUTCOME_UNKNOWN = "outcome unknown"
FINAL_ANSWER_TIMEOUT = 1.0  # s that the last answers have at the stop


class StreamedBody:
    """A req's body that is passed on as it comes."""

    def __init__(self, source: AsyncIterator[bytes]) -> None:
        self._source, self.is_started, self.is_too_large = source, False, False

    async def pieces(self) -> AsyncIterator[bytes]:
        try:
            async for piece in self._source:
                self.is_started = True
                yield piece
        except BodyTooLargeError:
            self.is_too_large = True
            raise


class RequestHandler:
    """Owns the tunnels; everything a req needs to know of the fleet is asked here."""

    def __init__(
        self,
        classes: list[RequestClass],
        policies: Mapping[str, UpgradePolicy],
        router: Router,
        drainer: ConnectionDrainer,
        pacer: AdmissionPacer,
        limits: ResourceLimits,
        address_of: Callable[[str], str | None],
        recorder: LoadRecorder,
        rng: random.Random,
    ) -> None:
        self._classes, self._policies, self.router, self.drainer, self.pacer = (
            classes,
            policies,
            router,
            drainer,
            pacer,
        )
        self._limits, self._address_of, self.recorder, self._random = limits, address_of, recorder, rng
        self.registry: ConnectionRegistry[Tunnel] = ConnectionRegistry()
        self.listener = ClientListener(limits, self.handle)
        self.connections = WorkerConnections(limits)
        self.stopping = False
        self.in_flight: dict[asyncio.Task[Any], None] = {}  # requests and handshakes without their answer yet
        self._abandoned = False
        self.plugins: PluginChain | None = None  # plug-ins, where the file names some
        self.labels: Mapping[str, frozenset[str]] = {}
        self.falls_back, self.allowed_headers = True, frozenset[str]()
        self.end_reasons: dict[str, int] = {}  # tunnels by why they ended, since the last line
        self.counts = {"moved": 0, "closed": 0, "cut": 0, "busy_cut": 0}
        self._now = asyncio.get_running_loop().time
        self.log: structlog.stdlib.BoundLogger = structlog.get_logger()

    # plain reqs

    def _turn_away(self, status: int, text: str, wait: float = DEFAULT_RETRY_DELAY) -> web.Response:
        """An answer at once to what is not served, with when to come back."""
        again = retry_after(wait, self._random.random())
        answer = web.Response(status=status, text=text + "\n", headers={"Retry-After": str(again)})
        if self.stopping:
            answer.force_close()  # or the client's next request would meet the connection's end
        return answer

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Whatever is left of them at the stop's end is answered then, not cut off without a word."""
        task = asyncio.current_task()
        assert task is not None
        self.in_flight[task] = None
        try:
            return await self._process(request)
        except asyncio.CancelledError:
            if not self._abandoned or request.get("answering"):
                raise  # its client has gone, or has a part of the answer
            task.uncancel()
            return self._failed(True) if request.get("sent") else self._turn_away(503, "this forwarder stops")
        finally:
            del self.in_flight[task]

    async def _process(self, request: web.BaseRequest) -> web.StreamResponse:
        path = request.rel_url.raw_path
        request_class = classify(self._classes, request.method, path, request.headers)
        if request_class is None:
            return web.Response(status=404, text="no request kind\n")
        if self.stopping:
            return self._turn_away(503, "this forwarder stops")
        self.recorder.record_arrival(request_class.name)
        if not self.router.admits(self._now(), request_class.name):
            return self._turn_away(503, "denied: overload")
        preferred: dict[str, float] | None = None
        if self.plugins is not None:
            judged = self._judged(request, request_class)
            if isinstance(judged, web.Response):
                self.recorder.record_failure(request_class.name)
                return judged
            request_class, preferred = judged
        if "Upgrade" in request.headers and "upgrade" in request.headers.get("Connection", "").lower():
            return await self._upgrade(request, request_class, preferred)
        return await self._plain(request, request_class, preferred)

    def _judged(
        self, request: web.BaseRequest, request_class: RequestClass
    ) -> tuple[RequestClass, dict[str, float] | None] | web.Response:
        """What plug-ins make of a req, as far as it may be."""
        chain, upgrade = self.plugins, "Upgrade" in request.headers
        assert chain is not None
        hook = "upgrade" if upgrade else "route"
        if not chain.has_hook(hook):
            return request_class, None
        verdict = chain.call_hook(hook, self._told(hook, request, request_class))
        if verdict.changes_nothing:
            return request_class, None
        if verdict.deny is not None:
            return web.Response(status=403, text=f"denied: {verdict.deny[:200]}\n")
        if verdict.kind is not None:
            other = next((k for k in self._classes if k.name == verdict.kind), None)
            if other is None:
                chain.record_clipped()
            else:  # another table and time, never another right to be repeated
                replays = (
                    request_class.idempotency
                    if request_class.idempotency == NOT_IDEMPOTENT
                    else other.idempotency
                )
                request_class = replace(other, idempotency=replays)
        preferred: dict[str, float] | None = None
        if verdict.need or verdict.prefer:
            lines = self.router.candidates(request_class.name)
            choice = narrow_candidates(
                lines, self.labels, RoutePreference(verdict.need, verdict.prefer), self.falls_back
            )
            if choice.was_limited:
                chain.record_clipped()
            if choice.admitted_fraction < 1.0 and self._random.random() >= choice.admitted_fraction:
                return self._turn_away(503, "no worker with what is needed")
            preferred = choice.weights
        if verdict.set_headers or verdict.drop_headers:
            request["headers"] = self._changed(request, verdict.set_headers, verdict.drop_headers)
        return request_class, preferred

    def _told(
        self,
        hook: str,
        request: web.BaseRequest,
        request_class: RequestClass,
        more: Iterable[tuple[str, str]] = (),
    ) -> bytes:
        assert self.plugins is not None
        return self.plugins.request_record(
            hook, request.method, request.raw_path, request_class.name, request.headers, more
        )

    def _changed(
        self, request: web.BaseRequest, sets: Iterable[tuple[str, str]], drops: Iterable[str]
    ) -> CIMultiDict[str]:
        """Only headers that operators named; another's is clipped."""
        headers = CIMultiDict(request.headers)
        for name, value in [*((name, "") for name in drops), *sets]:
            if name.lower() not in self.allowed_headers:
                if self.plugins is not None:
                    self.plugins.record_clipped()
                continue
            headers.popall(name, None)
            if value:
                headers[name] = value
        return headers

    def _forbidden(
        self, request: web.BaseRequest, request_class: RequestClass, attempts: int, may_have_run: bool
    ) -> bool:
        """A plug-in may forbid a further try, never ask for one."""
        if self.plugins is None or not self.plugins.has_hook("further"):
            return False
        more = (("tries", str(attempts)), ("ran", str(int(may_have_run))))
        return self.plugins.call_hook("further", self._told("further", request, request_class, more)).forbid

    async def _plain(
        self, request: web.BaseRequest, request_class: RequestClass, preferred: dict[str, float] | None
    ) -> web.StreamResponse:
        length = request.content_length
        if length is not None and length > self._limits.body_bytes:
            return web.Response(status=413, text="body over its size\n")
        if request.headers.get("Expect", "").lower() == "100-continue" and request.transport is not None:
            request.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        headers = forwarded_headers(request.get("headers", request.headers))
        headers.popall("Expect", None)
        headers.add("X-Forwarded-For", request.remote or "?")
        try:
            body = await self._body(request, length)
        except BodyTooLargeError:
            return web.Response(status=413, text="body over its size\n")
        deadline = self._now() + (request_class.timeout or math.inf)
        attempts, may_have_run, attempted = 0, False, list[str]()
        while True:
            worker_id = self.router.select_worker(self._now(), request_class.name, attempted, preferred)
            address = self._address_of(worker_id) if worker_id else None
            if worker_id is None or address is None:
                self.recorder.record_failure(request_class.name)
                return self._turn_away(503, "no worker to pick" if attempts == 0 else "no worker answered")
            started_at = self._now()
            wait = min(self._limits.first_byte_timeout, max(MIN_ATTEMPT_TIMEOUT, deadline - started_at))
            data = body.pieces() if isinstance(body, StreamedBody) else body
            req = WorkerRequest(request.method, request.raw_path, headers, data)
            request["sent"] = True
            try:
                answer = await self.connections.send(address, req, wait)
            except WorkerError as exc:
                if isinstance(body, StreamedBody) and body.is_too_large:
                    return web.Response(status=413, text="body over its size\n")
                attempts, may_have_run = attempts + 1, may_have_run or exc.may_have_run
                request["sent"] = may_have_run
                once = (
                    isinstance(body, StreamedBody) and body.is_started
                )  # what was read of it can't be sent again
                self._tried(worker_id, False, started_at)
                attempted.append(worker_id)
                again = (
                    should_retry(request_class, self._way(request_class), attempts, may_have_run)
                    and self._now() < deadline
                )
                if once or not again or self._forbidden(request, request_class, attempts, may_have_run):
                    self.recorder.record_failure(request_class.name)
                    return self._failed(may_have_run, exc.timed_out)
                continue
            return await self._pass_back(request, answer, worker_id, started_at)

    async def _body(self, request: web.BaseRequest, length: int | None) -> bytes | StreamedBody | None:
        """A small body whole, so that it can be sent again; else a stream that can be sent once."""
        if not request.body_exists:
            return None
        if length is not None and length <= MAX_BUFFERED_BODY_BYTES:
            return b"".join([piece async for piece in body_pieces(request, self._limits.body_bytes)])
        return StreamedBody(body_pieces(request, self._limits.body_bytes))

    def _way(self, request_class: RequestClass) -> int:
        return self.router.tables[request_class.name].retry_policy

    def _tried(self, worker_id: str, succeeded: bool, started_at: float) -> None:
        now = self._now()
        self.recorder.record_attempt(worker_id, succeeded, now - started_at)
        self.router.record_result(now, worker_id, succeeded)

    def _failed(self, may_have_run: bool, timed_out: bool = False) -> web.Response:
        """The final answer, at once; where it may have run the client is told so."""
        if not may_have_run:
            return self._turn_away(503, "no worker answered")
        verdict = self._turn_away(504 if timed_out else 502, OUTCOME_UNKNOWN)
        verdict.headers["Outcome"] = "unknown"
        return verdict

    async def _pass_back(
        self, request: web.BaseRequest, answer: aiohttp.ClientResponse, worker_id: str, started_at: float
    ) -> web.StreamResponse:
        """The answer as it comes; a client that reads slowly slows its worker, and is given up in time."""
        succeeded = False
        reply = web.StreamResponse(
            status=answer.status, reason=answer.reason, headers=forwarded_headers(answer.headers)
        )
        if (
            "Content-Length" not in reply.headers
            and request.version >= (1, 1)
            and answer.status not in (204, 304)
        ):
            reply.enable_chunked_encoding()
        request["answering"] = True
        try:
            await asyncio.wait_for(reply.prepare(request), STALL_TIMEOUT)
            async for piece in answer.content.iter_any():
                await asyncio.wait_for(reply.write(piece), STALL_TIMEOUT)
            succeeded = answer.status < 500
            await asyncio.wait_for(reply.write_eof(), STALL_TIMEOUT)
        except (aiohttp.ClientError, TimeoutError) as exc:
            # Half an answer is out: its connection ends, so that nobody takes the half for the whole.
            self.listener.faults.report(f"answer cut off: {type(exc).__name__}")
            if request.transport is not None:
                request.transport.abort()
        finally:
            answer.release() if succeeded else answer.close()
            self._tried(worker_id, succeeded, started_at)
        return reply

    # upgrades

    async def _upgrade(
        self, request: web.BaseRequest, request_class: RequestClass, preferred: dict[str, float] | None
    ) -> web.StreamResponse:
        websocket = request.headers["Upgrade"].strip().lower() == "websocket"
        if (request.content_length or 0) > 0 or "chunked" in request.headers.get(
            "Transfer-Encoding", ""
        ).lower():
            return web.Response(status=400, text="an upgrade with a body\n")
        if request.method != "GET" or request.version < (1, 1):
            return web.Response(status=400, text="a bad upgrade: GET of HTTP/1.1 expected\n")
        if websocket and not request.headers.get("Sec-WebSocket-Key"):
            return web.Response(status=400, text="a bad upgrade: no Sec-WebSocket-Key\n")
        policy = self._policies[request_class.name]
        head = self._handshake(request, policy)
        deadline = self._now() + (request_class.timeout or self._limits.first_byte_timeout)
        attempted: list[str] = []
        for _ in range(MAX_HANDSHAKE_ATTEMPTS):
            worker_id, wait = self._place(request_class.name, attempted, preferred)
            if worker_id is None:
                self.recorder.record_failure(request_class.name)
                return self._turn_away(
                    503, "no place at a worker", max(wait, DEFAULT_RETRY_DELAY) if wait < math.inf else 5.0
                )
            started_at = self._now()
            request["sent"] = True
            try:
                worker_end = await self._shake(worker_id, head, deadline)
            except HandshakeError as exc:
                request["sent"] = exc.may_have_run
                self._tried(worker_id, False, started_at)
                attempted.append(worker_id)
                if (
                    should_retry(request_class, self._way(request_class), len(attempted), exc.may_have_run)
                    and self._now() < deadline
                ):
                    continue
                self.recorder.record_failure(request_class.name)
                return self._failed(exc.may_have_run)
            reply = worker_end.reply
            assert reply is not None
            self._tried(worker_id, reply.status < 500, started_at)
            if reply.status != 101:
                worker_end.abort()
                more = {"Retry-After": reply.header("Retry-After")} if reply.header("Retry-After") else {}
                return web.Response(status=reply.status, headers=more, text="the worker didn't agree\n")
            return self._join(request, worker_end, request_class, policy, websocket, head)
        self.recorder.record_failure(request_class.name)
        return self._turn_away(503, "no worker answered")

    def _handshake(self, request: web.BaseRequest, policy: UpgradePolicy) -> bytes:
        """The client's own head, but for what belongs to its connection alone."""
        lines = [f"GET {request.raw_path} HTTP/1.1"]
        for name, value in request.get("headers", request.headers).items():
            low = name.lower()
            if (
                low in HOP_BY_HOP_HEADERS
                and low not in ("upgrade", "connection")
                or low == policy.ticket_header.lower()
            ):
                continue  # a ticket is between forwarder and worker: a client can't take another's over
            if low == "connection":
                value = "Upgrade"
            if low == "sec-websocket-extensions" and policy.request_prefix is not None:
                continue  # compressed messages could not be told apart
            lines.append(f"{name}: {value}")
        lines.append(f"X-Forwarded-For: {request.remote or '?'}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode("utf-8", "surrogateescape")

    def _place(
        self, request_class: str, attempted: list[str], preferred: dict[str, float] | None = None
    ) -> tuple[str | None, float]:
        """A worker that may take one more now: first one that an order named a place at, else by weight where
        the arrivals' pace and the limit allow; and if none, s until one may."""
        now, lines = self._now(), self.router.candidates(request_class)
        if preferred is not None:
            lines = {worker_id: w for worker_id, w in preferred.items() if worker_id in lines}
        named = self.pacer.reserved_worker(now)
        if (
            named
            and named in lines
            and named not in attempted
            and self.registry.count(named) < self._limits.connections_per_worker
        ):
            self.pacer.use_reservation(named)
            return named, 0.0
        if named and named not in lines:
            self.pacer.cancel_reservations(named)
        mean = sum(lines.values()) / len(lines) if lines else 0.0
        full = [
            worker_id
            for worker_id in lines
            if self.registry.count(worker_id) >= self._limits.connections_per_worker
        ]
        least, tried = math.inf, [*attempted, *full]
        while (
            worker_id := self.router.select_worker(now, request_class, tried, preferred)
        ) is not None and worker_id not in tried:
            wait = self.pacer.acquire(now, worker_id, self.pacer.worker_rate(lines[worker_id], mean))
            if wait <= 0:
                return worker_id, 0.0
            least = min(least, wait)
            tried.append(worker_id)
        return None, least

    async def _shake(self, worker_id: str, head: bytes, deadline: float) -> WorkerEnd:
        """A worker's end with its answer's head read, whatever it says."""
        address = self._address_of(worker_id)
        if address is None:
            raise HandshakeError("no address", False)
        host, _, port = address.rpartition(":")
        worker_end = await connect(worker_id, host, int(port), self._limits.connect_timeout)
        try:
            await worker_end.handshake(
                head, max(MIN_ATTEMPT_TIMEOUT, min(deadline - self._now(), self._limits.first_byte_timeout))
            )
        except BaseException:
            worker_end.abort()  # its client has gone, or it did not answer
            raise
        return worker_end

    def _join(
        self,
        request: web.BaseRequest,
        worker_end: WorkerEnd,
        request_class: RequestClass,
        policy: UpgradePolicy,
        websocket: bool,
        head: bytes,
    ) -> web.StreamResponse:
        assert worker_end.reply is not None
        try:
            client_end, rest, client = self.listener.detach(request)
        except ConnectionResetError:
            worker_end.abort()
            return UpgradedResponse()
        tunnel = Tunnel(client_end, worker_end, request_class.name, policy, websocket, head, self, client)
        self.registry.add(worker_end.worker_id, tunnel)
        assert client_end.transport is not None
        client_end.transport.write(switching_protocols_head(worker_end.reply))
        tunnel.start()
        if rest:
            tunnel.data_received(client_end, rest)
        return UpgradedResponse()

    # the tunnels' owner

    def tunnel_migrated(self, tunnel: Tunnel, source: str, order: int) -> None:
        self.registry.move(source, tunnel.worker_id, tunnel)
        self.counts["moved"] += 1
        self.drainer.connection_settled(source, order, True)

    def tunnel_stayed(self, tunnel: Tunnel, order: int, reason: str) -> None:
        self.drainer.connection_settled(tunnel.worker_id, order, False)
        self._note(f"stayed: {reason[:64]}")

    def tunnel_ended(self, tunnel: Tunnel, reason: str) -> None:
        self.registry.remove(tunnel.worker_id, tunnel)
        self.listener.slots.release(tunnel.client)
        self.drainer.connection_settled(tunnel.worker_id, tunnel.order, True)
        self._note(reason)

    def _note(self, reason: str) -> None:
        key = reason if reason in self.end_reasons or len(self.end_reasons) < MAX_END_REASONS else "others"
        self.end_reasons[key] = self.end_reasons.get(key, 0) + 1

    # drains

    def tick_drains(self) -> None:
        """Carries out what is due of every drain."""
        now, held_workers = self._now(), self.registry.workers()
        for worker_id in held_workers:
            if self.router.is_excluded(worker_id):
                self.drainer.start(now, worker_id)
        for worker_id in self.drainer.workers():
            if not self.router.is_excluded(worker_id) and not self.drainer.has_orders(worker_id):
                self.drainer.cancel(worker_id)
        split = {
            worker_id: self.registry.idle_and_held(worker_id, now)
            for worker_id in held_workers & self.drainer.workers()
        }
        idle = {worker_id: len(free) for worker_id, (free, _) in split.items()}
        for move in self.drainer.due_actions(
            now, idle, {worker_id: self.registry.count(worker_id) for worker_id in split}
        ):
            if isinstance(move, CutConnections):
                self._cut(move.worker_id, now)
            elif not self._begin(move, split[move.worker_id][0].pop(0), now):
                break
        for message in self.drainer.state_changes:
            self.log.info("drain", message=message)
        self.drainer.state_changes.clear()
        self.drainer.forget_finished(held_workers, self.router.excluded | self.router.leaving)

    def _wait(self, worker_id: str, now: float) -> float:
        """How long a close may take: all must be off when the grace ends."""
        return min(CLOSE_TIMEOUT, self.drainer.time_left(now, worker_id))

    def _begin(self, move: StartMove, tunnel: Tunnel, now: float) -> bool:
        """One connection leaves its worker.  False: the table has no place for it yet."""
        to = move.target
        if to is not None and (self.router.is_excluded(to) or self._address_of(to) is None):
            self.drainer.connection_settled(
                move.worker_id, move.order, False
            )  # the destination died: planned anew
            return True
        if move.close or not tunnel.is_resumable:
            if to is not None:
                self.pacer.reserve(now, to, 1)  # whoever comes back finds the place that was meant
            again = retry_after(0.0, self._random.random() if to is None else 0.0)
            self.counts["closed"] += 1
            tunnel.close(
                move.order,
                SERVICE_RESTART,
                f"moved: come back in {again} s",
                "drained",
                self._wait(move.worker_id, now),
            )
            return True
        if to is None:
            to, _ = self._place(tunnel.request_class, [move.worker_id])
            if to is None:
                return False
        target, until = (
            to,
            now
            + max(
                MIN_ATTEMPT_TIMEOUT,
                min(self._limits.first_byte_timeout, self.drainer.time_left(now, move.worker_id)),
            ),
        )
        tunnel.migrate(move.order, lambda head: self._shake(target, head, until))
        return True

    def _cut(self, worker_id: str, now: float) -> None:
        """The grace is over.  Who waits for an answer is told that nobody knows; nothing sends it again."""
        for tunnel in self.registry.connections_of(worker_id):
            if tunnel.state not in (CLOSING, CLOSED):
                unknown = tunnel.pending_requests > 0
                self.counts["cut"] += 1
                self.counts["busy_cut"] += unknown
                code, message = (
                    (INTERNAL_ERROR, OUTCOME_UNKNOWN)
                    if unknown
                    else (SERVICE_RESTART, "moved: come back in 1 s")
                )
                tunnel.close(-1, code, message, "cut at the end of the grace", self._wait(worker_id, now))

    def close_part(self, part: float) -> int:
        """At the stop: closes a part of the connections, idle ones first; tells how many are left."""
        now = self._now()
        left = [
            t
            for worker_id in self.registry.workers()
            for t in self.registry.connections_of(worker_id)
            if t.state not in (CLOSING, CLOSED)
        ]
        left.sort(key=lambda t: t.is_busy(now))
        count = math.ceil(part * len(left))
        for tunnel in left[:count]:
            again = retry_after(0.0, self._random.random())
            unknown = tunnel.pending_requests > 0
            message = OUTCOME_UNKNOWN if unknown else f"forwarder stops: come back in {again} s"
            tunnel.close(
                -1, INTERNAL_ERROR if unknown else GOING_AWAY, message, "forwarder stops", CLOSE_TIMEOUT
            )
        return len(left) - count

    def log_ended_connections(self) -> None:
        """One line for all connections that ended since the last one."""
        if self.end_reasons:
            self.log.info(
                "connections ended", more=sum(self.end_reasons.values()), reason=str(self.end_reasons)
            )
            self.end_reasons = {}

    async def close(self) -> None:
        """Nothing may join the book once it has been gone through, so handshakes end first."""
        self.stopping = self._abandoned = True
        for task in self.in_flight:
            task.cancel()
        if self.in_flight:
            await asyncio.wait(self.in_flight, timeout=FINAL_ANSWER_TIMEOUT)
        for worker_id in self.registry.workers():
            for tunnel in self.registry.connections_of(worker_id):
                tunnel.abort()
        await self.listener.close()
        await self.connections.close()

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

from ..planning.plugin_bounds import RoutePreference, narrowed
from .client_listener import BodyTooLarge, ClientListener, HandedOver, agreed, body_of
from .connection_drainer import Act, ConnectionDrainer, Cut
from .connection_registry import ConnectionRegistry
from .frame_scanner import GOING_AWAY, RESTART, UNEXPECTED
from .load_recorder import LoadRecorder
from .resource_limits import REPLAY_BYTES, STALL_WAIT, AdmissionPacer, ResourceLimits, come_back
from .router import NON_REPLAYABLE, Kind, Router, kind_of, try_again
from .tunnel import CLOSE_WAIT, CLOSED, CLOSING, HandshakeError, Tunnel, UpgradePolicy, WorkerEnd, dial
from .worker_connections import HOP, Req, WorkerError, Workers, passed_on

if TYPE_CHECKING:
    from ..plugins.chain import PluginChain

LEAST_WAIT = 0.05  # s for a try that starts near its deadline
TURNED_AWAY = 1.0  # s after which one that was denied may come again, where nothing tells more
HELD_TURNS = 3  # workers that a handshake is offered to before the client is told to come back
WHYS_MOST = 32  # ways to end told apart between two lines
OUTCOME = "outcome unknown"
ANSWER_WAIT = 1.0  # s that the last answers have at the stop


class Body:
    """A req's body that is passed on as it comes."""

    def __init__(self, source: AsyncIterator[bytes]) -> None:
        self._source, self.begun, self.over = source, False, False

    async def pieces(self) -> AsyncIterator[bytes]:
        try:
            async for piece in self._source:
                self.begun = True
                yield piece
        except BodyTooLarge:
            self.over = True
            raise


class RequestHandler:
    """Owns the tunnels; everything a req needs to know of the fleet is asked here."""

    def __init__(
        self,
        kinds: list[Kind],
        manners: Mapping[str, UpgradePolicy],
        routes: Router,
        drains: ConnectionDrainer,
        arrivals: AdmissionPacer,
        most: ResourceLimits,
        address_of: Callable[[str], str | None],
        met: LoadRecorder,
        chance: random.Random,
    ) -> None:
        self._kinds, self._manners, self.routes, self.drains, self.arrivals = (
            kinds,
            manners,
            routes,
            drains,
            arrivals,
        )
        self._most, self._address_of, self.met, self._chance = most, address_of, met, chance
        self.book: ConnectionRegistry[Tunnel] = ConnectionRegistry()
        self.front = ClientListener(most, self.handle)
        self.workers = Workers(most)
        self.stopping = False
        self.underway: dict[asyncio.Task[Any], None] = {}  # requests and handshakes without their answer yet
        self._given_up = False
        self.hooks: PluginChain | None = None  # plug-ins, where the file names some
        self.labels: Mapping[str, frozenset[str]] = {}
        self.fall_back, self.headers_allowed = True, frozenset[str]()
        self.ends: dict[str, int] = {}  # tunnels by why they ended, since the last line
        self.counts = {"moved": 0, "closed": 0, "cut": 0, "busy_cut": 0}
        self._now = asyncio.get_running_loop().time
        self.log: structlog.stdlib.BoundLogger = structlog.get_logger()

    # plain reqs

    def _away(self, status: int, text: str, wait: float = TURNED_AWAY) -> web.Response:
        """An answer at once to what is not served, with when to come back."""
        again = come_back(wait, self._chance.random())
        answer = web.Response(status=status, text=text + "\n", headers={"Retry-After": str(again)})
        if self.stopping:
            answer.force_close()  # or the client's next request would meet the connection's end
        return answer

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Whatever is left of them at the stop's end is answered then, not cut off without a word."""
        task = asyncio.current_task()
        assert task is not None
        self.underway[task] = None
        try:
            return await self._carry(request)
        except asyncio.CancelledError:
            if not self._given_up or request.get("answering"):
                raise  # its client has gone, or has a part of the answer
            task.uncancel()
            return self._failed(True) if request.get("sent") else self._away(503, "this forwarder stops")
        finally:
            del self.underway[task]

    async def _carry(self, request: web.BaseRequest) -> web.StreamResponse:
        path = request.rel_url.raw_path
        kind = kind_of(self._kinds, request.method, path, request.headers)
        if kind is None:
            return web.Response(status=404, text="no request kind\n")
        if self.stopping:
            return self._away(503, "this forwarder stops")
        self.met.came(kind.name)
        if not self.routes.lets_in(self._now(), kind.name):
            return self._away(503, "denied: overload")
        among: dict[str, float] | None = None
        if self.hooks is not None:
            judged = self._judged(request, kind)
            if isinstance(judged, web.Response):
                self.met.failed(kind.name)
                return judged
            kind, among = judged
        if "Upgrade" in request.headers and "upgrade" in request.headers.get("Connection", "").lower():
            return await self._upgrade(request, kind, among)
        return await self._plain(request, kind, among)

    def _judged(
        self, request: web.BaseRequest, kind: Kind
    ) -> tuple[Kind, dict[str, float] | None] | web.Response:
        """What plug-ins make of a req, as far as it may be."""
        chain, upgrade = self.hooks, "Upgrade" in request.headers
        assert chain is not None
        hook = "upgrade" if upgrade else "route"
        if not chain.has(hook):
            return kind, None
        said = chain.ask(hook, self._told(hook, request, kind))
        if said.changes_nothing:
            return kind, None
        if said.deny is not None:
            return web.Response(status=403, text=f"denied: {said.deny[:200]}\n")
        if said.kind is not None:
            other = next((k for k in self._kinds if k.name == said.kind), None)
            if other is None:
                chain.clipped()
            else:  # another table and time, never another right to be repeated
                replays = kind.replays if kind.replays == NON_REPLAYABLE else other.replays
                kind = replace(other, replays=replays)
        among: dict[str, float] | None = None
        if said.need or said.prefer:
            lines = self.routes.lines(kind.name)
            choice = narrowed(lines, self.labels, RoutePreference(said.need, said.prefer), self.fall_back)
            if choice.clipped:
                chain.clipped()
            if choice.let < 1.0 and self._chance.random() >= choice.let:
                return self._away(503, "no worker with what is needed")
            among = choice.lines
        if said.set_headers or said.drop_headers:
            request["headers"] = self._changed(request, said.set_headers, said.drop_headers)
        return kind, among

    def _told(
        self, hook: str, request: web.BaseRequest, kind: Kind, more: Iterable[tuple[str, str]] = ()
    ) -> bytes:
        assert self.hooks is not None
        return self.hooks.told(hook, request.method, request.raw_path, kind.name, request.headers, more)

    def _changed(
        self, request: web.BaseRequest, sets: Iterable[tuple[str, str]], drops: Iterable[str]
    ) -> CIMultiDict[str]:
        """Only headers that operators named; another's is clipped."""
        headers = CIMultiDict(request.headers)
        for name, value in [*((name, "") for name in drops), *sets]:
            if name.lower() not in self.headers_allowed:
                if self.hooks is not None:
                    self.hooks.clipped()
                continue
            headers.popall(name, None)
            if value:
                headers[name] = value
        return headers

    def _forbidden(self, request: web.BaseRequest, kind: Kind, tries: int, ran: bool) -> bool:
        """A plug-in may forbid a further try, never ask for one."""
        if self.hooks is None or not self.hooks.has("further"):
            return False
        more = (("tries", str(tries)), ("ran", str(int(ran))))
        return self.hooks.ask("further", self._told("further", request, kind, more)).forbid

    async def _plain(
        self, request: web.BaseRequest, kind: Kind, among: dict[str, float] | None
    ) -> web.StreamResponse:
        length = request.content_length
        if length is not None and length > self._most.body_bytes:
            return web.Response(status=413, text="body over its size\n")
        if request.headers.get("Expect", "").lower() == "100-continue" and request.transport is not None:
            request.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        headers = passed_on(request.get("headers", request.headers))
        headers.popall("Expect", None)
        headers.add("X-Forwarded-For", request.remote or "?")
        try:
            body = await self._body(request, length)
        except BodyTooLarge:
            return web.Response(status=413, text="body over its size\n")
        deadline = self._now() + (kind.timeout or math.inf)
        tries, ran, without = 0, False, list[str]()
        while True:
            be = self.routes.pick(self._now(), kind.name, without, among)
            address = self._address_of(be) if be else None
            if be is None or address is None:
                self.met.failed(kind.name)
                return self._away(503, "no worker to pick" if tries == 0 else "no worker answered")
            begun = self._now()
            wait = min(self._most.first_byte_wait, max(LEAST_WAIT, deadline - begun))
            data = body.pieces() if isinstance(body, Body) else body
            req = Req(request.method, request.raw_path, headers, data)
            request["sent"] = True
            try:
                answer = await self.workers.send(address, req, wait)
            except WorkerError as exc:
                if isinstance(body, Body) and body.over:
                    return web.Response(status=413, text="body over its size\n")
                tries, ran = tries + 1, ran or exc.ran
                request["sent"] = ran
                once = isinstance(body, Body) and body.begun  # what was read of it can't be sent again
                self._tried(be, False, begun)
                without.append(be)
                again = try_again(kind, self._way(kind), tries, ran) and self._now() < deadline
                if once or not again or self._forbidden(request, kind, tries, ran):
                    self.met.failed(kind.name)
                    return self._failed(ran, exc.late)
                continue
            return await self._pass_back(request, answer, be, begun)

    async def _body(self, request: web.BaseRequest, length: int | None) -> bytes | Body | None:
        """A small body whole, so that it can be sent again; else a stream that can be sent once."""
        if not request.body_exists:
            return None
        if length is not None and length <= REPLAY_BYTES:
            return b"".join([piece async for piece in body_of(request, self._most.body_bytes)])
        return Body(body_of(request, self._most.body_bytes))

    def _way(self, kind: Kind) -> int:
        return self.routes.tables[kind.name].again

    def _tried(self, be: str, good: bool, begun: float) -> None:
        now = self._now()
        self.met.tried(be, good, now - begun)
        self.routes.met(now, be, good)

    def _failed(self, ran: bool, late: bool = False) -> web.Response:
        """The final answer, at once; where it may have run the client is told so."""
        if not ran:
            return self._away(503, "no worker answered")
        said = self._away(504 if late else 502, OUTCOME)
        said.headers["Outcome"] = "unknown"
        return said

    async def _pass_back(
        self, request: web.BaseRequest, answer: aiohttp.ClientResponse, be: str, begun: float
    ) -> web.StreamResponse:
        """The answer as it comes; a client that reads slowly slows its worker, and is given up in time."""
        good = False
        reply = web.StreamResponse(
            status=answer.status, reason=answer.reason, headers=passed_on(answer.headers)
        )
        if (
            "Content-Length" not in reply.headers
            and request.version >= (1, 1)
            and answer.status not in (204, 304)
        ):
            reply.enable_chunked_encoding()
        request["answering"] = True
        try:
            await asyncio.wait_for(reply.prepare(request), STALL_WAIT)
            async for piece in answer.content.iter_any():
                await asyncio.wait_for(reply.write(piece), STALL_WAIT)
            good = answer.status < 500
            await asyncio.wait_for(reply.write_eof(), STALL_WAIT)
        except (aiohttp.ClientError, TimeoutError) as exc:
            # Half an answer is out: its connection ends, so that nobody takes the half for the whole.
            self.front.faults.report(f"answer cut off: {type(exc).__name__}")
            if request.transport is not None:
                request.transport.abort()
        finally:
            answer.release() if good else answer.close()
            self._tried(be, good, begun)
        return reply

    # upgrades

    async def _upgrade(
        self, request: web.BaseRequest, kind: Kind, among: dict[str, float] | None
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
        manner = self._manners[kind.name]
        head = self._handshake(request, manner)
        deadline = self._now() + (kind.timeout or self._most.first_byte_wait)
        without: list[str] = []
        for _ in range(HELD_TURNS):
            be, wait = self._place(kind.name, without, among)
            if be is None:
                self.met.failed(kind.name)
                return self._away(
                    503, "no place at a worker", max(wait, TURNED_AWAY) if wait < math.inf else 5.0
                )
            begun = self._now()
            request["sent"] = True
            try:
                far = await self._shake(be, head, deadline)
            except HandshakeError as exc:
                request["sent"] = exc.ran
                self._tried(be, False, begun)
                without.append(be)
                if try_again(kind, self._way(kind), len(without), exc.ran) and self._now() < deadline:
                    continue
                self.met.failed(kind.name)
                return self._failed(exc.ran)
            reply = far.reply
            assert reply is not None
            self._tried(be, reply.status < 500, begun)
            if reply.status != 101:
                far.cut()
                more = {"Retry-After": reply.header("Retry-After")} if reply.header("Retry-After") else {}
                return web.Response(status=reply.status, headers=more, text="the worker didn't agree\n")
            return self._join(request, far, kind, manner, websocket, head)
        self.met.failed(kind.name)
        return self._away(503, "no worker answered")

    def _handshake(self, request: web.BaseRequest, manner: UpgradePolicy) -> bytes:
        """The client's own head, but for what belongs to its connection alone."""
        lines = [f"GET {request.raw_path} HTTP/1.1"]
        for name, value in request.get("headers", request.headers).items():
            low = name.lower()
            if low in HOP and low not in ("upgrade", "connection") or low == manner.ticket.lower():
                continue  # a ticket is between forwarder and worker: a client can't take another's over
            if low == "connection":
                value = "Upgrade"
            if low == "sec-websocket-extensions" and manner.opens is not None:
                continue  # compressed messages could not be told apart
            lines.append(f"{name}: {value}")
        lines.append(f"X-Forwarded-For: {request.remote or '?'}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode("utf-8", "surrogateescape")

    def _place(
        self, kind: str, without: list[str], among: dict[str, float] | None = None
    ) -> tuple[str | None, float]:
        """A worker that may take one more now: first one that an order named a place at, else by weight where
        the arrivals' pace and the limit allow; and if none, s until one may."""
        now, lines = self._now(), self.routes.lines(kind)
        if among is not None:
            lines = {be: w for be, w in among.items() if be in lines}
        named = self.arrivals.place(now)
        if named and named in lines and named not in without and self.book.count(named) < self._most.worker:
            self.arrivals.used(named)
            return named, 0.0
        if named and named not in lines:
            self.arrivals.withdrawn(named)
        mean = sum(lines.values()) / len(lines) if lines else 0.0
        full = [be for be in lines if self.book.count(be) >= self._most.worker]
        least, tried = math.inf, [*without, *full]
        while (be := self.routes.pick(now, kind, tried, among)) is not None and be not in tried:
            wait = self.arrivals.take(now, be, self.arrivals.pace(lines[be], mean))
            if wait <= 0:
                return be, 0.0
            least = min(least, wait)
            tried.append(be)
        return None, least

    async def _shake(self, be: str, head: bytes, deadline: float) -> WorkerEnd:
        """A worker's end with its answer's head read, whatever it says."""
        address = self._address_of(be)
        if address is None:
            raise HandshakeError("no address", False)
        host, _, port = address.rpartition(":")
        far = await dial(be, host, int(port), self._most.connect_wait)
        try:
            await far.shake(head, max(LEAST_WAIT, min(deadline - self._now(), self._most.first_byte_wait)))
        except BaseException:
            far.cut()  # its client has gone, or it did not answer
            raise
        return far

    def _join(
        self,
        request: web.BaseRequest,
        far: WorkerEnd,
        kind: Kind,
        manner: UpgradePolicy,
        websocket: bool,
        head: bytes,
    ) -> web.StreamResponse:
        assert far.reply is not None
        try:
            near, rest, client = self.front.take_over(request)
        except ConnectionResetError:
            far.cut()
            return HandedOver()
        tunnel = Tunnel(near, far, kind.name, manner, websocket, head, self, client)
        self.book.enter(far.be, tunnel)
        assert near.transport is not None
        near.transport.write(agreed(far.reply))
        tunnel.start()
        if rest:
            tunnel.data(near, rest)
        return HandedOver()

    # the tunnels' owner

    def moved(self, tunnel: Tunnel, source: str, order: int) -> None:
        self.book.move(source, tunnel.be, tunnel)
        self.counts["moved"] += 1
        self.drains.settled(source, order, True)

    def stayed(self, tunnel: Tunnel, order: int, why: str) -> None:
        self.drains.settled(tunnel.be, order, False)
        self._note(f"stayed: {why[:64]}")

    def ended(self, tunnel: Tunnel, why: str) -> None:
        self.book.strike(tunnel.be, tunnel)
        self.front.places.give_back(tunnel.client)
        self.drains.settled(tunnel.be, tunnel.order, True)
        self._note(why)

    def _note(self, why: str) -> None:
        key = why if why in self.ends or len(self.ends) < WHYS_MOST else "others"
        self.ends[key] = self.ends.get(key, 0) + 1

    # drains

    def tick(self) -> None:
        """Carries out what is due of every drain."""
        now, held = self._now(), self.book.workers()
        for be in held:
            if self.routes.shut(be):
                self.drains.shut(now, be)
        for be in self.drains.workers():
            if not self.routes.shut(be) and not self.drains.led(be):
                self.drains.let_in(be)
        split = {be: self.book.split(be, now) for be in held & self.drains.workers()}
        idle = {be: len(free) for be, (free, _) in split.items()}
        for act in self.drains.due(now, idle, {be: self.book.count(be) for be in split}):
            if isinstance(act, Cut):
                self._cut(act.be, now)
            elif not self._begin(act, split[act.be][0].pop(0), now):
                break
        for words in self.drains.modes:
            self.log.info("drain", words=words)
        self.drains.modes.clear()
        self.drains.forget(held, self.routes.out | self.routes.leaving)

    def _wait(self, be: str, now: float) -> float:
        """How long a close may take: all must be off when the grace ends."""
        return min(CLOSE_WAIT, self.drains.left(now, be))

    def _begin(self, act: Act, tunnel: Tunnel, now: float) -> bool:
        """One connection leaves its worker.  False: the table has no place for it yet."""
        to = act.to
        if to is not None and (self.routes.shut(to) or self._address_of(to) is None):
            self.drains.settled(act.be, act.order, False)  # the destination died: planned anew
            return True
        if act.close or not tunnel.resumable:
            if to is not None:
                self.arrivals.ordered(now, to, 1)  # whoever comes back finds the place that was meant
            again = come_back(0.0, self._chance.random() if to is None else 0.0)
            self.counts["closed"] += 1
            tunnel.close(
                act.order, RESTART, f"moved: come back in {again} s", "drained", self._wait(act.be, now)
            )
            return True
        if to is None:
            to, _ = self._place(tunnel.kind, [act.be])
            if to is None:
                return False
        target, until = (
            to,
            now + max(LEAST_WAIT, min(self._most.first_byte_wait, self.drains.left(now, act.be))),
        )
        tunnel.move(act.order, lambda head: self._shake(target, head, until))
        return True

    def _cut(self, be: str, now: float) -> None:
        """The grace is over.  Who waits for an answer is told that nobody knows; nothing sends it again."""
        for tunnel in self.book.at(be):
            if tunnel.state not in (CLOSING, CLOSED):
                unknown = tunnel.pending > 0
                self.counts["cut"] += 1
                self.counts["busy_cut"] += unknown
                code, words = (UNEXPECTED, OUTCOME) if unknown else (RESTART, "moved: come back in 1 s")
                tunnel.close(-1, code, words, "cut at the end of the grace", self._wait(be, now))

    def let_go(self, part: float) -> int:
        """At the stop: closes a part of the connections, idle ones first; tells how many are left."""
        now = self._now()
        left = [t for be in self.book.workers() for t in self.book.at(be) if t.state not in (CLOSING, CLOSED)]
        left.sort(key=lambda t: t.busy(now))
        count = math.ceil(part * len(left))
        for tunnel in left[:count]:
            again = come_back(0.0, self._chance.random())
            unknown = tunnel.pending > 0
            words = OUTCOME if unknown else f"forwarder stops: come back in {again} s"
            tunnel.close(-1, UNEXPECTED if unknown else GOING_AWAY, words, "forwarder stops", CLOSE_WAIT)
        return len(left) - count

    def log_ends(self) -> None:
        """One line for all connections that ended since the last one."""
        if self.ends:
            self.log.info("connections ended", more=sum(self.ends.values()), why=str(self.ends))
            self.ends = {}

    async def close(self) -> None:
        """Nothing may join the book once it has been gone through, so handshakes end first."""
        self.stopping = self._given_up = True
        for task in self.underway:
            task.cancel()
        if self.underway:
            await asyncio.wait(self.underway, timeout=ANSWER_WAIT)
        for be in self.book.workers():
            for tunnel in self.book.at(be):
                tunnel.abort()
        await self.front.close()
        await self.workers.close()

"""Discovery: the whole list, and a watch on its changes; what fails is a failed call, never half a list."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass
from typing import Any, Protocol

import aiohttp
import structlog

from ..config.errors import InputError
from ..config.fields import NUMBER, HostPort, address, field, seconds
from ..model.inputs import Endpoint, EndpointList, EndpointState, Input, ListUpdateKind
from .fault_log import RateLimitedFaultLog

SILENCE_TIMEOUT = (
    3.0  # s without a byte: discovery writes at least an empty line each 2 s, and fails calls after 2 s
)
FETCH_TIMEOUT = (
    5.0  # s for the whole list, which must end: the wait in turn that discovery allows, and its way
)
MAX_LIST_SIZE = 8 << 20  # bytes of one line or list: some 50,000 workers; more is refused as unreadable
MAX_WORKER_ID_LENGTH = 255  # characters of a worker's id: far above any seen, and a line stays short
MODES = {
    "Ready": EndpointState.READY,
    "Terminating": EndpointState.DRAINING,
    "Gone": EndpointState.GONE,
}
Learn = Callable[[str, str, float], int]  # id, address, start -> small index


class Zones(Protocol):
    """Whoever knows the site's zones: the small index of a name, or a WireError that says where."""

    def zone_index(self, name: str, where: str) -> int: ...


def read_endpoint_list(body: Any, site: Zones, learn: Learn, where: str) -> tuple[int, EndpointList]:
    """The version and the listing; workers are learnt only once all of it has been read."""
    version = field(body, "version", int, where)
    full = field(body, "full", bool, where)
    rows: list[tuple[str, str, int, EndpointState, float, float]] = []
    for entry in field(body, "servers", list, where):
        worker_id = field(entry, "id", str, where)
        state = field(entry, "state", str, where)
        if state not in MODES:
            raise InputError(f"{where}: field state has an unknown value")
        plain = worker_id.isascii() and worker_id.isprintable() and not set(worker_id) & set(", :")
        if not (plain and 0 < len(worker_id) <= MAX_WORKER_ID_LENGTH):
            raise InputError(f"{where}: field id can't stand in an order")
        weight, started = float(field(entry, "weight", NUMBER, where)), seconds(entry, "started_ms", where)
        if not (0 <= weight < float("inf") and 0 <= started < float("inf")):
            raise InputError(f"{where}: field weight or started_ms is not a finite figure of 0 or more")
        zone = site.zone_index(field(entry, "zone", str, where), f"{where}: field zone")
        host, port = address(entry, "addr", where)
        rows.append((worker_id, f"{host}:{port}", zone, MODES[state], weight, started))
    entries = tuple(
        Endpoint(learn(worker_id, addr, started), zone, mode, weight, started)
        for worker_id, addr, zone, mode, weight, started in rows
    )
    return version, EndpointList(ListUpdateKind.FULL if full else ListUpdateKind.DELTA, entries)


@dataclass(eq=False, slots=True)
class ListVersion:
    """One address of discovery and how far its list has been believed: each counts its versions by itself."""

    url: str
    version: int
    whole: bool = False  # the next call asks for the whole list first
    went_back: bool = False  # it said a lower version than it had: it may have started over


@dataclass(eq=False, slots=True)
class EndpointWatch:
    """One call for changes, at the address that held when it was made; `answered`: it brought something;
    `last`: the version asked with, then that of its own last line."""

    origin: ListVersion
    answered: bool = False
    last: int = 0
    task: asyncio.Task[None] | None = None

    def running(self) -> bool:
        return self.task is not None and not self.task.done()

    def cancel(self) -> None:
        if self.task is not None:
            self.task.cancel()


class DiscoveryClient:
    """Owns its session and at most one watch and one call for the list; calls are never piled up.  After a
    move the watch at the former address counts on until the new one has answered, so that no gap opens.

    A call's answer and a watch's lines overtake each other.  What is older than what has come meanwhile is
    left out; only what goes back behind what was held when it was asked for, twice, is a list begun anew."""

    def __init__(
        self, at: HostPort, site: Zones, learn: Learn, post: Callable[[Input], None], version: int,
        further: Callable[[dict[str, Any]], None] | None = None,
    ) -> None:  # fmt: skip
        self._further = further  # told each entry as it came, for fields beside the protocol's
        self._origin = ListVersion(_url(at), version)
        self._site, self._learn, self._post = site, learn, post
        self._faults = RateLimitedFaultLog("discovery call failed")
        self.log: structlog.stdlib.BoundLogger = structlog.get_logger()
        self._watch: EndpointWatch | None = None
        self._former_watch: EndpointWatch | None = None
        self._fetch_task: asyncio.Task[None] | None = None
        self._closed = False
        quiet = aiohttp.ClientTimeout(total=None, sock_connect=SILENCE_TIMEOUT, sock_read=SILENCE_TIMEOUT)
        self._session = aiohttp.ClientSession(
            timeout=quiet, connector=aiohttp.TCPConnector(force_close=True, limit=4)
        )

    @property
    def version(self) -> int:
        return self._origin.version

    def set_watching(self, on: bool) -> None:
        if self._closed:
            return
        if self._watch is not None and self._watch.running():
            if on and not self._watch.answered:
                return  # the call made is still under way: discovery takes calls one after another
            self._watch.cancel()
        self._watch = self._open() if on else None
        if not on:
            self._let_go()

    def fetch(self) -> None:
        if not self._closed and (self._fetch_task is None or self._fetch_task.done()):
            self._fetch_task = asyncio.create_task(self._run(self._fetch(self._origin)))

    def change_address(self, at: HostPort) -> None:
        """Discovery stands elsewhere now: asked at once, and for the whole list, as nobody says that the new
        one counts its versions as the old one did.  Guards against a list that stands still when the old one
        closes; harms nobody but for one list more."""
        if self._closed:
            return
        self._origin = ListVersion(_url(at), self.version, whole=True)
        if self._fetch_task is not None:
            self._fetch_task.cancel()
        if self._watch is not None:
            if self._watch.running() and self._watch.answered:
                self._let_go()
                self._former_watch = self._watch
            else:
                self._watch.cancel()
            self._watch = self._open()

    def _let_go(self) -> None:
        if self._former_watch is not None:
            self._former_watch.cancel()
            self._former_watch = None

    def _open(self) -> EndpointWatch:
        watch = EndpointWatch(self._origin)
        watch.task = asyncio.create_task(self._run(self._follow(watch), watch))
        return watch

    async def _run(self, call: Awaitable[None], watch: EndpointWatch | None = None) -> None:
        try:
            return await call
        except (aiohttp.ClientError, TimeoutError, OSError, InputError) as exc:
            self._faults.summarize(asyncio.get_running_loop().time())
            self._faults.report(str(exc) or type(exc).__name__)
        except Exception:  # a fault of ours: unheard, the module would think that it follows
            self.log.exception("discovery call failed", why="a fault of this program")
        if watch is not None and watch is self._former_watch:
            self._former_watch = None  # the call at the new address speaks for itself
        else:
            self._post(EndpointList(ListUpdateKind.FAILED, ()))

    async def _fetch(self, origin: ListVersion) -> None:
        once = aiohttp.ClientTimeout(
            total=FETCH_TIMEOUT, sock_connect=SILENCE_TIMEOUT, sock_read=SILENCE_TIMEOUT
        )
        asked = origin.version
        async with self._session.get(origin.url, timeout=once) as reply:
            self._expect(reply)
            text = b"".join([line async for line in _lines(reply, MAX_LIST_SIZE, b"")])
            self._take(text, origin, asked)

    async def _follow(self, watch: EndpointWatch) -> None:
        origin = watch.origin
        if origin.whole:
            await self._fetch(origin)
            origin.whole = False
            self._heard(watch)
        watch.last = origin.version
        query = {"watch": "1", "after": str(origin.version)}
        async with self._session.get(origin.url, params=query) as reply:
            self._expect(reply)
            async for line in _lines(reply, MAX_LIST_SIZE, b"\n"):
                if line.strip():
                    watch.last = self._take(line, origin, watch.last, watch)
                elif not watch.answered:  # nothing has changed: the call is answered all the same
                    self._post(EndpointList(ListUpdateKind.DELTA, ()))
                self._heard(watch)
        raise InputError("watch: ended by discovery")

    def _heard(self, watch: EndpointWatch) -> None:
        watch.answered = True
        if watch is self._watch:
            self._let_go()

    @staticmethod
    def _expect(reply: aiohttp.ClientResponse) -> None:
        if reply.status != 200:
            raise InputError(f"discovery: status {reply.status}")

    def _take(self, text: bytes, origin: ListVersion, asked: int, watch: EndpointWatch | None = None) -> int:
        """The version that the text has; `asked`: the least that it may have.  One of a version back behind
        that is refused and the whole list asked for; a whole list that says so too is believed."""
        try:
            body = json.loads(text)
            version: int = field(body, "version", int, "list")
            if version < asked:
                again, origin.went_back, origin.whole = origin.went_back, True, True
                if watch is not None or not again:
                    raise InputError(f"list: version {version} after {asked}")
            elif version < origin.version:  # overtaken: what has come meanwhile holds all that it says
                if watch is not None and not watch.answered:
                    self._post(EndpointList(ListUpdateKind.DELTA, ()))
                return version
            version, listing = read_endpoint_list(body, self._site, self._learn, "list")
        except (RecursionError, OverflowError) as exc:
            raise InputError(f"list: {exc}") from None
        except json.JSONDecodeError:
            raise InputError("list: not JSON") from None
        origin.version, origin.went_back = version, False
        if self._further is not None:
            for entry in body["servers"]:
                self._further(entry)
        # What the former address says tells nothing of the call under way at the new one.
        former = watch is not None and watch is self._former_watch
        self._post(EndpointList(ListUpdateKind.SUPERSEDED, listing.endpoints) if former else listing)
        return version

    async def close(self) -> None:
        self._closed = True
        calls = [watch.task for watch in (self._watch, self._former_watch) if watch is not None]
        tasks = [task for task in (*calls, self._fetch_task) if task is not None]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._session.close()


def _url(at: HostPort) -> str:
    return f"http://{at[0]}:{at[1]}/v1/servers"


async def _lines(reply: aiohttp.ClientResponse, most: int, end: bytes) -> AsyncIterator[bytes]:
    """Whole lines, or with no end given all of it; a rest that was cut off is an error, not a line."""
    rest, loop = bytearray(), asyncio.get_running_loop()
    begun = loop.time()
    async for chunk in reply.content.iter_any():
        if not rest:
            begun = loop.time()
        elif end and loop.time() - begun > FETCH_TIMEOUT:  # a byte now and then would hold the call for ever
            raise InputError("list: a line that does not end")
        rest += chunk
        while end and (at := rest.find(end)) >= 0:
            yield bytes(rest[:at])
            del rest[: at + len(end)]
            begun = loop.time()  # what is left is of another line
        if len(rest) > most:
            raise InputError("list: too long")
    if end and rest:
        raise InputError("list: a line cut off")
    if rest:
        yield bytes(rest)

"""Client of the discovery service: the whole endpoint list, and a watch on its changes.

What fails is a failed call, never half a list.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import aiohttp
import structlog

from ..config.errors import InputError
from ..config.fields import HostPort, field
from ..model.inputs import EndpointList, Input, ListUpdateKind
from .endpoint_list import RegisterWorker, ZoneIndex, read_endpoint_list
from .errors import EndpointListError
from .fault_log import RateLimitedFaultLog

# s without a byte: discovery writes at least an empty line each 2 s, and fails calls after 2 s.
SILENCE_TIMEOUT = 3.0
# s for the whole list, which must end: the queueing time that discovery allows, and the way there and back.
FETCH_TIMEOUT = 5.0
MAX_LIST_SIZE = 8 << 20  # bytes of one line or list: some 50,000 workers; more is refused as unreadable
MAX_CONNECTIONS = 4  # two watches and a fetch, with one to spare
LINE_END = b"\n"


@dataclass(eq=False, slots=True)
class ListVersion:
    """One address of discovery and the version accepted from it: each address counts versions by itself."""

    url: str
    version: int
    fetch_first: bool = False  # the next watch begins with the whole list
    went_back: bool = False  # it gave a lower version than it had: it may have started over


@dataclass(eq=False, slots=True)
class EndpointWatch:
    """One call for changes, at the address that held when it was made."""

    origin: ListVersion
    is_answered: bool = False  # it brought something
    last_version: int = 0  # the version asked with, then that of its own last line
    task: asyncio.Task[None] | None = None

    def is_running(self) -> bool:
        """Whether the call is under way."""
        return self.task is not None and not self.task.done()

    def cancel(self) -> None:
        """Ends the call."""
        if self.task is not None:
            self.task.cancel()


class DiscoveryClient:
    """Owns its session and at most one watch and one fetch of the list; calls never pile up.

    After a change of address the watch at the former address counts until the new one is answered, so that no
    gap opens.

    The answer of a fetch and the lines of a watch overtake each other.  What is older than what has come
    meanwhile is ignored; only what goes back behind the version held when it was asked for, twice, is taken
    for a list that started over.

    `entry_received` is given each entry as it came, for fields beside the protocol's.
    """

    def __init__(
        self,
        address: HostPort,
        zones: ZoneIndex,
        register: RegisterWorker,
        input_received: Callable[[Input], None],
        version: int,
        entry_received: Callable[[dict[str, Any]], None] | None = None,
    ) -> None:
        self._entry_received = entry_received
        self._origin = ListVersion(_url(address), version)
        self._zones = zones
        self._register = register
        self._input_received = input_received
        self._faults = RateLimitedFaultLog("discovery_call_failed")
        self.log: structlog.stdlib.BoundLogger = structlog.get_logger()
        self._watch: EndpointWatch | None = None
        self._former_watch: EndpointWatch | None = None
        self._fetch_task: asyncio.Task[None] | None = None
        self._is_closed = False
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=SILENCE_TIMEOUT, sock_read=SILENCE_TIMEOUT)
        connector = aiohttp.TCPConnector(force_close=True, limit=MAX_CONNECTIONS)
        self._session = aiohttp.ClientSession(timeout=timeout, connector=connector)

    @property
    def version(self) -> int:
        """The version of the list that is accepted."""
        return self._origin.version

    def set_watching(self, enabled: bool) -> None:
        """Begins a watch in place of the one that holds, or ends it."""
        if self._is_closed:
            return
        if self._watch is not None and self._watch.is_running():
            if enabled and not self._watch.is_answered:
                return  # the call made is still under way: discovery takes calls one after another
            self._watch.cancel()
        if enabled:
            self._watch = self._start_watch()
        else:
            self._watch = None
            self._drop_former_watch()

    def fetch(self) -> None:
        """Asks for the whole list, unless a call for it is under way."""
        if self._is_closed:
            return
        if self._fetch_task is None or self._fetch_task.done():
            self._fetch_task = asyncio.create_task(self._run(self._fetch_list(self._origin)))

    def change_address(self, address: HostPort) -> None:
        """Discovery has another address now.

        It is asked at once, and for the whole list, as nobody says that it counts versions as the old one
        did.  Guards against a list that stands still when the old one closes, at the cost of one more list.
        """
        if self._is_closed:
            return
        self._origin = ListVersion(_url(address), self.version, fetch_first=True)
        if self._fetch_task is not None:
            self._fetch_task.cancel()
        if self._watch is not None:
            self._retire_watch(self._watch)
            self._watch = self._start_watch()

    def _retire_watch(self, watch: EndpointWatch) -> None:
        if watch.is_running() and watch.is_answered:
            self._drop_former_watch()
            self._former_watch = watch
        else:
            watch.cancel()

    def _drop_former_watch(self) -> None:
        if self._former_watch is not None:
            self._former_watch.cancel()
            self._former_watch = None

    def _start_watch(self) -> EndpointWatch:
        watch = EndpointWatch(self._origin)
        watch.task = asyncio.create_task(self._run(self._follow(watch), watch))
        return watch

    async def _run(self, call: Awaitable[None], watch: EndpointWatch | None = None) -> None:
        """Awaits a call and reports its failure."""
        try:
            return await call
        except (aiohttp.ClientError, TimeoutError, OSError, InputError) as exc:
            self._faults.summarize(asyncio.get_running_loop().time())
            self._faults.report(str(exc) or type(exc).__name__)
        except Exception:
            # A fault of this program ends this call alone; unreported, the controller would think that the
            # list is being watched.
            self.log.exception("discovery_call_failed", reason="a fault of this program")
        if watch is not None and watch is self._former_watch:
            self._former_watch = None  # the call at the new address speaks for itself
        else:
            self._input_received(EndpointList(ListUpdateKind.FAILED, ()))

    async def _fetch_list(self, origin: ListVersion) -> None:
        timeout = aiohttp.ClientTimeout(
            total=FETCH_TIMEOUT, sock_connect=SILENCE_TIMEOUT, sock_read=SILENCE_TIMEOUT
        )
        version_before = origin.version
        async with self._session.get(origin.url, timeout=timeout) as reply:
            _check_status(reply)
            text = await _read_body(reply)
            self._process(text, origin, version_before)

    async def _follow(self, watch: EndpointWatch) -> None:
        origin = watch.origin
        if origin.fetch_first:
            await self._fetch_list(origin)
            origin.fetch_first = False
            self._mark_answered(watch)
        watch.last_version = origin.version
        query = {"watch": "1", "after": str(origin.version)}
        async with self._session.get(origin.url, params=query) as reply:
            _check_status(reply)
            async for line in _read_lines(reply):
                if line.strip():
                    watch.last_version = self._process(line, origin, watch.last_version, watch)
                elif not watch.is_answered:
                    self._report_no_change()
                self._mark_answered(watch)
        raise EndpointListError("watch", "ended by discovery")

    def _mark_answered(self, watch: EndpointWatch) -> None:
        watch.is_answered = True
        if watch is self._watch:
            self._drop_former_watch()

    def _report_no_change(self) -> None:
        """The call is answered, though it brought nothing new."""
        self._input_received(EndpointList(ListUpdateKind.DELTA, ()))

    def _process(
        self, text: bytes, origin: ListVersion, lowest_version: int, watch: EndpointWatch | None = None
    ) -> int:
        """Accepts or ignores a list or a change, and gives its version.

        One below `lowest_version` is refused and the whole list asked for; a whole list that says so too is
        accepted.
        """
        try:
            body = json.loads(text)
            version: int = field(body, "version", int, "list")
            if version < lowest_version:
                _check_started_over(origin, version, lowest_version, is_full_list=watch is None)
            elif version < origin.version:  # overtaken: what has come meanwhile holds all that it says
                if watch is not None and not watch.is_answered:
                    self._report_no_change()
                return version
            version, endpoints = read_endpoint_list(body, self._zones, self._register, "list")
        except (RecursionError, OverflowError) as exc:
            raise EndpointListError("list", str(exc)) from None
        except json.JSONDecodeError:
            raise EndpointListError("list", "not JSON") from None
        origin.version = version
        origin.went_back = False
        if self._entry_received is not None:
            for entry in body["servers"]:
                self._entry_received(entry)
        if watch is not None and watch is self._former_watch:
            # What the former address says tells nothing of the call under way at the new one.
            endpoints = EndpointList(ListUpdateKind.SUPERSEDED, endpoints.endpoints)
        self._input_received(endpoints)
        return version

    async def close(self) -> None:
        """Cancels the calls under way and closes the session."""
        self._is_closed = True
        watches = [watch for watch in (self._watch, self._former_watch) if watch is not None]
        tasks = [task for task in (*(watch.task for watch in watches), self._fetch_task) if task is not None]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._session.close()


def _url(address: HostPort) -> str:
    return f"http://{address[0]}:{address[1]}/v1/servers"


def _check_status(reply: aiohttp.ClientResponse) -> None:
    if reply.status != 200:
        raise EndpointListError("discovery", f"status {reply.status}")


def _check_started_over(origin: ListVersion, version: int, lowest_version: int, is_full_list: bool) -> None:
    """Passes a version that went back only if it did so before, and for a whole list."""
    went_back_before = origin.went_back
    origin.went_back = True
    origin.fetch_first = True
    if not is_full_list or not went_back_before:
        raise EndpointListError("list", f"version {version} after {lowest_version}")


async def _read_body(reply: aiohttp.ClientResponse) -> bytes:
    """The body of an answer, up to `MAX_LIST_SIZE`."""
    body = bytearray()
    async for chunk in reply.content.iter_any():
        body += chunk
        if len(body) > MAX_LIST_SIZE:
            raise EndpointListError("list", "too long")
    return bytes(body)


async def _read_lines(reply: aiohttp.ClientResponse) -> AsyncIterator[bytes]:
    """Whole lines as they come; one that was cut off is an error, not a line."""
    loop = asyncio.get_running_loop()
    unfinished = bytearray()
    line_started_at = loop.time()
    async for chunk in reply.content.iter_any():
        if not unfinished:
            line_started_at = loop.time()
        elif loop.time() - line_started_at > FETCH_TIMEOUT:  # a byte now and then would hold the call forever
            raise EndpointListError("list", "a line that does not end")
        unfinished += chunk
        while (line_end := unfinished.find(LINE_END)) >= 0:
            yield bytes(unfinished[:line_end])
            del unfinished[: line_end + len(LINE_END)]
            line_started_at = loop.time()  # what is left is of another line
        if len(unfinished) > MAX_LIST_SIZE:
            raise EndpointListError("list", "too long")
    if unfinished:
        raise EndpointListError("list", "a line cut off")

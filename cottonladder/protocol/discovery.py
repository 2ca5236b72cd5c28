"""Client of the discovery service: fetches the complete endpoint list and watches its changes.

A call either delivers a complete list or update, or fails as a whole; no partial list is passed on.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any

import aiohttp
import structlog

from ..config.errors import InputError
from ..config.fields import HostPort, read_field
from ..model.inputs import EndpointList, Input, ListUpdateKind
from .discovery_http import check_status, read_body, read_lines
from .endpoint_list import RegisterWorker, ZoneIndex, read_endpoint_list
from .endpoint_watch import DiscoverySource, EndpointWatch
from .errors import EndpointListError, error_summary
from .fault_log import RateLimitedFaultLog

# Time without received bytes after which a call fails.  Discovery sends at least an empty line every 2 s.
SILENCE_TIMEOUT_S = 3.0
# Time limit for a fetch of the complete list: the longest queueing time at discovery and the round trip.
FETCH_TIMEOUT_S = 5.0
MAX_CONNECTIONS = 4  # two watches, one fetch, and one connection in reserve


class DiscoveryClient:
    """Client of discovery, with an HTTP session, a watch and a fetch of the endpoint list.

    After a change of address it also has the former watch, which stays in use until the one at the new
    address has answered, so that no update is lost in between.

    The answer to a fetch and the lines of a watch may overtake each other.  A version older than the accepted
    one is ignored.  A version below that of the watch's previous line, or below the one that was accepted
    when the call was made, means that discovery may have restarted; it is accepted the second time.

    `entry_received` is called with each decoded entry, for fields that the protocol does not define.
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
        self._source = DiscoverySource(_url(address), version)
        self._zones = zones
        self._register = register
        self._input_received = input_received
        self._faults = RateLimitedFaultLog("discovery_call_failed")
        self.log: structlog.stdlib.BoundLogger = structlog.get_logger()
        self._watch: EndpointWatch | None = None
        self._former_watch: EndpointWatch | None = None
        self._fetch_task: asyncio.Task[None] | None = None
        self._is_closed = False
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=SILENCE_TIMEOUT_S, sock_read=SILENCE_TIMEOUT_S
        )
        connector = aiohttp.TCPConnector(force_close=True, limit=MAX_CONNECTIONS)
        self._session = aiohttp.ClientSession(timeout=timeout, connector=connector)

    @property
    def version(self) -> int:
        """The version of the last accepted list."""
        return self._source.version

    def set_watching(self, enabled: bool) -> None:
        """Starts a watch if `enabled`, else ends the present one.

        A new watch replaces the present one, unless that is running and has not been answered yet.
        """
        if self._is_closed:
            return
        if self._watch is not None and self._watch.is_running():
            if enabled and not self._watch.is_answered:
                return  # the present call is still queued: discovery answers calls one after another
            self._watch.cancel()
        if enabled:
            self._watch = self._start_watch()
        else:
            self._watch = None
            self._drop_former_watch()

    def fetch(self) -> None:
        """Fetches the complete list, unless a fetch is under way."""
        if self._is_closed:
            return
        if self._fetch_task is None or self._fetch_task.done():
            self._fetch_task = asyncio.create_task(self._run(self._fetch_list(self._source)))

    def change_address(self, address: HostPort) -> None:
        """Switches to another address of discovery.

        If there is a watch, another is started at the new address.  It fetches the complete list first, as
        the new address may count versions differently: changes after the accepted version would not suffice.
        """
        if self._is_closed:
            return
        self._source = DiscoverySource(_url(address), self.version, needs_full_list=True)
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
        watch = EndpointWatch(self._source)
        watch.task = asyncio.create_task(self._run(self._follow(watch), watch))
        return watch

    async def _run(self, call: Awaitable[None], watch: EndpointWatch | None = None) -> None:
        """Awaits a call and reports its failure as a list update of kind FAILED."""
        try:
            await call
            return
        except (aiohttp.ClientError, TimeoutError, OSError, InputError) as exc:
            self._faults.summarize(asyncio.get_running_loop().time())
            self._faults.report(str(exc) or type(exc).__name__, error_summary(exc))
        except Exception:
            # A fault of this program ends this call alone.  It is reported like any other failure; otherwise
            # the controller would assume that the list is still watched.
            self.log.exception("discovery_call_failed", reason="a fault of this program")
        if watch is not None and watch is self._former_watch:
            self._former_watch = None  # the watch at the new address reports its own failures
        else:
            self._input_received(EndpointList(ListUpdateKind.FAILED, ()))

    async def _fetch_list(self, source: DiscoverySource) -> None:
        timeout = aiohttp.ClientTimeout(
            total=FETCH_TIMEOUT_S, sock_connect=SILENCE_TIMEOUT_S, sock_read=SILENCE_TIMEOUT_S
        )
        version_before = source.version
        async with self._session.get(source.url, timeout=timeout) as reply:
            check_status(reply)
            text = await read_body(reply)
            self._process(text, source, version_before)

    async def _follow(self, watch: EndpointWatch) -> None:
        source = watch.source
        if source.needs_full_list:
            await self._fetch_list(source)
            source.needs_full_list = False
            self._mark_answered(watch)
        watch.last_version = source.version
        query = {"watch": "1", "after": str(source.version)}
        async with self._session.get(source.url, params=query) as reply:
            check_status(reply)
            async for line in read_lines(reply):
                if line.strip():
                    watch.last_version = self._process(line, source, watch.last_version, watch)
                elif not watch.is_answered:
                    self._report_no_change()
                self._mark_answered(watch)
        raise EndpointListError("watch", "discovery ended the answer, which has to stay open")

    def _mark_answered(self, watch: EndpointWatch) -> None:
        if not watch.is_answered:
            self.log.info("endpoint_watch_answered", url=watch.source.url, version=watch.source.version)
        watch.is_answered = True
        if watch is self._watch:
            self._drop_former_watch()

    def _report_no_change(self) -> None:
        """Reports that discovery answered a call without a change."""
        self._input_received(EndpointList(ListUpdateKind.DELTA, ()))

    def _process(
        self, text: bytes, source: DiscoverySource, previous_version: int, watch: EndpointWatch | None = None
    ) -> int:
        """Accepts or ignores a list or an update, and returns its version.

        `previous_version` is that of the watch's previous line, or the one accepted when the call was made.
        """
        try:
            body = json.loads(text)
            version: int = read_field(body, "version", int, "list")
            if version < previous_version:
                source.check_restart(version, previous_version, is_full_list=watch is None)
            elif version < source.version:
                # A newer version, which includes all changes of this one, has been accepted before it.
                if watch is not None and not watch.is_answered:
                    self._report_no_change()
                return version
            version, endpoints = read_endpoint_list(body, self._zones, self._register, "list")
        except (RecursionError, OverflowError) as exc:
            raise EndpointListError("list", f"nested too deeply or with a number too large: {exc}") from None
        except json.JSONDecodeError:
            raise EndpointListError("list", "not JSON") from None
        source.version = version
        source.has_lower_version = False
        if self._entry_received is not None:
            for entry in body["servers"]:
                self._entry_received(entry)
        if watch is not None and watch is self._former_watch:
            # The watch at the new address is not yet answered by an update from the former one.
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

"""Requests to workers by aiohttp's client: one session, pools by worker, and proof that nothing ran."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Mapping
from dataclasses import dataclass

import aiohttp
from multidict import CIMultiDict, CIMultiDictProxy
from yarl import URL

from .errors import WorkerError
from .resource_limits import RELAY_BUFFER_BYTES, ResourceLimits

KEEPALIVE_TIMEOUT_S = 15.0  # s that a connection to a worker is kept without a request

# Headers that belong to one connection and not to the request (RFC 9110, 7.6.1).
HOP_BY_HOP_HEADERS = frozenset(
    {"connection", "keep-alive", "proxy-authenticate", "proxy-authorization", "proxy-connection", "te",
     "trailer", "transfer-encoding", "upgrade"}
)  # fmt: skip


def forwarded_headers(headers: Mapping[str, str] | CIMultiDictProxy[str]) -> CIMultiDict[str]:
    """The headers that go on: all but those of the connection, and those that `Connection` names."""
    connection_headers = {name.strip().lower() for name in headers.get("Connection", "").split(",")}
    forwarded: CIMultiDict[str] = CIMultiDict()
    for name, value in headers.items():
        if name.lower() not in HOP_BY_HOP_HEADERS and name.lower() not in connection_headers:
            forwarded.add(name, value)
    return forwarded


@dataclass(frozen=True, slots=True)
class WorkerRequest:
    """What is sent to whichever worker is selected."""

    method: str
    target: str  # as the client wrote it
    headers: CIMultiDict[str]
    body: bytes | AsyncIterator[bytes] | None


class WorkerConnections:
    """Owns the session, with a pool of connections for each worker."""

    def __init__(self, limits: ResourceLimits) -> None:
        self._limits = limits
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=limits.connect_timeout_s, sock_read=None)
        self._session = aiohttp.ClientSession(
            timeout=timeout,
            connector=aiohttp.TCPConnector(
                limit=0, limit_per_host=limits.pool_size, keepalive_timeout=KEEPALIVE_TIMEOUT_S
            ),
            auto_decompress=False,
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
            cookie_jar=aiohttp.DummyCookieJar(),
            read_bufsize=RELAY_BUFFER_BYTES,
            max_line_size=limits.header_bytes,
            max_field_size=limits.header_bytes,
        )
        # aiohttp sends idempotent methods again by itself when a kept-alive connection was closed.  Here only
        # the managers' orders and the request's class say whether it may be sent twice; a test counts it.
        self._session._retry_connection = False

    async def send(self, address: str, request: WorkerRequest, timeout_s: float) -> aiohttp.ClientResponse:
        """The answer's head; its body is read by the caller, who releases it.  Raises WorkerError."""
        url = URL(f"http://{address}{request.target}", encoded=True)
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=self._limits.connect_timeout_s, sock_read=timeout_s
        )
        try:
            return await asyncio.wait_for(
                self._session.request(
                    request.method,
                    url,
                    headers=request.headers,
                    data=request.body,
                    allow_redirects=False,
                    timeout=timeout,
                ),
                timeout_s,
            )
        except aiohttp.ConnectionTimeoutError as exc:
            raise WorkerError(f"no connection: {exc}", may_have_run=False) from None
        except aiohttp.ClientConnectorError as exc:
            raise WorkerError(f"no connection: {exc}", may_have_run=False) from None
        except (TimeoutError, aiohttp.ServerTimeoutError):
            raise WorkerError(
                f"no answer within {timeout_s:g} s", may_have_run=True, timed_out=True
            ) from None
        except (aiohttp.ClientError, OSError, ValueError) as exc:
            raise WorkerError(f"{type(exc).__name__}: {exc}", may_have_run=True) from None

    async def close(self) -> None:
        """Ends the connections."""
        await self._session.close()

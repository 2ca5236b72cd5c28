"""Client for plain requests to workers, based on aiohttp's client, with a connection pool for each worker."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Mapping
from dataclasses import dataclass

import aiohttp
from multidict import CIMultiDict, CIMultiDictProxy
from yarl import URL

from ..config.operator_config import LimitsConfig
from .errors import WorkerError
from .resource_limits import RELAY_BUFFER_BYTES

KEEPALIVE_TIMEOUT_S = 15.0  # time after which an idle pooled connection is closed

# Headers that apply to one connection and are not forwarded (RFC 9110, section 7.6.1).
HOP_BY_HOP_HEADERS = frozenset(
    {"connection", "keep-alive", "proxy-authenticate", "proxy-authorization", "proxy-connection", "te",
     "trailer", "transfer-encoding", "upgrade"}
)  # fmt: skip


def forwarded_headers(headers: Mapping[str, str] | CIMultiDictProxy[str]) -> CIMultiDict[str]:
    """Returns the headers without the hop-by-hop headers and those that `Connection` names."""
    connection_headers = {name.strip().lower() for name in headers.get("Connection", "").split(",")}
    forwarded: CIMultiDict[str] = CIMultiDict()
    for name, value in headers.items():
        if name.lower() not in HOP_BY_HOP_HEADERS and name.lower() not in connection_headers:
            forwarded.add(name, value)
    return forwarded


@dataclass(frozen=True, slots=True)
class WorkerRequest:
    """A request to send to a worker; `target` is the client's path and query, unchanged."""

    method: str
    target: str
    headers: CIMultiDict[str]
    body: bytes | AsyncIterator[bytes] | None


class WorkerConnections:
    """The client session and its connection pools."""

    def __init__(self, limits: LimitsConfig) -> None:
        self._limits = limits
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=limits.connect_timeout_s, sock_read=None)
        self._session = aiohttp.ClientSession(
            timeout=timeout,
            connector=aiohttp.TCPConnector(
                limit=0, limit_per_host=limits.pool_size_per_worker, keepalive_timeout=KEEPALIVE_TIMEOUT_S
            ),
            auto_decompress=False,
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
            cookie_jar=aiohttp.DummyCookieJar(),
            read_bufsize=RELAY_BUFFER_BYTES,
            max_line_size=limits.header_bytes,
            max_field_size=limits.header_bytes,
        )
        # By default aiohttp repeats a request with an idempotent method if the worker has closed the pooled
        # connection.  Only the managers' orders and the request's class may decide on a retry; a test counts
        # the attempts.
        self._session._retry_connection = False

    async def send(self, address: str, request: WorkerRequest, timeout_s: float) -> aiohttp.ClientResponse:
        """Sends a request and returns the answer after its head has arrived.

        Raises WorkerError if no head arrives within `timeout_s`, or the connection fails.  The caller reads
        the body of the answer, and releases or closes the answer.
        """
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
        except (aiohttp.ConnectionTimeoutError, aiohttp.ClientConnectorError) as exc:
            raise WorkerError(f"connection to {address} failed: {exc}", may_have_run=False) from None
        except (TimeoutError, aiohttp.ServerTimeoutError):
            raise WorkerError(
                f"{address} sent no answer within {timeout_s:g} s", may_have_run=True, timed_out=True
            ) from None
        except (aiohttp.ClientError, OSError, ValueError) as exc:
            raise WorkerError(
                f"request to {address} failed: {type(exc).__name__}", may_have_run=True
            ) from None

    async def close(self) -> None:
        """Closes the session and its connections."""
        await self._session.close()

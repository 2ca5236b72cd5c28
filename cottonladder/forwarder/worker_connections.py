"""Reqs to workers over aiohttp's client: one session, pools by worker, and what proves that nothing ran."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Mapping
from dataclasses import dataclass

import aiohttp
from multidict import CIMultiDict, CIMultiDictProxy
from yarl import URL

from .resource_limits import ResourceLimits

# Heads that belong to one connection and not to the req (RFC 9110, 7.6.1).
HOP = frozenset(
    {"connection", "keep-alive", "proxy-authenticate", "proxy-authorization", "proxy-connection", "te",
     "trailer", "transfer-encoding", "upgrade"}
)  # fmt: skip


class WorkerError(Exception):
    """A try that brought no answer; `ran`: there is no proof that it never ran."""

    def __init__(self, why: str, ran: bool, late: bool = False) -> None:
        super().__init__(why)
        self.ran, self.late = ran, late


def passed_on(headers: Mapping[str, str] | CIMultiDictProxy[str]) -> CIMultiDict[str]:
    """The heads that go on: all but those of the connection, and those that `Connection` names."""
    named = {name.strip().lower() for name in headers.get("Connection", "").split(",")}
    out: CIMultiDict[str] = CIMultiDict()
    for name, value in headers.items():
        if name.lower() not in HOP and name.lower() not in named:
            out.add(name, value)
    return out


@dataclass(frozen=True, slots=True)
class Req:
    """What is sent to whichever worker is picked."""

    method: str
    target: str  # as the client wrote it
    headers: CIMultiDict[str]
    body: bytes | AsyncIterator[bytes] | None


class Workers:
    """Owns the session."""

    def __init__(self, most: ResourceLimits) -> None:
        self._most = most
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=most.connect_wait, sock_read=None)
        self._session = aiohttp.ClientSession(
            timeout=timeout,
            connector=aiohttp.TCPConnector(limit=0, limit_per_host=most.pool, keepalive_timeout=15.0),
            auto_decompress=False,
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
            cookie_jar=aiohttp.DummyCookieJar(),
            read_bufsize=65_536,
            max_line_size=most.header_bytes,
            max_field_size=most.header_bytes,
        )
        # aiohttp sends idempotent methods again by itself when a kept-alive connection was closed.  Here only
        # the managers' orders and the req's kind say whether a req may be sent twice; a test counts it.
        self._session._retry_connection = False

    async def send(self, address: str, req: Req, wait: float) -> aiohttp.ClientResponse:
        """The answer's head; its body is read by the caller, who releases it.  Raises WorkerError."""
        url = URL(f"http://{address}{req.target}", encoded=True)
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=self._most.connect_wait, sock_read=wait)
        try:
            return await asyncio.wait_for(
                self._session.request(
                    req.method,
                    url,
                    headers=req.headers,
                    data=req.body,
                    allow_redirects=False,
                    timeout=timeout,
                ),
                wait,
            )
        except aiohttp.ConnectionTimeoutError as exc:
            raise WorkerError(f"no connection: {exc}", ran=False) from None
        except aiohttp.ClientConnectorError as exc:
            raise WorkerError(f"no connection: {exc}", ran=False) from None
        except (TimeoutError, aiohttp.ServerTimeoutError):
            raise WorkerError(f"no answer within {wait:g} s", ran=True, late=True) from None
        except (aiohttp.ClientError, OSError, ValueError) as exc:
            raise WorkerError(f"{type(exc).__name__}: {exc}", ran=True) from None

    async def close(self) -> None:
        await self._session.close()

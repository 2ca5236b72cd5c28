"""The handshake of an upgrade: is it well-formed, what goes on to the worker, and the worker's answer."""

from __future__ import annotations

from aiohttp import web

from .errors import HandshakeError, RequestRejectedError
from .fleet import Fleet
from .request_context import RequestContext
from .resource_limits import MIN_ATTEMPT_TIMEOUT_S
from .responses import UPGRADE_NOT_GET, UPGRADE_WITH_BODY, UPGRADE_WITHOUT_KEY
from .tunnel_ends import WorkerEnd, connect
from .upgrade_policy import UpgradePolicy
from .worker_connections import HOP_BY_HOP_HEADERS


def is_websocket(request: web.BaseRequest) -> bool:
    """Whether the upgrade is to frames that the forwarder can follow."""
    return request.headers["Upgrade"].strip().lower() == "websocket"


def check_upgrade(request: web.BaseRequest) -> None:
    """Raises RequestRejectedError for an upgrade that no worker is asked about."""
    has_chunks = "chunked" in request.headers.get("Transfer-Encoding", "").lower()
    if (request.content_length or 0) > 0 or has_chunks:
        raise RequestRejectedError(UPGRADE_WITH_BODY)
    if request.method != "GET" or request.version < (1, 1):
        raise RequestRejectedError(UPGRADE_NOT_GET)
    if is_websocket(request) and not request.headers.get("Sec-WebSocket-Key"):
        raise RequestRejectedError(UPGRADE_WITHOUT_KEY)


def handshake_head(context: RequestContext, policy: UpgradePolicy) -> bytes:
    """The client's own head, but for what belongs to its connection alone."""
    request = context.request
    lines = [f"GET {request.raw_path} HTTP/1.1"]
    for name, value in context.headers.items():
        if not _goes_on(name.lower(), policy):
            continue
        if name.lower() == "connection":
            value = "Upgrade"
        lines.append(f"{name}: {value}")
    lines.append(f"X-Forwarded-For: {request.remote or '?'}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("utf-8", "surrogateescape")


def _goes_on(name: str, policy: UpgradePolicy) -> bool:
    """Whether a header, in small letters, is passed on to the worker."""
    if name in HOP_BY_HOP_HEADERS and name not in ("upgrade", "connection"):
        return False
    if name == policy.ticket_header.lower():
        return False  # a ticket is between forwarder and worker: a client can't take another's over
    # Compressed messages could not be told apart.
    return not (name == "sec-websocket-extensions" and policy.request_prefix is not None)


async def handshake(fleet: Fleet, worker_id: str, head: bytes, deadline: float) -> WorkerEnd:
    """A worker's end with its answer's head read, whatever it says.  Raises HandshakeError."""
    address = fleet.address_of(worker_id)
    if address is None:
        raise HandshakeError("no address", False)
    host, _, port = address.rpartition(":")
    worker_end = await connect(worker_id, host, int(port), fleet.limits.connect_timeout_s)
    try:
        left = min(deadline - fleet.now(), fleet.limits.first_byte_timeout_s)
        await worker_end.handshake(head, max(MIN_ATTEMPT_TIMEOUT_S, left))
    except BaseException:
        worker_end.abort()  # its client has gone, or it did not answer
        raise
    return worker_end

"""The handshake of an upgrade: checks the client's request, sends it to a worker, and reads the response."""

from __future__ import annotations

from aiohttp import web

from .errors import HandshakeError, RequestRejectedError
from .final_answers import UPGRADE_NOT_GET, UPGRADE_WITH_BODY, UPGRADE_WITHOUT_KEY
from .request_context import RequestContext
from .request_services import RequestServices
from .resource_limits import MIN_ATTEMPT_TIMEOUT_S
from .tunnel_ends import WorkerEnd, connect
from .upgrade_policy import UpgradePolicy
from .worker_connections import HOP_BY_HOP_HEADERS


def is_websocket(request: web.BaseRequest) -> bool:
    """Returns whether the client requests an upgrade to WebSocket, whose frames the forwarder scans."""
    return request.headers["Upgrade"].strip().lower() == "websocket"


def check_upgrade(request: web.BaseRequest) -> None:
    """Raises RequestRejectedError for an upgrade request that the forwarder sends to no worker."""
    has_chunks = "chunked" in request.headers.get("Transfer-Encoding", "").lower()
    if (request.content_length or 0) > 0 or has_chunks:
        raise RequestRejectedError(UPGRADE_WITH_BODY)
    if request.method != "GET" or request.version < (1, 1):
        raise RequestRejectedError(UPGRADE_NOT_GET)
    if is_websocket(request) and not request.headers.get("Sec-WebSocket-Key"):
        raise RequestRejectedError(UPGRADE_WITHOUT_KEY)


def handshake_head(context: RequestContext, policy: UpgradePolicy) -> bytes:
    """Returns the client's request head without hop-by-hop headers, as it is sent to workers."""
    request = context.request
    lines = [f"GET {request.raw_path} HTTP/1.1"]
    for name, value in context.headers.items():
        if not _is_forwarded(name.lower(), policy):
            continue
        forwarded_value = "Upgrade" if name.lower() == "connection" else value
        lines.append(f"{name}: {forwarded_value}")
    lines.append(f"X-Forwarded-For: {request.remote or '?'}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("utf-8", "surrogateescape")


def _is_forwarded(name: str, policy: UpgradePolicy) -> bool:
    """Returns whether the header with this lower-case name is sent to the worker."""
    if name in HOP_BY_HOP_HEADERS and name not in ("upgrade", "connection"):
        return False
    if name == policy.ticket_header.lower():
        return False  # a client with another client's ticket could resume that client's connection
    # The prefixes of requests and responses can't be recognised in compressed messages.
    return not (name == "sec-websocket-extensions" and policy.request_prefix is not None)


async def handshake(services: RequestServices, worker_id: str, head: bytes, deadline: float) -> WorkerEnd:
    """Connects to a worker and reads the head of its response, of any status.  Raises HandshakeError."""
    address = services.address_of(worker_id)
    if address is None:
        raise HandshakeError("the worker's address is unknown", may_have_run=False)
    host, _, port = address.rpartition(":")
    worker_end = await connect(worker_id, host, int(port), services.limits.connect_timeout_s)
    try:
        time_left_s = min(deadline - services.now(), services.limits.first_byte_timeout_s)
        await worker_end.handshake(head, max(MIN_ATTEMPT_TIMEOUT_S, time_left_s))
    except BaseException:  # includes the cancellation of the request
        worker_end.abort()
        raise
    return worker_end

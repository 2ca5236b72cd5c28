"""The state of one request while the forwarder handles it."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from aiohttp import web

from .request_classes import RequestClass


@dataclass(slots=True)
class RequestProgress:
    """The progress of a request, which decides how it is answered if the forwarder stops before it completes.

    `may_have_run`: a worker may have received the request.  `is_answering`: the client may have received the
    beginning of the answer.
    """

    may_have_run: bool = False
    is_answering: bool = False


@dataclass(frozen=True, slots=True)
class RequestContext:
    """A request with its class and the changes that plug-ins have made.

    `headers` are those to send to the worker.  `preferred` contains the weights of workers chosen for this
    request; None means that the routing table of its class applies.
    """

    request: web.BaseRequest
    request_class: RequestClass
    headers: Mapping[str, str]
    progress: RequestProgress
    preferred: dict[str, float] | None = None

    @property
    def is_upgrade(self) -> bool:
        """Whether the client asks to upgrade its connection to another protocol."""
        connection = self.request.headers.get("Connection", "")
        return "Upgrade" in self.request.headers and "upgrade" in connection.lower()

"""One request on its way through the forwarder."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from aiohttp import web

from .request_classes import RequestClass


@dataclass(slots=True)
class RequestProgress:
    """How far a request has come, for whoever has to give it up.

    `may_have_run`: a worker may have seen it.  `is_answering`: a part of the answer is out.
    """

    may_have_run: bool = False
    is_answering: bool = False


@dataclass(frozen=True, slots=True)
class RequestContext:
    """A request with its class and what plug-ins made of it.

    `headers`: those that go on to the worker.  `preferred`: workers with weights that were chosen for this
    request; None: those of its class's table.
    """

    request: web.BaseRequest
    request_class: RequestClass
    headers: Mapping[str, str]
    progress: RequestProgress
    preferred: dict[str, float] | None = None

    @property
    def is_upgrade(self) -> bool:
        """The client asks for another protocol on its connection."""
        connection = self.request.headers.get("Connection", "")
        return "Upgrade" in self.request.headers and "upgrade" in connection.lower()

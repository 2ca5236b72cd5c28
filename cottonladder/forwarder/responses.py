"""The answers that the forwarder gives by itself: every status line and reason in one place."""

from __future__ import annotations

import random
from dataclasses import dataclass

from aiohttp import web

from .resource_limits import retry_after

DEFAULT_RETRY_DELAY_S = 1.0  # s until a client may come again, where nothing tells more
NO_SLOT_RETRY_DELAY_S = 5.0  # s until a client may come again, where no worker has a slot in sight
OUTCOME_UNKNOWN = "outcome unknown"  # also said in a close frame


@dataclass(frozen=True, slots=True)
class FinalAnswer:
    """An outcome: `may_come_again` adds Retry-After, `is_outcome_unknown` the header that says so."""

    status: int
    text: str
    may_come_again: bool = False
    is_outcome_unknown: bool = False


NO_REQUEST_CLASS = FinalAnswer(404, "no request kind")
STOPPING = FinalAnswer(503, "this forwarder stops", may_come_again=True)
OVERLOADED = FinalAnswer(503, "denied: overload", may_come_again=True)
BODY_TOO_LARGE = FinalAnswer(413, "body over its size")
NO_MATCHING_WORKER = FinalAnswer(503, "no worker with what is needed", may_come_again=True)
NO_WORKER = FinalAnswer(503, "no worker to pick", may_come_again=True)
NO_WORKER_ANSWERED = FinalAnswer(503, "no worker answered", may_come_again=True)
NO_SLOT = FinalAnswer(503, "no place at a worker", may_come_again=True)
MAY_HAVE_RUN = FinalAnswer(502, OUTCOME_UNKNOWN, may_come_again=True, is_outcome_unknown=True)
MAY_HAVE_RUN_TIMED_OUT = FinalAnswer(504, OUTCOME_UNKNOWN, may_come_again=True, is_outcome_unknown=True)
UPGRADE_WITH_BODY = FinalAnswer(400, "an upgrade with a body")
UPGRADE_NOT_GET = FinalAnswer(400, "a bad upgrade: GET of HTTP/1.1 expected")
UPGRADE_WITHOUT_KEY = FinalAnswer(400, "a bad upgrade: no Sec-WebSocket-Key")


def rejected_by_plugin(reason: str) -> FinalAnswer:
    """A plug-in refused the request."""
    return FinalAnswer(403, f"denied: {reason[:200]}")


def failure_answer(may_have_run: bool, timed_out: bool = False) -> FinalAnswer:
    """The final answer to a request that no worker answered; where it may have run the client is told so."""
    if not may_have_run:
        return NO_WORKER_ANSWERED
    return MAY_HAVE_RUN_TIMED_OUT if timed_out else MAY_HAVE_RUN


class ResponseBuilder:
    """Turns outcomes into HTTP responses."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self.stopping = False

    def build(self, answer: FinalAnswer, delay_s: float = DEFAULT_RETRY_DELAY_S) -> web.Response:
        """A response; `delay_s` is what Retry-After says at the least, where the answer has one."""
        text = answer.text + "\n"
        if not answer.may_come_again:
            return web.Response(status=answer.status, text=text)
        headers = {"Retry-After": str(retry_after(delay_s, self._rng.random()))}
        response = web.Response(status=answer.status, text=text, headers=headers)
        if answer.is_outcome_unknown:
            response.headers["Outcome"] = "unknown"
        if self.stopping:
            response.force_close()  # or the client's next request would meet the connection's end
        return response

    def upgrade_refused(self, status: int, retry_after_header: str) -> web.Response:
        """A worker answered a handshake, but did not agree to it."""
        headers = {"Retry-After": retry_after_header} if retry_after_header else {}
        return web.Response(status=status, headers=headers, text="the worker didn't agree\n")

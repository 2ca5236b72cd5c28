"""The answers that the forwarder itself gives to clients: the status and text of each.

Clients and tools match the texts, so they must not change.
"""

from __future__ import annotations

from dataclasses import dataclass

OUTCOME_UNKNOWN = "outcome unknown"  # also sent as the reason of a WebSocket close frame
MAX_PLUGIN_REASON_CHARACTERS = 200  # longer rejection reasons of plug-ins are truncated


@dataclass(frozen=True, slots=True)
class FinalAnswer:
    """An answer that the forwarder gives in place of a worker.

    `has_retry_after` adds a Retry-After header.  `is_outcome_unknown` adds the header `Outcome: unknown`,
    which tells the client that the request may have run; it needs `has_retry_after`.
    """

    status: int
    text: str
    has_retry_after: bool = False
    is_outcome_unknown: bool = False


NO_REQUEST_CLASS = FinalAnswer(404, "no request kind")
STOPPING = FinalAnswer(503, "this forwarder stops", has_retry_after=True)
OVERLOADED = FinalAnswer(503, "denied: overload", has_retry_after=True)
BODY_TOO_LARGE = FinalAnswer(413, "body over its size")
NO_MATCHING_WORKER = FinalAnswer(503, "no worker with what is needed", has_retry_after=True)
NO_WORKER = FinalAnswer(503, "no worker to pick", has_retry_after=True)
NO_WORKER_ANSWERED = FinalAnswer(503, "no worker answered", has_retry_after=True)
NO_SLOT = FinalAnswer(503, "no place at a worker", has_retry_after=True)
MAY_HAVE_RUN = FinalAnswer(502, OUTCOME_UNKNOWN, has_retry_after=True, is_outcome_unknown=True)
MAY_HAVE_RUN_TIMED_OUT = FinalAnswer(504, OUTCOME_UNKNOWN, has_retry_after=True, is_outcome_unknown=True)
UPGRADE_WITH_BODY = FinalAnswer(400, "an upgrade with a body")
UPGRADE_NOT_GET = FinalAnswer(400, "a bad upgrade: GET of HTTP/1.1 expected")
UPGRADE_WITHOUT_KEY = FinalAnswer(400, "a bad upgrade: no Sec-WebSocket-Key")


def rejected_by_plugin(reason: str) -> FinalAnswer:
    """Returns the answer to a request that a plug-in has rejected."""
    return FinalAnswer(403, f"denied: {reason[:MAX_PLUGIN_REASON_CHARACTERS]}")


def failure_answer(may_have_run: bool, timed_out: bool = False) -> FinalAnswer:
    """Returns the answer to a request that no worker answered, which states whether it may have run."""
    if not may_have_run:
        return NO_WORKER_ANSWERED
    return MAY_HAVE_RUN_TIMED_OUT if timed_out else MAY_HAVE_RUN

"""Rules by which a request that failed at one worker may be sent to another.

Pure: no clock, no I/O.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from ..model.orders import RetryPolicy
from .errors import AttemptError
from .request_classes import RequestClass


@dataclass(frozen=True, slots=True)
class RetryRule:
    """The number of retries that are allowed, and the condition for them.

    `only_if_not_processed` allows retries only if it is certain that no worker has processed an earlier
    attempt.
    """

    max_retries: int
    only_if_not_processed: bool


# The rule by retry policy and by whether the request is idempotent.
RETRY_RULES: dict[tuple[RetryPolicy, bool], RetryRule] = {
    (RetryPolicy.NEVER, True): RetryRule(max_retries=0, only_if_not_processed=True),
    (RetryPolicy.NEVER, False): RetryRule(max_retries=0, only_if_not_processed=True),
    (RetryPolicy.ONCE_IF_NOT_PROCESSED, True): RetryRule(max_retries=1, only_if_not_processed=True),
    (RetryPolicy.ONCE_IF_NOT_PROCESSED, False): RetryRule(max_retries=1, only_if_not_processed=True),
    (RetryPolicy.ONCE, True): RetryRule(max_retries=1, only_if_not_processed=False),
    (RetryPolicy.ONCE, False): RetryRule(max_retries=1, only_if_not_processed=True),
    (RetryPolicy.TWICE, True): RetryRule(max_retries=2, only_if_not_processed=False),
    (RetryPolicy.TWICE, False): RetryRule(max_retries=2, only_if_not_processed=True),
}


def should_retry(request_class: RequestClass, policy: RetryPolicy, attempts: int, may_have_run: bool) -> bool:
    """Returns whether a request that has failed `attempts` times may be sent to another worker.

    `may_have_run` states that a worker may have processed an earlier attempt.  Such a request is sent again
    only if its class is idempotent, whichever policy managers have ordered.
    """
    rule = RETRY_RULES[policy, request_class.is_idempotent]
    if may_have_run and rule.only_if_not_processed:
        return False
    return attempts <= rule.max_retries


@dataclass(slots=True)
class FailedAttempts:
    """The workers at which one request has failed, and whether any of them may have processed it."""

    workers: list[str] = field(default_factory=list)
    may_have_run: bool = False

    @property
    def count(self) -> int:
        """The number of failed attempts."""
        return len(self.workers)

    def add(self, worker_id: str, error: AttemptError) -> None:
        """Adds a failed attempt."""
        self.workers.append(worker_id)
        self.may_have_run = self.may_have_run or error.may_have_run

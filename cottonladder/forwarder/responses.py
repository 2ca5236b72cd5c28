"""Builder of HTTP responses for the answers that the forwarder itself gives."""

from __future__ import annotations

import random

from aiohttp import web

from .final_answers import FinalAnswer
from .retry_after import retry_after

DEFAULT_RETRY_DELAY_S = 1.0  # delay before a client's retry if the forwarder has no estimate
NO_SLOT_RETRY_DELAY_S = 5.0  # delay before a client's retry if no worker is expected to have a free slot soon


class ResponseBuilder:
    """Builder of responses, with a random jitter in their Retry-After headers.

    Once `stopping` is set, a response that `build` gives a Retry-After header also closes its connection.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self.stopping = False

    def build(self, answer: FinalAnswer, delay_s: float = DEFAULT_RETRY_DELAY_S) -> web.Response:
        """Builds the response for an answer.

        If the answer has a Retry-After header, its value is at least `delay_s`, up to `MAX_RETRY_AFTER_S`.
        """
        text = answer.text + "\n"
        if not answer.has_retry_after:
            return web.Response(status=answer.status, text=text)
        headers = {"Retry-After": str(retry_after(delay_s, self._rng.random()))}
        response = web.Response(status=answer.status, text=text, headers=headers)
        if answer.is_outcome_unknown:
            response.headers["Outcome"] = "unknown"
        if self.stopping:
            response.force_close()  # a further request could otherwise arrive while the forwarder closes
        return response

    def upgrade_rejected(self, status: int, retry_after_header: str) -> web.Response:
        """Builds the response to a handshake that a worker has answered with another status than 101."""
        headers = {"Retry-After": retry_after_header} if retry_after_header else {}
        return web.Response(status=status, headers=headers, text="the worker didn't agree\n")

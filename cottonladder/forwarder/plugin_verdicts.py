"""The plug-ins' verdicts, applied to a request: a changed class, workers or headers, or a rejection."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import replace
from typing import TYPE_CHECKING

from multidict import CIMultiDict

from ..planning.plugin_bounds import RoutePreference, narrow_candidates
from .errors import RequestRejectedError
from .final_answers import NO_MATCHING_WORKER, rejected_by_plugin
from .request_classes import RequestClass
from .request_context import RequestContext
from .request_services import RequestServices
from .retries import FailedAttempts

if TYPE_CHECKING:
    from ..plugins.abi import Answer
    from ..plugins.chain import PluginChain

# Names of the hooks, the same as in `plugins.abi`, which is imported only if plug-ins are configured.
ROUTE_HOOK = "route"
UPGRADE_HOOK = "upgrade"
RETRY_HOOK = "further"


class PluginVerdicts:
    """Caller of the plug-ins that applies their verdicts within the bounds that operators have set.

    `chain` is None unless the operators' file names plug-ins.  `labels` contains the labels of each worker.
    `falls_back` states whether a request may go to any worker of the table if none has the required labels.
    `allowed_headers` contains the lower-case names of the headers that plug-ins may change.
    """

    def __init__(self, classes: list[RequestClass], services: RequestServices) -> None:
        self._classes = {request_class.name: request_class for request_class in classes}
        self._services = services
        self.chain: PluginChain | None = None
        self.labels: Mapping[str, frozenset[str]] = {}
        self.falls_back = True
        self.allowed_headers: frozenset[str] = frozenset()

    def apply(self, context: RequestContext) -> RequestContext:
        """Returns the request with the plug-ins' changes.  Raises RequestRejectedError if one rejects it."""
        if self.chain is None:
            return context
        # The upgrade hook is called for every request with an `Upgrade` header, even one without
        # `Connection: upgrade`, which is forwarded as a plain request.
        hook = UPGRADE_HOOK if "Upgrade" in context.request.headers else ROUTE_HOOK
        if not self.chain.has_hook(hook):
            return context
        verdict = self.chain.call_hook(hook, self._record(self.chain, hook, context))
        if verdict.is_empty:
            return context
        if verdict.rejection_reason is not None:
            raise RequestRejectedError(rejected_by_plugin(verdict.rejection_reason))
        context = self._with_class(self.chain, context, verdict)
        context = self._with_workers(self.chain, context, verdict)
        return self._with_headers(self.chain, context, verdict)

    def forbids_retry(self, context: RequestContext, failed: FailedAttempts) -> bool:
        """Returns whether a plug-in forbids a retry; a plug-in can't request one."""
        if self.chain is None or not self.chain.has_hook(RETRY_HOOK):
            return False
        fields = (("tries", str(failed.count)), ("ran", str(int(failed.may_have_run))))
        return self.chain.call_hook(
            RETRY_HOOK, self._record(self.chain, RETRY_HOOK, context, fields)
        ).forbids_retry

    def _record(
        self, chain: PluginChain, hook: str, context: RequestContext, fields: Iterable[tuple[str, str]] = ()
    ) -> bytes:
        request = context.request
        name = context.request_class.name
        return chain.request_record(hook, request.method, request.raw_path, name, request.headers, fields)

    def _with_class(self, chain: PluginChain, context: RequestContext, verdict: Answer) -> RequestContext:
        """Changes the class, and with it routing table and deadline, but never makes a request idempotent."""
        if verdict.request_class is None:
            return context
        new_class = self._classes.get(verdict.request_class)
        if new_class is None:
            chain.record_clipped()
            return context
        if not context.request_class.is_idempotent:
            new_class = replace(new_class, idempotency=context.request_class.idempotency)
        return replace(context, request_class=new_class)

    def _with_workers(self, chain: PluginChain, context: RequestContext, verdict: Answer) -> RequestContext:
        if not (verdict.required_labels or verdict.preferred_labels):
            return context
        candidates = self._services.router.candidates(context.request_class.name)
        preference = RoutePreference(verdict.required_labels, verdict.preferred_labels)
        choice = narrow_candidates(candidates, self.labels, preference, self.falls_back)
        if choice.was_limited:
            chain.record_clipped()
        if choice.admitted_fraction < 1.0 and self._services.rng.random() >= choice.admitted_fraction:
            raise RequestRejectedError(NO_MATCHING_WORKER)
        return replace(context, preferred=choice.weights)

    def _with_headers(self, chain: PluginChain, context: RequestContext, verdict: Answer) -> RequestContext:
        """Drops and sets headers, as far as the operators allow changes of them."""
        if not (verdict.set_headers or verdict.drop_headers):
            return context
        headers = CIMultiDict(context.request.headers)
        for name, value in [*((name, "") for name in verdict.drop_headers), *verdict.set_headers]:
            if name.lower() not in self.allowed_headers:
                chain.record_clipped()
                continue
            headers.popall(name, None)
            if value:
                headers[name] = value
        return replace(context, headers=headers)

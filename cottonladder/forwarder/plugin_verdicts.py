"""What plug-ins make of a request, as far as they may: its class, its workers, its headers, or a refusal."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import replace
from typing import TYPE_CHECKING

from multidict import CIMultiDict

from ..planning.plugin_bounds import RoutePreference, narrow_candidates
from .errors import RequestRejectedError
from .fleet import Fleet
from .request_classes import RequestClass
from .request_context import RequestContext
from .responses import NO_MATCHING_WORKER, rejected_by_plugin
from .retries import FailedAttempts

if TYPE_CHECKING:
    from ..plugins.chain import PluginChain, Verdict


class PluginVerdicts:
    """Asks the plug-ins and holds their answers within what operators allow."""

    def __init__(self, classes: list[RequestClass], fleet: Fleet) -> None:
        self._classes = {request_class.name: request_class for request_class in classes}
        self._fleet = fleet
        self.chain: PluginChain | None = None  # where the operators' file names plug-ins
        self.labels: Mapping[str, frozenset[str]] = {}  # by worker
        self.falls_back = True  # to the whole table, where no worker has what is needed
        self.allowed_headers: frozenset[str] = frozenset()  # that plug-ins may change, in small letters

    def apply(self, context: RequestContext) -> RequestContext:
        """The request as the plug-ins leave it.  Raises RequestRejectedError."""
        if self.chain is None:
            return context
        hook = "upgrade" if "Upgrade" in context.request.headers else "route"
        if not self.chain.has_hook(hook):
            return context
        verdict = self.chain.call_hook(hook, self._record(self.chain, hook, context))
        if verdict.changes_nothing:
            return context
        if verdict.deny is not None:
            raise RequestRejectedError(rejected_by_plugin(verdict.deny))
        context = self._with_class(self.chain, context, verdict)
        context = self._with_workers(self.chain, context, verdict)
        return self._with_headers(self.chain, context, verdict)

    def forbids_retry(self, context: RequestContext, failed: FailedAttempts) -> bool:
        """A plug-in may forbid a retry, never ask for one."""
        if self.chain is None or not self.chain.has_hook("further"):
            return False
        more = (("tries", str(failed.count)), ("ran", str(int(failed.may_have_run))))
        return self.chain.call_hook("further", self._record(self.chain, "further", context, more)).forbid

    def _record(
        self, chain: PluginChain, hook: str, context: RequestContext, more: Iterable[tuple[str, str]] = ()
    ) -> bytes:
        request = context.request
        name = context.request_class.name
        return chain.request_record(hook, request.method, request.raw_path, name, request.headers, more)

    def _with_class(self, chain: PluginChain, context: RequestContext, verdict: Verdict) -> RequestContext:
        """Another class gives another table and deadline, never another right to be repeated."""
        if verdict.kind is None:
            return context
        other = self._classes.get(verdict.kind)
        if other is None:
            chain.record_clipped()
            return context
        if not context.request_class.is_repeatable:
            other = replace(other, idempotency=context.request_class.idempotency)
        return replace(context, request_class=other)

    def _with_workers(self, chain: PluginChain, context: RequestContext, verdict: Verdict) -> RequestContext:
        if not (verdict.need or verdict.prefer):
            return context
        candidates = self._fleet.router.candidates(context.request_class.name)
        preference = RoutePreference(verdict.need, verdict.prefer)
        choice = narrow_candidates(candidates, self.labels, preference, self.falls_back)
        if choice.was_limited:
            chain.record_clipped()
        if choice.admitted_fraction < 1.0 and self._fleet.rng.random() >= choice.admitted_fraction:
            raise RequestRejectedError(NO_MATCHING_WORKER)
        return replace(context, preferred=choice.weights)

    def _with_headers(self, chain: PluginChain, context: RequestContext, verdict: Verdict) -> RequestContext:
        """Only headers that operators named are changed."""
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

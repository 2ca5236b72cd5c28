"""A chain of plug-ins: circuit breakers, a common call time budget, fail-open or fail-closed, and reloads."""

from __future__ import annotations

import math
import time
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from itertools import islice

import structlog

from ..config.fields import MS_PER_S
from ..planning.plugin_bounds import CallTimeBudget, CircuitBreaker
from .abi import EMPTY_ANSWER, Answer, encode_record
from .errors import PluginFault, PluginLoadError
from .host import Plugin

# Further headers of a request are left out of its record.
MAX_HEADERS = 48
# Between two log lines on the state of the plug-ins.
STATUS_INTERVAL_S = 10.0
# Pairs of name and value.
RecordFields = Iterable[tuple[str, str]]


@dataclass(frozen=True, slots=True)
class PluginSpec:
    """The configuration of a plug-in.

    If it `fails_closed`, a request is rejected when the call fails or is skipped.
    """

    name: str
    path: str
    fails_closed: bool = False
    grants: frozenset[str] = frozenset()
    seed: int = 0


@dataclass(slots=True)
class _LoadedPlugin:
    spec: PluginSpec
    plugin: Plugin
    breaker: CircuitBreaker = field(default_factory=CircuitBreaker)


class PluginChain:
    """Chain of plug-ins, called in order; a call neither blocks nor raises."""

    def __init__(self, specs: Iterable[PluginSpec]) -> None:
        """Loads all plug-ins; raises PluginLoadError if one can't be loaded."""
        self.log: structlog.stdlib.BoundLogger = structlog.get_logger()
        self._budget = CallTimeBudget(refilled_at=time.monotonic())
        self._status_logged_at = time.monotonic()
        self._plugins = [self._load(spec) for spec in specs]

    def _load(self, spec: PluginSpec) -> _LoadedPlugin:
        started_at = time.perf_counter()
        plugin = Plugin(spec.name, spec.path, spec.grants, spec.seed, self._log_message)
        self.log.info(
            "plugin_loaded",
            plugin=spec.name,
            hooks=",".join(plugin.hooks),
            duration_ms=round((time.perf_counter() - started_at) * MS_PER_S, 1),
        )
        return _LoadedPlugin(spec, plugin)

    def _log_message(self, name: str, message: str) -> None:
        self.log.info("plugin_message", plugin=name, message=message)

    def reload(self, specs: Iterable[PluginSpec]) -> bool:
        """Replaces all plug-ins, or none of them if one can't be loaded or fails its self-test.

        Returns whether they were replaced; if not, the reason is logged.
        """
        try:
            plugins = [self._load(spec) for spec in specs]
        except PluginLoadError as exc:
            self.log.error("plugins_rejected", reason=str(exc))
            return False
        self._plugins = plugins
        names = ",".join(loaded.spec.name for loaded in plugins)
        self.log.info("plugins_reloaded", plugins=names or "none")
        return True

    def _call_plugin(self, loaded: _LoadedPlugin, hook: str, data: bytes) -> Answer | None:
        """Calls one plug-in; returns None if the call fails, or its breaker or the budget prevents it."""
        now = time.monotonic()
        plugin = loaded.plugin
        breaker = loaded.breaker
        if not self._budget.has_time_left(now) or not breaker.allow_call(now):
            plugin.counts.skipped += 1
            return None
        started_at = time.perf_counter()
        try:
            answer = plugin.call(hook, data)
        except PluginFault as exc:
            if breaker.record_fault(now):
                self.log.warning(
                    "plugin_disabled",
                    plugin=plugin.name,
                    reason=f"{exc.kind}: {exc}",
                    duration_s=round(breaker.open_until - now, 1),
                )
            return None
        except Exception as exc:  # an error of wasmtime, which counts as a fault of the plug-in
            breaker.record_fault(now)
            self.log.error("plugin_fault", plugin=plugin.name, reason=f"{type(exc).__name__}: {exc}")
            return None
        finally:
            self._budget.consume(time.perf_counter() - started_at)
        breaker.record_success(now)
        return answer

    def call_hook(self, hook: str, data: bytes) -> Answer:
        """Calls every plug-in that has this hook, in order, with a record, and combines their answers."""
        plugins = [loaded for loaded in self._plugins if hook in loaded.plugin.hooks]
        results = [_CallResult(loaded.spec, self._call_plugin(loaded, hook, data)) for loaded in plugins]
        if all(result.answer is EMPTY_ANSWER for result in results):
            return EMPTY_ANSWER
        return _combine(results)

    def request_record(
        self,
        hook: str,
        method: str,
        path: str,
        request_class: str,
        headers: Mapping[str, str],
        extra_fields: RecordFields = (),
    ) -> bytes:
        """Encodes a request, for callers that do not import this package unless plug-ins are configured."""
        return request_record(hook, method, path, request_class, headers, extra_fields)

    def has_hook(self, hook: str) -> bool:
        """Returns whether any plug-in has this hook."""
        return any(hook in loaded.plugin.hooks for loaded in self._plugins)

    def record_clipped(self) -> None:
        """Adds one to `clipped` of every plug-in.

        The combined answer does not tell which of them asked for more than is allowed.
        """
        for loaded in self._plugins:
            loaded.plugin.counts.clipped += 1

    def status(self) -> list[dict[str, object]]:
        """Returns the state of each plug-in, by the keys of the status page and of the log."""
        return [_status_row(loaded) for loaded in self._plugins]

    def log_status(self) -> None:
        """Logs the plug-ins with faults, skipped calls or clipped answers, once per `STATUS_INTERVAL_S`."""
        now = time.monotonic()
        if now - self._status_logged_at < STATUS_INTERVAL_S:
            return
        self._status_logged_at = now
        for row in self.status():
            if row["faults"] or row["skipped"] or row["clipped"]:
                self.log.info("plugin_status", **row)


@dataclass(frozen=True, slots=True)
class _CallResult:
    """A plug-in's answer, or None if the call failed or was skipped."""

    spec: PluginSpec
    answer: Answer | None


def _combine(results: Iterable[_CallResult]) -> Answer:
    """Combines the answers of plug-ins in the order of the chain.

    Labels and headers are concatenated, the first rejection and the first request class apply, and factors
    are multiplied.
    """
    required_labels: list[str] = []
    preferred_labels: list[str] = []
    set_headers: list[tuple[str, str]] = []
    drop_headers: list[str] = []
    rejection_reasons: list[str] = []
    request_class: str | None = None
    factors: list[float] = []
    forbids_retry = False
    for result in results:
        answer = result.answer
        if answer is None:
            if result.spec.fails_closed:
                rejection_reasons.append(f"{result.spec.name} can't judge")
                forbids_retry = True
            continue
        required_labels += answer.required_labels
        preferred_labels += answer.preferred_labels
        set_headers += answer.set_headers
        drop_headers += answer.drop_headers
        if answer.rejection_reason is not None:
            rejection_reasons.append(answer.rejection_reason)
        if answer.capacity_factor is not None:
            factors.append(answer.capacity_factor)
        request_class = request_class or answer.request_class
        forbids_retry = forbids_retry or answer.forbids_retry
    return Answer(
        required_labels=tuple(required_labels),
        preferred_labels=tuple(preferred_labels),
        rejection_reason=rejection_reasons[0] if rejection_reasons else None,
        request_class=request_class,
        forbids_retry=forbids_retry,
        set_headers=tuple(set_headers),
        drop_headers=tuple(drop_headers),
        capacity_factor=math.prod(factors) if factors else None,
    )


def _status_row(loaded: _LoadedPlugin) -> dict[str, object]:
    counts = loaded.plugin.counts
    return {
        "plugin": loaded.spec.name,
        "breaker": loaded.breaker.state.value,
        "opened": loaded.breaker.open_count,
        "calls": counts.calls,
        "faults": counts.faults,
        "skipped": counts.skipped,
        "clipped": counts.clipped,
        "ms": round(counts.duration_s * MS_PER_S, 1),
        "fuel": counts.fuel,
        "longest_ms": round(counts.longest_s * MS_PER_S, 2),
    }


def request_record(
    hook: str,
    method: str,
    path: str,
    request_class: str,
    headers: Mapping[str, str],
    extra_fields: RecordFields = (),
) -> bytes:
    """Encodes a request for a hook, with at most `MAX_HEADERS` headers, whose names are in lower case."""
    pairs = [("hook", hook), ("method", method), ("path", path), ("kind", request_class), *extra_fields]
    pairs += [("header:" + name.lower(), value) for name, value in islice(headers.items(), MAX_HEADERS)]
    return encode_record(pairs)

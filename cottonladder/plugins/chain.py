"""Several plug-ins in order: circuit breakers, a CPU budget over all, what fails open or closed, reloads."""

from __future__ import annotations

import math
import time
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from itertools import islice

import structlog

from ..planning.plugin_bounds import CircuitBreaker, CpuBudget
from .abi import EMPTY_ANSWER, RETRY, ROUTE, UPGRADE, Answer, encode_record
from .host import Plugin, PluginError, PluginFault

# Headers of a request that a plug-in is told of.
MAX_HEADERS = 48
# s between two log lines on how plug-ins stand.
STATUS_INTERVAL = 10.0
Pairs = Iterable[tuple[str, str]]


@dataclass(frozen=True, slots=True)
class PluginSpec:
    """One plug-in as the operators' file names it; `fails_closed`: with no answer a request is rejected."""

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


@dataclass(frozen=True, slots=True)
class Verdict:
    """Answers of all plug-ins together, under the interface's names.

    What they need, prefer, set and drop adds up; the first to deny or to name a kind counts; factors
    multiply.
    """

    need: tuple[str, ...] = ()
    prefer: tuple[str, ...] = ()
    deny: str | None = None
    kind: str | None = None
    forbid: bool = False
    set_headers: tuple[tuple[str, str], ...] = ()
    drop_headers: tuple[str, ...] = ()
    factor: float | None = None

    @property
    def changes_nothing(self) -> bool:
        """Whether every plug-in gave an empty answer."""
        return self is UNCHANGED


UNCHANGED = Verdict()


class PluginChain:
    """Several plug-ins in order; calls never wait and never raise."""

    def __init__(self, specs: Iterable[PluginSpec]) -> None:
        """Loads all of them; raises PluginError where one can't be."""
        self.log: structlog.stdlib.BoundLogger = structlog.get_logger()
        self._budget = CpuBudget(refilled_at=time.monotonic())
        self._status_logged_at = time.monotonic()
        self._plugins = [self._load(spec) for spec in specs]

    def _load(self, spec: PluginSpec) -> _LoadedPlugin:
        started_at = time.perf_counter()
        plugin = Plugin(spec.name, spec.path, spec.grants, spec.seed, self._log_message)
        self.log.info(
            "plugin_loaded",
            plugin=spec.name,
            hooks=",".join(plugin.hooks),
            duration_ms=round((time.perf_counter() - started_at) * 1000.0, 1),
        )
        return _LoadedPlugin(spec, plugin)

    def _log_message(self, name: str, message: str) -> None:
        self.log.info("plugin_message", plugin=name, message=message)

    def reload(self, specs: Iterable[PluginSpec]) -> str:
        """Loads all of them anew; why not, or an empty line.

        Each is proved by its own self-test before any takes over; else all stay as they were.
        """
        try:
            plugins = [self._load(spec) for spec in specs]
        except PluginError as exc:
            self.log.error("plugins_rejected", reason=str(exc))
            return str(exc)
        self._plugins = plugins
        names = ",".join(loaded.spec.name for loaded in plugins)
        self.log.info("plugins_reloaded", plugins=names or "none")
        return ""

    def _call(self, loaded: _LoadedPlugin, hook: str, data: bytes) -> Answer | None:
        """An answer, or none where the plug-in failed or is left alone."""
        now = time.monotonic()
        plugin = loaded.plugin
        breaker = loaded.breaker
        if not self._budget.allows(now) or not breaker.allows(now):
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
        except Exception as exc:  # the engine's own: a plug-in's fault as much as a trap
            breaker.record_fault(now)
            self.log.error("plugin_fault", plugin=plugin.name, reason=f"{type(exc).__name__}: {exc}")
            return None
        finally:
            self._budget.consume(time.perf_counter() - started_at)
        breaker.record_success(now)
        return answer

    def call_hook(self, hook: str, data: bytes) -> Verdict:
        """Calls every plug-in that has this hook, in order, with a record."""
        plugins = [loaded for loaded in self._plugins if hook in loaded.plugin.hooks]
        answers = [_GivenAnswer(loaded.spec, self._call(loaded, hook, data)) for loaded in plugins]
        if all(given.answer is EMPTY_ANSWER for given in answers):
            return UNCHANGED
        return _combine(answers)

    def request_record(
        self, hook: str, method: str, path: str, kind: str, headers: Mapping[str, str], more: Pairs = ()
    ) -> bytes:
        """The record of a request; see `request_record` of this module."""
        return request_record(hook, method, path, kind, headers, more)

    def has_hook(self, hook: str) -> bool:
        """Whether any plug-in has this hook."""
        return any(hook in loaded.plugin.hooks for loaded in self._plugins)

    def record_clipped(self) -> None:
        """An answer asked for more than may be."""
        for loaded in self._plugins:
            loaded.plugin.counts.clipped += 1

    def status(self) -> list[dict[str, object]]:
        """For operators: how each plug-in stands."""
        return [_status_row(loaded) for loaded in self._plugins]

    def log_status(self) -> None:
        """Logs a line for each plug-in where something happened, once a `STATUS_INTERVAL`."""
        now = time.monotonic()
        if now - self._status_logged_at < STATUS_INTERVAL:
            return
        self._status_logged_at = now
        for row in self.status():
            if row["faults"] or row["skipped"] or row["clipped"]:
                self.log.info("plugin_status", **row)


@dataclass(frozen=True, slots=True)
class _GivenAnswer:
    """What a plug-in answered; none: it failed or was left alone."""

    spec: PluginSpec
    answer: Answer | None


def _combine(answers: Iterable[_GivenAnswer]) -> Verdict:
    """The verdict of several answers, in their order."""
    need: list[str] = []
    prefer: list[str] = []
    set_headers: list[tuple[str, str]] = []
    drop_headers: list[str] = []
    denials: list[str] = []
    kind: str | None = None
    factors: list[float] = []
    forbid = False
    for given in answers:
        answer = given.answer
        if answer is None:
            if given.spec.fails_closed:
                denials.append(f"{given.spec.name} can't judge")
                forbid = True
            continue
        need += answer.need
        prefer += answer.prefer
        set_headers += answer.set_headers
        drop_headers += answer.drop_headers
        denials += [] if answer.deny is None else [answer.deny]
        kind = kind or answer.kind
        factors += [] if answer.factor is None else [answer.factor]
        forbid = forbid or answer.forbid
    return Verdict(
        need=tuple(need),
        prefer=tuple(prefer),
        deny=denials[0] if denials else None,
        kind=kind,
        forbid=forbid,
        set_headers=tuple(set_headers),
        drop_headers=tuple(drop_headers),
        factor=math.prod(factors) if factors else None,
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
        "ms": round(counts.seconds * 1000.0, 1),
        "fuel": counts.fuel,
        "longest_ms": round(counts.longest_s * 1000.0, 2),
    }


def request_record(
    hook: str, method: str, path: str, kind: str, headers: Mapping[str, str], more: Pairs = ()
) -> bytes:
    """What a plug-in is told of a request; `kind`: its class; names of headers in small letters."""
    pairs = [("hook", hook), ("method", method), ("path", path), ("kind", kind), *more]
    pairs += [("header:" + name.lower(), value) for name, value in islice(headers.items(), MAX_HEADERS)]
    return encode_record(pairs)


__all__ = [
    "RETRY",
    "ROUTE",
    "UPGRADE",
    "PluginChain",
    "PluginError",
    "PluginSpec",
    "Verdict",
    "request_record",
]

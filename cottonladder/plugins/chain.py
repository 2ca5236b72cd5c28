"""Several plug-ins in order: breakers, the budget of time over all, what fails open or closed, reloads."""

from __future__ import annotations

import time
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from itertools import islice

import structlog

from ..planning.plugin_bounds import CircuitBreaker, CpuBudget
from .abi import EMPTY_ANSWER, RETRY, ROUTE, UPGRADE, Answer, encode_record
from .host import Plugin, PluginError, PluginFault

MAX_HEADERS = 48  # of a req, told to a plug-in
Pairs = Iterable[tuple[str, str]]
STATUS_INTERVAL = 10.0  # s between two lines on how plug-ins stand


@dataclass(frozen=True, slots=True)
class PluginSpec:
    """One plug-in as the operators' file names it; `closed`: a req that it can't judge is refused."""

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
    """Answers of all plug-ins together: what they need adds up, the first to deny or to name a kind
    counts."""

    need: tuple[str, ...] = ()
    prefer: tuple[str, ...] = ()
    deny: str | None = None
    kind: str | None = None
    forbid: bool = False
    set_headers: tuple[tuple[str, str], ...] = ()
    drop_headers: tuple[str, ...] = ()
    factor: float | None = None  # of all that gave one, multiplied

    @property
    def changes_nothing(self) -> bool:
        return self is UNCHANGED


UNCHANGED = Verdict()


class PluginChain:
    """Owns the plug-ins; calls never wait and never raise."""

    def __init__(self, wanted: Iterable[PluginSpec]) -> None:
        self.log: structlog.stdlib.BoundLogger = structlog.get_logger()
        self._budget = CpuBudget(refilled_at=time.monotonic())
        self._status_logged_at = time.monotonic()
        self._plugins = [self._load(w) for w in wanted]

    def _load(self, wanted: PluginSpec) -> _LoadedPlugin:
        begun = time.perf_counter()
        plugin = Plugin(wanted.name, wanted.path, wanted.grants, wanted.seed, self._log_message)
        ms = round((time.perf_counter() - begun) * 1000.0, 1)
        self.log.info("plug-in loaded", plugin=wanted.name, hooks=",".join(plugin.hooks), ms=ms)
        return _LoadedPlugin(wanted, plugin)

    def _log_message(self, name: str, words: str) -> None:
        self.log.info("plug-in says", plugin=name, words=words)

    def reload(self, wanted: Iterable[PluginSpec]) -> str:
        """All of them new, each proved by its own self-test before any takes over; else all stay as they
        were."""
        try:
            links = [self._load(w) for w in wanted]
        except PluginError as exc:
            self.log.error("plug-ins not taken", why=str(exc))
            return str(exc)
        self._plugins = links
        self.log.info("plug-ins taken", plugins=",".join(link.spec.name for link in links) or "none")
        return ""

    def _call(self, link: _LoadedPlugin, hook: str, data: bytes) -> Answer | None:
        """An answer, or none where there is no judgement."""
        now = time.monotonic()
        plugin, breaker = link.plugin, link.breaker
        if not self._budget.allows(now) or not breaker.allows(now):
            plugin.counts.skipped += 1
            return None
        begun = time.perf_counter()
        try:
            said = plugin.call(hook, data)
        except PluginFault as exc:
            if breaker.record_fault(now):
                self.log.warning("plug-in off", plugin=plugin.name, why=f"{exc.kind}: {exc}",
                                 s=round(breaker.open_until - now, 1))  # fmt: skip
            return None
        except Exception as exc:  # the engine's own: a plug-in's fault as much as a trap
            breaker.record_fault(now)
            self.log.error("plug-in fault", plugin=plugin.name, why=f"{type(exc).__name__}: {exc}")
            return None
        finally:
            self._budget.consume(time.perf_counter() - begun)
        breaker.record_success(now)
        return said

    def call_hook(self, hook: str, data: bytes) -> Verdict:
        """Every plug-in with this hook, in order."""
        need, prefer, deny, kind, forbid = list[str](), list[str](), None, None, False
        factor: float | None = None
        sets, drops = list[tuple[str, str]](), list[str]()
        links = [link for link in self._plugins if hook in link.plugin.hooks]
        answers = [(link, self._call(link, hook, data)) for link in links]
        if all(said is EMPTY_ANSWER for _, said in answers):
            return UNCHANGED
        for link, said in answers:
            if said is None:
                if link.spec.fails_closed:
                    deny = deny if deny is not None else f"{link.spec.name} can't judge"
                    forbid = True
                continue
            need += said.need
            prefer += said.prefer
            deny = deny if deny is not None else said.deny
            kind = kind or said.kind
            forbid = forbid or said.forbid
            if said.factor is not None:
                factor = said.factor * (1.0 if factor is None else factor)
            sets += said.set_headers
            drops += said.drop_headers
        return Verdict(tuple(need), tuple(prefer), deny, kind, forbid, tuple(sets), tuple(drops), factor)

    def request_record(
        self, hook: str, method: str, path: str, kind: str, headers: Mapping[str, str], more: Pairs = ()
    ) -> bytes:
        """The record of a req."""
        return request_record(hook, method, path, kind, headers, more)

    def has_hook(self, hook: str) -> bool:
        return any(hook in link.plugin.hooks for link in self._plugins)

    def record_clipped(self) -> None:
        """An answer asked for more than may be."""
        for link in self._plugins:
            link.plugin.counts.clipped += 1

    def status(self) -> list[dict[str, object]]:
        """For operators: how each plug-in stands."""
        return [_status_row(loaded) for loaded in self._plugins]

    def log_status(self) -> None:
        """One line each where something happened, now and then."""
        now = time.monotonic()
        if now - self._status_logged_at < STATUS_INTERVAL:
            return
        self._status_logged_at = now
        for row in self.status():
            if row["faults"] or row["skipped"] or row["clipped"]:
                self.log.info("plug-in stands", **row)


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
    hook: str,
    method: str,
    path: str,
    kind: str,
    headers: Mapping[str, str],
    more: Iterable[tuple[str, str]] = (),
) -> bytes:
    """What a plug-in is told of a req; names of headers in small letters."""
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

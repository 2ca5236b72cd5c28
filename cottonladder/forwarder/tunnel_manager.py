"""Owns the tunnels: counts them by worker, carries out drains, and closes them in order."""

from __future__ import annotations

import math

import structlog

from .client_listener import ClientListener
from .connection_drainer import NO_ORDER, ConnectionDrainer, CutConnections, StartMove
from .connection_registry import ConnectionRegistry
from .fleet import Fleet
from .frame_scanner import GOING_AWAY, INTERNAL_ERROR, SERVICE_RESTART
from .resource_limits import MIN_ATTEMPT_TIMEOUT_S, retry_after
from .responses import OUTCOME_UNKNOWN
from .tunnel import CLOSE_TIMEOUT_S, Tunnel
from .upgrade_handshake import handshake
from .worker_slots import WorkerSlots

MAX_END_REASONS = 32  # reasons for an end that are told apart between two log lines
MAX_LOGGED_REASON = 64  # characters of a worker's or an error's text in a reason
OTHER_REASONS = "others"


class TunnelManager:
    """The owner of all tunnels of one forwarder."""

    def __init__(self, fleet: Fleet, drainer: ConnectionDrainer, listener: ClientListener) -> None:
        self._fleet = fleet
        self._drainer = drainer
        self._listener = listener
        self.registry: ConnectionRegistry[Tunnel] = ConnectionRegistry()
        self.slots = WorkerSlots(fleet, self.registry)
        self.end_reasons: dict[str, int] = {}  # tunnels by the reason of their end, since the last log line
        self.counts = {"moved": 0, "closed": 0, "cut": 0, "busy_cut": 0}
        self.log: structlog.stdlib.BoundLogger = structlog.get_logger()

    # what tunnels report

    def tunnel_migrated(self, tunnel: Tunnel, source: str, order: int) -> None:
        """A tunnel has left `source` for its present worker."""
        self.registry.move(source, tunnel.worker_id, tunnel)
        self.counts["moved"] += 1
        self._drainer.connection_settled(source, order, True)

    def tunnel_stayed(self, tunnel: Tunnel, order: int, reason: str) -> None:
        """A migration did not come about."""
        self._drainer.connection_settled(tunnel.worker_id, order, False)
        self._note_end(f"stayed: {reason[:MAX_LOGGED_REASON]}")

    def tunnel_ended(self, tunnel: Tunnel, reason: str) -> None:
        """A tunnel has given its ends back."""
        self.registry.remove(tunnel.worker_id, tunnel)
        self._listener.slots.release(tunnel.client)
        self._drainer.connection_settled(tunnel.worker_id, tunnel.order, True)
        self._note_end(reason)

    def _note_end(self, reason: str) -> None:
        is_told_apart = reason in self.end_reasons or len(self.end_reasons) < MAX_END_REASONS
        key = reason if is_told_apart else OTHER_REASONS
        self.end_reasons[key] = self.end_reasons.get(key, 0) + 1

    def log_ended_connections(self) -> None:
        """One line for all connections that ended since the last one."""
        if self.end_reasons:
            count = sum(self.end_reasons.values())
            self.log.info("connections_ended", count=count, reasons=str(self.end_reasons))
            self.end_reasons = {}

    # drains

    def tick_drains(self) -> None:
        """Carries out what is due of every drain."""
        now = self._fleet.now()
        workers_with_connections = self.registry.workers()
        self._start_and_cancel_drains(now, workers_with_connections)
        split = {
            worker_id: self.registry.idle_and_held(worker_id, now)
            for worker_id in workers_with_connections & self._drainer.workers()
        }
        idle_counts = {worker_id: len(idle) for worker_id, (idle, _) in split.items()}
        held_counts = {worker_id: self.registry.count(worker_id) for worker_id in split}
        for action in self._drainer.due_actions(now, idle_counts, held_counts):
            if isinstance(action, CutConnections):
                self._cut(action.worker_id, now)
            elif not self._start_move(action, split[action.worker_id][0].pop(0), now):
                break
        self._log_state_changes()
        router = self._fleet.router
        self._drainer.forget_finished(workers_with_connections, router.excluded | router.leaving)

    def _start_and_cancel_drains(self, now: float, workers_with_connections: set[str]) -> None:
        for worker_id in workers_with_connections:
            if self._fleet.router.is_excluded(worker_id):
                self._drainer.start(now, worker_id)
        for worker_id in self._drainer.workers():
            if not self._fleet.router.is_excluded(worker_id) and not self._drainer.has_orders(worker_id):
                self._drainer.cancel(worker_id)

    def _log_state_changes(self) -> None:
        for change in self._drainer.state_changes:
            self.log.info(
                "drain_state",
                worker_id=change.worker_id,
                old_state=change.old_state.value,
                new_state=change.new_state.value,
                reason=change.event.value,
            )
        self._drainer.state_changes.clear()

    def _close_time(self, worker_id: str, now: float) -> float:
        """How long a close may take: all must be off when the grace ends."""
        return min(CLOSE_TIMEOUT_S, self._drainer.time_left(now, worker_id))

    def _start_move(self, move: StartMove, tunnel: Tunnel, now: float) -> bool:
        """One connection leaves its worker.  False: no worker of the table has a slot for it yet."""
        target = move.target
        if target is not None and not self._is_available(target):
            # The destination died: the manager plans anew.
            self._drainer.connection_settled(move.worker_id, move.order, False)
            return True
        if move.close or not tunnel.is_resumable:
            self._close_for_drain(move, tunnel, now)
            return True
        if target is None:
            target, _ = self.slots.select(tunnel.request_class, [move.worker_id])
        if target is None:
            return False
        self._migrate(move, tunnel, target, now)
        return True

    def _is_available(self, worker_id: str) -> bool:
        if self._fleet.router.is_excluded(worker_id):
            return False
        return self._fleet.address_of(worker_id) is not None

    def _close_for_drain(self, move: StartMove, tunnel: Tunnel, now: float) -> None:
        """Its client comes back by itself."""
        if move.target is None:
            delay_s = retry_after(0.0, self._fleet.rng.random())
        else:
            self._fleet.pacer.reserve(now, move.target, 1)  # whoever comes back finds the slot that was meant
            delay_s = retry_after(0.0, 0.0)
        self.counts["closed"] += 1
        message = f"moved: come back in {delay_s} s"
        timeout_s = self._close_time(move.worker_id, now)
        tunnel.close(move.order, SERVICE_RESTART, message, "drained", timeout_s)

    def _migrate(self, move: StartMove, tunnel: Tunnel, target: str, now: float) -> None:
        left = min(self._fleet.limits.first_byte_timeout_s, self._drainer.time_left(now, move.worker_id))
        deadline = now + max(MIN_ATTEMPT_TIMEOUT_S, left)
        tunnel.migrate(move.order, lambda head: handshake(self._fleet, target, head, deadline))

    def _cut(self, worker_id: str, now: float) -> None:
        """The grace is over.  Who waits for an answer is told that nobody knows; nothing sends it again."""
        for tunnel in self.registry.connections_of(worker_id):
            if tunnel.is_closing:
                continue
            is_unknown = tunnel.pending_requests > 0
            self.counts["cut"] += 1
            self.counts["busy_cut"] += is_unknown
            code = INTERNAL_ERROR if is_unknown else SERVICE_RESTART
            message = OUTCOME_UNKNOWN if is_unknown else "moved: come back in 1 s"
            timeout_s = self._close_time(worker_id, now)
            tunnel.close(NO_ORDER, code, message, "cut at the end of the grace", timeout_s)

    # the stop

    def _all(self) -> list[Tunnel]:
        return [
            tunnel
            for worker_id in self.registry.workers()
            for tunnel in self.registry.connections_of(worker_id)
        ]

    def close_part(self, part: float) -> int:
        """At the stop: closes a part of the connections, idle ones first; tells how many are left."""
        now = self._fleet.now()
        still_open = [tunnel for tunnel in self._all() if not tunnel.is_closing]
        still_open.sort(key=lambda tunnel: tunnel.is_busy(now))
        count = math.ceil(part * len(still_open))
        for tunnel in still_open[:count]:
            self._close_for_stop(tunnel)
        return len(still_open) - count

    def _close_for_stop(self, tunnel: Tunnel) -> None:
        delay_s = retry_after(0.0, self._fleet.rng.random())
        is_unknown = tunnel.pending_requests > 0
        code = INTERNAL_ERROR if is_unknown else GOING_AWAY
        message = OUTCOME_UNKNOWN if is_unknown else f"forwarder stops: come back in {delay_s} s"
        tunnel.close(NO_ORDER, code, message, "forwarder stops", CLOSE_TIMEOUT_S)

    def abort(self) -> None:
        """Ends whatever is left."""
        for tunnel in self._all():
            tunnel.abort()

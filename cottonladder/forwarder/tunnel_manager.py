"""The tunnels of a forwarder: their counts by worker, their drains, and their closing at shutdown."""

from __future__ import annotations

import asyncio
import math
from dataclasses import asdict, dataclass

import structlog

from .client_listener import ClientListener
from .connection_drainer import CloseAllConnections, ConnectionDrainer, ReleaseConnection
from .connection_registry import ConnectionRegistry
from .drain_orders import NO_ORDER
from .final_answers import OUTCOME_UNKNOWN
from .frame_scanner import GOING_AWAY, INTERNAL_ERROR, SERVICE_RESTART
from .request_services import RequestServices
from .resource_limits import MIN_ATTEMPT_TIMEOUT_S
from .retry_after import retry_after
from .tunnel import CLOSE_TIMEOUT_S, Tunnel
from .tunnel_ends import WorkerEnd
from .upgrade_handshake import handshake
from .worker_slots import WorkerSlots

MAX_REASONS_PER_LOG_LINE = 32  # further reasons are counted together
MAX_FAILURE_REASON_CHARACTERS = 64  # a longer reason of a failed migration is truncated
OTHER_REASONS = "others"


@dataclass(slots=True)
class TunnelCounters:
    """The numbers of tunnels that have left a worker, by the way they left.

    `moved`: migrated; `closed`: closed for a drain; `cut`: closed at the end of the grace period, of which
    `busy_cut` had an unanswered request.  The names are keys of the status that operators read.
    """

    moved: int = 0
    closed: int = 0
    cut: int = 0
    busy_cut: int = 0

    def as_status(self) -> dict[str, int]:
        """Returns the counters by name."""
        return asdict(self)


class TunnelManager:
    """Observer of the tunnels that migrates and closes them, and runs the handshakes of their migrations."""

    def __init__(
        self, services: RequestServices, drainer: ConnectionDrainer, listener: ClientListener
    ) -> None:
        self._services = services
        self._drainer = drainer
        self._listener = listener
        self._handshakes: set[asyncio.Task[WorkerEnd]] = set()
        self.registry: ConnectionRegistry[Tunnel] = ConnectionRegistry()
        self.slots = WorkerSlots(services, self.registry)
        self._reason_counts: dict[str, int] = {}  # ends and failed migrations, since the last log line
        self.counters = TunnelCounters()
        self.log: structlog.stdlib.BoundLogger = structlog.get_logger()

    # Notifications from tunnels.

    def tunnel_migrated(self, tunnel: Tunnel, source: str, order: int) -> None:
        """Moves a tunnel from the count of the worker `source` to that of its current worker."""
        self.registry.move(source, tunnel.worker_id, tunnel)
        self.counters.moved += 1
        self._drainer.record_release(source, order, succeeded=True)

    def migration_failed(self, tunnel: Tunnel, order: int, reason: str) -> None:
        """Records a failed migration and its reason."""
        self._drainer.record_release(tunnel.worker_id, order, succeeded=False)
        self._count_reason(f"migration failed: {reason[:MAX_FAILURE_REASON_CHARACTERS]}")

    def tunnel_ended(self, tunnel: Tunnel, reason: str) -> None:
        """Removes an ended tunnel, releases its client's slot, and records the reason."""
        self.registry.remove(tunnel.worker_id, tunnel)
        self._listener.slots.release(tunnel.client_address)
        self._drainer.record_release(tunnel.worker_id, tunnel.order, succeeded=True)
        self._count_reason(reason)

    def _count_reason(self, reason: str) -> None:
        is_separate = reason in self._reason_counts or len(self._reason_counts) < MAX_REASONS_PER_LOG_LINE
        key = reason if is_separate else OTHER_REASONS
        self._reason_counts[key] = self._reason_counts.get(key, 0) + 1

    def log_ended_connections(self) -> None:
        """Logs the connections that have ended and the migrations that have failed since the last call."""
        if self._reason_counts:
            count = sum(self._reason_counts.values())
            self.log.info("connections_ended", count=count, reasons=str(self._reason_counts))
            self._reason_counts = {}

    # Drains.

    def tick_drains(self) -> None:
        """Starts and cancels drains, and executes their due actions."""
        now = self._services.now()
        workers = self.registry.workers()
        self._start_and_cancel_drains(now, workers)
        draining = workers & self._drainer.workers()
        idle = {worker_id: self.registry.idle_connections(worker_id, now) for worker_id in draining}
        idle_counts = {worker_id: len(tunnels) for worker_id, tunnels in idle.items()}
        counts = {worker_id: self.registry.count(worker_id) for worker_id in draining}
        for action in self._drainer.due_actions(now, idle_counts, counts):
            if isinstance(action, CloseAllConnections):
                self._close_all(action.worker_id, now)
            elif not self._release(action, idle[action.worker_id].pop(0), now):
                break
        self._log_state_changes()
        router = self._services.router
        self._drainer.forget_finished(workers, router.excluded | router.leaving)

    def _start_and_cancel_drains(self, now: float, workers: set[str]) -> None:
        for worker_id in workers:
            if self._services.router.is_excluded(worker_id):
                self._drainer.start(now, worker_id)
        for worker_id in self._drainer.workers():
            if not self._services.router.is_excluded(worker_id) and not self._drainer.has_orders(worker_id):
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

    def _close_timeout_s(self, worker_id: str, now: float) -> float:
        """Returns the time limit for a close, as every connection has to end within the grace period."""
        return min(CLOSE_TIMEOUT_S, self._drainer.time_left_s(now, worker_id))

    def _release(self, release: ReleaseConnection, tunnel: Tunnel, now: float) -> bool:
        """Migrates or closes one connection; returns False if no worker in the table has a slot yet."""
        target = release.target
        if target is not None and not self._is_available(target):
            # The destination has been excluded or forgotten since the order was sent, so the manager has to
            # plan again.
            self._drainer.record_release(release.worker_id, release.order, succeeded=False)
            return True
        if release.close or not tunnel.is_resumable:
            self._close_for_drain(release, tunnel, now)
            return True
        if target is None:
            target = self.slots.select(tunnel.request_class, [release.worker_id]).worker_id
        if target is None:
            return False
        self._migrate(release, tunnel, target, now)
        return True

    def _is_available(self, worker_id: str) -> bool:
        if self._services.router.is_excluded(worker_id):
            return False
        return self._services.address_of(worker_id) is not None

    def _close_for_drain(self, release: ReleaseConnection, tunnel: Tunnel, now: float) -> None:
        """Closes a connection and asks its client to reconnect."""
        if release.target is None:
            delay_s = retry_after(0.0, self._services.rng.random())
        else:
            # Reserves a slot at the destination and asks the client to return after the minimum delay.
            self._services.pacer.reserve(now, release.target, 1)
            delay_s = retry_after(0.0, 0.0)
        self.counters.closed += 1
        message = f"moved: come back in {delay_s} s"
        timeout_s = self._close_timeout_s(release.worker_id, now)
        tunnel.close(release.order, SERVICE_RESTART, message, "drained", timeout_s)

    def _migrate(self, release: ReleaseConnection, tunnel: Tunnel, target: str, now: float) -> None:
        time_left_s = self._drainer.time_left_s(now, release.worker_id)
        timeout_s = max(MIN_ATTEMPT_TIMEOUT_S, min(self._services.limits.first_byte_timeout_s, time_left_s))
        tunnel.migrate(release.order, lambda head: self._start_handshake(target, head, now + timeout_s))

    def _start_handshake(self, target: str, head: bytes, deadline: float) -> asyncio.Task[WorkerEnd]:
        task = asyncio.create_task(
            handshake(self._services, target, head, deadline), name=f"migrate to {target}"
        )
        self._handshakes.add(task)
        task.add_done_callback(self._handshakes.discard)
        return task

    def _close_all(self, worker_id: str, now: float) -> None:
        """Closes every connection that is still open at a worker, near the end of its grace period.

        A client with an unanswered request is notified that the outcome is unknown; the request is not sent
        to another worker.
        """
        for tunnel in self.registry.connections_of(worker_id):
            if tunnel.is_closing:
                continue
            is_unknown = tunnel.pending_requests > 0
            self.counters.cut += 1
            self.counters.busy_cut += is_unknown
            code = INTERNAL_ERROR if is_unknown else SERVICE_RESTART
            message = OUTCOME_UNKNOWN if is_unknown else "moved: come back in 1 s"
            timeout_s = self._close_timeout_s(worker_id, now)
            tunnel.close(NO_ORDER, code, message, "closed at the end of the grace period", timeout_s)

    # Shutdown of the forwarder.

    def _all_tunnels(self) -> list[Tunnel]:
        return [
            tunnel
            for worker_id in self.registry.workers()
            for tunnel in self.registry.connections_of(worker_id)
        ]

    def close_fraction(self, fraction: float) -> int:
        """Closes a fraction of the open connections, idle ones first; returns how many remain open."""
        now = self._services.now()
        still_open = [tunnel for tunnel in self._all_tunnels() if not tunnel.is_closing]
        still_open.sort(key=lambda tunnel: tunnel.is_busy(now))
        count = math.ceil(fraction * len(still_open))
        for tunnel in still_open[:count]:
            self._close_for_shutdown(tunnel)
        return len(still_open) - count

    def _close_for_shutdown(self, tunnel: Tunnel) -> None:
        delay_s = retry_after(0.0, self._services.rng.random())
        is_unknown = tunnel.pending_requests > 0
        code = INTERNAL_ERROR if is_unknown else GOING_AWAY
        message = OUTCOME_UNKNOWN if is_unknown else f"forwarder stops: come back in {delay_s} s"
        tunnel.close(NO_ORDER, code, message, "forwarder shutting down", CLOSE_TIMEOUT_S)

    async def close(self) -> None:
        """Ends every tunnel and cancels the handshakes of migrations in progress."""
        for tunnel in self._all_tunnels():
            tunnel.abort()
        handshakes = list(self._handshakes)
        for task in handshakes:
            task.cancel()
        await asyncio.gather(*handshakes, return_exceptions=True)

"""A DFP manager (draft-eck-dfp) that receives the weights of the workers from an agent."""

from __future__ import annotations

from collections.abc import Callable

from ..config.fields import HostPort
from . import dfp, sasp
from .client import AdviceListener, AdvisorClient, ReportedWeight
from .errors import UnexpectedMessageError
from .tlv import Address

# Keep-alive interval that agents are asked for.
REQUESTED_KEEP_ALIVE_S = 10
# Number of keep-alive intervals without received data after which the connection is closed.
SILENCE_TIMEOUT_INTERVALS = 2.0
# Port number of a load that applies to all ports of its hosts.
ALL_PORTS = 0


class DfpAdvisorClient(AdvisorClient):
    """Receiver of an agent's reports; `secret` is the key id and key that authenticate messages."""

    def __init__(
        self,
        address: HostPort,
        listener: AdviceListener,
        uniform: Callable[[], float],
        secret: tuple[int, bytes] | None,
    ) -> None:
        super().__init__(address, listener, None, uniform)
        self._secret = secret
        self._reader = dfp.MessageReader()

    def start_session(self) -> None:
        """Asks the agent for a report at least once per keep-alive interval."""
        self._reader = dfp.MessageReader(dict([self._secret]) if self._secret else None)
        parameters = dfp.Message(dfp.MessageType.DFP_PARAMETERS, keep_alive_s=REQUESTED_KEEP_ALIVE_S)
        self.send(dfp.encode_message(parameters, self._secret))

    def locations_changed(self) -> None:
        """Does nothing, because a DFP manager has no message that lists workers."""

    def poll(self) -> None:
        """Does nothing, because an agent sends reports without requests."""

    @property
    def silence_timeout_s(self) -> float:
        """Time in seconds without received data after which the connection is closed."""
        return SILENCE_TIMEOUT_INTERVALS * REQUESTED_KEEP_ALIVE_S

    def receive(self, data: bytes) -> None:
        """Passes reported weights to the listener; raises AdviceError for a message of a manager."""
        for message in self._reader.feed(data):
            if message.message_type == dfp.MessageType.PREFERENCE_INFORMATION:
                self._report_weights(message)
            elif message.message_type not in (
                dfp.MessageType.BIND_ID_REPORT,
                dfp.MessageType.BIND_ID_CHANGE_NOTICE,
            ):
                name = f"DFP message ({dfp.MESSAGE_NAMES[message.message_type]})"
                raise UnexpectedMessageError(name, "a message of an agent")

    def _report_weights(self, message: dfp.Message) -> None:
        """Passes one weight of each reported worker to the listener: the lowest one over all BindIDs."""
        workers_by_address = self._workers_by_address()
        lowest: dict[int, int] = {}
        self.unmatched_count = 0
        for load in message.loads:
            for host in load.hosts:
                if load.port == ALL_PORTS:
                    workers = workers_by_address.get(host.address, [])
                else:
                    workers = self._workers_at(load, host)
                if not workers:
                    self.unmatched_count += 1
                for worker_index in workers:
                    lowest[worker_index] = min(lowest.get(worker_index, host.weight), host.weight)
        reported = [ReportedWeight(worker_index, weight, True) for worker_index, weight in lowest.items()]
        self.listener.weights_received(self.name, reported, is_complete=False)

    def _workers_by_address(self) -> dict[Address | None, list[int]]:
        workers: dict[Address | None, list[int]] = {}
        for location in self.locations:
            workers.setdefault(location.address, []).append(location.worker_index)
        return workers

    def _workers_at(self, load: dfp.Load, host: dfp.HostPreference) -> list[int]:
        """Returns the index of the worker at a host and the load's port; empty if there is none."""
        worker_index = self.members.find(sasp.MemberData(load.protocol, load.port, host.address))
        return [] if worker_index is None else [worker_index]

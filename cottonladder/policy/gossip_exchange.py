"""Gossip between managers: what they send about their proxies, and how long it is valid.

Once an interval each manager sends the number of its proxies and their demand by zone to all others, where
the deployment allows gossip. What another manager sent replaces its former figures and is valid for three
intervals. A datagram that does not have the right number of figures is dropped, which protects the demand
estimate from corrupted datagrams; a lost one is replaced by an estimate.
"""

from ..model import (
    ControllerState,
    PeerDemand,
    ProxyDemand,
    decode_zone_demand,
    encode_zone_demand,
    inputs,
    orders,
)
from .cadence import SOLVE_INTERVAL_S

MAX_GOSSIP_ZONES = 18  # that one datagram holds
PEER_DEMAND_TTL_S = 3 * SOLVE_INTERVAL_S
ALL_PEERS = -1


class GossipExchange:
    """Sends this manager's figures, and keeps those of the others."""

    def __init__(self, state: ControllerState) -> None:
        self._state = state
        self._peers = PeerDemand(state.parameters.zone_count)

    def receive(self, gossip: inputs.GossipReceived) -> None:
        """Records another manager's figures."""
        figures = decode_zone_demand(gossip.text, len(self._state.zones), MAX_GOSSIP_ZONES)
        if figures is not None:
            self._peers.update(gossip.sender, self._state.now, figures)

    def send(self, request_rates: list[float]) -> None:
        """Orders gossip of the connected proxies and their requests/s by zone."""
        counts = self._state.proxies.zone_counts()
        texts = encode_zone_demand(counts, request_rates, MAX_GOSSIP_ZONES)
        self._state.pending_orders.extend(orders.SendGossip(ALL_PEERS, text) for text in texts)

    def recent(self) -> list[ProxyDemand]:
        """Returns the demand and the proxies of each other manager whose figures are valid."""
        return self._peers.recent_demands(self._state.now, PEER_DEMAND_TTL_S)

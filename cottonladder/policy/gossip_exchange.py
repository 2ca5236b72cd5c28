"""Gossip between managers: what they send about their proxies, and how long it is valid.

Once per solve interval each manager sends the number and the demand of its proxies by zone to all others,
where the deployment allows gossip. A datagram replaces the sender's previous values for the zones that it
covers. All values of a sender are valid for three solve intervals after its last datagram. A datagram with a
wrong number of values is dropped, which protects the demand estimate from corrupted datagrams. The demand of
proxies that no valid gossip covers is estimated.
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

MAX_GOSSIP_ZONES = 18  # zones per datagram
PEER_DEMAND_TTL_S = 3 * SOLVE_INTERVAL_S
ALL_PEERS = -1


class GossipExchange:
    """Gossip about demand: sends that of this manager's proxies, keeps that of other managers' proxies."""

    def __init__(self, state: ControllerState) -> None:
        self._state = state
        self._peers = PeerDemand(state.parameters.zone_count)

    def receive(self, gossip: inputs.GossipReceived) -> None:
        """Records the demand that another manager sent; malformed text is dropped."""
        zone_demand = decode_zone_demand(gossip.text, len(self._state.zones), MAX_GOSSIP_ZONES)
        if zone_demand is not None:
            self._peers.update(gossip.sender, self._state.now, zone_demand)

    def send(self, request_rates: list[float]) -> None:
        """Orders gossip with the number of connected proxies and their requests/s by zone."""
        counts = self._state.proxies.zone_counts()
        texts = encode_zone_demand(counts, request_rates, MAX_GOSSIP_ZONES)
        self._state.pending_orders.extend(orders.SendGossip(ALL_PEERS, text) for text in texts)

    def recent_peer_demands(self) -> list[ProxyDemand]:
        """Returns the demand and the proxy counts of each other manager whose gossip is still valid."""
        return self._peers.recent_demands(self._state.now, PEER_DEMAND_TTL_S)

"""Start and stop of one manager: everything opened here is given back here, in the opposite order."""

from __future__ import annotations

import asyncio
import signal
from contextlib import AsyncExitStack

import structlog

from ..decisions.rules import Ladder
from ..state.roster import Roster
from ..state.spread import Spread
from ..wire import probes
from ..wire.address import ACCEPTED_AT_ONCE, Address
from ..wire.discovery import Discovery
from ..wire.messages import Mouth
from ..wire.peers import Peers
from .owner import Hands, Inbox, Owner
from .placement import Placement

SOCKETS_KEPT = 32  # descriptors beside connections: log, loop, listener, discovery, datagrams; some spare
BURST = 4 * ACCEPTED_AT_ONCE  # accepted before the first one too many is closed: four turns of the loop


def bounds(placement: Placement) -> tuple[int, int]:
    """Connections that may be open beside proxies' streams, from the descriptors; and bytes that one proxy
    may leave unread here, so that all of them together hold a quarter of the memory at most."""
    terms = placement.site.terms
    needed = SOCKETS_KEPT + BURST + terms.proxies + probes.OPEN_MOST
    unread = (placement.memory_mb << 20) // (4 * max(1, terms.proxies))
    return max(2 * terms.zones, placement.sockets - needed), unread


async def serve(placement: Placement) -> None:
    """Until SIGTERM or SIGINT; a fault of the module is raised from here."""
    log: structlog.stdlib.BoundLogger = structlog.get_logger()
    site, workers, inbox = placement.site, placement.workers, Inbox()
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    roster = Roster(inbox.put)
    async with AsyncExitStack() as stack:
        discovery = Discovery(placement.discovery, site, workers.learn, inbox.put, placement.version)
        stack.push_async_callback(discovery.close)
        probing = probes.Probes("/load" if site.load_reports else "/healthz", workers.address, inbox.put)
        stack.push_async_callback(probing.close)
        peers = Peers(site.me, placement.peers, placement.peers_all, inbox.put)
        stack.callback(peers.close)
        if placement.peer_listen is not None:
            await peers.listen(placement.peer_listen)
        spread = Spread(list(site.kinds), site.terms.managers, workers)
        owner = Owner(Ladder(site.terms), inbox, roster, spread, Hands(discovery, probing, peers))
        stack.callback(owner.close)
        owner.step([placement.known])  # it can decide from here on, so from here on it answers
        address = Address(Mouth(site, workers.find), roster, *bounds(placement))
        stack.push_async_callback(address.close)
        port = await address.listen(*placement.listen)
        log.info("serving", name=placement.name, host=placement.listen[0], port=port)
        running = asyncio.create_task(owner.run())
        stopping = asyncio.create_task(stop.wait())
        await asyncio.wait((running, stopping), return_when=asyncio.FIRST_COMPLETED)
        stopping.cancel()
        if running.done():
            running.result()  # raises what ended it
        running.cancel()
        log.info("stopping", name=placement.name)

"""The forwarder's state as operators read it: the status address and the demo."""

from __future__ import annotations

import json
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING

from aiohttp import web

from ..config.fields import HostPort

if TYPE_CHECKING:
    from .forwarder import Forwarder

WEIGHT_DIGITS = 4  # behind the point, as weights are shown


def forwarder_status(forwarder: Forwarder) -> dict[str, object]:
    """What a person would ask of it.  The keys are operators' words and stay."""
    router = forwarder.router
    drainer = forwarder.drainer
    tunnels = forwarder.handler.tunnels
    chain = forwarder.handler.verdicts.chain
    manager = forwarder.stream.manager
    held = tunnels.registry.counts(forwarder.loop.time())
    return {
        "node": forwarder.config.node,
        "zone": forwarder.config.zone,
        "manager": ":".join(map(str, manager)) if manager else None,
        "tables": {name: _rounded(table.weights) for name, table in router.tables.items()},
        "levels": {name: table.admission for name, table in router.tables.items()},
        "shut": sorted(router.excluded | router.leaving),
        "held": {worker_id: [row.open, row.busy, row.resumable] for worker_id, row in held.items()},
        "drains": {worker_id: drainer.state(worker_id).value for worker_id in drainer.workers()},
        "connections": forwarder.handler.listener.slots.total,
        "plugins": chain.status() if chain else [],
        **tunnels.counts,
    }


def _rounded(weights: dict[str, float]) -> dict[str, float]:
    return {worker_id: round(weight, WEIGHT_DIGITS) for worker_id, weight in weights.items()}


async def serve_status(forwarder: Forwarder, address: HostPort, stack: AsyncExitStack) -> int:
    """GET on a loopback address of its own gives the state as JSON; the port."""

    async def answer(request: web.BaseRequest) -> web.StreamResponse:
        return web.Response(text=json.dumps(forwarder.status()), content_type="application/json")

    runner = web.ServerRunner(web.Server(answer))
    await runner.setup()
    stack.push_async_callback(runner.cleanup)
    site = web.TCPSite(runner, *address)
    await site.start()
    return int(runner.addresses[0][1])

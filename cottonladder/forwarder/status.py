"""The forwarder's status for operators, over HTTP and through the admin socket."""

from __future__ import annotations

import json
from contextlib import AsyncExitStack

from aiohttp import web

from ..config.fields import HostPort
from .forwarder import Forwarder

WEIGHT_DECIMALS = 4


def forwarder_status(forwarder: Forwarder) -> dict[str, object]:
    """Returns the status; its keys are documented for operators and must not change."""
    router = forwarder.router
    drainer = forwarder.drainer
    tunnels = forwarder.handler.tunnels
    chain = forwarder.handler.verdicts.chain
    manager = forwarder.stream.manager
    connections = tunnels.registry.counts(forwarder.loop.time())
    return {
        "node": forwarder.config.node,
        "zone": forwarder.config.zone,
        "manager": ":".join(map(str, manager)) if manager else None,
        "tables": {name: _rounded(table.weights) for name, table in router.tables.items()},
        "levels": {name: table.admission for name, table in router.tables.items()},
        "shut": sorted(router.excluded | router.leaving),
        "held": {worker: [row.open, row.busy, row.resumable] for worker, row in connections.items()},
        "drains": {worker_id: drainer.state(worker_id).value for worker_id in drainer.workers()},
        "connections": forwarder.handler.listener.slots.total,
        "plugins": chain.status() if chain else [],
        **tunnels.counters.as_status(),
    }


def _rounded(weights: dict[str, float]) -> dict[str, float]:
    return {worker_id: round(weight, WEIGHT_DECIMALS) for worker_id, weight in weights.items()}


async def serve_status(forwarder: Forwarder, address: HostPort, stack: AsyncExitStack) -> int:
    """Serves the status as JSON in answer to any request on `address`; returns the port."""

    async def respond(_request: web.BaseRequest) -> web.StreamResponse:
        """Answers with the current status."""
        return web.Response(text=json.dumps(forwarder_status(forwarder)), content_type="application/json")

    runner = web.ServerRunner(web.Server(respond))
    await runner.setup()
    stack.push_async_callback(runner.cleanup)
    site = web.TCPSite(runner, *address)
    await site.start()
    return int(runner.addresses[0][1])

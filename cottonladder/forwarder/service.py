"""The forwarder as a program: its start, reload and stop, and the signals that trigger them."""

from __future__ import annotations

import asyncio
import gc
import signal
from contextlib import AsyncExitStack

import structlog

from ..config.errors import InputError
from ..config.operator_config import OperatorConfig, parse_configured_address
from ..config.operator_file import read_operator_config
from ..control import signals
from .forwarder import Forwarder
from .status import serve_status


async def serve(operator: OperatorConfig, path: str) -> None:
    """Serves until SIGTERM or SIGINT, then drains the connections; a second signal ends the drain early."""
    stop = asyncio.Event()
    stop_now = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, _on_stop_signal, stop, stop_now)
    async with AsyncExitStack() as stack:
        forwarder = Forwarder(operator)
        await _start(forwarder, operator, path, stack)
        await stop.wait()
        await _drain(forwarder, stop_now)
        forwarder.log.info("stopping", node=forwarder.config.node)


def _on_stop_signal(stop: asyncio.Event, stop_now: asyncio.Event) -> None:
    if stop.is_set():
        stop_now.set()
    else:
        stop.set()


async def _start(forwarder: Forwarder, operator: OperatorConfig, path: str, stack: AsyncExitStack) -> None:
    config = forwarder.config
    log: structlog.stdlib.BoundLogger = structlog.get_logger()
    forwarder.plugins.load()
    if operator.memory or operator.control:
        from .background import start_background  # imported only if the file configures it

        await start_background(forwarder, operator, stack)
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, _reload, forwarder, path)
    if signals.reload_was_requested():
        _reload(forwarder, path)
    port = await forwarder.start(stack)
    status_port = 0
    if config.status:
        status_port = await serve_status(forwarder, parse_configured_address(config.status), stack)
    gc.freeze()  # excludes the long-lived objects of the start from garbage collections
    host = parse_configured_address(config.listen)[0]
    log.info("forwarding", node=config.node, host=host, port=port, status=status_port)


def _reload(forwarder: Forwarder, path: str) -> None:
    """Reads the operators' file again and applies its `plugins` section; other changes need a restart."""
    try:
        operator = read_operator_config(path)
    except InputError as error:
        forwarder.log.error("config_rejected", reason=str(error))
        return
    forwarder.plugins.reload(operator.forwarder.plugins if operator.forwarder else None)


async def _drain(forwarder: Forwarder, stop_now: asyncio.Event) -> None:
    """Drains the forwarder's connections until all have ended or a second signal arrives."""
    forwarder.log.info("draining", held_connections=forwarder.handler.tunnels.registry.total())
    draining = asyncio.create_task(forwarder.drain(), name="drain")
    stopping = asyncio.create_task(stop_now.wait(), name="wait for a second signal")
    await asyncio.wait((draining, stopping), return_when=asyncio.FIRST_COMPLETED)
    draining.cancel()
    stopping.cancel()
    await asyncio.gather(draining, stopping, return_exceptions=True)

"""What the forwarder takes from the operators' file, as its own types."""

from __future__ import annotations

from ..config.operator_config import ForwarderConfig, LimitsConfig, RequestClassConfig
from .request_classes import MatchRule, RequestClass
from .resource_limits import ResourceLimits


def request_classes(config: ForwarderConfig) -> list[RequestClass]:
    """The request classes, in the order of the file."""
    return [_request_class(request_class) for request_class in config.kinds]


def _request_class(config: RequestClassConfig) -> RequestClass:
    rules = tuple(
        MatchRule(frozenset(match.methods), match.path, tuple(match.headers.items()))
        for match in config.match
    )
    return RequestClass(config.name, rules, config.replays, config.timeout)


def resource_limits(config: LimitsConfig) -> ResourceLimits:
    """The limits in force."""
    return ResourceLimits(
        connections=config.connections,
        connections_per_worker=config.worker,
        connections_per_client=config.client,
        header_bytes=config.header_bytes,
        body_bytes=config.body_bytes,
        connect_timeout_s=config.connect_wait,
        first_byte_timeout_s=config.first_byte_wait,
        idle_timeout_s=config.idle_wait,
        pool_size=config.pool,
    )

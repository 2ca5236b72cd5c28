"""Maps the forwarder's part of the operators' file to the forwarder's own types."""

from __future__ import annotations

from ..config.operator_config import ForwarderConfig, OperatorConfig, RequestClassConfig
from .request_classes import Idempotency, MatchRule, RequestClass
from .upgrade_policy import UpgradePolicy

DEFAULT_GRACE_S = 30.0  # the grace period of a drain where the operators' file states none


def request_classes(config: ForwarderConfig) -> list[RequestClass]:
    """The request classes in the order of the file."""
    return [_request_class(request_class) for request_class in config.request_classes]


def _request_class(config: RequestClassConfig) -> RequestClass:
    rules = tuple(
        MatchRule(frozenset(match.methods), match.path, tuple(match.headers.items()))
        for match in config.match
    )
    return RequestClass(config.name, rules, Idempotency(config.idempotency), config.deadline_s)


def upgrade_policies(config: ForwarderConfig) -> dict[str, UpgradePolicy]:
    """The policies for upgraded connections by request class."""
    return {request_class.name: _upgrade_policy(request_class) for request_class in config.request_classes}


def _upgrade_policy(config: RequestClassConfig) -> UpgradePolicy:
    busy = config.busy
    return UpgradePolicy(
        request_prefix=None if busy.request_prefix is None else busy.request_prefix.encode(),
        response_prefix=busy.response_prefix.encode(),
        quiet_time_s=busy.quiet_time_s,
        ticket_header=config.ticket_header,
    )


def drain_grace_s(operator: OperatorConfig) -> float:
    """The time within which a draining worker's connections end."""
    return DEFAULT_GRACE_S if operator.upgrades is None else operator.upgrades.grace_s


def worker_arrivals_per_s(operator: OperatorConfig, config: ForwarderConfig) -> float:
    """The upgraded connections that an average worker accepts in a second, until a manager states it.

    Where the operators' file states no rate, a worker may be filled up to its limit within a second.
    """
    if operator.upgrades is None:
        return float(config.limits.connections_per_worker)
    return operator.upgrades.arrivals_per_s

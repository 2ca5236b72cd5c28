"""Conversion of the forwarder's settings in the operators' file to the forwarder's own types."""

from __future__ import annotations

from ..config.operator_config import ForwarderConfig, OperatorConfig, RequestClassConfig
from .request_classes import Idempotency, MatchRule, RequestClass
from .upgrade_policy import UpgradePolicy

DEFAULT_GRACE_S = 30.0  # grace period of a drain if the operators' file has no `upgrades` section


def request_classes(config: ForwarderConfig) -> list[RequestClass]:
    """Returns the request classes in the order of the file."""
    return [_request_class(request_class) for request_class in config.request_classes]


def _request_class(config: RequestClassConfig) -> RequestClass:
    rules = tuple(
        MatchRule(frozenset(match.methods), match.path, tuple(match.headers.items()))
        for match in config.match
    )
    return RequestClass(config.name, rules, Idempotency(config.idempotency), config.deadline_s)


def upgrade_policies(config: ForwarderConfig) -> dict[str, UpgradePolicy]:
    """Returns the policies for upgraded connections, by the name of the request class."""
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
    """Returns the grace period in seconds, within which the connections of a draining worker are ended."""
    return DEFAULT_GRACE_S if operator.upgrades is None else operator.upgrades.grace_s


def worker_arrivals_per_s(operator: OperatorConfig, config: ForwarderConfig) -> float:
    """Returns how many upgraded connections a second an average worker accepts until a manager states it.

    Without a rate in the operators' file, a worker may accept connections up to its limit within a second.
    """
    if operator.upgrades is None:
        return float(config.limits.connections_per_worker)
    return operator.upgrades.arrivals_per_s

"""Servers and clients of weight advice, created from the operators' configuration."""

from __future__ import annotations

import ssl
from collections.abc import Callable
from pathlib import Path

from ..config.errors import ConfigError
from ..config.operator_config import (
    AdviceServerConfig,
    AdvisorFollowConfig,
    SecretConfig,
    TlsConfig,
    parse_configured_address,
)
from ..weight_advice.advertised_workers import AdvertisedWorkers
from ..weight_advice.client import AdviceListener, AdvisorClient
from ..weight_advice.dfp_client import DfpAdvisorClient
from ..weight_advice.dfp_server import DfpServer
from ..weight_advice.sasp_client import SaspAdvisorClient
from ..weight_advice.sasp_server import SaspServer
from ..weight_advice.server import AdviceServer
from ..weight_advice.tls import tls_context

MAX_SECRET_BYTES = 1024  # further bytes of a secret's file are ignored


def create_advice_server(
    config: AdviceServerConfig, advertised: AdvertisedWorkers, setting_path: str
) -> AdviceServer:
    """Creates a server that load balancers connect to; `setting_path` is its path in the operators' file.

    Raises ConfigError if its secret or its TLS files can't be loaded.
    """
    if config.protocol == "sasp":
        return SaspServer(
            advertised, config.max_clients, _tls_context(config.tls, setting_path, is_server=True)
        )
    return DfpServer(advertised, config.max_clients, _read_secret(config.secret, setting_path))


def create_advisor_client(
    config: AdvisorFollowConfig, listener: AdviceListener, uniform: Callable[[], float], setting_path: str
) -> AdvisorClient:
    """Creates a client of one external advisor.

    `uniform` returns a random number from 0 to 1, for the backoff; `setting_path` is the client's path in the
    operators' file.  Raises ConfigError if its secret or its TLS files can't be loaded.
    """
    address = parse_configured_address(config.address)
    if config.protocol == "sasp":
        tls = _tls_context(config.tls, setting_path, is_server=False)
        return SaspAdvisorClient(address, listener, tls, uniform, config.uid, config.group)
    return DfpAdvisorClient(address, listener, uniform, _read_secret(config.secret, setting_path))


def _tls_context(config: TlsConfig | None, setting_path: str, is_server: bool) -> ssl.SSLContext | None:
    if config is None:
        return None
    try:
        return tls_context(config.certificate, config.key, config.authorities, is_server)
    except (OSError, ValueError) as exc:
        raise ConfigError(
            f"{setting_path}.tls", f"certificate, key or authorities can't be loaded: {exc}"
        ) from None


def _read_secret(config: SecretConfig | None, setting_path: str) -> tuple[int, bytes] | None:
    """Returns the id and the bytes of the key that signs DFP messages."""
    if config is None:
        return None
    try:
        secret = Path(config.file).read_bytes()[:MAX_SECRET_BYTES].strip()
    except OSError as exc:
        raise ConfigError(
            f"{setting_path}.secret", f"{config.file}: file can't be read: {exc.strerror}"
        ) from None
    if not secret:
        raise ConfigError(
            f"{setting_path}.secret", f"{config.file}: secret expected, got an empty file or only whitespace"
        )
    return config.key, secret

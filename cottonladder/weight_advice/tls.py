"""TLS contexts from PEM files."""

from __future__ import annotations

import ssl


def tls_context(certificate: str, key: str, authorities: str, is_server: bool) -> ssl.SSLContext:
    """Creates a context from the paths of PEM files; an empty path is ignored.

    With `authorities`, the peer must present a certificate that one of them signed.  Raises OSError if a file
    cannot be read or is invalid.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER if is_server else ssl.PROTOCOL_TLS_CLIENT)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    if certificate:
        context.load_cert_chain(certificate, key or None)
    if authorities:
        context.load_verify_locations(authorities)
        context.verify_mode = ssl.CERT_REQUIRED
    return context

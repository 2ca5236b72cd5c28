"""X.509 certificates for tests of TLS."""

from __future__ import annotations

import datetime
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

VALIDITY = datetime.timedelta(hours=1)


def write_certificate(folder: Path, name: str, issuer_name: str | None = None) -> None:
    """Writes a key and a certificate for localhost to `{name}.key` and `{name}.pem`.

    The certificate is signed with the key of the issuer, which must exist, or else with its own key.
    """
    key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
    issuer = subject
    signing_key = key
    if issuer_name is not None:
        issuer = x509.load_pem_x509_certificate((folder / f"{issuer_name}.pem").read_bytes()).subject
        loaded = serialization.load_pem_private_key((folder / f"{issuer_name}.key").read_bytes(), None)
        assert isinstance(loaded, ec.EllipticCurvePrivateKey)
        signing_key = loaded
    now = datetime.datetime.now(datetime.UTC)
    certificate = (
        x509.CertificateBuilder(issuer, subject, key.public_key(), x509.random_serial_number())
        .not_valid_before(now - VALIDITY)
        .not_valid_after(now + VALIDITY)
        .add_extension(x509.SubjectAlternativeName([x509.DNSName("localhost")]), False)
        .add_extension(x509.BasicConstraints(issuer_name is None, None), True)
        .sign(signing_key, hashes.SHA256())
    )
    pem = serialization.Encoding.PEM
    private_format = serialization.PrivateFormat.PKCS8
    (folder / f"{name}.pem").write_bytes(certificate.public_bytes(pem))
    (folder / f"{name}.key").write_bytes(key.private_bytes(pem, private_format, serialization.NoEncryption()))

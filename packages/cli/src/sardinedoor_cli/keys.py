"""Generates link keys and self-signed certificates."""

from __future__ import annotations

import dataclasses
import datetime
import ipaddress

from cryptography import x509
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ec
import zmq

_BACKDATE = datetime.timedelta(minutes=5)


@dataclasses.dataclass(slots=True)
class LinkKeyPair:
    """CURVE key pair of a node for its links, in Z85 encoding.

    Attributes:
        secret: Value for the settings key `link_secret_key`.
        public: Value for the settings key `link_accepted_keys`.
    """

    secret: str
    public: str


@dataclasses.dataclass(slots=True)
class Certificate:
    """Certificate of a public listener with its private key, as PEM text.

    Attributes:
        certificate: Value for the settings key `tls_certificate`.
        key: Value for the settings key `tls_key`.
    """

    certificate: str
    key: str


def make_link_keys() -> LinkKeyPair:
    """Generates a key pair for node links."""
    public, secret = zmq.curve_keypair()
    return LinkKeyPair(secret.decode(), public.decode())


def make_certificate(
    names: list[str], valid_days: int, now: datetime.datetime
) -> Certificate:
    """Generates a self-signed certificate for trials and tests.

    Args:
        names: DNS names and IP addresses that callers use; at least one.
        valid_days: Validity of the certificate, in days.
        now: Current time; the certificate is valid from a little earlier, so
            that callers whose clocks are behind accept it.

    Returns:
        The certificate and its private key.
    """
    key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name(
        [x509.NameAttribute(x509.NameOID.COMMON_NAME, names[0])]
    )
    certificate = (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(subject)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - _BACKDATE)
        .not_valid_after(now + datetime.timedelta(days=valid_days))
        .add_extension(
            x509.SubjectAlternativeName(
                [_general_name(name) for name in names]
            ),
            critical=False,
        )
        .sign(key, hashes.SHA256())
    )
    pem = serialization.Encoding.PEM
    private = key.private_bytes(
        pem,
        serialization.PrivateFormat.PKCS8,
        serialization.NoEncryption(),
    )
    return Certificate(certificate.public_bytes(pem).decode(), private.decode())


def as_ini_value(pem: str) -> str:
    """Indents a PEM text, as INI files require of values of several lines."""
    return "\n  ".join(["", *pem.strip().splitlines()])


def _general_name(name: str) -> x509.GeneralName:
    try:
        return x509.IPAddress(ipaddress.ip_address(name))
    except ValueError:
        return x509.DNSName(name)

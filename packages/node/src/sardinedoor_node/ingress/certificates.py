"""Reads the expiry of X.509 certificates.

The standard library returns it only for a verified peer certificate, and the
cryptography package would cost the daemon 11 MB of memory for this one value.
"""

from __future__ import annotations

import datetime
import ssl

_SEQUENCE = 0x30
_VERSION = 0xA0
_UTC_TIME = 0x17
_GENERALIZED_TIME = 0x18
_FORMATS = {_UTC_TIME: "%y%m%d%H%M%SZ", _GENERALIZED_TIME: "%Y%m%d%H%M%SZ"}
_END_LINE = "-----END CERTIFICATE-----"


def not_after(pem: bytes) -> datetime.datetime:
    """Returns when the first certificate of a chain expires.

    Args:
        pem: The chain in PEM format.

    Returns:
        The certificate's notAfter time, in UTC.

    Raises:
        ValueError: There is no PEM certificate, or it can't be parsed.
    """
    text = pem.decode("ascii")
    start = text.find("-----BEGIN CERTIFICATE-----")
    end = text.find(_END_LINE)
    if start < 0 or end < start:
        raise ValueError("no PEM certificate found")
    der = ssl.PEM_cert_to_DER_cert(text[start : end + len(_END_LINE)])
    try:
        return _parse_not_after(der)
    except IndexError as e:
        raise ValueError("certificate is truncated") from e


def _parse_not_after(der: bytes) -> datetime.datetime:
    certificate_tag, certificate, _ = _read_element(der, 0)
    tbs_tag, tbs_certificate, _ = _read_element(certificate, 0)
    if (certificate_tag, tbs_tag) != (_SEQUENCE, _SEQUENCE):
        raise ValueError("not an X.509 certificate")
    offset = 0
    tag, _, next_offset = _read_element(tbs_certificate, offset)
    if tag == _VERSION:
        offset = next_offset
    # Skips the serial number, signature algorithm and issuer.
    for _ in range(3):
        _, _, offset = _read_element(tbs_certificate, offset)
    tag, validity, _ = _read_element(tbs_certificate, offset)
    if tag != _SEQUENCE:
        raise ValueError("certificate has no validity period")
    _, _, offset = _read_element(validity, 0)
    tag, end, _ = _read_element(validity, offset)
    if tag not in _FORMATS:
        raise ValueError("certificate has no valid notAfter time")
    parsed = datetime.datetime.strptime(end.decode("ascii"), _FORMATS[tag])
    return parsed.replace(tzinfo=datetime.UTC)


def _read_element(data: bytes, offset: int) -> tuple[int, bytes, int]:
    """Returns a DER element's tag, its content and the offset after it."""
    tag = data[offset]
    length = data[offset + 1]
    offset += 2
    if length & 0x80:
        count = length & 0x7F
        length = int.from_bytes(data[offset : offset + count], "big")
        offset += count
    end = offset + length
    if end > len(data):
        raise ValueError("certificate is truncated")
    return tag, data[offset:end], end

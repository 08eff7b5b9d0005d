"""Reads the end of a certificate's validity.

The standard library tells it only of a verified peer, and the cryptography
package would cost the daemon 11 MB for this one value.
"""

from __future__ import annotations

import datetime
import ssl

_SEQUENCE = 0x30
_VERSION = 0xA0
_UTC_TIME = 0x17
_GENERALIZED_TIME = 0x18
_FORMATS = {_UTC_TIME: "%y%m%d%H%M%SZ", _GENERALIZED_TIME: "%Y%m%d%H%M%SZ"}
_END = "-----END CERTIFICATE-----"


def not_after(pem: bytes) -> datetime.datetime:
    """Tells when the first certificate of a chain expires.

    Args:
        pem: The chain.

    Returns:
        The end of its validity, in UTC.

    Raises:
        ValueError: The text holds no certificate of the usual form.
    """
    text = pem.decode("ascii")
    start = text.find("-----BEGIN CERTIFICATE-----")
    end = text.find(_END)
    if start < 0 or end < start:
        raise ValueError("no certificate in PEM")
    der = ssl.PEM_cert_to_DER_cert(text[start : end + len(_END)])
    try:
        return _not_after(der)
    except IndexError as e:
        raise ValueError("certificate is truncated") from e


def _not_after(der: bytes) -> datetime.datetime:
    outer, certificate, _ = _element(der, 0)
    inner, signed, _ = _element(certificate, 0)
    if (outer, inner) != (_SEQUENCE, _SEQUENCE):
        raise ValueError("not a certificate")
    offset = 0
    tag, _, after = _element(signed, offset)
    if tag == _VERSION:
        offset = after
    # Serial number, signature algorithm and issuer come first.
    for _ in range(3):
        _, _, offset = _element(signed, offset)
    tag, validity, _ = _element(signed, offset)
    if tag != _SEQUENCE:
        raise ValueError("certificate has no validity")
    _, _, offset = _element(validity, 0)
    tag, end, _ = _element(validity, offset)
    if tag not in _FORMATS:
        raise ValueError("certificate has no end")
    moment = datetime.datetime.strptime(end.decode("ascii"), _FORMATS[tag])
    return moment.replace(tzinfo=datetime.UTC)


def _element(data: bytes, offset: int) -> tuple[int, bytes, int]:
    """Reads one DER element: its tag, content and the offset after it."""
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

"""Parses numeric addresses."""

from __future__ import annotations

import ipaddress

_MAX_PORT = 65535


def split(text: str) -> tuple[str, int] | None:
    """Splits an address into host and port.

    Args:
        text: IP address and port; an IPv6 address is in brackets.

    Returns:
        The IP address without brackets and the port, or None if the text
        isn't an IP address with a port from 1 to 65535.
    """
    host, colon, port = text.rpartition(":")
    bare = host.removeprefix("[").removesuffix("]")
    if not colon or not (port.isascii() and port.isdigit()):
        return None
    if not 1 <= int(port) <= _MAX_PORT:
        return None
    try:
        number = ipaddress.ip_address(bare)
    except ValueError:
        return None
    if (number.version == 6) != host.startswith("["):
        return None
    return bare, int(port)

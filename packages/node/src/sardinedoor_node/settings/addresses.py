"""Checks the addresses in a node's own settings."""

from __future__ import annotations

import dataclasses
import ipaddress
from typing import TYPE_CHECKING

from sardinedoor_schema import allowed
from sardinedoor_schema import faults

if TYPE_CHECKING:
    from collections.abc import Iterator

    from sardinedoor_schema import ini

_MAX_PORT = 65535
_LISTENERS = ("public", "internal", "link", "admin")


@dataclasses.dataclass(slots=True)
class _Use:
    section: str
    key: str
    text: str


def split(text: str) -> tuple[str, int] | None:
    """Splits an address.

    Args:
        text: IP number and port; an IPv6 number stands in brackets.

    Returns:
        The IP number without brackets and the port, or None if the text
        isn't an address that can be listened at.
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


def check(reader: ini.Reader) -> None:
    """Adds a fault for each address that can't be used.

    Args:
        reader: Holds a node's own settings, and takes the faults.
    """
    faulty = {(fault.section, fault.key) for fault in reader.faults}
    seen: dict[tuple[str, int], _Use] = {}
    for use in _uses(reader):
        if (use.section, use.key) in faulty:
            continue
        address = split(use.text)
        if address is None:
            reader.fault(
                use.section,
                use.key,
                "is not an address",
                faults.FaultCode.BAD_ADDRESS,
                use.text,
                allowed.ADDRESS,
            )
        elif use.key in (*_LISTENERS, "address"):
            _check_unique(reader, use, address, seen)
    _check_admin(reader)


def _uses(reader: ini.Reader) -> Iterator[_Use]:
    for key in (*_LISTENERS, "platform", "link_advertised"):
        text = reader.value("node", key)
        if text:
            yield _Use("node", key, text)
    for seed in reader.value("node", "seeds").replace("\n", ",").split(","):
        if seed.strip():
            yield _Use("node", "seeds", seed.strip())
    for section in reader.sections():
        text = reader.value(section, "address")
        if section.startswith("worker ") and text:
            yield _Use(section, "address", text)


def _check_unique(
    reader: ini.Reader,
    use: _Use,
    address: tuple[str, int],
    seen: dict[tuple[str, int], _Use],
) -> None:
    other = seen.setdefault(address, use)
    if other is not use:
        reader.fault(
            use.section,
            use.key,
            f"is also [{other.section}] {other.key}",
            faults.FaultCode.DUPLICATE_ADDRESS,
            use.text,
            "an address of its own",
        )


def _check_admin(reader: ini.Reader) -> None:
    text = reader.value("node", "admin")
    address = split(text)
    if address is None or reader.value("node", "admin_public") == "true":
        return
    if not ipaddress.ip_address(address[0]).is_loopback:
        reader.fault(
            "node",
            "admin",
            "would be open to other machines",
            faults.FaultCode.ADMIN_NOT_LOOPBACK,
            text,
            "a loopback address, or any other with admin_public = true",
        )

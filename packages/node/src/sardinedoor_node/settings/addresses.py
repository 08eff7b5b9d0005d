"""Validates the addresses in a node's own settings."""

from __future__ import annotations

import dataclasses
import ipaddress
from typing import TYPE_CHECKING

from sardinedoor_node.util import addresses
from sardinedoor_schema import allowed
from sardinedoor_schema import faults

if TYPE_CHECKING:
    from collections.abc import Iterator

    from sardinedoor_schema import ini

_LISTENERS = ("public", "internal", "link", "admin")


@dataclasses.dataclass(slots=True)
class _AddressSetting:
    """An address in the settings, and the place where it is set."""

    section: str
    key: str
    text: str


def check(reader: ini.Reader) -> None:
    """Adds a fault for each invalid, duplicate or exposed address.

    Args:
        reader: Reader of a node's own settings; the faults are added to it.
    """
    faulty = {(fault.section, fault.key) for fault in reader.faults}
    seen: dict[tuple[str, int], _AddressSetting] = {}
    for setting in _address_settings(reader):
        if (setting.section, setting.key) in faulty:
            continue
        address = addresses.split(setting.text)
        if address is None:
            reader.fault(
                setting.section,
                setting.key,
                "is not an address",
                faults.FaultCode.BAD_ADDRESS,
                setting.text,
                allowed.ADDRESS,
            )
        elif setting.key in (*_LISTENERS, "address"):
            _check_unique(reader, setting, address, seen)
    _check_admin(reader)


def _address_settings(reader: ini.Reader) -> Iterator[_AddressSetting]:
    for key in (*_LISTENERS, "platform", "link_advertised"):
        text = reader.value("node", key)
        if text:
            yield _AddressSetting("node", key, text)
    for seed in reader.value("node", "seeds").replace("\n", ",").split(","):
        if seed.strip():
            yield _AddressSetting("node", "seeds", seed.strip())
    for section in reader.sections():
        text = reader.value(section, "address")
        if section.startswith("worker ") and text:
            yield _AddressSetting(section, "address", text)


def _check_unique(
    reader: ini.Reader,
    setting: _AddressSetting,
    address: tuple[str, int],
    seen: dict[tuple[str, int], _AddressSetting],
) -> None:
    other = seen.setdefault(address, setting)
    if other is not setting:
        reader.fault(
            setting.section,
            setting.key,
            f"is already used by [{other.section}] {other.key}",
            faults.FaultCode.DUPLICATE_ADDRESS,
            setting.text,
            "an address that isn't used by another key",
        )


def _check_admin(reader: ini.Reader) -> None:
    text = reader.value("node", "admin")
    address = addresses.split(text)
    if address is None or reader.value("node", "admin_public") == "true":
        return
    if not ipaddress.ip_address(address[0]).is_loopback:
        reader.fault(
            "node",
            "admin",
            "would be reachable from other hosts",
            faults.FaultCode.ADMIN_NOT_LOOPBACK,
            text,
            "a loopback address, or any other with admin_public = true",
        )

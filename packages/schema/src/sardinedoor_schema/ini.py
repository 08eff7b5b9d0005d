"""Reads INI text into settings classes and reports every fault at once."""

from __future__ import annotations

import configparser
import functools
import typing
from typing import TypeVar

import msgspec

from sardinedoor_schema import base
from sardinedoor_schema import faults

_T = TypeVar("_T", bound=base.Message)


class Fault(msgspec.Struct, frozen=True):
    """One fault in a settings file."""

    file: str
    section: str
    key: str
    reason: str
    code: int = faults.FaultCode.INVALID

    def __str__(self) -> str:
        place = f"{self.file}: [{self.section}] {self.key}"
        return f"{place}: {self.reason} ({int(self.code)})"


class Reader:
    """Converts the sections of one INI text and collects the faults."""

    def __init__(self, file: str, text: str):
        """Parses the text.

        Args:
            file: Name used in faults.
            text: The INI text.
        """
        self._file = file
        self.faults: list[Fault] = []
        # A default section that no text can name, so that none leaks.
        self._parser = configparser.ConfigParser(
            interpolation=None, strict=True, default_section="\0"
        )
        self._parser.optionxform = str
        try:
            self._parser.read_string(text, source=file)
        except configparser.Error as e:
            self.fault("", "", str(e).replace("\n", " "))

    def fault(self, section: str, key: str, reason: str) -> None:
        """Adds a fault."""
        self.faults.append(Fault(self._file, section, key, reason))

    def sections(self) -> list[str]:
        """Lists the names of the sections."""
        return self._parser.sections()

    def convert(self, section: str, cls: type[_T]) -> _T | None:
        """Converts a section.

        Args:
            section: Name of the section.
            cls: The settings class.

        Returns:
            The settings, or None where a fault was added.
        """
        if not self._parser.has_section(section):
            self.fault(section, "", "section is missing")
            return None
        raw: dict[str, object] = dict(self._parser.items(section))
        for key in raw:
            if key in _list_keys(cls):
                raw[key] = _split(str(raw[key]))
        return self._convert_each(section, cls, raw)

    def _convert_each(
        self, section: str, cls: type[_T], raw: dict[str, object]
    ) -> _T | None:
        before = len(self.faults)
        fields = _fields(cls)
        values = {}
        for key, value in raw.items():
            if key not in fields:
                allowed = ", ".join(fields)
                self.fault(section, key, f"unknown key; allowed: {allowed}")
                continue
            try:
                values[key] = msgspec.convert(
                    value, fields[key].type, strict=False
                )
            except msgspec.ValidationError as e:
                self.fault(section, key, f"{value!r}: {e}")
        for key, field in fields.items():
            if field.required and key not in raw:
                self.fault(section, key, "is missing")
        if len(self.faults) > before:
            return None
        return cls(**values)


@functools.cache
def _fields(cls: type[base.Message]) -> dict[str, msgspec.structs.FieldInfo]:
    return {field.name: field for field in msgspec.structs.fields(cls)}


@functools.cache
def _list_keys(cls: type[base.Message]) -> frozenset[str]:
    hints = typing.get_type_hints(cls)
    return frozenset(
        k for k, v in hints.items() if typing.get_origin(v) is list
    )


def _split(text: str) -> list[str]:
    parts = text.replace("\n", ",").split(",")
    return [part.strip() for part in parts if part.strip()]

"""Reads INI text into settings classes and reports every fault at once."""

from __future__ import annotations

import configparser
import functools
import re
import typing
from typing import TypeVar

import msgspec

from sardinedoor_schema import allowed
from sardinedoor_schema import base
from sardinedoor_schema import faults

_T = TypeVar("_T", bound=base.Message)

_SHOWN_CHARACTERS = 80
_NAME = re.compile(r"[a-z0-9][a-z0-9.-]{0,62}\Z")
_NO_DEFAULT_SECTION = "\0"


class Fault(msgspec.Struct, frozen=True):
    """One fault in a settings file."""

    file: str
    section: str
    key: str
    reason: str
    code: int = faults.FaultCode.INVALID
    value: str | None = None
    allowed: str = ""

    def __str__(self) -> str:
        place = f"{self.file}:"
        if self.section:
            place += f" [{self.section}]"
        if self.key:
            place += f" {self.key}"
        if self.value is not None:
            place += f" = {_shorten(self.value)}"
        text = f"{place}: {self.reason}"
        if self.allowed:
            text += f"; allowed: {self.allowed}"
        return f"{text} ({int(self.code)})"


def _shorten(value: str) -> str:
    if len(value) > _SHOWN_CHARACTERS:
        value = value[:_SHOWN_CHARACTERS] + "..."
    return repr(value)


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
            interpolation=None,
            strict=True,
            default_section=_NO_DEFAULT_SECTION,
        )
        self._parser.optionxform = str
        if _NO_DEFAULT_SECTION in text:
            self._syntax_fault("holds a NUL character")
            return
        try:
            self._parser.read_string(text, source=file)
        except configparser.Error as e:
            self._syntax_fault(str(e).replace("\n", " "))
            # What was read up to the fault is not converted any more.
            self._parser.clear()

    def _syntax_fault(self, reason: str) -> None:
        self.fault("", "", reason, faults.FaultCode.SYNTAX)

    def fault(
        self,
        section: str,
        key: str,
        reason: str,
        code: faults.FaultCode = faults.FaultCode.INVALID,
        value: str | None = None,
        allowed_values: str = "",
    ) -> None:
        """Adds a fault.

        Args:
            section: Name of the section, empty for the whole file.
            key: The key, empty for the whole section.
            reason: What is wrong.
            code: Its number.
            value: The value found, if there is one.
            allowed_values: What is allowed, in words.
        """
        self.faults.append(
            Fault(self._file, section, key, reason, code, value, allowed_values)
        )

    def sections(self) -> list[str]:
        """Lists the names of the sections."""
        return self._parser.sections()

    def check_name(self, section: str, key: str, name: str) -> None:
        """Adds a fault if a name isn't one of 1 to 63 plain characters."""
        if not _NAME.match(name):
            self.fault(
                section,
                key,
                "is not a name",
                faults.FaultCode.BAD_NAME,
                name,
                allowed.NAME,
            )

    def value(self, section: str, key: str) -> str:
        """Returns a value as it stands in the text, empty if there is none."""
        return self._parser.get(section, key, fallback="")

    def convert(self, section: str, cls: type[_T]) -> _T | None:
        """Converts a section.

        Args:
            section: Name of the section.
            cls: The settings class.

        Returns:
            The settings, or None where a fault was added.
        """
        if not self._parser.has_section(section):
            self.fault(
                section, "", "section is missing", faults.FaultCode.MISSING
            )
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
                self.fault(
                    section,
                    key,
                    "unknown key",
                    faults.FaultCode.UNKNOWN_KEY,
                    allowed_values=", ".join(fields),
                )
                continue
            try:
                values[key] = msgspec.convert(
                    value, fields[key].type, strict=False
                )
            except msgspec.ValidationError as e:
                self.fault(
                    section,
                    key,
                    str(e),
                    value=self._parser.get(section, key),
                    allowed_values=allowed.describe(fields[key].type),
                )
        for key, field in fields.items():
            if field.required and key not in raw:
                self.fault(
                    section,
                    key,
                    "is missing",
                    faults.FaultCode.MISSING,
                    allowed_values=allowed.describe(field.type),
                )
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

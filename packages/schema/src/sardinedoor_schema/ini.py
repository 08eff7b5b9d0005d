"""Converts INI text to settings classes and collects all faults in it."""

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

_MAX_SHOWN_CHARACTERS = 80
_NAME = re.compile(r"[a-z0-9][a-z0-9.-]{0,62}\Z")
_NO_DEFAULT_SECTION = "\0"


class Fault(msgspec.Struct, frozen=True):
    """A fault in a settings file.

    Attributes:
        file: Name of the file.
        section: Name of the section; empty for the whole file.
        key: Name of the key; empty for the whole section.
        reason: Description of the fault.
        code: A `FaultCode`.
        value: The faulty value; None if there is none.
        allowed: Description of the allowed values; may be empty.
    """

    file: str
    section: str
    key: str
    reason: str
    code: int = faults.FaultCode.INVALID
    value: str | None = None
    allowed: str = ""

    def __str__(self) -> str:
        location = f"{self.file}:"
        if self.section:
            location += f" [{self.section}]"
        if self.key:
            location += f" {self.key}"
        if self.value is not None:
            location += f" = {_shorten(self.value)}"
        text = f"{location}: {self.reason}"
        if self.allowed:
            text += f"; allowed: {self.allowed}"
        return f"{text} ({int(self.code)})"


def _shorten(value: str) -> str:
    if len(value) > _MAX_SHOWN_CHARACTERS:
        value = value[:_MAX_SHOWN_CHARACTERS] + "..."
    return repr(value)


class Reader:
    """Parses an INI text, converts its sections and collects the faults.

    Attributes:
        faults: Faults found so far.
    """

    def __init__(self, file: str, text: str):
        """Parses the text.

        Args:
            file: Name of the file in fault messages.
            text: The INI text.
        """
        self._file = file
        self.faults: list[Fault] = []
        # configparser copies the values of the default section into all
        # others. No text can name this one, so it is always empty.
        self._parser = configparser.ConfigParser(
            interpolation=None,
            strict=True,
            default_section=_NO_DEFAULT_SECTION,
        )
        self._parser.optionxform = str
        if _NO_DEFAULT_SECTION in text:
            self._add_syntax_fault("contains a NUL character")
            return
        try:
            self._parser.read_string(text, source=file)
        except configparser.Error as e:
            self._add_syntax_fault(str(e).replace("\n", " "))
            # Sections before the syntax error are discarded.
            self._parser.clear()

    def _add_syntax_fault(self, reason: str) -> None:
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
            section: Name of the section; empty for the whole file.
            key: Name of the key; empty for the whole section.
            reason: Description of the fault.
            code: Code of the fault.
            value: The faulty value; None if there is none.
            allowed_values: Description of the allowed values.
        """
        self.faults.append(
            Fault(self._file, section, key, reason, code, value, allowed_values)
        )

    def sections(self) -> list[str]:
        """Returns the names of the sections in the order of the text."""
        return self._parser.sections()

    def check_name(self, section: str, key: str, name: str) -> None:
        """Adds a fault if a name has a wrong length or invalid characters."""
        if not _NAME.match(name):
            self.fault(
                section,
                key,
                "is not a valid name",
                faults.FaultCode.BAD_NAME,
                name,
                allowed.NAME,
            )

    def value(self, section: str, key: str) -> str:
        """Returns the unconverted value of a key; empty if it is missing."""
        return self._parser.get(section, key, fallback="")

    def convert(self, section: str, cls: type[_T]) -> _T | None:
        """Converts a section to a settings class.

        Args:
            section: Name of the section.
            cls: The settings class.

        Returns:
            The settings, or None if the section has faults, which are added.
        """
        if not self._parser.has_section(section):
            self.fault(
                section, "", "section is missing", faults.FaultCode.MISSING
            )
            return None
        raw: dict[str, object] = dict(self._parser.items(section))
        for key in raw:
            if key in _list_keys(cls):
                raw[key] = _split_list(str(raw[key]))
        return self._convert_values(section, cls, raw)

    def _convert_values(
        self, section: str, cls: type[_T], raw: dict[str, object]
    ) -> _T | None:
        fault_count = len(self.faults)
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
        if len(self.faults) > fault_count:
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


def _split_list(text: str) -> list[str]:
    parts = text.replace("\n", ",").split(",")
    return [part.strip() for part in parts if part.strip()]

"""Describes the allowed values of settings keys for error messages."""

from __future__ import annotations

import msgspec

_NAME_PATTERN = "^[a-z0-9][a-z0-9.-]{0,62}$"
_PORT_PATTERN = ":[0-9]{1,5}"
NAME = "a name of 1 to 63 characters of a-z, 0-9, '.' and '-'"
ADDRESS = "an IP number and a port from 1 to 65535, such as 10.0.0.7:8080"


def describe(annotation: object) -> str:
    """Describes the allowed values of a settings field.

    Args:
        annotation: Annotated type of the field.

    Returns:
        Text such as "a whole number from 0 to 9".
    """
    return _describe_type(msgspec.inspect.type_info(annotation))


def _describe_type(info: msgspec.inspect.Type) -> str:
    if isinstance(info, msgspec.inspect.Metadata):
        return _describe_type(info.type)
    if isinstance(info, msgspec.inspect.IntType):
        return "a whole number" + _describe_range(info)
    if isinstance(info, msgspec.inspect.FloatType):
        return "a number" + _describe_range(info)
    if isinstance(info, msgspec.inspect.BoolType):
        return "true or false"
    if isinstance(info, msgspec.inspect.LiteralType):
        return "one of " + ", ".join(str(v) for v in info.values)
    if isinstance(info, msgspec.inspect.ListType):
        return _describe_list(info)
    if isinstance(info, msgspec.inspect.StrType):
        return _describe_string(info.pattern or "")
    return "text"


def _describe_range(
    info: msgspec.inspect.IntType | msgspec.inspect.FloatType,
) -> str:
    if info.ge is not None and info.le is not None:
        return f" from {info.ge:g} to {info.le:g}"
    if info.ge is not None:
        return f" of at least {info.ge:g}"
    return ""


def _describe_list(info: msgspec.inspect.ListType) -> str:
    minimum = f"at least {info.min_length}, " if info.min_length else ""
    return (
        f"a list, {minimum}separated by commas,"
        f" of {_describe_type(info.item_type)}"
    )


def _describe_string(pattern: str) -> str:
    if pattern == _NAME_PATTERN:
        return NAME
    if _PORT_PATTERN in pattern:
        return ADDRESS
    if pattern == "^/":
        return "a path that begins with /"
    return f"text matching {pattern}" if pattern else "text"

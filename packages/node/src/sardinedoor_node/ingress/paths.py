"""Normalisation of request targets.

What is matched against the routes is what is sent to the target, byte for
byte. A path that two readers could understand in two ways is refused.
"""

from __future__ import annotations

import re
import unicodedata
from urllib import parse as urlparse

import result

from sardinedoor_schema import codes

_ABSOLUTE = re.compile(r"[hH][tT][tT][pP][sS]?://([^/?#@\\]+)(/.*)?")
_VISIBLE = re.compile(r"[!-~]*")
_ESCAPE = re.compile(r"%([0-9A-Fa-f]{2})")
_BAD_ESCAPE = re.compile(r"%(?![0-9A-Fa-f]{2})")
_PLAIN_PATH = re.compile(r"(?:/[A-Za-z0-9_~-]+)+/?")
_UNRESERVED = frozenset(
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._~"
)
_NEVER_ESCAPED = frozenset("/\\%;?#")
_STRUCTURAL = "/\\.;%?#"
_FORBIDDEN = frozenset('\\#"<>^`{|}')


class Target:
    """A normalised request target.

    Attributes:
        path: The path as it is matched and sent.
        query: The query as received, without the question mark.
        authority: Host and port of an absolute form, else empty.
    """

    __slots__ = ("authority", "path", "query")

    def __init__(self, path: str, query: str | None, authority: str = ""):
        self.path = path
        self.query = query
        self.authority = authority

    @property
    def wire(self) -> str:
        """The target in origin form, as it is sent."""
        return self.path if self.query is None else f"{self.path}?{self.query}"


def parse(raw: str) -> result.Result[Target, codes.Code]:
    """Normalises a request target.

    Args:
        raw: The target of a request line, in origin or absolute form.

    Returns:
        The target, or BAD_REQUEST for one that is malformed or ambiguous.
    """
    authority = ""
    absolute = _ABSOLUTE.fullmatch(raw)
    if absolute is not None:
        authority = absolute.group(1)
        raw = absolute.group(2) or "/"
    path, mark, query = raw.partition("?")
    if _PLAIN_PATH.fullmatch(path) is None:
        normalised = _normalise(path)
        if normalised is None:
            return result.Err(codes.Code.BAD_REQUEST)
        path = normalised
    if _VISIBLE.fullmatch(query) is None or "#" in query:
        return result.Err(codes.Code.BAD_REQUEST)
    return result.Ok(Target(path, query if mark else None, authority))


def fold(path: str) -> str:
    """Returns the path as the most lenient reader would understand it.

    Such a reader ignores case, compatibility forms of Unicode, path
    parameters, and dots and spaces at the end of segments. It serves only to
    keep internal routes internal.

    Args:
        path: A normalised path.
    """
    if "%" in path:
        path = unicodedata.normalize("NFKC", urlparse.unquote(path)).upper()
    segments = []
    for segment in path.lower().split("/"):
        name = segment.partition(";")[0]
        segments.append(name.rstrip(". ") or name)
    return "/".join(segments)


def _normalise(path: str) -> str | None:
    if not path.startswith("/") or _VISIBLE.fullmatch(path) is None:
        return None
    if _BAD_ESCAPE.search(path) or _FORBIDDEN.intersection(path):
        return None
    try:
        path = _ESCAPE.sub(_unescape, path)
        _check_escaped(path)
    except ValueError:
        return None
    segments = path.split("/")[1:]
    if any(not s or _is_dots(s) for s in segments[:-1]):
        return None
    if _is_dots(segments[-1]):
        return None
    return path


def _check_escaped(path: str) -> None:
    """Raises ValueError where escapes hide a character with a meaning."""
    if "%" not in path:
        return
    plain = urlparse.unquote(path, errors="strict")
    normal = unicodedata.normalize("NFKC", plain)
    if any(plain.count(c) != normal.count(c) for c in _STRUCTURAL):
        raise ValueError(path)


def _is_dots(segment: str) -> bool:
    return segment.partition(";")[0] in (".", "..") or segment.startswith(";")


def _unescape(escape: re.Match[str]) -> str:
    number = int(escape.group(1), 16)
    char = chr(number)
    if char in _UNRESERVED:
        return char
    if number < 0x20 or number == 0x7F or char in _NEVER_ESCAPED:
        raise ValueError(char)
    return escape.group(0).upper()

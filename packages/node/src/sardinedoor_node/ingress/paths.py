"""Normalisation of the targets of HTTP requests.

The path that is matched against the routes is sent to the worker byte for
byte. A path that different parsers could interpret differently is refused.
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
_MALFORMED_ESCAPE = re.compile(r"%(?![0-9A-Fa-f]{2})")
_PLAIN_PATH = re.compile(r"(?:/[A-Za-z0-9_~-]+)+/?")
_UNRESERVED = frozenset(
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._~"
)
_REFUSED_IF_ESCAPED = frozenset("/\\%;?#")
_STRUCTURAL = "/\\.;%?#"
_REFUSED_UNESCAPED = frozenset('\\#"<>^`{|}')


class RequestTarget:
    """A normalised request target.

    Attributes:
        path: The path as it is matched and sent.
        query: The query as received, without the question mark; None if there
            is no question mark.
        authority: The authority of a target in absolute form, else empty.
    """

    __slots__ = ("authority", "path", "query")

    def __init__(self, path: str, query: str | None, authority: str = ""):
        self.path = path
        self.query = query
        self.authority = authority

    @property
    def wire(self) -> str:
        """The request target in origin form, as it is sent."""
        return self.path if self.query is None else f"{self.path}?{self.query}"


def parse(raw: str) -> result.Result[RequestTarget, codes.Code]:
    """Normalises a request target.

    Args:
        raw: The target of a request line, in origin or absolute form.

    Returns:
        The request target, or BAD_REQUEST if it is malformed or ambiguous.
    """
    authority = ""
    absolute = _ABSOLUTE.fullmatch(raw)
    if absolute is not None:
        authority = absolute.group(1)
        raw = absolute.group(2) or "/"
    path, question_mark, query = raw.partition("?")
    if _PLAIN_PATH.fullmatch(path) is None:
        normalised = _normalise(path)
        if normalised is None:
            return result.Err(codes.Code.BAD_REQUEST)
        path = normalised
    if _VISIBLE.fullmatch(query) is None or "#" in query:
        return result.Err(codes.Code.BAD_REQUEST)
    return result.Ok(
        RequestTarget(path, query if question_mark else None, authority)
    )


def fold(path: str) -> str:
    """Returns the path as the most lenient parser would interpret it.

    Such a parser ignores case, compatibility forms of Unicode, path
    parameters, and dots and spaces at the end of segments. The folded path
    serves only to keep requests from outside away from internal routes.

    Args:
        path: A normalised path.
    """
    if "%" in path:
        path = unicodedata.normalize("NFKC", urlparse.unquote(path)).upper()
    folded_segments = []
    for segment in path.lower().split("/"):
        name = segment.partition(";")[0]
        folded_segments.append(name.rstrip(". ") or name)
    return "/".join(folded_segments)


def _normalise(path: str) -> str | None:
    if not path.startswith("/") or _VISIBLE.fullmatch(path) is None:
        return None
    if _MALFORMED_ESCAPE.search(path) or _REFUSED_UNESCAPED.intersection(path):
        return None
    try:
        path = _ESCAPE.sub(_unescape, path)
        _check_escapes(path)
    except ValueError:
        return None
    segments = path.split("/")[1:]
    if any(not s or _is_dot_segment(s) for s in segments[:-1]):
        return None
    if _is_dot_segment(segments[-1]):
        return None
    return path


def _check_escapes(path: str) -> None:
    """Checks that decoding a path leaves no room for interpretation.

    Raises:
        ValueError: The escapes aren't valid UTF-8, or Unicode compatibility
            normalisation would change the structure of the decoded path.
    """
    if "%" not in path:
        return
    decoded = urlparse.unquote(path, errors="strict")
    normalised = unicodedata.normalize("NFKC", decoded)
    if any(decoded.count(c) != normalised.count(c) for c in _STRUCTURAL):
        raise ValueError(path)


def _is_dot_segment(segment: str) -> bool:
    return segment.partition(";")[0] in (".", "..") or segment.startswith(";")


def _unescape(escape: re.Match[str]) -> str:
    """Decodes an unreserved character; other escapes are put in upper case.

    Raises:
        ValueError: A control or structural character is escaped.
    """
    code_point = int(escape.group(1), 16)
    char = chr(code_point)
    if char in _UNRESERVED:
        return char
    if code_point < 0x20 or code_point == 0x7F or char in _REFUSED_IF_ESCAPED:
        raise ValueError(char)
    return escape.group(0).upper()

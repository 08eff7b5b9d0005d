"""Text in which each character stands for one byte, as in heads of HTTP."""

from __future__ import annotations


def decode_utf8(octets: str) -> str | None:
    """Returns the text whose UTF-8 encoding has the given bytes.

    Args:
        octets: Characters up to U+00FF, one for each byte.

    Returns:
        The text, or None if the bytes aren't valid UTF-8.
    """
    try:
        return octets.encode("latin1").decode("utf-8")
    except UnicodeError:
        return None

"""Base class of all generated classes."""

from __future__ import annotations

import msgspec


class Message(msgspec.Struct, omit_defaults=True):
    """A slotted, validated record that leaves defaults off the wire."""

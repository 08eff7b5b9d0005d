"""Base class of the generated message and settings classes."""

from __future__ import annotations

import msgspec


class Message(msgspec.Struct, omit_defaults=True):
    """A typed record; fields that have their default value aren't encoded."""

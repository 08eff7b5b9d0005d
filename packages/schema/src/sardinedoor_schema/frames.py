"""Encoding of wire messages: version byte, type byte, MessagePack body."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from sardinedoor_schema.generated import wire

if TYPE_CHECKING:
    from sardinedoor_schema import base

PROTOCOL_VERSION = 1
MAX_FRAME_BYTES = 16 * 1024 * 1024
_PREFIX_BYTES = 2

_TYPES: dict[int, type[base.Message]] = {
    3: wire.Ping,
    4: wire.Ack,
    5: wire.Nack,
    6: wire.PingRequest,
    7: wire.Gossip,
    8: wire.SyncRequest,
    9: wire.Sync,
    10: wire.Offer,
    11: wire.Held,
    12: wire.Go,
    13: wire.Cancel,
    14: wire.Reply,
    15: wire.Refusal,
    16: wire.CrashNotice,
    17: wire.ListAgeRequest,
    18: wire.ListAge,
    20: wire.MemberPull,
    21: wire.MemberBodies,
    22: wire.SettingsPull,
    23: wire.SettingsBodies,
    30: wire.HealthQuery,
    31: wire.HealthAnswer,
    40: wire.Digest,
    41: wire.ItemsPull,
    42: wire.Items,
}
_NUMBERS = {cls: number for number, cls in _TYPES.items()}
_DECODERS = {n: msgspec.msgpack.Decoder(cls) for n, cls in _TYPES.items()}
_ENCODER = msgspec.msgpack.Encoder()


class FrameError(Exception):
    """A frame that can't be decoded."""


def encode(message: base.Message) -> bytes:
    """Encodes a message.

    Args:
        message: An instance of one of the wire classes.

    Returns:
        The frame.
    """
    prefix = bytes((PROTOCOL_VERSION, _NUMBERS[type(message)]))
    return prefix + _ENCODER.encode(message)


def decode(frame: bytes) -> base.Message:
    """Decodes a frame.

    Args:
        frame: What came off the link.

    Returns:
        The message.

    Raises:
        FrameError: The frame is too short or large, of another protocol
            version or type, or its body doesn't match the schema.
    """
    if not _PREFIX_BYTES <= len(frame) <= MAX_FRAME_BYTES:
        raise FrameError(f"frame of {len(frame)} bytes")
    if frame[0] != PROTOCOL_VERSION:
        raise FrameError(f"protocol version {frame[0]}")
    decoder = _DECODERS.get(frame[1])
    if decoder is None:
        raise FrameError(f"message type {frame[1]}")
    try:
        return decoder.decode(memoryview(frame)[_PREFIX_BYTES:])
    except (msgspec.MsgspecError, RecursionError) as e:
        raise FrameError(str(e)) from e

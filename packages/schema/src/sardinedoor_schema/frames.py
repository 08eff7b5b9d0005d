"""Encoding of messages as frames: version byte, type byte, MessagePack body."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from sardinedoor_schema.generated import wire

if TYPE_CHECKING:
    from sardinedoor_schema import base

PROTOCOL_VERSION = 1
MAX_FRAME_BYTES = 16 * 1024 * 1024
_HEADER_BYTES = 2

_MESSAGE_CLASSES: dict[int, type[base.Message]] = {
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
    19: wire.Resume,
    24: wire.ReplyReceived,
    20: wire.MemberPull,
    21: wire.MemberBodies,
    22: wire.SettingsPull,
    23: wire.SettingsBodies,
    30: wire.HealthQuery,
    31: wire.HealthAnswer,
    40: wire.Digest,
    41: wire.ItemsPull,
    42: wire.Items,
    50: wire.AllowanceRequest,
    51: wire.AllowanceGrant,
}
_TYPE_NUMBERS = {cls: number for number, cls in _MESSAGE_CLASSES.items()}
_DECODERS = {
    n: msgspec.msgpack.Decoder(cls) for n, cls in _MESSAGE_CLASSES.items()
}
_ENCODER = msgspec.msgpack.Encoder()


class FrameError(Exception):
    """The frame can't be decoded."""


def encode(message: base.Message) -> bytes:
    """Encodes a message.

    Args:
        message: Instance of a class of the wire schema that has a type number.

    Returns:
        The frame.
    """
    header = bytes((PROTOCOL_VERSION, _TYPE_NUMBERS[type(message)]))
    return header + _ENCODER.encode(message)


def decode(frame: bytes) -> base.Message:
    """Decodes a frame.

    Args:
        frame: The frame as received.

    Returns:
        The message.

    Raises:
        FrameError: The frame is too short or too long, its protocol version
            or message type is unknown, or its body doesn't match the schema.
    """
    if not _HEADER_BYTES <= len(frame) <= MAX_FRAME_BYTES:
        raise FrameError(f"invalid frame length: {len(frame)} bytes")
    if frame[0] != PROTOCOL_VERSION:
        raise FrameError(f"unsupported protocol version {frame[0]}")
    decoder = _DECODERS.get(frame[1])
    if decoder is None:
        raise FrameError(f"unknown message type {frame[1]}")
    try:
        return decoder.decode(memoryview(frame)[_HEADER_BYTES:])
    except (msgspec.MsgspecError, RecursionError) as e:
        raise FrameError(str(e)) from e

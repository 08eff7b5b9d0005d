"""Fuzz tests of frames: any bytes decode to a message or raise FrameError."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies
import msgspec
import testtools

from sardinedoor_node import metrics
from sardinedoor_node.link import dispatch
from sardinedoor_schema import frames
from sardinedoor_schema.generated import wire

_TYPE_NUMBERS = sorted(frames._MESSAGE_CLASSES)
_VERSION = frames.PROTOCOL_VERSION

_scalars = (
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**63), 2**64 - 1)
    | strategies.floats()
    | strategies.text(max_size=20)
    | strategies.binary(max_size=40)
)
_values = strategies.recursive(
    _scalars,
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(
            strategies.text(max_size=8), inner, max_size=4
        )
    ),
    max_leaves=12,
)


@strategies.composite
def _frames_with_random_values(draw) -> bytes:
    """Draws a frame with valid field names and arbitrary values."""
    number = draw(strategies.sampled_from(_TYPE_NUMBERS))
    fields = msgspec.structs.fields(frames._MESSAGE_CLASSES[number])
    body = {
        f.name: draw(_values) for f in fields if draw(strategies.booleans())
    }
    return bytes((_VERSION, number)) + msgspec.msgpack.encode(body)


@strategies.composite
def _corrupted_frames(draw) -> bytes:
    """Draws a valid frame with some bytes changed, removed or appended."""
    request = wire.Request("GET", "/p", [wire.Header("a", "b")], b"x" * 20)
    offer = wire.Offer(b"i" * 24, "s", "w", 100, request=request)
    frame = bytearray(frames.encode(offer))
    for _ in range(draw(strategies.integers(1, 4))):
        offset = draw(strategies.integers(0, len(frame) - 1))
        frame[offset] = draw(strategies.integers(0, 255))
    end = draw(strategies.integers(0, len(frame)))
    return bytes(frame[:end]) + draw(strategies.binary(max_size=4))


_frames = strategies.one_of(
    strategies.binary(max_size=200),
    strategies.binary(max_size=200).map(lambda b: bytes((_VERSION, 10)) + b),
    _frames_with_random_values(),
    _corrupted_frames(),
)


class FrameFuzzTest(testtools.TestCase):
    @hypothesis.given(_frames)
    def test_arbitrary_frames_decode_or_raise_frame_error(self, frame):
        try:
            message = frames.decode(frame)
        except frames.FrameError:
            return
        decoded_again = frames.decode(frames.encode(message))
        self.assertEqual(repr(message), repr(decoded_again))

    @hypothesis.given(_frames)
    def test_dispatcher_accepts_arbitrary_frames_without_exception(self, frame):
        dispatcher = dispatch.Dispatcher(metrics.Metrics())
        dispatcher.receive(None, frame)

    def test_deep_nesting_and_false_lengths_are_refused(self):
        invalid_frames = (
            b"",
            bytes((_VERSION,)),
            bytes((_VERSION, 250)),
            bytes((_VERSION + 1, 10)) + b"\x80",
            bytes((_VERSION, 10)) + b"\x91" * 100_000,
            bytes((_VERSION, 10)) + b"\x81\xa1x" * 100_000,
            bytes((_VERSION, 10)) + b"\xdd\xff\xff\xff\xff",
            bytes((_VERSION, 10)) + b"\xc6\xff\xff\xff\xff",
            bytes((_VERSION, 10)) + b"\xdf\xff\xff\xff\xff",
            bytes(frames.MAX_FRAME_BYTES + 1),
        )
        for invalid_frame in invalid_frames:
            self.assertRaises(frames.FrameError, frames.decode, invalid_frame)

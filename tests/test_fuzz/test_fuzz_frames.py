"""Fuzzing of link frames: any bytes are a message or a FrameError."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies
import msgspec
import testtools

from sardinedoor_node import metrics
from sardinedoor_node.link import dispatch
from sardinedoor_schema import frames
from sardinedoor_schema.generated import wire

_TYPES = sorted(frames._MESSAGE_CLASSES)
_PREFIX = frames.PROTOCOL_VERSION

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
def _near_messages(draw) -> bytes:
    """Draws a frame whose keys are right and whose values may be wrong."""
    number = draw(strategies.sampled_from(_TYPES))
    fields = msgspec.structs.fields(frames._MESSAGE_CLASSES[number])
    body = {
        f.name: draw(_values) for f in fields if draw(strategies.booleans())
    }
    return bytes((_PREFIX, number)) + msgspec.msgpack.encode(body)


@strategies.composite
def _damaged(draw) -> bytes:
    """Draws a valid frame with bytes cut off, changed or added."""
    request = wire.Request("GET", "/p", [wire.Header("a", "b")], b"x" * 20)
    offer = wire.Offer(b"i" * 24, "s", "w", 100, request=request)
    frame = bytearray(frames.encode(offer))
    for _ in range(draw(strategies.integers(1, 4))):
        at = draw(strategies.integers(0, len(frame) - 1))
        frame[at] = draw(strategies.integers(0, 255))
    end = draw(strategies.integers(0, len(frame)))
    return bytes(frame[:end]) + draw(strategies.binary(max_size=4))


_frames = strategies.one_of(
    strategies.binary(max_size=200),
    strategies.binary(max_size=200).map(lambda b: bytes((_PREFIX, 10)) + b),
    _near_messages(),
    _damaged(),
)


class FrameFuzzTest(testtools.TestCase):
    @hypothesis.given(_frames)
    def test_any_bytes_are_a_message_or_a_frame_error(self, frame):
        try:
            message = frames.decode(frame)
        except frames.FrameError:
            return
        again = frames.decode(frames.encode(message))
        self.assertEqual(repr(message), repr(again))

    @hypothesis.given(_frames)
    def test_the_dispatcher_drops_and_counts_what_it_cannot_read(self, frame):
        dispatcher = dispatch.Dispatcher(metrics.Metrics())
        dispatcher.receive(None, frame)

    def test_nesting_and_lying_lengths_are_refused(self):
        rows = (
            b"",
            bytes((_PREFIX,)),
            bytes((_PREFIX, 250)),
            bytes((_PREFIX + 1, 10)) + b"\x80",
            bytes((_PREFIX, 10)) + b"\x91" * 100_000,
            bytes((_PREFIX, 10)) + b"\x81\xa1x" * 100_000,
            bytes((_PREFIX, 10)) + b"\xdd\xff\xff\xff\xff",
            bytes((_PREFIX, 10)) + b"\xc6\xff\xff\xff\xff",
            bytes((_PREFIX, 10)) + b"\xdf\xff\xff\xff\xff",
            bytes(frames.MAX_FRAME_BYTES + 1),
        )
        for row in rows:
            self.assertRaises(frames.FrameError, frames.decode, row)

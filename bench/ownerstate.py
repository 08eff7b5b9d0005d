"""Measures the memory that an owner's bounded tables take when full."""

from __future__ import annotations

from collections.abc import Callable
import struct
import tracemalloc

from sardinedoor_node import metrics
from sardinedoor_node.owner import holds
from sardinedoor_node.owner import ledger
from sardinedoor_node.owner import offerids
from sardinedoor_node.owner import quarantine
from sardinedoor_node.util import clock
from sardinedoor_node.util import digests
from sardinedoor_schema.generated import wire

_BODY_BYTES = 200
_HEADERS = 6
_INCARNATION = bytes(16)
_CLOCK = clock.SystemClock()


def _number(number: int) -> bytes:
    return struct.pack(">Q", number)


def _fill_ledger() -> object:
    kept = ledger.Ledger(_CLOCK)
    for number in range(ledger.MAX_ENTRIES + 1000):
        name = digests.of_parts([_number(number)])
        entry = kept.begin(name, digests.of_parts([name]), 0)
        headers = [
            wire.Header(f"Name-{n}", f"value {number}") for n in range(_HEADERS)
        ]
        body = b"%d" % number * (_BODY_BYTES // len(str(number)))
        reply = wire.Reply(
            _INCARNATION + _number(number),
            200,
            len(body),
            digests.of_parts([body]),
            headers,
            body,
        )
        kept.finish(entry, reply)
    return kept


def _fill_seen() -> object:
    kept = offerids.OfferDeduplicator()
    for number in range(40_000):
        kept.add(_INCARNATION + _number(number))
    return kept


def _fill_lapsed() -> object:
    kept = holds.HoldTable(_CLOCK)
    for number in range(12_000):
        hold = _Unused(_INCARNATION + _number(number))
        kept._by_ticket[hold.ticket] = hold
        kept._by_offer[hold.offer_id] = hold
        kept.close(hold, used=False)
    return kept


class _Unused:
    """A hold that needs no event loop."""

    def __init__(self, offer_id: bytes):
        self.offer_id = offer_id
        self.ticket = digests.of_parts([offer_id])


def _fill_suspects() -> object:
    kept = quarantine.CrashQuarantine(
        lambda notice: None, metrics.Metrics(), _CLOCK
    )
    for number in range(5_000):
        kept.on_crash("service", digests.of_parts([_number(number)]))
        kept.on_run_answered(
            "service", digests.of_parts([_number(2**32 + number)])
        )
    return kept


def _measure(name: str, fill: Callable[[], object]) -> None:
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = fill()
    taken = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    print(f"{name:20} {taken / 1024:8.0f} KiB")
    del kept


def main() -> None:
    """Prints a line per table."""
    print(f"answers of {_BODY_BYTES} bytes with {_HEADERS} headers")
    _measure("ledger", _fill_ledger)
    _measure("offers seen", _fill_seen)
    _measure("lapsed tickets", _fill_lapsed)
    _measure("crash suspects", _fill_suspects)


if __name__ == "__main__":
    main()

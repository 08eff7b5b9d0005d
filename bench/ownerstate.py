"""Measures the memory of an owner's bounded tables when they are full."""

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
_HEADER_COUNT = 6
_INCARNATION = bytes(16)
_CLOCK = clock.SystemClock()


def _encode_number(number: int) -> bytes:
    return struct.pack(">Q", number)


def _fill_ledger() -> object:
    table = ledger.Ledger(_CLOCK)
    for number in range(ledger.MAX_ENTRIES + 1000):
        name = digests.of_parts([_encode_number(number)])
        entry = table.begin(name, digests.of_parts([name]), 0)
        headers = [
            wire.Header(f"Name-{n}", f"value {number}")
            for n in range(_HEADER_COUNT)
        ]
        body = b"%d" % number * (_BODY_BYTES // len(str(number)))
        reply = wire.Reply(
            _INCARNATION + _encode_number(number),
            200,
            len(body),
            digests.of_parts([body]),
            headers,
            body,
        )
        table.finish(entry, reply)
    return table


def _fill_offer_ids() -> object:
    table = offerids.OfferDeduplicator()
    for number in range(40_000):
        table.add(_INCARNATION + _encode_number(number))
    return table


def _fill_unused_tickets() -> object:
    table = holds.HoldTable(_CLOCK)
    for number in range(12_000):
        hold = _UnusedHold(_INCARNATION + _encode_number(number))
        table._by_ticket[hold.ticket] = hold
        table._by_offer[hold.offer_id] = hold
        table.close(hold, used=False)
    return table


class _UnusedHold:
    """Stand-in for `holds.Hold` that needs no event loop."""

    def __init__(self, offer_id: bytes):
        self.offer_id = offer_id
        self.ticket = digests.of_parts([offer_id])


def _fill_suspects() -> object:
    table = quarantine.CrashQuarantine(
        lambda notice: None, metrics.Metrics(), _CLOCK
    )
    for number in range(5_000):
        table.on_crash("service", digests.of_parts([_encode_number(number)]))
        table.on_run_answered(
            "service", digests.of_parts([_encode_number(2**32 + number)])
        )
    return table


def _measure(name: str, fill: Callable[[], object]) -> None:
    tracemalloc.start()
    before_bytes = tracemalloc.get_traced_memory()[0]
    table = fill()
    used_bytes = tracemalloc.get_traced_memory()[0] - before_bytes
    tracemalloc.stop()
    print(f"{name:20} {used_bytes / 1024:8.0f} KiB")
    del table


def main() -> None:
    """Prints the memory of each table."""
    print(f"answers of {_BODY_BYTES} bytes with {_HEADER_COUNT} headers")
    _measure("ledger", _fill_ledger)
    _measure("offers seen", _fill_offer_ids)
    _measure("lapsed tickets", _fill_unused_tickets)
    _measure("crash suspects", _fill_suspects)


if __name__ == "__main__":
    main()

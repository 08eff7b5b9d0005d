"""Calls to the store and digests, for fleets of several sizes.

Prints them for quiet fleets and with a tenth of the nodes cut off from their
peers: python -m bench.readers
"""

from __future__ import annotations

from sardinedoor_standins import publishedsim

_APPLY_S = 2.0
_FLEETS = ((20, 3), (60, 3), (300, 5))
_WARM_UP_S = 18.0
_MEASURED_S = 20.0


def _measure(node_count: int, domains: int, cut: int) -> tuple[float, float]:
    """Returns the store's calls/s, and the digests/s that a node sends."""
    simulation = publishedsim.Simulation(node_count, domains, _APPLY_S, 1)
    with simulation.timeline.closing():
        simulation.run(_WARM_UP_S)
        simulation.cut(simulation.rng.sample(simulation.nodes, cut))
        simulation.run(_APPLY_S)
        calls, sent = simulation.store.calls, simulation.network.sent
        simulation.run(_MEASURED_S)
        calls = simulation.store.calls - calls
        sent = simulation.network.sent - sent
    return calls / _MEASURED_S, sent / _MEASURED_S / node_count


def main() -> None:
    """Prints one line for each fleet."""
    print("nodes  cut off  calls/s  digests/s of a node")
    for node_count, domains in _FLEETS:
        for cut in (0, node_count // 10):
            calls, digests = _measure(node_count, domains, cut)
            print(f"{node_count:5} {cut:8} {calls:8.1f} {digests:8.1f}")


if __name__ == "__main__":
    main()

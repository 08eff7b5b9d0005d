"""Computes links and balance of the subset rule at the target size."""

from __future__ import annotations

import argparse
import collections
import random
import statistics

from sardinedoor_node.membership import table
from sardinedoor_node.picking import ranking
from sardinedoor_node.picking import twochoices

_NODES = 2600
_WORKERS = 40_000
_SERVICES = 810
_DOMAINS = 10
_INGRESSES = 40
_POPULARITY_EXPONENT = 1.0
_SEED = 1


def make_services(rng: random.Random) -> list[list[table.Target]]:
    """Places the workers of each service on distinct random nodes.

    Sizes fall with rank, from hundreds of workers down to six.
    """
    weights = [1 / (n + 20) for n in range(_SERVICES)]
    scale = (_WORKERS - 6 * _SERVICES) / sum(weights)
    services = []
    for number, weight in enumerate(weights):
        size = min(_NODES, 6 + round(weight * scale))
        nodes = rng.sample(range(_NODES), size)
        services.append(
            [
                table.Target(
                    f"s{number}-{n}",
                    f"s{number}",
                    f"n{n}",
                    False,
                    f"d{n % _DOMAINS}",
                )
                for n in nodes
            ]
        )
    return services


def subset(ingress: int, targets: list[table.Target]) -> list[table.Target]:
    """Returns the targets that an ingress uses for a service."""
    ranks = {t.node: ranking.rank(f"n{ingress}", t.node) for t in targets}
    return ranking.subset(
        targets,
        twochoices.SUBSET_SIZE,
        twochoices.LOCAL_SUBSET_SIZE,
        lambda t: t.failure_domain == f"d{ingress % _DOMAINS}",
        ranks.__getitem__,
    )


def main() -> None:
    """Prints links for each number of services in use, and the balance."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=_SEED)
    options = parser.parse_args()
    rng = random.Random(options.seed)
    services = make_services(rng)
    workers = sum(len(s) for s in services)
    print(f"{workers} workers, largest {len(services[0])}")
    ingresses = rng.sample(range(_NODES), _INGRESSES)
    weights = [1 / (n + 1) ** _POPULARITY_EXPONENT for n in range(_SERVICES)]
    for used in (10, 50, 200, _SERVICES):
        links, unshared = [], []
        for ingress in ingresses:
            chosen = set()
            while len(chosen) < used:
                chosen.add(rng.choices(range(_SERVICES), weights)[0])
                if used == _SERVICES:
                    chosen = set(range(_SERVICES))
            nodes = set()
            scattered = set()
            for number in chosen:
                picked = subset(ingress, services[number])
                nodes |= {t.node for t in picked}
                scattered |= {
                    t.node for t in rng.sample(services[number], len(picked))
                }
            links.append(len(nodes))
            unshared.append(len(scattered))
        print(
            f"{used} services: links p50 {statistics.median(links):.0f}"
            f" max {max(links)}; with a random subset per service"
            f" {statistics.median(unshared):.0f}"
        )
    for number in (0, 100, 400, _SERVICES - 1):
        uses = collections.Counter(
            t.worker
            for ingress in range(_NODES)
            for t in subset(ingress, services[number])
        )
        counts = [uses[t.worker] for t in services[number]]
        mean = statistics.mean(counts)
        print(
            f"service of {len(counts)}: ingresses per worker mean {mean:.0f}"
            f" min {min(counts)} max {max(counts)}"
            f" ({max(counts) / mean:.2f} of the mean)"
        )


if __name__ == "__main__":
    main()

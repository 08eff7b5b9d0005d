"""Simulates subsetting at the target size: links per ingress and balance."""

from __future__ import annotations

import argparse
import collections
import random
import statistics

from sardinedoor_node.membership import table
from sardinedoor_node.picking import ranking
from sardinedoor_node.picking import twochoices

_NODE_COUNT = 2600
_WORKER_COUNT = 40_000
_SERVICE_COUNT = 810
_DOMAIN_COUNT = 10
_INGRESS_SAMPLE_SIZE = 40
_POPULARITY_EXPONENT = 1.0
_DEFAULT_SEED = 1


def make_services(rng: random.Random) -> list[list[table.Target]]:
    """Places the workers of each service on distinct random nodes.

    The number of workers falls with the rank of the service, from hundreds
    down to 17.
    """
    weights = [1 / (n + 20) for n in range(_SERVICE_COUNT)]
    scale = (_WORKER_COUNT - 6 * _SERVICE_COUNT) / sum(weights)
    services = []
    for number, weight in enumerate(weights):
        size = min(_NODE_COUNT, 6 + round(weight * scale))
        nodes = rng.sample(range(_NODE_COUNT), size)
        services.append(
            [
                table.Target(
                    f"s{number}-{n}",
                    f"s{number}",
                    f"n{n}",
                    False,
                    f"d{n % _DOMAIN_COUNT}",
                )
                for n in nodes
            ]
        )
    return services


def subset(ingress: int, targets: list[table.Target]) -> list[table.Target]:
    """Returns the targets of a service to which an ingress sends requests."""
    ranks = {t.node: ranking.rank(f"n{ingress}", t.node) for t in targets}
    return ranking.subset(
        targets,
        twochoices.SUBSET_SIZE,
        twochoices.LOCAL_SUBSET_SIZE,
        lambda t: t.failure_domain == f"d{ingress % _DOMAIN_COUNT}",
        ranks.__getitem__,
    )


def main() -> None:
    """Prints links by number of services in use, and load balance."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=_DEFAULT_SEED)
    options = parser.parse_args()
    rng = random.Random(options.seed)
    services = make_services(rng)
    workers = sum(len(s) for s in services)
    print(f"{workers} workers, largest {len(services[0])}")
    ingresses = rng.sample(range(_NODE_COUNT), _INGRESS_SAMPLE_SIZE)
    weights = [
        1 / (n + 1) ** _POPULARITY_EXPONENT for n in range(_SERVICE_COUNT)
    ]
    for used in (10, 50, 200, _SERVICE_COUNT):
        links, random_links = [], []
        for ingress in ingresses:
            chosen = set()
            while len(chosen) < used:
                chosen.add(rng.choices(range(_SERVICE_COUNT), weights)[0])
                if used == _SERVICE_COUNT:
                    chosen = set(range(_SERVICE_COUNT))
            nodes = set()
            random_nodes = set()
            for number in chosen:
                selected = subset(ingress, services[number])
                nodes |= {t.node for t in selected}
                random_nodes |= {
                    t.node for t in rng.sample(services[number], len(selected))
                }
            links.append(len(nodes))
            random_links.append(len(random_nodes))
        print(
            f"{used} services: links p50 {statistics.median(links):.0f}"
            f" max {max(links)}; with a random subset per service"
            f" {statistics.median(random_links):.0f}"
        )
    for number in (0, 100, 400, _SERVICE_COUNT - 1):
        uses = collections.Counter(
            t.worker
            for ingress in range(_NODE_COUNT)
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

"""Background tasks of health: ticks, probes, comparisons, announcements."""

from __future__ import annotations

import asyncio
import functools
import logging
import secrets
from typing import TYPE_CHECKING

from sardinedoor_node import health
from sardinedoor_node.health import comparison
from sardinedoor_node.health import digest
from sardinedoor_node.picking import ranking
from sardinedoor_schema import codes
from sardinedoor_schema.generated import wire

if TYPE_CHECKING:
    from sardinedoor_node import link
    from sardinedoor_node import metrics
    from sardinedoor_node.health import monitor
    from sardinedoor_node.membership import table
    from sardinedoor_node.owner import workers
    from sardinedoor_node.settings import store
    from sardinedoor_node.util import clock
    from sardinedoor_node.util import tasks

logger = logging.getLogger(__name__)

TICK_INTERVAL_S = 0.05
REFRESH_INTERVAL_S = 10.0
PROBE_INTERVAL_S = 1.0
PROBE_TIMEOUT_S = 0.5
ANNOUNCE_INTERVAL_S = 1.0
MAX_PEERS = 8
_ANSWER_TIMEOUT_S = 0.15
_COMPARE_INTERVAL_S = 0.1
_ID_BYTES = 8
_PPM = 1_000_000


class HealthTasks:
    """Runs the tasks that feed and query one node's health monitor.

    They advance its time, probe the workers, compare suspected workers with
    the peers, exchange digests of usual behaviour, and announce ejections.
    """

    def __init__(
        self,
        health_monitor: monitor.HealthMonitor,
        local_workers: dict[str, workers.LocalWorker],
        members: table.MemberTable,
        settings_store: store.SettingsStore,
        transport: link.Transport,
        counters: metrics.Metrics,
        time: clock.Clock,
    ):
        """Subscribes to messages and settings; starts no task.

        Args:
            health_monitor: Health of the node's workers.
            local_workers: The node's workers by name.
            members: Source of the other owners of a service.
            settings_store: Source of the teams' settings.
            transport: Links to the other owners.
            counters: Metrics of the node.
            time: The clock.
        """
        self._health = health_monitor
        self._workers = local_workers
        self._members = members
        self._store = settings_store
        self._transport = transport
        self._metrics = counters
        self._clock = time
        self._pending_answers: dict[
            bytes, asyncio.Future[wire.HealthAnswer]
        ] = {}
        self._comparing: set[str] = set()
        health_monitor.on_change = self._on_health_change
        settings_store.on_change(self._on_settings)
        transport.on_message(wire.HealthQuery, self._on_query)
        transport.on_message(wire.HealthAnswer, self._on_answer)
        self._on_settings()

    def start(self, group: tasks.TaskGroup) -> None:
        """Starts the tasks.

        Args:
            group: Group that runs them.
        """
        run_ticks = functools.partial(self._run_ticks, group)
        group.supervise(run_ticks, "health-ticks")
        group.supervise(self._run_refresh, "health-refresh")
        group.supervise(self._run_announce, "health-announce")
        for worker in self._workers.values():
            run_probes = functools.partial(self._run_probes, worker)
            group.supervise(run_probes, f"probe-{worker.name}")

    def _on_settings(self) -> None:
        self._health.configure(self._store.services)

    def _on_health_change(
        self, name: str, state: str, evidence: health.Evidence | None
    ) -> None:
        self._metrics.health(state, evidence.reason.value if evidence else "")
        logger.warning(
            "health",
            extra={
                "target": name,
                "state": state,
                "reason": evidence.reason.value if evidence else "",
                "score": round(evidence.score, 1) if evidence else 0,
            },
        )

    async def _run_ticks(self, group: tasks.TaskGroup) -> None:
        while True:
            await self._clock.sleep(TICK_INTERVAL_S)
            self._health.tick()
            for suspicion in self._health.suspicions():
                if suspicion.worker not in self._comparing:
                    self._comparing.add(suspicion.worker)
                    group.spawn(self._compare(suspicion), "health-compare")

    async def _compare(self, suspicion: monitor.Suspicion) -> None:
        try:
            age_s = self._clock.monotonic() - suspicion.evidence.since
            answers = await self._query_peers(
                suspicion.service, age_s, suspicion.evidence.slow_level
            )
            peer_counts = comparison.OutcomeCounts()
            for answer in answers:
                peer_counts.add(
                    comparison.OutcomeCounts(answer.outcomes, answer.bad)
                )
            if not self._health.conclude_comparison(suspicion, peer_counts):
                self._metrics.event("suspicion_not_confirmed")
                await self._clock.sleep(_COMPARE_INTERVAL_S)
        finally:
            self._comparing.discard(suspicion.worker)

    async def _run_refresh(self) -> None:
        while True:
            for service in sorted(self._health.services):
                answers = await self._query_peers(service, 0.0, 0)
                digests = [_from_message(d) for a in answers for d in a.digests]
                self._health.update_references(service, digests)
            self._health.fill_references_from_own_history()
            await self._clock.sleep(REFRESH_INTERVAL_S)

    def _peers(self, service: str) -> list[str]:
        own_name = self._members.own.name
        nodes = {t.node for t in self._members.targets(service)} - {own_name}
        return sorted(nodes, key=lambda n: ranking.rank(own_name, n))[
            :MAX_PEERS
        ]

    async def _query_peers(
        self, service: str, age_s: float, level: int
    ) -> list[wire.HealthAnswer]:
        queries = []
        loop = asyncio.get_running_loop()
        for name in self._peers(service):
            entry = self._members.entries[name]
            channel = self._transport.connect(entry.name, entry.link)
            query = wire.HealthQuery(
                secrets.token_bytes(_ID_BYTES),
                service,
                int(age_s * 1000),
                level,
            )
            if channel.send(query):
                self._pending_answers[query.id] = loop.create_future()
                queries.append(query.id)
        if not queries:
            return []
        futures = [self._pending_answers[q] for q in queries]
        try:
            done, _ = await asyncio.wait(futures, timeout=_ANSWER_TIMEOUT_S)
            return [future.result() for future in done]
        finally:
            for query_id in queries:
                self._pending_answers.pop(query_id).cancel()

    def _on_query(self, channel: link.Channel, query: wire.HealthQuery) -> None:
        answer = self._health.statistics(
            query.service, query.age_ms / 1000, query.level
        )
        channel.send(
            wire.HealthAnswer(
                query.id,
                answer.counts.outcomes,
                answer.counts.bad,
                [_to_message(d) for d in answer.digests],
            )
        )

    def _on_answer(
        self, channel: link.Channel, answer: wire.HealthAnswer
    ) -> None:
        del channel
        future = self._pending_answers.get(answer.id)
        if future is not None and not future.done():
            future.set_result(answer)

    async def _run_probes(self, worker: workers.LocalWorker) -> None:
        while True:
            await self._clock.sleep(PROBE_INTERVAL_S)
            service = self._store.services.get(worker.service)
            if service is None or not service.probe_path:
                continue
            if not await self._probe(worker, service.probe_path):
                self._metrics.event("probe_failed")
                self._health.probe_failed(worker.name)

    async def _probe(self, worker: workers.LocalWorker, path: str) -> bool:
        request = wire.Request("GET", path)
        sent_at = self._clock.monotonic()
        reply = await worker.probe(request, PROBE_TIMEOUT_S)
        worker.observe_reply(reply, sent_at, self._clock.monotonic())
        return reply.code == codes.Code.ANSWERED and reply.status < 500

    async def _run_announce(self) -> None:
        while True:
            await self._clock.sleep(ANNOUNCE_INTERVAL_S)
            changed = False
            for announced in self._members.own.workers:
                standing = self._health.advertised_health(announced.name)
                changed = changed or announced.ejected != standing.ejected
                announced.ejected = standing.ejected
                announced.reason = standing.reason
            if changed:
                self._members.announce()


def _from_message(message: wire.WorkerDigest) -> digest.Digest:
    steps = health.LATENCY_LEVEL_COUNT - 1
    shares = [share / _PPM for share in message.slow_ppm[:steps]]
    shares += [0.0] * (steps - len(shares))
    usual = health.Reference(
        message.latency_us / 1e6, message.error_ppm / _PPM, tuple(shares)
    )
    return digest.Digest(message.outcomes, usual)


def _to_message(worker_digest: digest.Digest) -> wire.WorkerDigest:
    return wire.WorkerDigest(
        worker_digest.outcomes,
        int(worker_digest.averages.latency_s * 1e6),
        int(worker_digest.averages.error_share * _PPM),
        [int(share * _PPM) for share in worker_digest.averages.slow_shares],
    )

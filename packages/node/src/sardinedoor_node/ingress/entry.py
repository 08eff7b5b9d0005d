"""Serves callers by published routes, in a dialect that callers speak."""

from __future__ import annotations

import asyncio
import dataclasses
import logging
import random
from typing import TYPE_CHECKING

from sardinedoor_node.ingress import attempt
from sardinedoor_node.ingress import hosts
from sardinedoor_node.ingress import requests
from sardinedoor_node.ingress import reroute
from sardinedoor_node.ingress import responses
from sardinedoor_node.ingress import server
from sardinedoor_schema import codes
from sardinedoor_schema.generated import wire

if TYPE_CHECKING:
    from sardinedoor_node import metrics
    from sardinedoor_node import published
    from sardinedoor_node.ingress import dialect
    from sardinedoor_node.ingress import nesting
    from sardinedoor_node.published import catalog
    from sardinedoor_node.util import clock

logger = logging.getLogger(__name__)

# Bodies are held whole; a longer one would take too much of a small node.
_MAX_BODY_BYTES = 8 * 1024 * 1024
# For the way of an answer to its caller.
_ANSWER_S = 0.01
_RETRY_AFTER_MIN_S = 0.1
_RETRY_AFTER_MAX_S = 0.4


class Entry(requests.Handler):
    """Matches, forwards and answers the requests of one node."""

    def __init__(
        self,
        copy: catalog.Catalog,
        rerouter: reroute.Rerouter,
        caller_dialect: dialect.CallerDialect,
        counters: metrics.Metrics,
        time: clock.Clock,
        rng: random.Random,
        max_connections: int,
        nested: nesting.NestedCalls,
    ):
        """Builds the listeners; nothing listens yet.

        Args:
            copy: What is published.
            rerouter: Takes requests to owners.
            caller_dialect: What callers speak.
            counters: Where results are counted.
            time: The clock.
            rng: Splits requests by weight, and spreads returns.
            max_connections: Connections that are served at once.
            nested: Tells calls of the node's own worker.
        """
        self._catalog = copy
        self._rerouter = rerouter
        self._dialect = caller_dialect
        self._metrics = counters
        self._clock = time
        self._rng = rng
        self._nested = nested
        self._routes: hosts.HostRoutes | None = None
        self._server = server.Server(self, counters, time, max_connections)
        copy.on_change(self._on_change)

    @property
    def server(self) -> server.Server:
        """The listeners and their connections."""
        return self._server

    @property
    def max_body_bytes(self) -> int:
        """See base class."""
        configuration = self._catalog.configuration
        if configuration is None:
            return _MAX_BODY_BYTES
        return min(_MAX_BODY_BYTES, configuration.max_body_bytes)

    def _on_change(self) -> None:
        configuration = self._catalog.configuration
        if configuration is None:
            return
        if self._routes and self._routes.version == configuration.version:
            return
        self._routes = hosts.HostRoutes(configuration)

    def check(self, request: requests.Request) -> codes.Code | None:
        """See base class."""
        if self._routes is None:
            return codes.Code.SETTINGS_UNKNOWN
        path = request.raw_target.partition("?")[0]
        host = request.headers.get("Host", "")
        request.route = self._routes.match(host, path)
        return None if request.route else codes.Code.NO_ROUTE

    async def serve(self, request: requests.Request) -> None:
        """See base class."""
        began = self._clock.monotonic()
        request_id = self._dialect.request_id(request.headers)
        course = reroute.Course(began)
        if request.refusal is None:
            # The version in force may have changed while the body was read.
            request.refusal = self.check(request)
        if request.refusal is not None:
            outcome = attempt.Forwarded(request.refusal)
        else:
            outcome = await self._forward(request, request_id, course)
        self._respond(request, request_id, outcome)
        took_s = self._clock.monotonic() - began
        self._metrics.result(outcome.code)
        self._metrics.took(took_s)
        self._log(request, request_id, outcome, course, took_s)

    async def _forward(
        self, request: requests.Request, request_id: str, course: reroute.Course
    ) -> attempt.Forwarded:
        route = request.route
        job = self._job(request, route, course.began)
        task = asyncio.get_running_loop().create_task(
            self._rerouter.forward(job, course)
        )

        def left() -> None:
            # Work that may have begun can't be called back.
            if not job.committed:
                task.cancel()

        request.connection.set_close_callback(left)
        try:
            async with asyncio.timeout(job.deadline - self._clock.monotonic()):
                await asyncio.shield(task)
        except TimeoutError:
            task.cancel()
            return self._expired(job, course)
        except asyncio.CancelledError:
            if not task.cancelled():
                raise
            return attempt.Forwarded(codes.Code.CALLER_LEFT)
        except Exception:
            logger.exception("request failed", extra={"request_id": request_id})
            if job.committed or course.ran:
                return attempt.Forwarded(codes.Code.INTERNAL_ERROR_AFTER_RUN)
            return attempt.Forwarded(codes.Code.INTERNAL_ERROR_BEFORE_RUN)
        return course.outcome()

    def _expired(
        self, job: attempt.Job, course: reroute.Course
    ) -> attempt.Forwarded:
        if job.committed or job.idempotent:
            return course.failed or attempt.Forwarded(codes.Code.REPLY_TIMEOUT)
        return attempt.Forwarded(codes.Code.DEADLINE_EXPIRED)

    def _job(
        self,
        request: requests.Request,
        route: published.Route,
        now: float,
    ) -> attempt.Job:
        timeout_s = route.timeout_s
        asked_s = self._dialect.remaining_s(request.headers)
        if asked_s is not None:
            timeout_s = min(timeout_s, asked_s)
        return attempt.Job(
            request=wire.Request(
                request.method,
                request.raw_target,
                self._dialect.forwarded(request.headers),
                request.body,
            ),
            service=self._part(route),
            idempotent=route.idempotent,
            deadline=now + timeout_s - _ANSWER_S,
            priority=route.urgency,
            objective_s=route.objective_s,
            max_runs=route.max_runs,
            nested=self._nested.is_nested(route.name),
        )

    def _part(self, route: published.Route) -> str:
        if len(route.parts) == 1:
            return route.parts[0].service
        weights = [part.weight for part in route.parts]
        return self._rng.choices(route.parts, weights)[0].service

    def _respond(
        self,
        request: requests.Request,
        request_id: str,
        outcome: attempt.Forwarded,
    ) -> None:
        if self._server.draining:
            request.connection.close_after()
        reply = outcome.reply
        if reply is not None:
            fields = responses.reply_headers(reply)
            responses.write(request, reply.status, fields, reply.body)
            return
        retry_after_s = self._rng.uniform(
            _RETRY_AFTER_MIN_S, _RETRY_AFTER_MAX_S
        )
        responses.write(
            request,
            self._dialect.status(outcome.code),
            self._dialect.refusal_headers(
                outcome.code, request_id, retry_after_s
            ),
            responses.body(outcome.code),
        )

    def _log(
        self,
        request: requests.Request,
        request_id: str,
        outcome: attempt.Forwarded,
        course: reroute.Course,
        took_s: float,
    ) -> None:
        route = request.route
        logger.info(
            "request",
            extra={
                "request_id": request_id,
                "route": route.name if route else "",
                "version": self._routes.version if self._routes else 0,
                "revision": self._catalog.revision,
                "code": int(outcome.code),
                "status": outcome.reply.status if outcome.reply else 0,
                "took_ms": round(1000 * took_s),
                "steps": [dataclasses.astuple(s) for s in course.steps],
            },
        )

"""Handler of callers' requests that are routed by published routes."""

from __future__ import annotations

import asyncio
import logging
import random
from typing import TYPE_CHECKING

from sardinedoor_node.ingress import attempt
from sardinedoor_node.ingress import failover
from sardinedoor_node.ingress import hosts
from sardinedoor_node.ingress import requestlog
from sardinedoor_node.ingress import requestprogress
from sardinedoor_node.ingress import requests
from sardinedoor_node.ingress import responses
from sardinedoor_node.ingress import retryafter
from sardinedoor_node.ingress import server
from sardinedoor_node.organisations import registry
from sardinedoor_node.util import octets
from sardinedoor_schema import codes
from sardinedoor_schema.generated import wire

if TYPE_CHECKING:
    from sardinedoor_node import metrics
    from sardinedoor_node import published
    from sardinedoor_node.admission import calltree
    from sardinedoor_node.ingress import buffers
    from sardinedoor_node.ingress import dialect
    from sardinedoor_node.ingress import nesting
    from sardinedoor_node.organisations import accounts
    from sardinedoor_node.organisations import keeper
    from sardinedoor_node.published import catalog
    from sardinedoor_node.util import clock

logger = logging.getLogger(__name__)

# Request bodies are buffered whole; a longer one would use too much memory of a
# small node.
_MAX_BODY_BYTES = 8 * 1024 * 1024
# Subtracted from a request's deadline, so that the response reaches the caller
# before the caller's own timeout.
_RESPONSE_MARGIN_S = 0.01


class PublishedRouteHandler(requests.Handler):
    """Routes, forwards and answers the requests that reach one node."""

    def __init__(
        self,
        published_catalog: catalog.Catalog,
        forwarder: failover.FailoverForwarder,
        caller_dialect: dialect.CallerDialect,
        counters: metrics.Metrics,
        time: clock.Clock,
        rng: random.Random,
        limits: buffers.BufferLimits,
        nested_calls: nesting.NestedCallDetector,
        quotas: keeper.QuotaKeeper,
        apply_s: float,
        calls: calltree.CallTree,
    ):
        """Builds the server; no listener is open yet.

        Args:
            published_catalog: Provides the configuration in force.
            forwarder: Forwards requests to owners.
            caller_dialect: Translates headers and statuses for callers.
            counters: Counts results and measures durations.
            time: The clock.
            rng: Splits requests by weight, and spreads retries of callers.
            limits: What is held for callers at most.
            nested_calls: Detects calls by the node's own worker.
            quotas: Lets requests in under the quotas of their organisations.
            apply_s: Time in which a published change must be in force, in s.
            calls: Learns how the calls of the node's own worker fare.
        """
        self._calls = calls
        self._catalog = published_catalog
        self._forwarder = forwarder
        self._dialect = caller_dialect
        self._metrics = counters
        self._clock = time
        self._rng = rng
        self._retry_delays = retryafter.RetryDelays(rng)
        self._nested_calls = nested_calls
        self._quotas = quotas
        self._apply_s = apply_s
        self._routes: hosts.HostRoutes | None = None
        self._organisations: registry.OrganisationRegistry | None = None
        self._server = server.Server(self, counters, time, limits)
        published_catalog.on_change(self._on_catalog_change)

    @property
    def server(self) -> server.Server:
        """The server with its listeners and connections."""
        return self._server

    @property
    def max_body_bytes(self) -> int:
        """See base class."""
        configuration = self._catalog.configuration
        if configuration is None:
            return _MAX_BODY_BYTES
        return min(_MAX_BODY_BYTES, configuration.max_body_bytes)

    @property
    def has_routes(self) -> bool:
        """Whether the routes are known; all requests are refused until then."""
        return self._routes is not None

    def _on_catalog_change(self) -> None:
        configuration = self._catalog.configuration
        if configuration is None:
            return
        if self._routes and self._routes.version == configuration.version:
            return
        self._routes = hosts.HostRoutes(configuration)
        previous, self._organisations = self._organisations, None
        if configuration.organisations is not None:
            self._organisations = registry.OrganisationRegistry(
                configuration.organisations, previous
            )

    def check(self, request: requests.Request) -> codes.Code | None:
        """See base class."""
        if self._routes is None:
            return codes.Code.SETTINGS_UNKNOWN
        if octets.decode_utf8(request.raw_target) is None:
            # The owner's HTTP library can't write such a target unchanged.
            return codes.Code.BAD_REQUEST
        path = request.raw_target.partition("?")[0]
        host = request.headers.get("Host", "")
        request.route = self._routes.match(host, path)
        if request.route is None:
            return codes.Code.NO_ROUTE
        return self._authenticate(request)

    def _authenticate(self, request: requests.Request) -> codes.Code | None:
        """Finds the organisation that holds the key of a request."""
        request.organisation = None
        if self._organisations is None:
            return None
        key = self._dialect.credential(request.headers)
        if key:
            request.organisation = self._organisations.by_key(key)
        if request.organisation is not None or request.route.public:
            return None
        if key and self._catalog.contact_age_s > self._apply_s:
            # A newer version, which this node hasn't got, may have the key.
            return codes.Code.CREDENTIAL_UNVERIFIED
        return codes.Code.CREDENTIAL_UNKNOWN

    def find_quota(self, organisation: str) -> accounts.Quota | None:
        """Returns the quota of an organisation, None if it is unknown."""
        if self._organisations is None:
            return None
        found = self._organisations.by_name(organisation)
        return found.quota if found else None

    async def serve(self, request: requests.Request) -> None:
        """See base class."""
        started_at = self._clock.monotonic()
        request_id = self._dialect.request_id(request.headers)
        progress = requestprogress.Progress(started_at)
        if request.refusal is None:
            # The configuration may have changed while the body was read.
            request.refusal = self.check(request)
        if request.refusal is not None:
            result = attempt.ForwardResult(request.refusal)
        else:
            try:
                result = await self._forward_within_quota(
                    request, request_id, progress
                )
            except asyncio.CancelledError:
                self._end_unfinished(request, request_id, progress)
                raise
        if progress.is_call and not result.succeeded:
            self._calls.call_failed(self._clock.monotonic())
        self._respond(request, request_id, result, progress.free_at)
        if result.reply is not None:
            # It was copied to the connection. Reference cycles would keep it
            # until the next garbage collection.
            result.reply.body = b""
        duration_s = self._clock.monotonic() - started_at
        self._metrics.result(result.code)
        self._metrics.observe_request_duration(duration_s)
        view = requestlog.View(
            self._routes.version if self._routes else 0, self._catalog.revision
        )
        requestlog.log_result(
            request, request_id, result, progress, view, duration_s
        )

    def _end_unfinished(
        self,
        request: requests.Request,
        request_id: str,
        progress: requestprogress.Progress,
    ) -> None:
        """Ends a request that is unfinished when the node closes.

        It is refused if no worker may have got it; otherwise its outcome is
        unknown, and its connection ends without an answer.
        """
        job = progress.job
        may_have_started = job is not None and job.may_have_started
        requestlog.log_cut(request, request_id, may_have_started)
        if may_have_started:
            return
        if job is not None:
            job.withdrawn = True
        refusal = attempt.ForwardResult(codes.Code.NODE_LEAVING)
        self._metrics.result(refusal.code)
        self._respond(request, request_id, refusal, progress.free_at)

    async def _forward_within_quota(
        self,
        request: requests.Request,
        request_id: str,
        progress: requestprogress.Progress,
    ) -> attempt.ForwardResult:
        organisation = request.organisation
        if organisation is None:
            return await self._forward(request, request_id, progress)
        admission = await self._quotas.admit(
            organisation.name, organisation.quota
        )
        if not admission.admitted:
            progress.free_at = self._clock.monotonic() + admission.retry_s
            return attempt.ForwardResult(codes.Code.QUOTA_EXCEEDED)
        result = await self._forward(request, request_id, progress)
        if codes.outcome(result.code) is codes.Outcome.NOT_RUN:
            self._quotas.give_back(organisation.name, organisation.quota)
        return result

    async def _forward(
        self,
        request: requests.Request,
        request_id: str,
        progress: requestprogress.Progress,
    ) -> attempt.ForwardResult:
        route = request.route
        job = self._build_job(request, route, progress.started_at)
        progress.job = job
        progress.nested = job.may_be_nested
        progress.is_call = job.nested
        task = asyncio.get_running_loop().create_task(
            self._forwarder.forward(job, progress)
        )

        def on_caller_left() -> None:
            # A request that isn't idempotent can't be cancelled once a worker
            # may have started it.
            if job.idempotent or not job.may_have_started:
                task.cancel()

        request.connection.set_close_callback(on_caller_left)
        try:
            async with asyncio.timeout(job.deadline - self._clock.monotonic()):
                await asyncio.shield(task)
        except TimeoutError:
            task.cancel()
            return self._result_at_deadline(job, progress)
        except asyncio.CancelledError:
            if not task.cancelled():
                raise
            return attempt.ForwardResult(codes.Code.CALLER_LEFT)
        except Exception:
            logger.exception("request failed", extra={"request_id": request_id})
            if job.may_have_started or progress.may_have_run:
                return attempt.ForwardResult(
                    codes.Code.INTERNAL_ERROR_AFTER_RUN
                )
            return attempt.ForwardResult(codes.Code.INTERNAL_ERROR_BEFORE_RUN)
        return progress.result()

    def _result_at_deadline(
        self, job: attempt.Job, progress: requestprogress.Progress
    ) -> attempt.ForwardResult:
        if job.may_have_started or job.idempotent:
            return progress.failure or attempt.ForwardResult(
                codes.Code.REPLY_TIMEOUT
            )
        return attempt.ForwardResult(codes.Code.DEADLINE_EXPIRED)

    def _build_job(
        self,
        request: requests.Request,
        route: published.Route,
        now: float,
    ) -> attempt.Job:
        timeout_s = route.timeout_s
        caller_timeout_s = self._dialect.remaining_s(request.headers)
        if caller_timeout_s is not None:
            timeout_s = min(timeout_s, caller_timeout_s)
        organisation = request.organisation
        name = organisation.name if organisation else ""
        may_be_nested = (
            self._nested_calls.record_arrival(route.name)
            and organisation is None
        )
        priority = route.priority
        if organisation is not None and organisation.priority is not None:
            priority = organisation.priority
        return attempt.Job(
            request=wire.Request(
                request.method,
                request.raw_target,
                self._dialect.forwarded_headers(
                    request.headers,
                    name if self._organisations is not None else None,
                ),
                request.body,
            ),
            organisation=name,
            service=self._pick_service(route),
            idempotent=route.idempotent,
            deadline=now + timeout_s - _RESPONSE_MARGIN_S,
            priority=priority,
            objective_s=route.objective_s,
            max_runs=route.max_runs,
            may_be_nested=may_be_nested,
            nested=may_be_nested and self._is_call(request, route),
            route=route.name,
            started_at=now,
        )

    def _is_call(
        self, request: requests.Request, route: published.Route
    ) -> bool:
        """Returns whether the node's own worker has certainly made a request."""
        if self._organisations is not None:
            # Workers have no keys, unlike callers of these routes.
            return request.organisation is None
        return self._nested_calls.is_certain(route.name)

    def _pick_service(self, route: published.Route) -> str:
        """Picks a service at random by the weights of the route's services."""
        if len(route.services) == 1:
            return route.services[0].service
        weights = [service.weight for service in route.services]
        return self._rng.choices(route.services, weights)[0].service

    def _respond(
        self,
        request: requests.Request,
        request_id: str,
        result: attempt.ForwardResult,
        free_at: float,
    ) -> None:
        if self._server.draining:
            request.connection.close_after_response()
        reply = result.reply
        if reply is not None:
            fields = responses.reply_headers(reply)
            self._server.reserve_response(request, len(reply.body))
            responses.write(request, reply.status, fields, reply.body)
            return
        retry_after_s = self._retry_delays.delay_s(
            free_at, self._clock.monotonic()
        )
        responses.write(
            request,
            self._dialect.status(result.code),
            self._dialect.refusal_headers(
                result.code, request_id, retry_after_s
            ),
            responses.refusal_body(result.code),
        )

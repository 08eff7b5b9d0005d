"""Handler of callers' requests that are routed by the teams' settings."""

from __future__ import annotations

import logging
import secrets
from typing import TYPE_CHECKING

from sardinedoor_node.ingress import buffers
from sardinedoor_node.ingress import forward
from sardinedoor_node.ingress import headers
from sardinedoor_node.ingress import paths
from sardinedoor_node.ingress import requests
from sardinedoor_node.ingress import responses
from sardinedoor_node.ingress import routes
from sardinedoor_node.ingress import server
from sardinedoor_node.ingress import tls
from sardinedoor_schema import codes
from sardinedoor_schema.generated import wire

if TYPE_CHECKING:
    from sardinedoor_node import metrics
    from sardinedoor_node.settings import store
    from sardinedoor_node.settings import tree
    from sardinedoor_node.util import clock

logger = logging.getLogger(__name__)

DEFAULT_MAX_CONNECTIONS = 4096
_REQUEST_ID_BYTES = 8


class Ingress(requests.Handler):
    """Routes, forwards and answers the requests that reach one node.

    Attributes:
        starting: Whether the node isn't ready yet; all requests are refused
            until this is set to False.
    """

    def __init__(
        self,
        settings_store: store.SettingsStore,
        forwarder: forward.Forwarder,
        counters: metrics.Metrics,
        time: clock.Clock,
        max_connections: int = DEFAULT_MAX_CONNECTIONS,
        tls_context: tls.TlsContext | None = None,
    ):
        self._store = settings_store
        self._forwarder = forwarder
        self._metrics = counters
        self._clock = time
        self._routes = routes.RouteTable([])
        self.starting = True
        self._server = server.Server(
            self,
            counters,
            time,
            buffers.BufferLimits(max_connections),
            tls_context,
        )
        settings_store.on_team_change(self._on_team_change)

    @property
    def server(self) -> server.Server:
        """The server with its listeners and connections."""
        return self._server

    @property
    def request_count(self) -> int:
        """Number of requests that are being read or served."""
        return self._server.request_count

    def _on_team_change(
        self, old: tree.Subtree | None, new: tree.Subtree
    ) -> None:
        self._routes.replace(old, new)

    def listen(self, address: str, public: bool) -> None:
        """Starts a listener.

        Args:
            address: IP address and port.
            public: Whether it accepts requests from outside.
        """
        self._server.listen(address, public)

    def check(self, request: requests.Request) -> codes.Code | None:
        """See base class."""
        if self.starting:
            return codes.Code.NODE_STARTING
        key = request.headers.get(headers.IDEMPOTENCY_KEY, "")
        if not headers.is_valid_idempotency_key(key):
            return codes.Code.BAD_REQUEST
        parsed = paths.parse(request.raw_target)
        if parsed.is_err():
            return parsed.unwrap_err()
        request.target = parsed.unwrap()
        matched = self._routes.match(
            request.method, request.target.path, request.public
        )
        if matched.is_err():
            return matched.unwrap_err()
        request.route = matched.unwrap()
        return None

    async def serve(self, request: requests.Request) -> None:
        """See base class."""
        request_id = headers.request_id(request.headers)
        if request_id is None:
            request_id = secrets.token_hex(_REQUEST_ID_BYTES)
        result = await self._forward(request, request_id)
        self._metrics.result(result.code)
        self._log(request, request_id, result)
        self._respond(request, request_id, result)

    async def _forward(
        self, request: requests.Request, request_id: str
    ) -> forward.ForwardResult:
        if request.refusal is not None:
            return forward.ForwardResult(request.refusal)
        route = request.route
        assert route is not None
        timeout_s = route.settings.timeout_ms / 1000
        caller_timeout_s = headers.timeout_s(request.headers)
        if caller_timeout_s is not None:
            timeout_s = min(timeout_s, caller_timeout_s)
        job = forward.Job(
            request=_build_wire_request(request, request_id),
            service=route.settings.service,
            idempotent=route.is_idempotent(request.method),
            deadline=self._clock.monotonic() + timeout_s,
            organisation=request.headers.get(headers.ORGANISATION, "")[
                : headers.MAX_ORGANISATION_CHARS
            ],
            key=request.headers.get(headers.IDEMPOTENCY_KEY, ""),
            priority=route.settings.priority,
            team=route.team,
            revision=route.revision,
        )
        try:
            return await self._forwarder.forward(job)
        except Exception:
            logger.exception("request failed", extra={"request_id": request_id})
            return forward.ForwardResult(codes.Code.INTERNAL_ERROR_AFTER_RUN)

    def _log(
        self,
        request: requests.Request,
        request_id: str,
        result: forward.ForwardResult,
    ) -> None:
        answered = codes.outcome(result.code) is codes.Outcome.ANSWERED
        level = logging.DEBUG if answered else logging.INFO
        if not logger.isEnabledFor(level):
            return
        route = request.route
        logger.log(
            level,
            "request",
            extra={
                "request_id": request_id,
                "team": route.team if route else "",
                "service": route.settings.service if route else "",
                "target": result.worker,
                "code": int(result.code),
            },
        )

    def _respond(
        self,
        request: requests.Request,
        request_id: str,
        result: forward.ForwardResult,
    ) -> None:
        reply = result.reply
        if reply is not None:
            status = reply.status
            body = reply.body
            response_headers = responses.reply_headers(reply)
        else:
            status = codes.http_status(result.code)
            body = responses.refusal_body(result.code)
            response_headers = responses.refusal_headers(
                result.code, result.wait_s
            )
        responses.add_result_headers(response_headers, result.code)
        response_headers[headers.REQUEST_ID] = request_id
        if result.worker:
            response_headers[headers.TARGET] = result.worker
        if self._server.draining:
            request.connection.close_after_response()
        self._server.reserve_response(request, len(body))
        responses.write(request, status, response_headers, body)


def _build_wire_request(
    request: requests.Request, request_id: str
) -> wire.Request:
    target = request.target
    assert target is not None
    request_headers = request.headers
    if target.authority:
        request_headers["Host"] = target.authority
    request_headers[headers.REQUEST_ID] = request_id
    forwarded = headers.end_to_end(request_headers)
    if request.public:
        forwarded = headers.sanitise_public(
            forwarded, request.remote_ip, request.secure
        )
    return wire.Request(request.method, target.wire, forwarded, request.body)

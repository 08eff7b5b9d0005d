"""HTTP listener for callers."""

from __future__ import annotations

import logging
import secrets
from typing import TYPE_CHECKING

from tornado import httpserver
from tornado import httputil

from sardinedoor_node.ingress import forward
from sardinedoor_node.ingress import headers
from sardinedoor_node.ingress import routes
from sardinedoor_node.util import tasks
from sardinedoor_schema import codes
from sardinedoor_schema.generated import wire

if TYPE_CHECKING:
    from sardinedoor_node import metrics
    from sardinedoor_node.settings import store
    from sardinedoor_node.util import clock

logger = logging.getLogger(__name__)

MAX_BODY_BYTES = 1024 * 1024
MAX_HEADER_BYTES = 64 * 1024
_ID_BYTES = 8


class Ingress:
    """Turns callers' requests into jobs, and outcomes into responses."""

    def __init__(
        self,
        settings_store: store.SettingsStore,
        forwarder: forward.Forwarder,
        counters: metrics.Metrics,
        time: clock.Clock,
    ):
        self._store = settings_store
        self._forwarder = forwarder
        self._metrics = counters
        self._clock = time
        self._routes = routes.RouteTable([])
        self._tasks = tasks.TaskGroup()
        self._servers: list[httpserver.HTTPServer] = []
        self.leaving = False
        self.starting = True
        settings_store.on_change(self._on_settings)

    @property
    def busy(self) -> int:
        """Number of requests that are not finished."""
        return len(self._tasks)

    def _on_settings(self) -> None:
        self._routes = routes.RouteTable(self._store.subtrees.values())

    def listen(self, address: str, public: bool) -> None:
        """Starts a listener.

        Args:
            address: IP number and port.
            public: Whether its callers are outside.
        """
        host, _, port = address.rpartition(":")

        def receive(request: httputil.HTTPServerRequest) -> None:
            self._tasks.spawn(self._serve(request, public), "request")

        server = httpserver.HTTPServer(
            receive,
            max_body_size=MAX_BODY_BYTES,
            max_header_size=MAX_HEADER_BYTES,
        )
        server.listen(int(port), address=host.strip("[]"))
        self._servers.append(server)

    def stop(self) -> None:
        """Accepts no more connections."""
        self.leaving = True
        for server in self._servers:
            server.stop()

    async def close(self) -> None:
        """Closes the connections that are left."""
        for server in self._servers:
            await server.close_all_connections()

    async def _serve(
        self, request: httputil.HTTPServerRequest, public: bool
    ) -> None:
        request_id = request.headers.get(
            headers.REQUEST_ID, secrets.token_hex(_ID_BYTES)
        )
        outcome = await self._handle(request, public)
        self._metrics.result(outcome.code)
        logger.info(
            "request",
            extra={
                "request_id": request_id,
                "target": outcome.worker,
                "code": int(outcome.code),
            },
        )
        self._respond(request, request_id, outcome)

    async def _handle(
        self, request: httputil.HTTPServerRequest, public: bool
    ) -> forward.Forwarded:
        if self.starting:
            return forward.Forwarded(codes.Code.NODE_STARTING)
        matched = self._routes.match(request.method, request.path, public)
        if matched.is_err():
            return forward.Forwarded(matched.unwrap_err())
        route = matched.unwrap()
        timeout_s = route.settings.timeout_ms / 1000
        asked = request.headers.get(headers.TIMEOUT_MS, "")
        if asked.isascii() and asked.isdigit():
            timeout_s = min(timeout_s, int(asked) / 1000)
        job = forward.Job(
            request=wire.Request(
                request.method,
                request.uri,
                headers.end_to_end(request.headers),
                request.body,
            ),
            route=route,
            idempotent=route.is_idempotent(request.method),
            deadline=self._clock.monotonic() + timeout_s,
            organisation=request.headers.get(headers.ORGANISATION, ""),
            key=request.headers.get(headers.IDEMPOTENCY_KEY, ""),
        )
        return await self._forwarder.forward(job)

    def _respond(
        self,
        request: httputil.HTTPServerRequest,
        request_id: str,
        outcome: forward.Forwarded,
    ) -> None:
        reply = outcome.reply
        response = httputil.HTTPHeaders()
        if reply is not None:
            status = reply.status
            body = reply.body
            for header in reply.headers:
                response.add(header.name, header.value)
            response = _response_headers(response)
        else:
            status = codes.http_status(outcome.code)
            body = f"{int(outcome.code)} {outcome.code.name.lower()}\n".encode()
            response["Content-Type"] = "text/plain"
        response[headers.RESULT_CODE] = str(int(outcome.code))
        response[headers.OUTCOME] = codes.outcome(outcome.code).value
        response[headers.REQUEST_ID] = request_id
        if outcome.worker:
            response[headers.TARGET] = outcome.worker
        if self.leaving:
            response["Connection"] = "close"
        self._write(request, status, response, body)

    def _write(
        self,
        request: httputil.HTTPServerRequest,
        status: int,
        response: httputil.HTTPHeaders,
        body: bytes,
    ) -> None:
        if status not in (204, 304) and request.method != "HEAD":
            response["Content-Length"] = str(len(body))
        else:
            body = b""
        reason = httputil.responses.get(status, "Unknown")
        line = httputil.ResponseStartLine("HTTP/1.1", status, reason)
        request.connection.write_headers(line, response, body)
        request.connection.finish()


def _response_headers(
    received: httputil.HTTPHeaders,
) -> httputil.HTTPHeaders:
    passed = httputil.HTTPHeaders()
    for header in headers.end_to_end(received):
        passed.add(header.name, header.value)
    return passed

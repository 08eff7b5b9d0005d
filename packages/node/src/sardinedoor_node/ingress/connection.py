"""Server side of HTTP/1 connections, with result codes for bad requests."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

from tornado import http1connection
from tornado import httputil

from sardinedoor_node.ingress import heads
from sardinedoor_schema import codes

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Iterator

# The HTTP library's limits are higher than those checked here, so that a
# request over a limit is refused with a result code.
CONNECTION_PARAMETERS = http1connection.HTTP1ConnectionParameters(
    chunk_size=64 * 1024,
    max_header_size=heads.MAX_HEAD_BYTES + 1024,
    max_body_size=1 << 60,
)


class _RequestRefusedError(Exception):
    """Ends the reading of a request that is refused with a result code.

    It isn't an HTTPInputError, so that the HTTP library doesn't catch it and
    answer with a bare 400.
    """

    def __init__(self, code: codes.Code):
        super().__init__(code.name)
        self.code = code


@contextlib.contextmanager
def _convert_input_errors() -> Iterator[None]:
    """Converts the errors of malformed requests to refusals with a code."""
    try:
        yield
    except heads.HeadError as e:
        raise _RequestRefusedError(e.code) from e
    except httputil.HTTPInputError as e:
        raise _RequestRefusedError(codes.Code.AMBIGUOUS_FRAMING) from e


class RequestConnection(http1connection.HTTP1Connection):
    """Reads one request; malformed ones are answered with a result code.

    The HTTP library would answer them with a bare 400. The overridden methods
    are private to the library, whose version is pinned; the contract tests of
    the caller interface cover each of them.
    """

    def refuse_body(self, code: codes.Code) -> None:
        """Refuses the request before its body is read.

        Must be called from the delegate's `headers_received`. No 100 Continue
        response is sent.

        Args:
            code: The result code.
        """
        self._refusal_code = code
        self._request_headers.pop("Expect", None)

    def close_after_response(self) -> None:
        """Closes the connection after the response (Connection: close)."""
        self._disconnect_on_finish = True
        self._request_headers["Connection"] = "close"

    def close(self) -> None:
        """See base class; the caller can still read the sent response."""
        if self.stream is not None:
            self.stream.close_gracefully()
        super().close()

    async def _read_message(
        self, delegate: httputil.HTTPMessageDelegate
    ) -> bool:
        self._refusal_code: codes.Code | None = None
        try:
            return await super()._read_message(delegate)
        except _RequestRefusedError as e:
            self.stream.refuse(e.code)
            return False

    def _parse_headers(self, data: bytes) -> tuple[str, httputil.HTTPHeaders]:
        with _convert_input_errors():
            request_line, headers = heads.parse(data)
        self.stream.reading_head = False
        expect = headers.get("Expect")
        if expect is not None:
            headers["Expect"] = expect.lower()
        return request_line, headers

    def _read_body(
        self,
        code: int,
        headers: httputil.HTTPHeaders,
        delegate: httputil.HTTPMessageDelegate,
    ) -> Awaitable[None] | None:
        if self._refusal_code is not None:
            raise _RequestRefusedError(self._refusal_code)
        with _convert_input_errors():
            return super()._read_body(code, headers, delegate)

    async def _read_fixed_body(
        self, content_length: int, delegate: httputil.HTTPMessageDelegate
    ) -> None:
        with _convert_input_errors():
            await super()._read_fixed_body(content_length, delegate)

    async def _read_chunked_body(
        self, delegate: httputil.HTTPMessageDelegate
    ) -> None:
        with _convert_input_errors():
            await super()._read_chunked_body(delegate)

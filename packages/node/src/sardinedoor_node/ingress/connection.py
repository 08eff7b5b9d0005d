"""One request on a caller's connection, over the HTTP library's reader."""

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

# The library's own limits lie above those that are answered with a code.
PARAMETERS = http1connection.HTTP1ConnectionParameters(
    chunk_size=64 * 1024,
    max_header_size=heads.MAX_HEAD_BYTES + 1024,
    max_body_size=1 << 60,
)


class _RefusedError(Exception):
    """Ends the reading of a request; the library doesn't know the class."""

    def __init__(self, code: codes.Code):
        super().__init__(code.name)
        self.code = code


@contextlib.contextmanager
def _numbered() -> Iterator[None]:
    try:
        yield
    except heads.HeadError as e:
        raise _RefusedError(e.code) from e
    except httputil.HTTPInputError as e:
        raise _RefusedError(codes.Code.AMBIGUOUS_FRAMING) from e


class RequestConnection(http1connection.HTTP1Connection):
    """Refuses with numbered errors where the library answers a bare 400.

    The overridden methods are internal to the library, whose version is
    pinned; the contract tests of the caller interface cover each of them.
    """

    def refuse_body(self, code: codes.Code) -> None:
        """Refuses the request before its body is read.

        To be called while the head is handed over. The client isn't told
        to continue.
        """
        self._refusal = code
        self._request_headers.pop("Expect", None)

    def close_after(self) -> None:
        """Makes the response say that the connection ends with it."""
        self._disconnect_on_finish = True
        self._request_headers["Connection"] = "close"

    def close(self) -> None:
        """See base class; the caller can still read what was sent."""
        if self.stream is not None:
            self.stream.close_gently()
        super().close()

    async def _read_message(
        self, delegate: httputil.HTTPMessageDelegate
    ) -> bool:
        self._refusal: codes.Code | None = None
        try:
            return await super()._read_message(delegate)
        except _RefusedError as e:
            self.stream.refuse(e.code)
            return False

    def _parse_headers(self, data: bytes) -> tuple[str, httputil.HTTPHeaders]:
        with _numbered():
            line, headers = heads.parse(data)
        self.stream.reading_head = False
        expect = headers.get("Expect")
        if expect is not None:
            headers["Expect"] = expect.lower()
        return line, headers

    def _read_body(
        self,
        code: int,
        headers: httputil.HTTPHeaders,
        delegate: httputil.HTTPMessageDelegate,
    ) -> Awaitable[None] | None:
        if self._refusal is not None:
            raise _RefusedError(self._refusal)
        with _numbered():
            return super()._read_body(code, headers, delegate)

    async def _read_fixed_body(
        self, content_length: int, delegate: httputil.HTTPMessageDelegate
    ) -> None:
        with _numbered():
            await super()._read_fixed_body(content_length, delegate)

    async def _read_chunked_body(
        self, delegate: httputil.HTTPMessageDelegate
    ) -> None:
        with _numbered():
            await super()._read_chunked_body(delegate)

"""HTTP client of a node's admin listener."""

from __future__ import annotations

import urllib.parse

import msgspec
import result
from tornado import httpclient
from tornado import ioloop

from sardinedoor_node.admin import explain
from sardinedoor_node.admin import status

_TIMEOUT_S = 5.0


class AdminClient:
    """Sends requests to the admin listener of one node."""

    def __init__(self, address: str):
        """Initializes the client without connecting.

        Args:
            address: IP address and port of the node's admin listener.
        """
        self._base = f"http://{address}"

    def status(self) -> result.Result[status.Status, str]:
        """Returns the status of the fleet as known to the node."""
        return self._get("/status", status.Status)

    def explain(
        self, question: explain.Question
    ) -> result.Result[explain.Explanation, str]:
        """Returns how the node would handle a request, without sending it."""
        query = urllib.parse.urlencode(
            {
                "method": question.method,
                "path": question.path,
                "visibility": "public" if question.public else "internal",
            }
        )
        return self._get(f"/explain?{query}", explain.Explanation)

    def _get(self, path: str, cls: type) -> result.Result:
        async def fetch() -> bytes:
            client = httpclient.AsyncHTTPClient(force_instance=True)
            request = httpclient.HTTPRequest(
                self._base + path,
                connect_timeout=_TIMEOUT_S,
                request_timeout=_TIMEOUT_S,
                follow_redirects=False,
            )
            try:
                return (await client.fetch(request)).body
            finally:
                client.close()

        try:
            body = ioloop.IOLoop(make_current=False).run_sync(fetch)
            return result.Ok(msgspec.json.decode(body, type=cls))
        except (OSError, httpclient.HTTPError, ValueError) as e:
            return result.Err(f"{self._base}{path}: {e}")

"""Read-only HTTP client of the platform's configuration service."""

from __future__ import annotations

import urllib.parse

import msgspec
import result
from tornado import httpclient

from sardinedoor_schema.generated import platform

_TIMEOUT_MARGIN_S = 5.0
_MAX_REPLY_BYTES = 8 * 1024 * 1024


class PlatformClient:
    """Reads the settings and the list of instances, by long polls if wanted.

    Attributes:
        calls: Number of requests sent.
    """

    def __init__(self, address: str):
        """Builds the client; sends nothing.

        Args:
            address: IP number and port of the configuration service.
        """
        self._base = f"http://{address}/v1"
        self.calls = 0
        self._http = httpclient.AsyncHTTPClient(
            force_instance=True, max_body_size=_MAX_REPLY_BYTES
        )

    async def settings_index(
        self, after: int, wait_s: float
    ) -> result.Result[platform.SettingsIndex, str]:
        """Long-polls the index of settings.

        Args:
            after: Index that the node has; 0 for none. The service replies
                once its index is higher.
            wait_s: Longest wait of the service, in s.

        Returns:
            The index, or the reason why it couldn't be read.
        """
        path = f"/settings?after={after}&wait={wait_s}"
        return await self._get(path, platform.SettingsIndex, wait_s)

    async def subtree(self, team: str) -> result.Result[platform.Subtree, str]:
        """Reads the subtree of the settings that belongs to a team."""
        path = f"/settings/{urllib.parse.quote(team, safe='')}"
        return await self._get(path, platform.Subtree, 0)

    async def instances(
        self, after: int, wait_s: float, failure_domain: str = ""
    ) -> result.Result[platform.InstanceList, str]:
        """Long-polls the list of instances.

        Args:
            after: Index of the list that the node has; 0 for none. The service
                replies once its index is higher.
            wait_s: Longest wait of the service, in s.
            failure_domain: Failure domain of the instances; empty for all.

        Returns:
            The list, or the reason why it couldn't be read.
        """
        path = f"/instances?after={after}&wait={wait_s}"
        if failure_domain:
            name = urllib.parse.quote(failure_domain, safe="")
            path += f"&failure_domain={name}"
        return await self._get(path, platform.InstanceList, wait_s)

    async def _get(self, path: str, cls: type, wait_s: float) -> result.Result:
        self.calls += 1
        request = httpclient.HTTPRequest(
            self._base + path,
            follow_redirects=False,
            connect_timeout=2.0,
            request_timeout=wait_s + _TIMEOUT_MARGIN_S,
        )
        try:
            response = await self._http.fetch(request)
            return result.Ok(msgspec.json.decode(response.body, type=cls))
        except (httpclient.HTTPError, OSError, msgspec.MsgspecError) as e:
            return result.Err(str(e))

    def close(self) -> None:
        """Closes the HTTP client."""
        self._http.close()

"""HTTP client of the configuration service; it only reads and watches."""

from __future__ import annotations

import urllib.parse

import msgspec
import result
from tornado import httpclient

from sardinedoor_schema.generated import platform

_GRACE_S = 5.0
_MAX_REPLY_BYTES = 8 * 1024 * 1024


class PlatformClient:
    """Reads the settings and the list of instances."""

    def __init__(self, address: str):
        """Remembers the address.

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
        """Waits until the index of settings is higher than `after`."""
        path = f"/settings?after={after}&wait={wait_s}"
        return await self._get(path, platform.SettingsIndex, wait_s)

    async def subtree(self, team: str) -> result.Result[platform.Subtree, str]:
        """Reads one team's subtree."""
        path = f"/settings/{urllib.parse.quote(team, safe='')}"
        return await self._get(path, platform.Subtree, 0)

    async def instances(
        self, after: int, wait_s: float, failure_domain: str = ""
    ) -> result.Result[platform.InstanceList, str]:
        """Waits until the index of instances is higher than `after`.

        Args:
            after: Index of the list at hand.
            wait_s: Longest wait, in s.
            failure_domain: Of the instances wanted; empty for all.

        Returns:
            The list, or why there is none.
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
            request_timeout=wait_s + _GRACE_S,
        )
        try:
            response = await self._http.fetch(request)
            return result.Ok(msgspec.json.decode(response.body, type=cls))
        except (httpclient.HTTPError, OSError, msgspec.MsgspecError) as e:
            return result.Err(str(e))

    def close(self) -> None:
        """Frees the client."""
        self._http.close()

"""The platform's store: linearizable reads, watches and stale reads."""

from __future__ import annotations

import asyncio
import base64
import json
import urllib.parse

from standins import http

_PAGE_ITEMS = 500


class Store:
    """Key-value store with one revision counter, read over HTTP.

    Attributes:
        address: IP address and port, once it listens.
        revision: Revision of the last change.
    """

    def __init__(self) -> None:
        """Starts empty."""
        self.address = ""
        self.revision = 100
        self._items: dict[str, dict] = {}
        self._events: list[dict] = []
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    def put(self, key: str, value: object) -> int:
        """Writes an item whose value is JSON; returns its revision."""
        self.revision += 1
        known = self._items.get(key)
        item = {
            "Key": key,
            "Value": base64.b64encode(json.dumps(value).encode()).decode(),
            "Revision": self.revision,
            "CreateRev": known["CreateRev"] if known else self.revision,
            "Lease": 0,
        }
        self._items[key] = item
        self._publish(item)
        return self.revision

    def delete(self, key: str) -> int:
        """Deletes an item; returns the revision of the deletion."""
        self.revision += 1
        del self._items[key]
        self._publish({"Key": key, "Revision": self.revision, "Deleted": True})
        return self.revision

    def _publish(self, event: dict) -> None:
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def listen(self, host: str) -> None:
        """Starts to serve on a free port."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (request := await http.read(reader)) is not None:
                writer.write(await self._respond(request))
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()

    async def _respond(self, request: http.Message) -> bytes:
        path, _, query_text = request.start[1].partition("?")
        query = dict(urllib.parse.parse_qsl(query_text))
        status, body = "404 Not Found", {}
        if path == "/-/kv-range":
            status, body = "200 OK", self._range(query)
        elif path == "/-/kv-watch":
            status, body = "200 OK", await self._watch(query)
        elif path == "/-/kv-key" and query.get("Key") in self._items:
            item = self._items[query["Key"]]
            status, body = "200 OK", {**item, "AsOf": self.revision}
        return http.serialise(
            f"HTTP/1.1 {status}",
            {"Content-Type": "application/json"},
            json.dumps(body).encode(),
        )

    def _range(self, query: dict[str, str]) -> dict:
        prefix = query.get("Prefix", "")
        after = query.get("after", "")
        items, revision = self._read(prefix, query.get("AllowStale") == "1")
        found = [
            item
            for key, item in sorted(items.items())
            if key.startswith(prefix) and key > after
        ]
        return {
            "items": found[:_PAGE_ITEMS],
            "HasMore": len(found) > _PAGE_ITEMS,
            "AsOf": revision,
        }

    def _read(self, prefix: str, stale: bool) -> tuple[dict[str, dict], int]:
        """Returns the items that a range is read from, and their revision."""
        del prefix, stale
        return self._items, self.revision

    def items_at(self, revision: int) -> dict[str, dict]:
        """Returns the items as they were at a revision."""
        items: dict[str, dict] = {}
        for event in self._events:
            if event["Revision"] > revision:
                break
            if event.get("Deleted"):
                items.pop(event["Key"], None)
            else:
                items[event["Key"]] = event
        return items

    async def _watch(self, query: dict[str, str]) -> dict:
        prefix = query.get("Prefix", "")
        after = int(query["after"])
        wait_s = int(query.get("WaitMs", "0")) / 1000
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait_s
        while True:
            events = [
                event
                for event in self._events
                if event["Revision"] > after and event["Key"].startswith(prefix)
            ]
            left_s = deadline - loop.time()
            if events or left_s <= 0:
                return {"events": events, "AsOf": self.revision}
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                pass

"""Clients of one machine, which send their requests to its own node."""

from __future__ import annotations

import asyncio
import itertools

from standins import http
from standins import record

_counter = itertools.count(1)


class Client:
    """Sends requests, each with an attempt id of its own."""

    def __init__(self, address: str, host: str, events: record.Record):
        """Creates a client without a connection.

        Args:
            address: Address at which the node takes requests.
            host: The Host header of the requests.
            events: Records what is sent and answered.
        """
        self._address = address
        self._host = host
        self._events = events

    async def send(
        self,
        path: str,
        method: str = "POST",
        deadline_ms: int = 2000,
        body: bytes = b"fee=12",
    ) -> dict:
        """Sends one request on a new connection and waits for its answer.

        Returns:
            The recorded end: its field `status` is 0 if the connection ended
            without a complete answer, and -1 if the node read nothing since
            the connection couldn't be opened.
        """
        attempt = f"a{next(_counter):015x}"
        headers = {
            "Host": self._host,
            "X-Attempt-Id": attempt,
            "X-Deadline-Ms": str(deadline_ms),
        }
        fields = {"node": self._address, "attempt": attempt, "path": path}
        self._events.add("sent", **fields)
        end = {**fields, "status": -1, "body": ""}
        writer = None
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 0.5):
                reader, writer = await http.connect(self._address)
                writer.write(
                    http.serialise(f"{method} {path} HTTP/1.1", headers, body)
                )
                end["status"] = 0
                answer = await http.read(reader)
                if answer is not None:
                    end["status"] = int(answer.start[1])
                    end["body"] = answer.body.decode("latin-1").strip()
        except TimeoutError:
            end["status"] = -2
        except OSError as e:
            end["error"] = str(e)
        finally:
            if writer is not None:
                writer.close()
        self._events.add("answered", **end)
        return end

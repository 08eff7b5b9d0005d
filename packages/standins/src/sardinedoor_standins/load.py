"""Open-loop load generator with Poisson arrivals and a concurrency limit."""

from __future__ import annotations

import asyncio
import dataclasses
import enum
import itertools
import random
import time

from tornado import httpclient

REQUEST_TIMEOUT_S = 8.0
MAX_OUTSTANDING = 400


class Fate(enum.Enum):
    """Result of a request as its caller saw it.

    Attributes:
        ANSWERED: A target answered.
        NOT_RUN: The fleet reported that no target ran the request.
        UNKNOWN: The fleet reported that a target may have run it.
        CUT: The connection failed without a complete response.
        NOT_SENT: No entry accepted a connection.
    """

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    CUT = "cut"
    NOT_SENT = "not-sent"


@dataclasses.dataclass(slots=True)
class Flow:
    """Stream of requests of one kind.

    Attributes:
        name: Name of the flow, and prefix of its request ids.
        entries: Addresses that requests are sent to in turn.
        method: HTTP method.
        path: Path, to which the request id is appended.
        rate_per_s: Mean rate, in requests per s.
        idempotent: Whether a request may run more than once.
        link_delay_s: Simulated one-way delay between caller and entry, in s.
    """

    name: str
    entries: list[str]
    method: str
    path: str
    rate_per_s: float
    idempotent: bool
    link_delay_s: float = 0.0


@dataclasses.dataclass(slots=True)
class Sample:
    """One request and its result."""

    request_id: str
    flow: str
    idempotent: bool
    sent: float
    fate: Fate = Fate.NOT_SENT
    latency_s: float = 0.0
    status: int = 0
    code: int = 0
    target: str = ""
    foreign: bool = False


class Generator:
    """Open-loop load generator for several flows.

    Requests are sent at their times, even if earlier ones aren't finished, but
    are skipped if `MAX_OUTSTANDING` requests are in flight.
    """

    def __init__(self, seed: int):
        """Creates the HTTP client.

        Args:
            seed: Seed of the interarrival times, and part of the request ids.
        """
        self._rng = random.Random(seed)
        self._seed = seed
        self._http = httpclient.AsyncHTTPClient(
            force_instance=True, max_clients=MAX_OUTSTANDING
        )
        self._request_numbers = itertools.count(1)
        self._tasks: set[asyncio.Task] = set()
        self._removed: set[str] = set()
        self.samples: list[Sample] = []

    def remove_entry(self, address: str) -> None:
        """Stops sending to an entry, as callers do after service discovery."""
        self._removed.add(address)

    async def run(self, flows: list[Flow], seconds: float) -> None:
        """Sends load for some time; requests may be in flight at the end.

        Args:
            flows: Flows to send.
            seconds: Duration of the load, in s.
        """
        await asyncio.gather(*(self._run_flow(f, seconds) for f in flows))

    async def finish(self) -> None:
        """Waits until no request is in flight."""
        while self._tasks:
            await asyncio.gather(*self._tasks, return_exceptions=True)

    def close(self) -> None:
        """Cancels the requests in flight and closes the HTTP client."""
        for task in self._tasks:
            task.cancel()
        self._http.close()

    async def _run_flow(self, flow: Flow, seconds: float) -> None:
        send_at = time.monotonic()
        end = send_at + seconds
        while True:
            send_at += self._rng.expovariate(flow.rate_per_s)
            if send_at >= end:
                return
            await asyncio.sleep(max(0.0, send_at - time.monotonic()))
            if len(self._tasks) < MAX_OUTSTANDING:
                task = asyncio.create_task(self._send(flow))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    async def _send(self, flow: Flow) -> None:
        number = next(self._request_numbers)
        sample = Sample(
            f"{flow.name}-{self._seed}-{number}",
            flow.name,
            flow.idempotent,
            time.monotonic(),
        )
        self.samples.append(sample)
        await asyncio.sleep(flow.link_delay_s)
        for offset in range(len(flow.entries)):
            entry = flow.entries[(number + offset) % len(flow.entries)]
            if entry not in self._removed and await self._try_entry(
                flow, entry, sample
            ):
                break
        await asyncio.sleep(flow.link_delay_s)
        sample.latency_s = time.monotonic() - sample.sent

    async def _try_entry(self, flow: Flow, entry: str, sample: Sample) -> bool:
        """Sends to one entry; returns False if it refuses the connection."""
        body = b"x" if flow.method == "POST" else None
        request = httpclient.HTTPRequest(
            f"http://{entry}{flow.path}/{sample.request_id}",
            method=flow.method,
            body=body,
            headers={"X-Request-Id": sample.request_id},
            follow_redirects=False,
            connect_timeout=2.0,
            request_timeout=REQUEST_TIMEOUT_S,
        )
        try:
            response = await self._http.fetch(request, raise_error=False)
        except ConnectionRefusedError:
            return False
        except (OSError, httpclient.HTTPError):
            sample.fate = Fate.CUT
            return True
        _record_response(sample, response)
        return True


def _record_response(sample: Sample, response: httpclient.HTTPResponse) -> None:
    headers = response.headers
    sample.status = response.code
    sample.code = int(headers.get("Sardinedoor-Code", "0"))
    sample.target = headers.get(
        "Sardinedoor-Target", headers.get("X-Worker", "")
    )
    fate_value = headers.get("Sardinedoor-Outcome", Fate.ANSWERED.value)
    sample.fate = Fate(fate_value)
    if sample.fate is Fate.ANSWERED:
        echo = f" {sample.request_id}\n".encode()
        sample.foreign = not (response.body or b"").endswith(echo)

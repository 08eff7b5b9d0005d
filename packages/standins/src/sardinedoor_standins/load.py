"""Open-loop load with request ids of its own, bounded in rate and count."""

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
    """What became of a request, as its caller saw it."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    CUT = "cut"
    NOT_SENT = "not-sent"


@dataclasses.dataclass(slots=True)
class Flow:
    """Requests of one kind.

    Attributes:
        name: Also the prefix of the request ids.
        entries: Addresses that requests are sent to in turn.
        link_delay_s: Time on the way to and from the entry, in s each way.
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
    """One request and its fate."""

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
    """Sends the requests of several flows, whatever becomes of earlier ones."""

    def __init__(self, seed: int):
        """Prepares a client.

        Args:
            seed: Seed of the times between requests.
        """
        self._rng = random.Random(seed)
        self._seed = seed
        self._http = httpclient.AsyncHTTPClient(
            force_instance=True, max_clients=MAX_OUTSTANDING
        )
        self._numbers = itertools.count(1)
        self._tasks: set[asyncio.Task] = set()
        self._removed: set[str] = set()
        self.samples: list[Sample] = []

    def remove_entry(self, address: str) -> None:
        """Sends nothing more to an address; a caller knows it has gone."""
        self._removed.add(address)

    async def run(self, flows: list[Flow], seconds: float) -> None:
        """Sends load for a time; requests may be in flight at the end.

        Args:
            flows: What to send.
            seconds: How long, in s.
        """
        await asyncio.gather(*(self._run(f, seconds) for f in flows))

    async def finish(self) -> None:
        """Waits for all requests in flight."""
        while self._tasks:
            await asyncio.gather(*self._tasks, return_exceptions=True)

    def close(self) -> None:
        """Frees the client."""
        for task in self._tasks:
            task.cancel()
        self._http.close()

    async def _run(self, flow: Flow, seconds: float) -> None:
        due = time.monotonic()
        end = due + seconds
        while True:
            due += self._rng.expovariate(flow.rate_per_s)
            if due >= end:
                return
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            if len(self._tasks) < MAX_OUTSTANDING:
                task = asyncio.create_task(self._send(flow))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    async def _send(self, flow: Flow) -> None:
        number = next(self._numbers)
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
            if entry not in self._removed and await self._attempt(
                flow, entry, sample
            ):
                break
        await asyncio.sleep(flow.link_delay_s)
        sample.latency_s = time.monotonic() - sample.sent

    async def _attempt(self, flow: Flow, entry: str, sample: Sample) -> bool:
        """Sends to one entry; False if nothing listens there."""
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
        _judge(sample, response)
        return True


def _judge(sample: Sample, response: httpclient.HTTPResponse) -> None:
    headers = response.headers
    sample.status = response.code
    sample.code = int(headers.get("Sardinedoor-Code", "0"))
    sample.target = headers.get(
        "Sardinedoor-Target", headers.get("X-Worker", "")
    )
    outcome = headers.get("Sardinedoor-Outcome", Fate.ANSWERED.value)
    sample.fate = Fate(outcome)
    if sample.fate is Fate.ANSWERED:
        echo = f" {sample.request_id}\n".encode()
        sample.foreign = not (response.body or b"").endswith(echo)

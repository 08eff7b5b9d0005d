"""Replicas of a store that is restored, in random orders of what may happen.

Configurations and workers change, the store is restored, refuses nodes and answers
with earlier states, nodes are cut off and restarted. More seeds can be played with
`RESTORE_SEEDS`, a range such as `1-50`.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
import dataclasses
import logging
import math
import os
import random

import testtools

from sardinedoor_node import published
from sardinedoor_node.published import contact
from sardinedoor_standins import memlink
from sardinedoor_standins import publishedsim
from sardinedoor_standins import textitems

_APPLY_S = 2.0
_PLAY_S = 24.0
_STEP_S = 0.02
_MEAN_PAUSE_S = 0.2
# Workers and the operator write again in this time after a restore.
_REWRITE_S = 2.0
_LONGEST_FAULT_S = 2.0
_MAX_LOST_WRITES = 14
# A node that was restarted is left alone for this long.
_START_S = 3.0
_NO_VERSION = published.Version(published.UNKNOWN_EPOCH, 0)
_READY = published.WorkerState.READY
_DRAINING = published.WorkerState.DRAINING

# Seeds that failed once, with the cause.
_REGRESSIONS = {
    5: "a worker that the copy lacked wasn't used when the store had it again",
    6: "the earlier worker of an address was used once the later one had left",
    23: "a node that started used the copy before it pulled from a peer ahead",
    33: "the copy's configuration was in force before the retained one",
    40: "a worker that the copy lacked was used though the next one said draining",
    42: "the copy's configuration was in force before the retained one",
    67: "the earlier worker of an address was used once the later one had left",
    83: "an answer to an earlier process of a node left a gap in its replica",
    104: "a worker that the copy lacked was used though the next one said draining",
    125: "a node that started used the copy before it pulled from a peer ahead",
}


@dataclasses.dataclass(slots=True)
class _Incarnation:
    """A worker's process.

    Attributes:
        name: Name of its entry.
        number: Number of its address and of the node beside it.
        started_ms: Its start; later starts are greater.
        sequence: Number of its last write; 0 if its entries have none.
        state: Its state.
    """

    name: str
    number: int
    started_ms: int
    sequence: int
    state: published.WorkerState = _READY


@dataclasses.dataclass(slots=True)
class _Write:
    """What the store was told of a worker.

    Attributes:
        version: Version of the store with this write.
        started_ms: Start of the worker.
        sequence: Number of the worker's write; infinite once it has ended.
        state: Its state, None once it has ended.
        successor: Name and start of the worker that has taken its address.
    """

    version: published.Version
    started_ms: int
    sequence: float
    state: published.WorkerState | None
    successor: tuple[str, int] | None = None

    def workers_ended(self, name: str) -> set[tuple[str, int]]:
        """Returns the workers that a replica must have had to know the end."""
        if self.state is not None:
            return set()
        return {
            (name, self.started_ms),
            self.successor or (name, self.started_ms),
        }


@dataclasses.dataclass(slots=True)
class _Life:
    """What one process of a node has shown and known.

    Attributes:
        node: The node.
        began_at: Virtual time of its start, in s.
        floor: Lowest version of the configuration that it may show.
        floor_applies: Whether it has shown any version.
        known: Index of the last write that its replica has had, by worker.
        known_at: Virtual time at which its replica first had that write, in s.
        known_sequence: Highest number of the writes of this start that its
            replica had by then, by worker.
        settled: Workers that it hasn't used at some time since then.
        seen: Highest number of the writes that its replica has had, by name and
            start of the worker.
        unknown: Workers of whose end it knows nothing, as it hasn't had them.
        inferred: Workers whose last known write came with a later epoch.
        epoch_at: Virtual time at which its replica got to its epoch, in s.
        version: Version of the replica at the last check.
        used: Starts of the workers that it used at the last check, by name.
    """

    node: publishedsim.Node
    began_at: float
    floor: int
    known: dict[str, int] = dataclasses.field(default_factory=dict)
    floor_applies: bool = False
    known_at: dict[str, float] = dataclasses.field(default_factory=dict)
    known_sequence: dict[str, int] = dataclasses.field(default_factory=dict)
    settled: set[str] = dataclasses.field(default_factory=set)
    seen: dict[tuple[str, int], int] = dataclasses.field(default_factory=dict)
    unknown: set[str] = dataclasses.field(default_factory=set)
    inferred: set[str] = dataclasses.field(default_factory=set)
    epoch_at: float = 0.0
    version: published.Version = _NO_VERSION
    used: dict[str, int] = dataclasses.field(default_factory=dict)


class _Truth:
    """What the operator and the workers have written, in this order."""

    def __init__(self) -> None:
        self._writes: dict[str, list[_Write]] = {}
        # Revision at which each epoch began.
        self._began_at = [0]

    def restored(self, revision: int) -> None:
        """Records that an epoch begins with the writes up to a revision."""
        self._began_at.append(revision)

    def add(self, name: str, write: _Write) -> None:
        """Records a write of a worker."""
        self._writes.setdefault(name, []).append(write)

    def last(self, name: str) -> _Write:
        """Returns the last write of a worker."""
        return self._writes[name][-1]

    def write(self, name: str, index: int) -> _Write:
        """Returns a write of a worker."""
        return self._writes[name][index]

    def update_known(
        self, known: dict[str, int], version: published.Version
    ) -> list[str]:
        """Moves on to the last write of each worker that a replica has.

        Args:
            known: Index of the last known write, by worker.
            version: Version of the replica.

        Returns:
            The workers of which a later write is known.
        """
        changed = []
        for name, writes in self._writes.items():
            first = known.get(name, -1) + 1
            for index in range(len(writes) - 1, first - 1, -1):
                if self._is_in(writes[index].version, version):
                    known[name] = index
                    changed.append(name)
                    break
        return changed

    def _is_in(
        self, write: published.Version, version: published.Version
    ) -> bool:
        if write.epoch > version.epoch:
            return False
        later = self._began_at[write.epoch + 1 : version.epoch + 1]
        return write.revision <= min([*later, version.revision])


class _Play:
    """One random order of events.

    Attributes:
        simulation: The store and the nodes.
        violations: What must not have happened.
        events: Number of events, by kind.
    """

    def __init__(self, seed: int):
        """Starts the nodes, each beside one worker."""
        self._rng = random.Random(seed)
        rng = self._rng
        self._faults = memlink.FrameFaults()
        if rng.random() < 0.5:
            self._faults = memlink.FrameFaults(
                lost=0.03, doubled=0.05, delayed=0.2, longest_delay_s=0.6
            )
        self._numbers_writes = rng.random() < 0.7
        self.simulation = publishedsim.Simulation(
            rng.randint(3, 5),
            rng.randint(1, 2),
            _APPLY_S,
            seed,
            faults=self._faults,
        )
        self.violations: list[str] = []
        self.events: collections.Counter[str] = collections.Counter()
        self._store = self.simulation.store
        self._truth = _Truth()
        self._starts = 1
        self._floor = 0
        self._pending: list[tuple[float, Callable[[], None]]] = []
        self._replaced: dict[int, list[str]] = collections.defaultdict(list)
        self._cut_until: dict[int, float] = {}
        self._workers: dict[int, _Incarnation | None] = {}
        self._lives: list[_Life] = []
        for number, node in enumerate(self.simulation.nodes, 1):
            self._watch_life(node, 0)
            name = f"w{number}"
            self._workers[number] = _Incarnation(name, number, 1, 0)
            # The simulation has published their entries.
            version = published.Version(0, number + 1)
            self._truth.add(name, _Write(version, 1, 0, _READY))

    @property
    def _now(self) -> float:
        return self.simulation.timeline.now

    def run(self) -> None:
        """Plays the events, then heals all faults and checks the outcome."""
        self._advance(_START_S)
        next_at = self._now
        end = self._now + _PLAY_S
        while self._now < end:
            if self._now >= next_at:
                self._act()
                next_at = self._now + self._rng.expovariate(1 / _MEAN_PAUSE_S)
            self._advance(_STEP_S)
        self._heal()
        self._advance(_APPLY_S)
        self._check_versions()
        self._advance(contact.LAPSE_GRACE_S + 0.65)
        self._check_agreement()

    def _advance(self, seconds: float) -> None:
        """Runs the nodes, with checks and what was put off."""
        end = self._now + seconds
        while self._now < end:
            self.simulation.run(min(_STEP_S, end - self._now))
            due = [entry for entry in self._pending if entry[0] <= self._now]
            for entry in due:
                self._pending.remove(entry)
            for _, action in due:
                action()
            for life in self._lives:
                self._check(life)

    def _act(self) -> None:
        actions = [
            (self._change, 3),
            (self._change_worker, 8),
            (self._restore, 1),
            (self._cut, 2),
            (self._refuse, 1),
            (self._read_stale, 1),
            (self._restart, 1),
        ]
        (action,) = self._rng.choices(
            [action for action, _ in actions],
            [weight for _, weight in actions],
        )
        action()

    # Writes.

    def _change(self) -> None:
        if not self._store.away:
            self.events["change"] += 1
            self.simulation.change()

    def _change_worker(self) -> None:
        if self._store.away:
            return
        number = self._rng.choice(list(self._workers))
        worker = self._workers[number]
        if worker is None:
            kind, action = self._rng.choice(
                [("start", self._start), ("return", self._start_again)]
            )
            action(number)
        elif worker.state is _DRAINING:
            kind = self._rng.choice(["leave", "undrain"])
            if kind == "undrain" and worker.sequence:
                self._set_state(worker, _READY)
            else:
                kind = "leave"
                self._leave(worker)
        else:
            kind = self._rng.choice(
                ["drain", "drain", "leave", "in-place", "replace"]
            )
            if kind == "drain":
                self._set_state(worker, _DRAINING)
            elif kind == "leave":
                self._leave(worker)
            elif kind == "in-place":
                self._start_again(number)
            else:
                self._replace(worker)
        self.events[kind] += 1

    def _start(self, number: int, name: str = "") -> None:
        self._starts += 1
        worker = _Incarnation(
            name or f"x{self._starts}",
            number,
            self._starts,
            int(self._numbers_writes),
        )
        self._workers[number] = worker
        self._put(worker)

    def _start_again(self, number: int) -> None:
        """Starts a worker with the name that the last one here had."""
        worker = self._workers[number]
        self._start(number, worker.name if worker else f"w{number}")

    def _set_state(
        self, worker: _Incarnation, state: published.WorkerState
    ) -> None:
        worker.state = state
        worker.sequence += self._numbers_writes
        self._put(worker)

    def _leave(self, worker: _Incarnation) -> None:
        self._workers[worker.number] = None
        self._delete_replaced(worker.number)
        self._delete(worker.name)

    def _replace(self, worker: _Incarnation) -> None:
        """Starts another worker at the address; the entry expires later."""
        self._start(worker.number)
        successor = self._workers[worker.number]
        self._end(worker.name, (successor.name, successor.started_ms))
        self._replaced[worker.number].append(worker.name)
        self._in_this_epoch(
            self._rng.uniform(0.5, 4.0),
            lambda: self._delete_replaced(worker.number),
        )

    def _delete_replaced(self, number: int) -> None:
        for name in self._replaced[number]:
            if textitems.WORKER + name in self._store.items():
                self._delete(name)
        self._replaced[number].clear()

    def _put(self, worker: _Incarnation) -> None:
        node = self.simulation.nodes[worker.number - 1]
        self._store.put(
            textitems.WORKER + worker.name,
            textitems.worker_value(
                f"{publishedsim.host_of(worker.number)}:80",
                worker.started_ms,
                worker.state.value,
                node.failure_domain,
                worker.sequence,
            ),
        )
        self._truth.add(
            worker.name,
            _Write(
                self._store.version,
                worker.started_ms,
                worker.sequence,
                worker.state,
            ),
        )

    def _delete(self, name: str) -> None:
        self._store.put(textitems.WORKER + name, b"", deleted=True)
        self._end(name)

    def _end(self, name: str, successor: tuple[str, int] | None = None) -> None:
        """Records that a worker has ended, with the write that says so."""
        started_ms = self._truth.last(name).started_ms
        self._truth.add(
            name,
            _Write(self._store.version, started_ms, math.inf, None, successor),
        )

    # Faults.

    def _restore(self) -> None:
        if self._store.away:
            return
        self.events["restore"] += 1
        self._store.away = True
        self._later(self._rng.choice([0.0, 0.1, 1.0]), self._return)

    def _return(self) -> None:
        first = len(self._workers) + 1
        lost = self._rng.randint(0, _MAX_LOST_WRITES)
        revision = max(first, self._store.revision - lost)
        self._floor = min(life.node.version for life in self._lives)
        self._store.restore(revision)
        self._truth.restored(revision)
        self._store.away = False
        self._replaced.clear()
        for number in self._workers:
            self._in_this_epoch(
                self._rng.uniform(0.0, _REWRITE_S),
                lambda number=number: self._write_again(number),
            )
        self._in_this_epoch(
            self._rng.uniform(0.0, _REWRITE_S), self._change_again
        )
        self._in_this_epoch(self._rng.uniform(2.0, 5.0), self._expire)

    def _later(self, seconds: float, action: Callable[[], None]) -> None:
        self._pending.append((self._now + seconds, action))

    def _in_this_epoch(self, seconds: float, write: Callable[[], None]) -> None:
        """Writes later, unless the store is restored or away by then."""
        epoch = self._store.epoch

        def run() -> None:
            if self._store.epoch == epoch and not self._store.away:
                write()

        self._later(seconds, run)

    def _write_again(self, number: int) -> None:
        worker = self._workers[number]
        if worker is not None:
            worker.sequence += self._numbers_writes
            self._put(worker)

    def _change_again(self) -> None:
        item = self._store.items()[textitems.CONFIGURATION]
        if int(item.value) < self.simulation.version:
            value = str(self.simulation.version).encode()
            self._store.put(textitems.CONFIGURATION, value)

    def _expire(self) -> None:
        """Deletes the entries of workers that had ended before the restore."""
        live = {worker.name for worker in self._workers.values() if worker}
        for key in self._store.items():
            name = key.removeprefix(textitems.WORKER)
            if key.startswith(textitems.WORKER) and name not in live:
                self._delete(name)

    def _cut(self) -> None:
        settled = [
            number
            for number, life in enumerate(self._lives, 1)
            if self._now > life.began_at + _START_S
        ]
        if not settled:
            return
        self.events["cut"] += 1
        number = self._rng.choice(settled)
        seconds = self._rng.uniform(0.2, _LONGEST_FAULT_S)
        self._cut_until[number] = self._now + seconds
        self.simulation.cut([self.simulation.nodes[number - 1]], seconds)

    def _refuse(self) -> None:
        self.events["refuse"] += 1
        store = self._rng.choice(self.simulation.nodes).store
        store.refused = True
        self._later(
            self._rng.uniform(0.2, _LONGEST_FAULT_S),
            lambda: setattr(store, "refused", False),
        )

    def _read_stale(self) -> None:
        self.events["stale"] += 1
        node = self._rng.choice(self.simulation.nodes)
        node.store.stale_writes = self._rng.randint(0, 6)

    def _restart(self) -> None:
        number = self._rng.randint(1, len(self._lives))
        if any(until > self._now for until in self._cut_until.values()) or any(
            self._now < life.began_at + _START_S for life in self._lives
        ):
            return
        self.events["restart"] += 1
        before = self.simulation.nodes[number - 1].store
        self.simulation.restart(number)
        node = self.simulation.nodes[number - 1]
        node.store.refused = before.refused
        node.store.stale_writes = before.stale_writes
        self._watch_life(node, number, self._floor)

    # Checks.

    def _watch_life(
        self, node: publishedsim.Node, replaced: int, floor: int = 0
    ) -> None:
        """Checks a process of a node from its start, at each change."""
        life = _Life(node, self._now, 0 if self._faults.lost else floor)
        if replaced:
            self._lives[replaced - 1] = life
        else:
            self._lives.append(life)
        node.replica.on_change(lambda: self._check(life))

    def _check(self, life: _Life) -> None:
        node = life.node
        if node.version and not life.floor_applies:
            # A node takes the copy if this lists no peer that it could ask.
            near, far = node.directory.peers_by_domain(node.failure_domain)
            life.floor_applies = True
            if not near and not far:
                life.floor = 0
        if node.version and node.version < life.floor:
            self._report(node, f"configuration {node.version} < {life.floor}")
        life.floor = max(life.floor, node.version)
        used = {w.name: w for w in node.replica.workers("pay")}
        version = node.replica.version
        if version < life.version:
            self._report(node, f"was at {life.version}")
        is_later_epoch = version.epoch > life.version.epoch
        if is_later_epoch:
            life.epoch_at = self._now
        # Workers write again in this time, also what the next restore loses.
        if self._now < life.epoch_at + contact.LAPSE_GRACE_S:
            self._check_live_workers(life, used)
        life.version = version
        life.used = {name: entry.started_ms for name, entry in used.items()}
        for entry in node.replica.all_workers():
            seen = entry.name, entry.started_ms
            life.seen[seen] = max(life.seen.get(seen, 0), entry.sequence)
        changed = self._truth.update_known(life.known, version)
        for name in changed:
            # A deletion says nothing of a worker that the replica hasn't had.
            write = self._truth.write(name, life.known[name])
            if not life.seen.keys() >= write.workers_ended(name):
                life.unknown.add(name)
            else:
                life.unknown.discard(name)
            life.known_sequence[name] = life.seen.get(
                (name, write.started_ms), 0
            )
            life.known_at[name] = self._now
            life.settled.discard(name)
            life.inferred.discard(name)
        if is_later_epoch:
            life.inferred.update(changed)
        for name, index in life.known.items():
            write = self._truth.write(name, index)
            entry = used.get(name)
            if entry is None:
                life.settled.add(name)
            elif name in life.unknown:
                continue
            elif self._is_wrong(life, name, entry, write):
                self._report(node, f"uses {entry}, but knows of {write}")

    def _check_live_workers(
        self, life: _Life, used: dict[str, published.WorkerEntry]
    ) -> None:
        """Checks that no live worker is dropped that was used so far.

        It may be if the node has read that the worker drains, which it did
        earlier.
        """
        for worker in self._workers.values():
            if (
                worker is None
                or worker.state is not _READY
                or worker.name in used
                or life.used.get(worker.name) != worker.started_ms
            ):
                continue
            entry = life.node.replica.worker(worker.name)
            if entry is None or entry.accepts_requests:
                self._report(life.node, f"dropped {worker}")

    def _is_wrong(
        self,
        life: _Life,
        name: str,
        entry: published.WorkerEntry,
        write: _Write,
    ) -> bool:
        if write.state is _READY:
            return entry.started_ms < write.started_ms
        if (entry.started_ms, entry.sequence) > (
            write.started_ms,
            write.sequence,
        ):
            return False
        if write.state is _DRAINING:
            return True
        # It may have been written after all that the replica has had.
        if entry.sequence > life.known_sequence[name]:
            return False
        # An entry may be missing from a snapshot because it was lost.
        if name in life.inferred:
            return False
        if name in life.settled:
            return True
        # One that is deleted soon after an outage of the store is kept.
        since = max(life.known_at[name], life.epoch_at)
        return self._now > since + contact.LAPSE_GRACE_S + _STEP_S

    def _report(self, node: publishedsim.Node, text: str) -> None:
        self.violations.append(
            f"{self._now:.3f} {node.link} {node.replica.version}: {text}"
        )

    def _heal(self) -> None:
        """Ends all faults, and has everything written again."""
        self._advance(0.01)
        if self._store.away:
            self._return()
        self._pending.clear()
        self._faults.lost = self._faults.doubled = self._faults.delayed = 0.0
        self.simulation.cut(self.simulation.nodes, 0.0)
        self.simulation.refuse(self.simulation.nodes, False)
        for node in self.simulation.nodes:
            node.store.stale_writes = 0
        for number in self._workers:
            self._write_again(number)
        self._change_again()
        self._expire()

    def _check_versions(self) -> None:
        for node in self.simulation.nodes:
            if not node.runs:
                self._report(node, "a task has ended")
            if node.replica.version != self._store.version:
                self._report(node, f"isn't at {self._store.version}")
            if node.version != self.simulation.version:
                self._report(node, f"configuration {node.version}")

    def _check_agreement(self) -> None:
        decoder = textitems.TextDecoder()
        published_items = self._store.items().values()
        entries = [
            decoder.worker(item).unwrap()
            for item in published_items
            if decoder.worker_name(item.key) is not None
        ]
        ready = [entry for entry in entries if entry.accepts_requests]
        expected = set(map(repr, entries)), set(map(repr, ready))
        for node in self.simulation.nodes:
            replica = node.replica
            found = (
                set(map(repr, replica.all_workers())),
                set(map(repr, replica.workers("pay"))),
            )
            for mine, stored in zip(found, expected, strict=True):
                if mine != stored:
                    self._report(
                        node, f"has {mine - stored}, lacks {stored - mine}"
                    )


def _play(seed: int) -> _Play:
    play = _Play(seed)
    logging.disable(logging.CRITICAL)
    try:
        with play.simulation.timeline.closing():
            play.run()
    finally:
        logging.disable(logging.NOTSET)
    return play


def _seeds() -> list[int]:
    first, _, last = os.environ.get("RESTORE_SEEDS", "1-8").partition("-")
    return list(range(int(first), int(last or first) + 1))


class RestoreModelTest(testtools.TestCase):
    def test_replicas_never_go_backwards_and_agree_in_the_end(self):
        seeds = [*_REGRESSIONS, *_seeds()]
        failed = {}
        events: collections.Counter[str] = collections.Counter()
        for seed in seeds:
            play = _play(seed)
            events += play.events
            if play.violations:
                failed[seed] = play.violations[:3]
                print(f"seed {seed}: {play.violations[:3]}")
        print(f"{len(seeds)} seeds, {len(failed)} failed: {dict(events)}")
        self.assertEqual({}, failed)

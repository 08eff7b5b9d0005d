"""Which subtrees the store takes and refuses."""

from __future__ import annotations

import asyncio

import testtools

from sardinedoor_node.settings import bodies
from sardinedoor_node.settings import store
from sardinedoor_node.settings import tree
from sardinedoor_schema import faults
from sardinedoor_schema.generated import platform
from sardinedoor_schema.generated import wire

CODE = faults.FaultCode


def text(team: str, services: dict[str, str], extra: str = "") -> str:
    """Builds a subtree; services map to their workers."""
    parts = [f"[team]\nname = {team}\n{extra}"]
    for name, workers in services.items():
        parts.append(f"[service {name}]\nworkers = {workers}\n")
        parts.append(f"[route {name}]\nservice = {name}\npath = /{name}\n")
    return "".join(parts)


GOOD = text("a", {"x": "x-0, x-1", "y": "y-0"})
CASES = {
    "syntax": ("[team\nname", CODE.SYNTAX),
    "no team": ("[service x]\nworkers = x-0\n", CODE.MISSING),
    "unknown key": (GOOD + "colour = red\n", CODE.UNKNOWN_KEY),
    "other name": (text("b", {"x": "x-0", "y": "y-0"}), CODE.WRONG_TEAM),
    "section twice": (GOOD + "[service x]\nworkers = z\n", CODE.SYNTAX),
    "section twice, far apart": (
        GOOD
        + "".join(f"[service s{n}]\nworkers = w\n" for n in range(100))
        + "[service x]\nworkers = z\n",
        CODE.SYNTAX,
    ),
    "too large": (GOOD + "#" * tree.MAX_SUBTREE_BYTES, CODE.TOO_LARGE),
    "service gone": (text("a", {"x": "x-0"}), CODE.REMOVES_ALL_WORKERS),
    "workers all new": (
        text("a", {"x": "x-9", "y": "y-0"}),
        CODE.REMOVES_ALL_WORKERS,
    ),
    "service of b": (
        text("a", {"x": "x-0", "y": "y-0", "owned": "z"}),
        CODE.SERVICE_OF_OTHER_TEAM,
    ),
    "route of b": (
        GOOD + "[route z]\nservice = x\npath = /owned\n",
        CODE.ROUTE_OF_OTHER_TEAM,
    ),
}


def filled() -> store.SettingsStore:
    """Returns a store with two teams in force."""
    settings = store.SettingsStore()
    settings.offer(platform.Subtree("b", 2, text("b", {"owned": "o-0"})))
    settings.offer(platform.Subtree("a", 3, GOOD))
    return settings


class StoreTest(testtools.TestCase):
    def test_refused_whole_and_last_good_stays(self):
        for label, (body, code) in CASES.items():
            settings = filled()
            before = dict(settings.services)
            taken = settings.offer(platform.Subtree("a", 4, body))
            self.assertFalse(taken, label)
            self.assertEqual(before, settings.services, label)
            self.assertEqual(3, settings.revision("a"), label)
            revision, found = settings.refused["a"]
            self.assertEqual(4, revision, label)
            self.assertIn(code, [fault.code for fault in found], label)
            self.assertNotIn("b", settings.refused, label)
            self.assertTrue(
                settings.offer(platform.Subtree("a", 5, GOOD)), label
            )
            self.assertEqual({}, settings.refused, label)

    def test_fault_names_its_line(self):
        lines = GOOD + "[service z]\nworkers = w\n" * 1
        lines += "".join(f"[service s{n}]\nworkers = w\n" for n in range(50))
        number = lines.count("\n") + 1
        parsed = tree.parse("a", 1, lines + "no value here\n")
        self.assertIn(f"line {number:2d}", str(parsed.unwrap_err()[0]))

    def test_only_higher_revisions(self):
        for revision in (1, 2, 3):
            settings = filled()
            other = text("a", {"x": "x-0, x-5", "y": "y-0"})
            self.assertFalse(
                settings.offer(platform.Subtree("a", revision, other))
            )
            self.assertEqual(["x-0", "x-1"], settings.services["x"].workers)

    def test_removal_confirmed(self):
        settings = filled()
        body = text("a", {"x": "x-0"}, "confirm_removal = y\n")
        self.assertTrue(settings.offer(platform.Subtree("a", 4, body)))
        self.assertNotIn("y", settings.services)

    def test_clash_is_reconsidered_when_the_other_team_gives_up(self):
        settings = filled()
        body = text("a", {"x": "x-0", "y": "y-0", "owned": "z"})
        settings.offer(platform.Subtree("a", 4, body))
        freed = text("b", {"kept": "k"}, "confirm_removal = owned\n")
        settings.offer(platform.Subtree("b", 5, freed))
        self.assertEqual(4, settings.revision("a"))

    def test_peers_get_the_good_and_the_refused_body(self):
        settings = filled()
        settings.offer(platform.Subtree("a", 4, "[broken"))
        fresh = store.SettingsStore()
        state = wire.TeamState("a", 3, 4)
        self.assertEqual(state, settings.state("a"))
        self.assertTrue(fresh.lacks(state))
        for body in settings.bodies("a", 0, 0):
            fresh.offer(bodies.unpack(body))
        self.assertEqual(state, fresh.state("a"))
        self.assertFalse(fresh.lacks(state))
        self.assertEqual([], settings.bodies("a", 3, 4))

    def test_digest_depends_on_revisions_only(self):
        first, second = filled(), store.SettingsStore()
        second.offer(platform.Subtree("a", 3, GOOD))
        self.assertNotEqual(first.digest, second.digest)
        second.offer(platform.Subtree("b", 2, text("b", {"owned": "o-0"})))
        self.assertEqual(first.digest, second.digest)

    def test_damaged_and_inflated_bodies(self):
        large = platform.Subtree("a", 1, "x" * 50_000_000)
        unpacked = bodies.unpack(bodies.pack(large))
        self.assertEqual(bodies.MAX_TEXT_BYTES, len(unpacked.text))
        packed = bodies.pack(platform.Subtree("a", 1, GOOD))
        packed.data = packed.data[5:]
        self.assertRaises(bodies.BodyError, bodies.unpack, packed)

    def test_large_subtree_lets_others_run(self):
        many = "".join(f"[service s{n}]\nworkers = w\n" for n in range(8000))

        async def count_turns() -> int:
            settings = store.SettingsStore()
            body = platform.Subtree("a", 1, text("a", {}) + many)
            taking = asyncio.create_task(settings.take(body))
            turns = 0
            while not taking.done():
                await asyncio.sleep(0)
                turns += 1
            self.assertTrue(taking.result())
            return turns

        self.assertGreater(asyncio.run(count_turns()), 400)

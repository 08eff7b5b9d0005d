"""Acceptance and refusal of subtrees by the settings store."""

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
    """Builds a subtree from its services and their workers."""
    parts = [f"[team]\nname = {team}\n{extra}"]
    for name, workers in services.items():
        parts.append(f"[service {name}]\nworkers = {workers}\n")
        parts.append(f"[route {name}]\nservice = {name}\npath = /{name}\n")
    return "".join(parts)


VALID = text("a", {"x": "x-0, x-1", "y": "y-0"})
CASES = {
    "syntax": ("[team\nname", CODE.SYNTAX),
    "no team": ("[service x]\nworkers = x-0\n", CODE.MISSING),
    "unknown key": (VALID + "colour = red\n", CODE.UNKNOWN_KEY),
    "other name": (text("b", {"x": "x-0", "y": "y-0"}), CODE.WRONG_TEAM),
    "section twice": (VALID + "[service x]\nworkers = z\n", CODE.SYNTAX),
    "section twice, in different slices": (
        VALID
        + "".join(f"[service s{n}]\nworkers = w\n" for n in range(100))
        + "[service x]\nworkers = z\n",
        CODE.SYNTAX,
    ),
    "too large": (VALID + "#" * tree.MAX_SUBTREE_BYTES, CODE.TOO_LARGE),
    "service removed": (text("a", {"x": "x-0"}), CODE.REMOVES_ALL_WORKERS),
    "all workers replaced": (
        text("a", {"x": "x-9", "y": "y-0"}),
        CODE.REMOVES_ALL_WORKERS,
    ),
    "service of b": (
        text("a", {"x": "x-0", "y": "y-0", "owned": "z"}),
        CODE.SERVICE_OF_OTHER_TEAM,
    ),
    "route of b": (
        VALID + "[route z]\nservice = x\npath = /owned\n",
        CODE.ROUTE_OF_OTHER_TEAM,
    ),
}


def store_with_two_teams() -> store.SettingsStore:
    """Returns a store with the subtrees of two teams in force."""
    settings = store.SettingsStore()
    settings.apply(platform.Subtree("b", 2, text("b", {"owned": "o-0"})))
    settings.apply(platform.Subtree("a", 3, VALID))
    return settings


class StoreTest(testtools.TestCase):
    def test_invalid_subtree_is_refused_and_the_last_valid_one_stays(self):
        for label, (body, code) in CASES.items():
            settings = store_with_two_teams()
            before = dict(settings.services)
            taken = settings.apply(platform.Subtree("a", 4, body))
            self.assertFalse(taken, label)
            self.assertEqual(before, settings.services, label)
            self.assertEqual(3, settings.revision("a"), label)
            revision, found = settings.refused["a"]
            self.assertEqual(4, revision, label)
            self.assertIn(code, [fault.code for fault in found], label)
            self.assertNotIn("b", settings.refused, label)
            self.assertTrue(
                settings.apply(platform.Subtree("a", 5, VALID)), label
            )
            self.assertEqual({}, settings.refused, label)

    def test_fault_names_its_line(self):
        lines = VALID + "[service z]\nworkers = w\n" * 1
        lines += "".join(f"[service s{n}]\nworkers = w\n" for n in range(50))
        number = lines.count("\n") + 1
        parsed = tree.parse("a", 1, lines + "no value here\n")
        self.assertIn(f"line {number:2d}", str(parsed.unwrap_err()[0]))

    def test_only_higher_revisions_are_accepted(self):
        for revision in (1, 2, 3):
            settings = store_with_two_teams()
            other = text("a", {"x": "x-0, x-5", "y": "y-0"})
            self.assertFalse(
                settings.apply(platform.Subtree("a", revision, other))
            )
            self.assertEqual(["x-0", "x-1"], settings.services["x"].workers)

    def test_confirmed_removal_is_accepted(self):
        settings = store_with_two_teams()
        body = text("a", {"x": "x-0"}, "confirm_removal = y\n")
        self.assertTrue(settings.apply(platform.Subtree("a", 4, body)))
        self.assertNotIn("y", settings.services)

    def test_conflict_is_checked_again_when_the_other_team_yields(self):
        settings = store_with_two_teams()
        body = text("a", {"x": "x-0", "y": "y-0", "owned": "z"})
        settings.apply(platform.Subtree("a", 4, body))
        freed = text("b", {"kept": "k"}, "confirm_removal = owned\n")
        settings.apply(platform.Subtree("b", 5, freed))
        self.assertEqual(4, settings.revision("a"))

    def test_peers_get_the_valid_and_the_refused_body(self):
        settings = store_with_two_teams()
        settings.apply(platform.Subtree("a", 4, "[broken"))
        fresh = store.SettingsStore()
        state = wire.TeamState("a", 3, 4)
        self.assertEqual(state, settings.state("a"))
        self.assertTrue(fresh.is_behind(state))
        for body in settings.newer_bodies("a", 0, 0):
            fresh.apply(bodies.unpack(body))
        self.assertEqual(state, fresh.state("a"))
        self.assertFalse(fresh.is_behind(state))
        self.assertEqual([], settings.newer_bodies("a", 3, 4))

    def test_digest_depends_on_revisions_only(self):
        first, second = store_with_two_teams(), store.SettingsStore()
        second.apply(platform.Subtree("a", 3, VALID))
        self.assertNotEqual(first.digest, second.digest)
        second.apply(platform.Subtree("b", 2, text("b", {"owned": "o-0"})))
        self.assertEqual(first.digest, second.digest)

    def test_damaged_body_fails_and_large_one_is_truncated(self):
        large = platform.Subtree("a", 1, "x" * 50_000_000)
        unpacked = bodies.unpack(bodies.pack(large))
        self.assertEqual(bodies.MAX_TEXT_BYTES, len(unpacked.text))
        packed = bodies.pack(platform.Subtree("a", 1, VALID))
        packed.data = packed.data[5:]
        self.assertRaises(bodies.BodyError, bodies.unpack, packed)

    def test_parsing_a_large_subtree_lets_other_tasks_run(self):
        many = "".join(f"[service s{n}]\nworkers = w\n" for n in range(8000))

        async def count_turns() -> int:
            settings = store.SettingsStore()
            body = platform.Subtree("a", 1, text("a", {}) + many)
            applying = asyncio.create_task(settings.apply_in_slices(body))
            turns = 0
            while not applying.done():
                await asyncio.sleep(0)
                turns += 1
            self.assertTrue(applying.result())
            return turns

        self.assertGreater(asyncio.run(count_turns()), 400)

"""Parsing of a node's own settings, and its faults."""

from __future__ import annotations

import testtools

from sardinedoor_node.settings import addresses
from sardinedoor_node.settings import nodefile
from sardinedoor_schema import faults

_CODE = faults.FaultCode
_VALID = {
    "name": "a-0",
    "region": "attica",
    "failure_domain": "a",
    "public": "127.0.0.1:8001",
    "internal": "127.0.0.1:8002",
    "link": "127.0.0.1:8003",
    "admin": "127.0.0.1:8004",
    "platform": "127.0.0.1:9000",
}
_WORKER = "[worker w-0]\nservice = permits\naddress = 127.0.0.1:8100\n"


def _text(changes: dict[str, str | None], rest: str = _WORKER) -> str:
    keys = {**_VALID, **changes}
    lines = [f"{k} = {v}" for k, v in keys.items() if v is not None]
    return "[node]\n" + "\n".join(lines) + "\n" + rest


class NodeFileTest(testtools.TestCase):
    # Changes in [node], other sections, expected code and expected key.
    CASES = (
        ({"public": "127.0.0.1:0"}, _WORKER, _CODE.BAD_ADDRESS, "public"),
        ({"link": "127.0.0.1:65536"}, _WORKER, _CODE.BAD_ADDRESS, "link"),
        ({"link": "300.0.0.1:80"}, _WORKER, _CODE.BAD_ADDRESS, "link"),
        ({"link": "::1:8003"}, _WORKER, _CODE.BAD_ADDRESS, "link"),
        ({"admin": "localhost:80"}, _WORKER, _CODE.INVALID, "admin"),
        ({"seeds": "127.0.0.1:1, x"}, _WORKER, _CODE.BAD_ADDRESS, "seeds"),
        (
            {"admin": "127.0.0.1:8001"},
            _WORKER,
            _CODE.DUPLICATE_ADDRESS,
            "admin",
        ),
        ({"admin": "0.0.0.0:8004"}, _WORKER, _CODE.ADMIN_NOT_LOOPBACK, "admin"),
        (
            {},
            "[worker w]\nservice = permits\naddress = 127.0.0.1:8001\n",
            _CODE.DUPLICATE_ADDRESS,
            "address",
        ),
        ({"name": "A b"}, _WORKER, _CODE.INVALID, "name"),
        ({"drain_ms": "-1"}, _WORKER, _CODE.INVALID, "drain_ms"),
        ({"log_level": "loud"}, _WORKER, _CODE.INVALID, "log_level"),
        ({"region": None}, _WORKER, _CODE.MISSING, "region"),
        ({"colour": "red"}, _WORKER, _CODE.UNKNOWN_KEY, "colour"),
        ({}, "[target x]\n", _CODE.UNKNOWN_SECTION, ""),
        ({}, "[worker w]\naddress = 1.1.1.1:1\n", _CODE.MISSING, "service"),
        ({}, "[node]\n", _CODE.SYNTAX, ""),
        ({}, "\0", _CODE.SYNTAX, ""),
    )

    def test_valid_settings_are_accepted(self):
        for changes in (
            {},
            {"admin": "0.0.0.0:8004", "admin_public": "true"},
            {"link": "[::1]:8003", "admin": "[::1]:8004"},
        ):
            self.assertTrue(nodefile.parse("n.ini", _text(changes)).is_ok())

    def test_each_fault_names_its_code_file_and_key(self):
        for changes, rest, code, key in self.CASES:
            found = nodefile.parse("n.ini", _text(changes, rest)).unwrap_err()
            places = [(f.code, f.key) for f in found]
            self.assertIn((code, key), places, (changes, rest))
            for fault in found:
                self.assertIn(f"({int(fault.code)})", str(fault))
                self.assertTrue(str(fault).startswith("n.ini:"))

    def test_fault_names_the_value_and_the_allowed_ones(self):
        rows = (
            ({"drain_ms": "long"}, "a whole number from 0 to 600000"),
            ({"log_level": "loud"}, "one of debug, error, info, warning"),
            ({"link": "here"}, addresses.allowed.ADDRESS),
        )
        for changes, text in rows:
            found = nodefile.parse("n.ini", _text(changes)).unwrap_err()
            ((key, value),) = changes.items()
            self.assertIn(f"[node] {key} = {value!r}: ", str(found[0]))
            self.assertIn(text, str(found[0]))

    def test_all_faults_are_reported_together(self):
        text = _text({"public": "127.0.0.1:0", "drain_ms": "x", "name": None})
        text += "[other]\n"
        found = nodefile.parse("n.ini", text).unwrap_err()
        keys = {f.key for f in found}
        self.assertTrue({"drain_ms", "name", "public"} <= keys, keys)
        self.assertIn(_CODE.UNKNOWN_SECTION, [f.code for f in found])

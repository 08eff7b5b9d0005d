"""Faults that the parser of subtrees reports."""

from __future__ import annotations

import testtools

from sardinedoor_node.settings import tree
from sardinedoor_schema import faults

_CODE = faults.FaultCode
_VALID = """
[team]
name = licensing
[service permits]
workers = permits-0, permits-1
floor = 1
[route permits]
service = permits
path = /permits
"""


class TreeFaultsTest(testtools.TestCase):
    # Text to replace, its replacement, and code and key of the fault.
    CASES = (
        ("floor = 1", "floor = 3", _CODE.FLOOR_ABOVE_WORKERS, "floor"),
        ("floor = 1", "floor = many", _CODE.INVALID, "floor"),
        ("floor = 1", "flor = 1", _CODE.UNKNOWN_KEY, "flor"),
        ("permits-1", "permits-0", _CODE.DUPLICATE_WORKER, "workers"),
        ("permits-0, permits-1", "", _CODE.INVALID, "workers"),
        ("service = permits", "service = x", _CODE.UNKNOWN_SERVICE, "service"),
        ("path = /permits", "path = permits", _CODE.INVALID, "path"),
        ("path = /permits", "", _CODE.MISSING, "path"),
        ("name = licensing", "name = markets", _CODE.WRONG_TEAM, "name"),
        ("[team]\nname = licensing", "", _CODE.MISSING, ""),
        ("[route permits]", "[rout permits]", _CODE.UNKNOWN_SECTION, ""),
        ("[route permits]", "[service permits]", _CODE.SYNTAX, ""),
        ("[route permits]", "[route a b]", _CODE.BAD_NAME, ""),
        ("permits-1", "Permits 1", _CODE.BAD_NAME, "workers"),
        ("[team]", "", _CODE.SYNTAX, ""),
        ("[team]", "[team", _CODE.SYNTAX, ""),
        ("[team]", "[team]\n" + "#" * 1024 * 1024, _CODE.TOO_LARGE, ""),
    )

    def test_each_fault_has_its_code_and_key(self):
        self.assertTrue(tree.parse("licensing", 1, _VALID).is_ok())
        for old, new, code, key in self.CASES:
            text = _VALID.replace(old, new, 1)
            found = tree.parse("licensing", 1, text).unwrap_err()
            places = [(f.code, f.key) for f in found]
            self.assertIn((code, key), places, (old, new[:40]))
            self.assertLess(max(len(str(f)) for f in found), 1000)

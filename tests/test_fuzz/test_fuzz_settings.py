"""Fuzz tests of settings: any text is accepted or has faults with codes."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies
import testtools

from sardinedoor_node.settings import nodefile
from sardinedoor_node.settings import tree
from sardinedoor_schema import faults
from sardinedoor_schema.generated import settings

_KEYS = sorted(
    {
        name
        for cls in (
            settings.NodeSettings,
            settings.WorkerSettings,
            settings.TeamSettings,
            settings.ServiceSettings,
            settings.RouteSettings,
        )
        for name in cls.__struct_fields__
    }
)
_VALUES = (
    "permits",
    "t",
    "1",
    "0",
    "-1",
    "1e9",
    "nan",
    "true",
    "yes",
    "/p",
    "GET, HEAD",
    "127.0.0.1:80",
    "[::1]:80",
    "127.0.0.1:0",
    "127.0.0.1:99999",
    "%(name)s",
    "${team:name}",
    "w-0, w-1",
    ",",
    "",
)
_SECTIONS = (
    "team",
    "node",
    "DEFAULT",
    "service permits",
    "service ",
    "route r",
    "route r",
    "worker w",
    "worker",
    "",
    "]",
)
_text = strategies.text(max_size=12)
_key = strategies.sampled_from(_KEYS) | _text
_value = strategies.sampled_from(_VALUES) | _text
_line = strategies.one_of(
    strategies.builds("[{}]".format, strategies.sampled_from(_SECTIONS)),
    strategies.builds("{} = {}".format, _key, _value),
    strategies.builds("{}:{}".format, _key, _value),
    strategies.builds("   {}".format, _value),
    strategies.builds("; {}".format, _text),
    strategies.text(max_size=30),
)
_settings_texts = strategies.one_of(
    strategies.text(max_size=300),
    strategies.lists(_line, max_size=25).map("\n".join),
)


class SettingsFuzzTest(testtools.TestCase):
    def _check(self, parsed, file: str) -> None:
        if parsed.is_ok():
            return
        found_faults = parsed.unwrap_err()
        self.assertTrue(found_faults)
        for fault in found_faults:
            self.assertIn(fault.code, list(faults.FaultCode))
            self.assertTrue(str(fault).startswith(f"{file}:"), str(fault))

    @hypothesis.given(_settings_texts)
    def test_arbitrary_subtree_is_accepted_or_has_faults(self, text):
        self._check(tree.parse("t", 1, text), "t")
        self._check(tree.parse("t", 1, "[team]\nname = t\n" + text), "t")

    @hypothesis.given(_settings_texts)
    def test_arbitrary_node_file_is_accepted_or_has_faults(self, text):
        self._check(nodefile.parse("n.ini", text), "n.ini")
        self._check(nodefile.parse("n.ini", "[node]\n" + text), "n.ini")

    @hypothesis.given(_settings_texts)
    def test_default_section_does_not_change_other_sections(self, text):
        hypothesis.assume("\n[" not in "\n" + text)
        tree_text = (
            f"[DEFAULT]\n{text}\n[team]\nname = t\n"
            "[service permits]\nworkers = w\n"
        )
        self.assertTrue(tree.parse("t", 1, tree_text).is_err())

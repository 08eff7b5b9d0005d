"""Sphinx directive that lists the keys of a settings section."""

from __future__ import annotations

import json
import pathlib
from typing import ClassVar

from docutils import nodes
from docutils import statemachine
import msgspec
from sphinx.util import docutils as sphinx_docutils

from sardinedoor_schema import allowed
from sardinedoor_schema.generated import settings

_SCHEMA = pathlib.Path(__file__).parents[2] / "schemas" / "settings.json"


class SettingsSection(sphinx_docutils.SphinxDirective):
    """Table of keys, what they take, their defaults and meaning."""

    required_arguments = 1
    option_spec: ClassVar[dict] = {}

    def run(self) -> list[nodes.Node]:
        """Builds the table from the schema."""
        self.env.note_dependency(str(_SCHEMA))
        schema = json.loads(_SCHEMA.read_text())
        name = self.arguments[0]
        definition = schema["definitions"][name]
        types = _types(name)
        lines = [
            ".. list-table::",
            "   :header-rows: 1",
            "",
            "   * - Key",
            "     - Takes",
            "     - Default",
            "     - Meaning",
        ]
        for key, rule in definition["properties"].items():
            default = "required"
            if key not in definition["required"]:
                default = f"``{json.dumps(rule['default'])}``"
            takes = allowed.describe(types[key])
            lines += [
                f"   * - ``{key}``",
                f"     - {_escape(takes)}",
                f"     - {default}",
                f"     - {_escape(rule.get('description', ''))}",
            ]
        return self._parse(lines)

    def _parse(self, lines: list[str]) -> list[nodes.Node]:
        node = nodes.container()
        content = statemachine.StringList(lines, source=str(_SCHEMA))
        self.state.nested_parse(content, self.content_offset, node)
        return node.children


def _types(name: str) -> dict[str, object]:
    cls = getattr(settings, name)
    return {f.name: f.type for f in msgspec.structs.fields(cls)}


def _escape(text: str) -> str:
    return text.replace("\\", "\\\\").replace("*", "\\*").replace("`", "\\`")


def setup(app) -> dict[str, bool]:
    """Registers the directive."""
    app.add_directive("settings-section", SettingsSection)
    return {"parallel_read_safe": True}

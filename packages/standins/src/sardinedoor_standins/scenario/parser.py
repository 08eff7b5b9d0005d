"""Parses scenario files."""

from __future__ import annotations

import pathlib

import lark

from sardinedoor_standins import scenario
from sardinedoor_standins.scenario import actions
from sardinedoor_standins.scenario import expectations

_GRAMMAR = pathlib.Path(__file__).with_name("grammar.lark")
_STEPS: dict[str, type[scenario.Step]] = {
    **actions.STEPS,
    **expectations.STEPS,
}


class ScenarioSyntaxError(Exception):
    """A scenario file that can't be parsed."""


class _Arguments(lark.Transformer):
    """Converts tokens to Python values."""

    def INT(self, token: lark.Token) -> int:  # noqa: N802
        return int(token)

    def NUMBER(self, token: lark.Token) -> float:  # noqa: N802
        return float(token)

    def STRING(self, token: lark.Token) -> str:  # noqa: N802
        return str(token)[1:-1].replace("\\n", "\n")

    def duration(self, children: list[float]) -> float:
        return children[0]


def parse(text: str, file: str) -> scenario.Scenario:
    """Parses a scenario.

    Args:
        text: The scenario.
        file: Name of the file for error messages.

    Returns:
        The scenario.

    Raises:
        ScenarioSyntaxError: The text isn't a valid scenario; the message contains
            its file and line.
    """
    parser = lark.Lark(
        _GRAMMAR.read_text(), parser="lalr", propagate_positions=True
    )
    try:
        tree = parser.parse(text.strip() + "\n")
    except lark.exceptions.UnexpectedInput as e:
        raise ScenarioSyntaxError(
            f"{file}:{e.line}:{e.column}: {e.get_context(text)}"
        ) from e
    converted = _Arguments().transform(tree)
    title, deployment, seed, *steps = converted.children
    source_lines = text.strip().splitlines()
    lines = []
    for node in steps:
        number = node.meta.line
        operation = node.children[0]
        step = _STEPS[operation.data](*map(_token_text, operation.children))
        lines.append(
            scenario.Line(number, source_lines[number - 1].strip(), step)
        )
    return scenario.Scenario(title, str(deployment), seed, lines)


def _token_text(value: object) -> object:
    return str(value) if isinstance(value, lark.Token) else value

"""Generates the message and settings classes from the JSON schemas.

With --check it writes nothing and fails if a generated module is stale.
"""

from __future__ import annotations

import json
import pathlib
import re
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent
SCHEMAS = ROOT / "schemas"
PACKAGE = ROOT / "packages/schema/src/sardinedoor_schema"
OUTPUT = PACKAGE / "generated"

# The generator writes the empty default of a binary field as "", not b"".
_BYTES_DEFAULT = re.compile(
    r"""(: (?:Annotated\[\s*)?bytes(?:,\s*Meta\([^)]*\),?\s*\])? = )\"\"""",
)

_OPTIONS = (
    "--input-file-type=jsonschema",
    "--output-model-type=msgspec.Struct",
    "--disable-timestamp",
    "--target-python-version=3.11",
    "--use-schema-description",
    "--use-double-quotes",
    "--use-annotated",
    "--field-constraints",
    "--strict-nullable",
    "--use-default",
    "--enum-field-as-literal=all",
    "--use-msgspec-forbid-unknown-fields",
    "--formatters=builtin",
)


def _with_defaults_required(path: pathlib.Path) -> str:
    """Returns a schema in which fields with a default are also required.

    The generator would otherwise give such a field an unset value as well.
    """
    schema = json.loads(path.read_text())
    for definition in schema["definitions"].values():
        properties = definition.get("properties", {})
        defaulted = [k for k, v in properties.items() if "default" in v]
        required = definition.get("required", [])
        definition["required"] = [*required, *defaulted]
    return json.dumps(schema)


def generate(path: pathlib.Path) -> str:
    """Generates the module of one schema.

    Args:
        path: Path of the schema file.

    Returns:
        Source text of the module.
    """
    with tempfile.TemporaryDirectory() as folder:
        source = pathlib.Path(folder) / path.name
        target = pathlib.Path(folder) / "out.py"
        source.write_text(_with_defaults_required(path))
        subprocess.run(
            [
                sys.executable,
                "-m",
                "datamodel_code_generator",
                f"--input={source}",
                f"--output={target}",
                "--base-class=sardinedoor_schema.base.Message",
                *_OPTIONS,
            ],
            check=True,
        )
        text = _BYTES_DEFAULT.sub(r'\1b""', target.read_text())
        # The project's style is to import modules, not names.
        text = text.replace(
            "from sardinedoor_schema.base import Message",
            "from sardinedoor_schema import base",
        )
        return text.replace("(Message", "(base.Message")


def main() -> int:
    """Writes the modules, or with --check compares them.

    Returns:
        The exit status; 1 if a generated module is stale.
    """
    stale = []
    for path in sorted(SCHEMAS.glob("*.json")):
        target = OUTPUT / f"{path.stem}.py"
        text = generate(path)
        if "--check" not in sys.argv:
            target.write_text(text)
        elif not target.exists() or target.read_text() != text:
            stale.append(target.name)
    for name in stale:
        print(f"generated/{name} is stale: run make generate")
    return 1 if stale else 0


if __name__ == "__main__":
    sys.exit(main())

"""Description of a source mutation."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(slots=True)
class Mechanism:
    """A mechanism and the replacement of source text that disables it.

    Attributes:
        name: Description in the report of `mutants.py`.
        file: Path of the source file, relative to the package.
        old: Source text of the mechanism; occurs exactly once in the file.
        new: Text that replaces it in the mutant.
        tests: Paths of the tests to run on the mutant; if empty, the fault
            grid and the tests of exchanges run.
    """

    name: str
    file: str
    old: str
    new: str
    tests: tuple[str, ...] = ()

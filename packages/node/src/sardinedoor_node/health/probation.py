"""When an ejected target may come back, and what flapping costs it."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(slots=True)
class Rules:
    """A team's rules for return.

    Attributes:
        ejection_s: Length of a first ejection, in s.
        ejection_max_s: Longest ejection, in s.
        half_life_s: Time in which a penalty halves, in s.
        trials: Good trial requests in a row that end a first ejection.
        ramp_s: Time in which a target regains its full share, in s.
    """

    ejection_s: float = 5.0
    ejection_max_s: float = 300.0
    half_life_s: float = 300.0
    trials: int = 5
    ramp_s: float = 10.0


_TRIALS_FACTOR_MAX = 4


class Penalty:
    """Ejections of the past, weighed by age."""

    def __init__(self, rules: Rules):
        """Starts without ejections."""
        self._rules = rules
        self._value = 0.0
        self._time = 0.0

    @property
    def rules(self) -> Rules:
        """The rules in force."""
        return self._rules

    @rules.setter
    def rules(self, rules: Rules) -> None:
        self._rules = rules

    def value(self, now: float) -> float:
        """Returns the penalty; 1 is one ejection just now."""
        age = max(0.0, now - self._time)
        return self._value * 0.5 ** (age / self._rules.half_life_s)

    def add(self, now: float) -> None:
        """Counts an ejection."""
        self._value = self.value(now) + 1.0
        self._time = now

    def ejection_s(self, now: float) -> float:
        """Returns how long an ejection counted just now lasts, in s."""
        doublings = max(0.0, self.value(now) - 1.0)
        # Beyond this many doublings any ejection is at its longest.
        length = self._rules.ejection_s * 2.0 ** min(doublings, 30.0)
        return min(length, self._rules.ejection_max_s)

    def trials(self, now: float) -> int:
        """Returns how many good trials in a row are needed."""
        factor = min(_TRIALS_FACTOR_MAX, max(1.0, self.value(now)))
        return round(self._rules.trials * factor)

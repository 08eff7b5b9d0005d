"""Length of ejections, and number of trial requests before readmission."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(slots=True)
class ReadmissionRules:
    """A team's settings for the readmission of an ejected target.

    After the ejection time a target is on probation: client requests are sent
    to it as trials, like those in the half-open state of a circuit breaker.

    Attributes:
        ejection_s: Length of a first ejection, in s.
        ejection_max_s: Upper bound of the length of an ejection, in s.
        half_life_s: Half-life of the penalty for past ejections, which makes
            further ejections longer and raises the number of trials, in s.
        required_trials: Consecutive good trials that end a first ejection.
        ramp_s: Time in which a readmitted target regains its full share of
            traffic, in s.
    """

    ejection_s: float = 5.0
    ejection_max_s: float = 300.0
    half_life_s: float = 300.0
    required_trials: int = 5
    ramp_s: float = 10.0


# Largest factor by which past ejections raise the number of required trials.
_MAX_TRIALS_FACTOR = 4


class Penalty:
    """Number of past ejections, which decays exponentially with time."""

    def __init__(self, rules: ReadmissionRules):
        """Starts without ejections.

        Args:
            rules: The team's settings for readmission.
        """
        self._rules = rules
        self._value = 0.0
        self._updated_at = 0.0

    @property
    def rules(self) -> ReadmissionRules:
        """The team's current settings for readmission."""
        return self._rules

    @rules.setter
    def rules(self, rules: ReadmissionRules) -> None:
        self._rules = rules

    def value(self, now: float) -> float:
        """Returns the decayed number of ejections; 1 right after the first."""
        age_s = max(0.0, now - self._updated_at)
        return self._value * 0.5 ** (age_s / self._rules.half_life_s)

    def add(self, now: float) -> None:
        """Counts an ejection."""
        self._value = self.value(now) + 1.0
        self._updated_at = now

    def ejection_s(self, now: float) -> float:
        """Returns an ejection's length, in s; call it right after `add`."""
        doublings = max(0.0, self.value(now) - 1.0)
        # 30 doublings exceed any permitted maximum length.
        length_s = self._rules.ejection_s * 2.0 ** min(doublings, 30.0)
        return min(length_s, self._rules.ejection_max_s)

    def required_trials(self, now: float) -> int:
        """Returns how many consecutive good trials end the ejection."""
        factor = min(_MAX_TRIALS_FACTOR, max(1.0, self.value(now)))
        return round(self._rules.required_trials * factor)

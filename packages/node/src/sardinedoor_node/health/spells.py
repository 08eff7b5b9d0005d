"""Odds that a target is in a spell of failing, by a two-state filter."""

from __future__ import annotations

import dataclasses
import math

# Bounds keep one outcome from being outweighed by a long history.
_ODDS_MIN = 0.005
_ODDS_MAX = 0.985


@dataclasses.dataclass(slots=True)
class Rates:
    """How targets of the fleet fall sick and recover.

    Attributes:
        sick_share: Share of time in which a target is sick.
        spell_s: Mean length of a spell, in s.
        sick_failures: Share of requests that fail at a sick target.
        well_failures: Share of requests that fail at a well one.
    """

    sick_share: float = 0.3
    spell_s: float = 9.0
    sick_failures: float = 0.75
    well_failures: float = 0.015

    @property
    def relaxation_s(self) -> float:
        """Time in which the odds return to the share without evidence."""
        return self.spell_s * (1 - self.sick_share)


class SpellFilter:
    """Posterior odds that one target is sick now.

    Between outcomes they relax towards the prior share, since spells begin
    and end unseen; each outcome is weighed by Bayes' rule.
    """

    def __init__(self, rates: Rates, now: float):
        """Starts at the prior share.

        Args:
            rates: The regime.
            now: Monotonic time, in s.
        """
        self._rates = rates
        self._odds = rates.sick_share
        self._at = now

    def sick(self, now: float) -> float:
        """Returns the probability that the target is sick, 0 to 1."""
        rates = self._rates
        age_s = max(0.0, now - self._at)
        kept = math.exp(-age_s / rates.relaxation_s)
        return rates.sick_share + (self._odds - rates.sick_share) * kept

    def failed(self, now: float, weight: float = 1.0) -> None:
        """Counts a failure.

        Args:
            now: Monotonic time, in s.
            weight: How much it speaks against the target, 0 to 1.
        """
        rates = self._rates
        ratio = rates.sick_failures / rates.well_failures
        self._update(now, ratio**weight)

    def served(self, now: float) -> None:
        """Counts a whole answer in time."""
        rates = self._rates
        ratio = (1 - rates.sick_failures) / (1 - rates.well_failures)
        self._update(now, ratio)

    def _update(self, now: float, ratio: float) -> None:
        prior = self.sick(now)
        odds = prior / (1 - prior) * ratio
        posterior = odds / (1 + odds)
        self._odds = min(_ODDS_MAX, max(_ODDS_MIN, posterior))
        self._at = max(self._at, now)

"""Probability that a target is failing, by a two-state hidden Markov filter."""

from __future__ import annotations

import dataclasses
import math

# Bounds of the probability after an outcome, so that a few new outcomes can
# outweigh a long series of earlier ones.
_MIN_PROBABILITY = 0.005
_MAX_PROBABILITY = 0.985


@dataclasses.dataclass(slots=True)
class FailureModel:
    """Two-state Markov model of a target that is healthy or failing.

    Attributes:
        failing_share: Stationary probability of the failing state.
        mean_failing_s: Mean duration of the failing state, in s.
        failing_error_share: Share of requests that fail in the failing state.
        healthy_error_share: Share of requests that fail in the healthy state.
    """

    failing_share: float = 0.3
    mean_failing_s: float = 9.0
    failing_error_share: float = 0.8
    healthy_error_share: float = 0.015

    @property
    def relaxation_s(self) -> float:
        """Time constant of the exponential decay to `failing_share`, in s."""
        return self.mean_failing_s * (1 - self.failing_share)


class FailureFilter:
    """Posterior probability that one target is in the failing state.

    Between outcomes the probability decays exponentially to the stationary
    probability, because the target may change its state unobserved. Each
    outcome updates it by Bayes' rule.
    """

    def __init__(self, model: FailureModel, now: float):
        """Starts at the stationary probability.

        Args:
            model: Parameters of the Markov model.
            now: Monotonic time in s.
        """
        self._model = model
        self._probability = model.failing_share
        self._updated_at = now

    def failing_probability(self, now: float) -> float:
        """Returns the probability that the target is failing, 0 to 1."""
        model = self._model
        age_s = max(0.0, now - self._updated_at)
        decay = math.exp(-age_s / model.relaxation_s)
        return (
            model.failing_share
            + (self._probability - model.failing_share) * decay
        )

    def record_failure(self, now: float, weight: float = 1.0) -> None:
        """Updates the probability with a failed request.

        Args:
            now: Monotonic time in s.
            weight: Exponent of the likelihood ratio, 0 to 1; below 1 for
                weaker evidence.
        """
        model = self._model
        likelihood_ratio = model.failing_error_share / model.healthy_error_share
        self._update(now, likelihood_ratio**weight)

    def record_success(self, now: float) -> None:
        """Updates the probability with a complete answer in time."""
        model = self._model
        likelihood_ratio = (1 - model.failing_error_share) / (
            1 - model.healthy_error_share
        )
        self._update(now, likelihood_ratio)

    def _update(self, now: float, likelihood_ratio: float) -> None:
        prior = self.failing_probability(now)
        odds = prior / (1 - prior) * likelihood_ratio
        posterior = odds / (1 + odds)
        self._probability = min(
            _MAX_PROBABILITY, max(_MIN_PROBABILITY, posterior)
        )
        self._updated_at = max(self._updated_at, now)

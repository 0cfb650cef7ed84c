"""Retry budget: a token bucket per service that prevents retry storms.

Each first attempt to a service adds a fraction of a token and each retry takes
a whole one. Retries to a service thus stay below a fixed ratio of its first
attempts, however many user requests still hold a retry allowance.

A budget of the whole fleet is kept elsewhere, see ``server_budget``.
"""

from bergamotdeal.presets import model
from bergamotdeal.retries import server_budget

_ROUNDING_TOLERANCE = 1e-6
"""Tolerance in tokens for rounding errors in sums of fractions."""


class RetryBudget:
    """Token buckets that bound retries, by service.

    Args:
      policy: Retry policy of the preset in force.
    """

    def __init__(self, *, policy: model.RetryPolicy):
        self._policy = policy
        self._tokens_by_service: dict[str, float] = {}

    @property
    def _burst(self) -> float:
        return float(self._policy.burst)

    def set_policy(self, policy: model.RetryPolicy) -> None:
        """Applies a new policy and caps buckets at its burst size."""
        self._policy = policy
        for service, tokens in self._tokens_by_service.items():
            self._tokens_by_service[service] = min(tokens, self._burst)

    def record_first_attempt(self, service: str) -> None:
        """Credits the bucket of a service for a first attempt."""
        tokens = self._tokens_by_service.get(service, self._burst)
        self._tokens_by_service[service] = min(
            self._burst, tokens + self._policy.ratio
        )

    def try_acquire_retry(self, service: str, *, prior_calls: int = 0) -> bool:
        """Takes a token for a retry if enough are available.

        Args:
          service: Destination service of the call.
          prior_calls: Number of calls that the same run made before.

        Returns:
          Whether the retry may be sent.
        """
        if self._policy.fleet_burst:
            return True
        tokens = self._tokens_by_service.get(service, self._burst)
        required = server_budget.compute_required_tokens(
            self._burst,
            prior_calls=prior_calls,
            by_progress=self._policy.by_progress,
        )
        if tokens < required - _ROUNDING_TOLERANCE:
            return False
        self._tokens_by_service[service] = tokens - 1.0
        return True

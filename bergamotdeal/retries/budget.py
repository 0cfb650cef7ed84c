"""Retry budget: a token bucket per service that prevents retry storms.

Each first attempt to a service adds a fraction of a token and each retry takes
a whole one. Retries to a service thus stay below a fixed ratio of its first
attempts, however many user requests still hold a retry allowance.

When a call fails, the work that its run has already done is wasted. Scarce
tokens are therefore reserved for runs that have made more calls before: the
more prior calls, the lower the level to which a run may drain the bucket.
"""

from bergamotdeal.presets import model

_PRIOR_CALLS_FOR_LAST_TOKEN = 4
"""Prior calls after which a run may use the last token: the number of
sequential calls that one run makes in the users' deepest chains."""

_RESERVED_SHARE = 0.5
"""Part of the bucket that the first call of a run may not use. The remaining
part covers isolated rejections in normal operation."""

_ROUNDING_TOLERANCE = 1e-6
"""Tolerance in tokens for rounding errors in sums of fractions."""


class RetryBudget:
    """Token buckets that bound retries, by service.

    Args:
      policy: Retry policy of the preset in force.
    """

    def __init__(self, *, policy: model.RetryPolicy):
        self._policy = policy
        self._node_count = 1
        self._burst = float(policy.burst)
        self._tokens_by_service: dict[str, float] = {}

    def set_policy(self, policy: model.RetryPolicy) -> None:
        """Applies a new policy and caps buckets at its burst size."""
        self._policy = policy
        self._update_burst()

    def set_node_count(self, node_count: int) -> None:
        """Sets the number of nodes that share the fleet-wide burst.

        Args:
          node_count: Number of nodes not known to be dead, including this one.
        """
        if node_count != self._node_count:
            self._node_count = max(1, node_count)
            self._update_burst()

    def _update_burst(self) -> None:
        burst = float(self._policy.burst)
        if self._policy.fleet_burst:
            burst = self._policy.fleet_burst / self._node_count
        self._burst = burst
        for service, tokens in self._tokens_by_service.items():
            self._tokens_by_service[service] = min(tokens, burst)

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
        tokens = self._tokens_by_service.get(service, self._burst)
        if tokens < self._required_tokens(prior_calls) - _ROUNDING_TOLERANCE:
            return False
        self._tokens_by_service[service] = tokens - 1.0
        return True

    def _required_tokens(self, prior_calls: int) -> float:
        """Returns the tokens that the bucket must hold for a retry."""
        if not self._policy.by_progress:
            return 1.0
        reserved_fraction = max(
            0.0, 1.0 - prior_calls / _PRIOR_CALLS_FOR_LAST_TOKEN
        )
        reservable_tokens = max(0.0, self._burst - 1.0)
        return 1.0 + _RESERVED_SHARE * reserved_fraction * reservable_tokens

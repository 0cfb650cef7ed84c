"""A token bucket per service against storms of re-sends.

Each first sending to a service adds a fraction of a token, each re-send takes
a whole one. The re-sends to a service thus stay below a fixed share of its
first sendings, however many user requests still hold an allowance.

A call that fails takes with it what its run has done so far. So when tokens
are short they go to the calls of runs that have made others before: the more,
the lower the level down to which they may empty the bucket.
"""

from bergamotdeal.presets import model

_CALLS_OF_A_LONG_RUN = 4
"""Calls after which a run may use the last token: the calls that one run of
the users' deepest chains makes in turn."""

_KEPT_BACK_SHARE = 0.5
"""Part of the bucket that a run's first call may not take; the other part
covers single rejections in calm times."""

_ROUNDING = 1e-6
"""Part of a token by which sums of fractions may miss a full bucket."""


class RetryBudget:
    """Token buckets by service."""

    def __init__(self, *, policy: model.RetryPolicy):
        self._policy = policy
        self._nodes = 1
        self._burst = float(policy.burst)
        self._tokens_by_service: dict[str, float] = {}

    def set_policy(self, policy: model.RetryPolicy) -> None:
        """Applies a new policy; buckets above its burst are cut."""
        self._policy = policy
        self._resize()

    def set_node_count(self, nodes: int) -> None:
        """Takes the number of nodes that share the fleet's burst.

        Args:
          nodes: Nodes that are not known to be dead, this one included.
        """
        if nodes != self._nodes:
            self._nodes = max(1, nodes)
            self._resize()

    def _resize(self) -> None:
        burst = float(self._policy.burst)
        if self._policy.fleet_burst:
            burst = self._policy.fleet_burst / self._nodes
        self._burst = burst
        for service, tokens in self._tokens_by_service.items():
            self._tokens_by_service[service] = min(tokens, burst)

    def record_first_attempt(self, service: str) -> None:
        """Counts a first sending to a service."""
        tokens = self._tokens_by_service.get(service, self._burst)
        self._tokens_by_service[service] = min(
            self._burst, tokens + self._policy.ratio
        )

    def try_acquire_retry(self, service: str, *, prior_calls: int = 0) -> bool:
        """Takes the token for a re-send.

        Args:
          service: Service that the call goes to.
          prior_calls: Calls that the run which makes it has made before.

        Returns:
          Whether the re-send may go out.
        """
        tokens = self._tokens_by_service.get(service, self._burst)
        if tokens < self._least(prior_calls) - _ROUNDING:
            return False
        self._tokens_by_service[service] = tokens - 1.0
        return True

    def _least(self, prior_calls: int) -> float:
        """Returns the tokens that must be there for a re-send."""
        if not self._policy.by_progress:
            return 1.0
        kept_back = max(0.0, 1.0 - prior_calls / _CALLS_OF_A_LONG_RUN)
        spare = max(0.0, self._burst - 1.0)
        return 1.0 + _KEPT_BACK_SHARE * kept_back * spare

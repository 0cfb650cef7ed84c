"""Retry budget of a service, enforced where its calls arrive.

A limit at the origins of retries divides a small budget among all nodes of the
fleet. All calls to one server, however, pass the node beside it. The nodes of a
service's servers therefore share the service's budget in equal parts, and each
counts exactly what its own server receives, without messages about it.

Each part is a token bucket. First attempts fill it and retries take a token
each. Its capacity is the part of the burst, plus a small share of what was
earned in the window before, so that a bucket whose part is less than one token
can hold some, too. With that share left out of the earnings, the retries in any
window stay within ratio times the first attempts of that window or the one
before it, whichever has more, plus the burst.
"""

import collections
import math

from bergamotdeal.presets import model

_CARRIED_SHARE = 0.05
"""Share of the earnings of one window that may be spent in the next one: half a
second's worth of a window of ten seconds."""

_SLICES_PER_WINDOW = 10

_PRIOR_CALLS_FOR_LAST_TOKEN = 3
"""Prior calls after which a tree may use the last token: those before the last
of the four calls in sequence that the users' longest trees make."""

_EXHAUSTION_MEMORY_S = 0.2
"""Time after a refusal in which the service counts as out of retries."""

_RESERVED_SHARE = 0.5
"""Part of the bucket that the first call of a run may not use."""

_MAX_RESERVED_TOKENS = 4.0
"""Maximum of the tokens that it may not use; a large bucket would otherwise
refuse first calls for seconds after it was empty."""

_ROUNDING_TOLERANCE = 1e-6
"""Tolerance in tokens for rounding errors in sums of fractions."""

_MS_PER_S = 1000


def compute_required_tokens(
    capacity: float, *, prior_calls: int, by_progress: bool
) -> float:
    """Returns the tokens that a bucket must hold for a retry.

    When a call fails, the work that its run has already done is wasted. Scarce
    tokens are therefore reserved for runs that have made more calls before.

    Args:
      capacity: Capacity of the bucket in tokens.
      prior_calls: Number of calls that the same run made before.
      by_progress: Whether tokens are reserved at all.
    """
    if not by_progress:
        return 1.0
    reserved_fraction = max(
        0.0, 1.0 - prior_calls / _PRIOR_CALLS_FOR_LAST_TOKEN
    )
    reserved_tokens = min(
        _MAX_RESERVED_TOKENS, _RESERVED_SHARE * max(0.0, capacity - 1.0)
    )
    return 1.0 + reserved_fraction * reserved_tokens


class ServerRetryBudget:
    """This server's part of the retry budget of its service.

    Args:
      policy: Retry policy of the preset in force.
    """

    def __init__(self, *, policy: model.RetryPolicy) -> None:
        self._policy = policy
        self._server_count = 1
        self._tokens = 0.0
        self._slices: collections.deque[tuple[float, int]] = collections.deque()
        self._slice_started_at = 0.0
        self._slice_count = 0
        self._window_count = 0
        self._refused_at = -math.inf

    @property
    def is_enabled(self) -> bool:
        """Whether the policy sets a budget for the whole fleet."""
        return self._policy.fleet_burst > 0

    def set_policy(self, policy: model.RetryPolicy) -> None:
        """Applies a new policy."""
        self._policy = policy

    def set_server_count(self, server_count: int) -> None:
        """Sets the number of servers among which the burst is divided.

        Args:
          server_count: Servers of the service, including this one.
        """
        self._server_count = max(1, server_count)

    def record_first_attempt(self, now: float) -> None:
        """Records the first attempt of a call.

        Args:
          now: Monotonic seconds.
        """
        self._advance(now)
        self._slice_count += 1
        earned = (1.0 - _CARRIED_SHARE) * self._policy.ratio
        self._tokens = min(self._capacity(), self._tokens + earned)

    def is_exhausted(self, now: float, *, prior_calls: int) -> bool:
        """Returns whether a retry anywhere in the service is likely futile.

        A server that gets no retries knows nothing of the others' budgets.

        Args:
          now: Monotonic seconds.
          prior_calls: Number of calls that the same run made before.
        """
        if now - self._refused_at > _EXHAUSTION_MEMORY_S:
            return False
        return not self._has_token(now, prior_calls)

    def _has_token(self, now: float, prior_calls: int) -> bool:
        self._advance(now)
        capacity = self._capacity()
        self._tokens = min(capacity, self._tokens)
        required = compute_required_tokens(
            capacity,
            prior_calls=prior_calls,
            by_progress=self._policy.by_progress,
        )
        return self._tokens >= required - _ROUNDING_TOLERANCE

    def try_acquire(self, now: float, *, prior_calls: int) -> bool:
        """Takes a token for a retry that has arrived, if enough are left.

        Args:
          now: Monotonic seconds.
          prior_calls: Number of calls that the same run made before.

        Returns:
          Whether the retry may be handed to the server.
        """
        if not self.is_enabled:
            return True
        if not self._has_token(now, prior_calls):
            self._refused_at = now
            return False
        self._tokens -= 1.0
        return True

    def refund(self) -> None:
        """Returns the token of a retry that did not reach the server."""
        if self.is_enabled:
            self._tokens += 1.0

    def _capacity(self) -> float:
        earned_in_window = self._policy.ratio * self._window_count
        return (
            self._policy.fleet_burst / self._server_count
            + _CARRIED_SHARE * earned_in_window
        )

    def _advance(self, now: float) -> None:
        """Closes the current slice and drops those that left the window."""
        window_s = self._policy.window_ms / _MS_PER_S
        if now - self._slice_started_at >= window_s / _SLICES_PER_WINDOW:
            if self._slice_count:
                self._slices.append((self._slice_started_at, self._slice_count))
                self._window_count += self._slice_count
            self._slice_started_at = now
            self._slice_count = 0
        while self._slices and self._slices[0][0] < now - window_s:
            _, count = self._slices.popleft()
            self._window_count -= count

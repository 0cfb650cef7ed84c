"""Handling of a backend server that accepts fewer connections for a time."""

import math

_EARLY_LOSS_S = 0.25
"""Age up to which a lost connection without any answer counts as rejected."""

_CAUTION_S = 5.0
"""Time after a rejected connection in which new ones are tried out."""

_TRIAL_S = 0.01
"""Time for which a connection is tried out before its first request, so that a
reset comes before anything is sent."""


class ConnectGuard:
    """Record of connections that the server closed right after accepting."""

    def __init__(self) -> None:
        self._cautious_until = -math.inf

    def record_loss(
        self, *, connected_at: float, completed_runs: int, now: float
    ) -> bool:
        """Records a connection that the server closed.

        Args:
          connected_at: Time when it was established, in monotonic seconds.
          completed_runs: Number of runs that it completed.
          now: Monotonic seconds.

        Returns:
          Whether the server has rejected the connection.
        """
        is_rejected = completed_runs == 0 and now - connected_at < _EARLY_LOSS_S
        if is_rejected:
            self._cautious_until = now + _CAUTION_S
        return is_rejected

    def compute_trial_s(self, now: float) -> float:
        """Returns how long to try out a new connection; zero for not at all."""
        return _TRIAL_S if now < self._cautious_until else 0.0

"""Latest condition that one instance of the backend server has reported."""

import math

from bergamotdeal.node import dialect as dialects

PROVISIONAL_RATE_LIMIT = 20.0
"""Rate limit in requests per second until the first answer of a server that ran
before this process and may have named a limit to an earlier one."""


class ServerConditionTracker:
    """Tracker of the rate limit of one instance of the backend server.

    Answers on different connections may overtake one another. An answer without
    a limit therefore lifts the limit only if its request was sent after the
    last answer with a limit had arrived.

    Args:
      is_known: Whether the instance can't have reported a limit before.
    """

    def __init__(self, *, is_known: bool) -> None:
        self._is_known = is_known
        self._rate_limit: float | None = None
        self._limited_at = -math.inf

    @property
    def is_known(self) -> bool:
        """Whether the limit is known and not a provisional one."""
        return self._is_known

    @property
    def rate_limit(self) -> float | None:
        """Requests per second for the server, or None for no limit."""
        return self._rate_limit if self._is_known else PROVISIONAL_RATE_LIMIT

    def record(
        self,
        condition: dialects.ServerCondition,
        *,
        sent_at: float,
        now: float,
    ) -> None:
        """Records a condition that an answer reports.

        Args:
          condition: The reported condition.
          sent_at: Time when the request was sent, in monotonic seconds.
          now: Time when the answer arrived, in monotonic seconds.
        """
        self._is_known = True
        if condition.rate_limit is not None:
            self._rate_limit = condition.rate_limit
            self._limited_at = now
        elif sent_at >= self._limited_at:
            self._rate_limit = None

"""Latest condition that one instance of the backend server has reported."""

import math

from bergamotdeal.node import dialect as dialects


class ServerConditionTracker:
    """Tracker of the rate limit of one instance of the backend server.

    Answers on different connections may overtake one another. An answer without
    a limit therefore lifts the limit only if its request was sent after the
    last answer with a limit had arrived.
    """

    def __init__(self) -> None:
        self._rate_limit: float | None = None
        self._limited_at = -math.inf

    @property
    def rate_limit(self) -> float | None:
        """Requests per second that the server accepts, or None for no limit."""
        return self._rate_limit

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
        if condition.rate_limit is not None:
            self._rate_limit = condition.rate_limit
            self._limited_at = now
        elif sent_at >= self._limited_at:
            self._rate_limit = None

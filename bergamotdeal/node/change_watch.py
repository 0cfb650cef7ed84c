"""Puts changes of the limit and the thresholds on the time line."""

from collections.abc import Callable

from bergamotdeal.calls import messages
from bergamotdeal.node import status as node_status
from bergamotdeal.telemetry import catalogue

THRESHOLD_STEP = 0.05
"""Change of a threshold that is worth an event."""

LIMIT_STEP_SHARE = 0.1
"""Change of the limit that is worth an event, as a share of the last one."""

OPEN = 1.0


class ChangeWatch:
    """Compares what it sees with what it last recorded.

    It looks once a second, so that a limit or threshold that swings faster
    can't flood the time line.

    Args:
      record: Takes the events.
    """

    def __init__(self, *, record: Callable[[messages.EventRecord], None]):
        self._record = record
        self._limit = 0
        self._thresholds_by_class: dict[str, float] = {}

    def look(self, server: node_status.ServerStatus | None) -> None:
        """Records what has changed.

        Args:
          server: The backend server now, or None.
        """
        if server is None:
            return
        if abs(server.limit - self._limit) > self._limit * LIMIT_STEP_SHARE:
            self._limit = server.limit
            self._note(
                catalogue.EventCode.LIMIT_CHANGED, {"limit": server.limit}
            )
        for class_name, threshold in server.thresholds_by_class.items():
            last = self._thresholds_by_class.get(class_name, OPEN)
            if not _is_worth_an_event(last, threshold):
                continue
            self._thresholds_by_class[class_name] = threshold
            self._note(
                catalogue.EventCode.THRESHOLD_CHANGED,
                {"name": class_name, "threshold": round(threshold, 3)},
            )

    def _note(
        self, code: catalogue.EventCode, fields: dict[str, str | int | float]
    ) -> None:
        self._record(messages.EventRecord(code=code, fields=fields))


def _is_worth_an_event(last: float, now: float) -> bool:
    if (last >= OPEN) != (now >= OPEN):
        return True
    return abs(now - last) >= THRESHOLD_STEP

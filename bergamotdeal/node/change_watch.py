"""Records changes of the concurrency limit and the admission thresholds."""

from collections.abc import Callable

from bergamotdeal.node import status as node_status
from bergamotdeal.telemetry import catalogue
from bergamotdeal.telemetry import records

MIN_THRESHOLD_CHANGE = 0.05
"""Smallest change of an admission threshold that is recorded."""

MIN_RELATIVE_LIMIT_CHANGE = 0.1
"""Changes of the concurrency limit above this fraction of the last recorded
limit are recorded."""

OPEN_THRESHOLD = 1.0
"""Threshold at which no request of a class is shed."""


class ServerChangeRecorder:
    """Recorder of significant changes of the limit and the thresholds.

    It is called once a second, so that a limit or threshold that oscillates
    faster can't flood the event log.

    Args:
      record: Takes the events.
    """

    def __init__(self, *, record: Callable[[records.EventRecord], None]):
        self._record = record
        self._recorded_limit = 0
        self._recorded_thresholds_by_class: dict[str, float] = {}

    def record_changes(self, server: node_status.ServerStatus | None) -> None:
        """Records the changes since the last recorded values.

        Args:
          server: Current status of the backend server, or None if there is
            none.
        """
        if server is None:
            return
        if (
            abs(server.limit - self._recorded_limit)
            > self._recorded_limit * MIN_RELATIVE_LIMIT_CHANGE
        ):
            self._recorded_limit = server.limit
            self._record_event(
                catalogue.EventCode.LIMIT_CHANGED, {"limit": server.limit}
            )
        for class_name, threshold in server.thresholds_by_class.items():
            previous = self._recorded_thresholds_by_class.get(
                class_name, OPEN_THRESHOLD
            )
            if not _is_significant(previous, threshold):
                continue
            self._recorded_thresholds_by_class[class_name] = threshold
            self._record_event(
                catalogue.EventCode.THRESHOLD_CHANGED,
                {"name": class_name, "threshold": round(threshold, 3)},
            )

    def _record_event(
        self, code: catalogue.EventCode, fields: dict[str, str | int | float]
    ) -> None:
        self._record(records.EventRecord(code=code, fields=fields))


def _is_significant(previous: float, current: float) -> bool:
    if (previous >= OPEN_THRESHOLD) != (current >= OPEN_THRESHOLD):
        return True
    return abs(current - previous) >= MIN_THRESHOLD_CHANGE

"""Structured log of the numbered events."""

from collections.abc import Callable
from typing import Any
from typing import TextIO

import msgspec
import structlog

from bergamotdeal.telemetry import catalogue
from bergamotdeal.telemetry import ring

MAX_LINES_PER_CODE_PER_SECOND = 20

DEBUG, INFO, WARNING, ERROR = 10, 20, 30, 40

LEVELS_BY_NAME = {
    "debug": DEBUG,
    "info": INFO,
    "warning": WARNING,
    "error": ERROR,
}

LEVELS_BY_CODE = {
    catalogue.EventCode.CALL_FAILED_INTERNALLY: ERROR,
    catalogue.EventCode.TASK_FAILED: ERROR,
    catalogue.EventCode.REQUEST_QUARANTINED: WARNING,
    catalogue.EventCode.PRESET_REJECTED: WARNING,
    catalogue.EventCode.STORE_UNAVAILABLE: WARNING,
    catalogue.EventCode.STORE_CHECK_FAILED: WARNING,
    catalogue.EventCode.REGISTRY_FAILED: WARNING,
    catalogue.EventCode.STORE_OBJECT_REJECTED: WARNING,
    catalogue.EventCode.COST_REPORT_REJECTED: WARNING,
    catalogue.EventCode.SETTINGS_REJECTED: WARNING,
    catalogue.EventCode.ANNOUNCEMENT_REJECTED: WARNING,
    catalogue.EventCode.SERVER_RATE_LIMITED: WARNING,
    catalogue.EventCode.SERVER_CONDITION_REJECTED: WARNING,
    catalogue.EventCode.BODY_REFUSED: INFO,
    catalogue.EventCode.CALL_SHED: INFO,
    catalogue.EventCode.CALL_RETRIED: INFO,
    catalogue.EventCode.CALL_REFUSED: INFO,
    catalogue.EventCode.CRASH_REPORTED: INFO,
    catalogue.EventCode.CRASH_REPORTS_SYNCED: INFO,
    catalogue.EventCode.KEY_REFUSED: INFO,
    catalogue.EventCode.QUOTA_REFUSED: INFO,
    catalogue.EventCode.CALL_LOST: INFO,
    catalogue.EventCode.CALL_ACCEPTED_IN_DRAIN: INFO,
    catalogue.EventCode.RUN_HUNG: INFO,
    catalogue.EventCode.DISPATCH_FAILED: INFO,
    catalogue.EventCode.LATE_ANSWER_DROPPED: INFO,
    catalogue.EventCode.SERVER_STOPPED: WARNING,
    catalogue.EventCode.PEER_REJECTED: WARNING,
    catalogue.EventCode.FRAME_MALFORMED: WARNING,
}


def get_level(code: catalogue.EventCode, *, is_request_event: bool) -> int:
    """Returns the level at which an event is logged.

    Args:
      code: Number of the event. An event without an entry in
        ``LEVELS_BY_CODE`` is logged at debug if it belongs to a request, else
        at info.
      is_request_event: Whether the event belongs to a request.
    """
    level = LEVELS_BY_CODE.get(code)
    if level is not None:
        return level
    return DEBUG if is_request_event else INFO


class EventLog:
    """Writer of events as JSON lines with a rate limit for each event code.

    The first line of a code after suppressed ones has their number in the key
    ``left_out``.

    Args:
      level: Lowest level to log: ``debug``, ``info``, ``warning`` or ``error``.
      stream: Stream that the lines are written to.
      host_id: Id of the host, written on each line.
      monotonic: Returns monotonic seconds.
    """

    def __init__(
        self,
        *,
        level: str,
        stream: TextIO,
        host_id: str,
        monotonic: Callable[[], float],
    ):
        self._level = LEVELS_BY_NAME[level]
        self._monotonic = monotonic
        self._current_second = 0
        self._lines_by_code: dict[int, int] = {}
        self._suppressed_by_code: dict[int, int] = {}
        self._logger = structlog.wrap_logger(
            structlog.WriteLogger(stream),
            processors=[
                structlog.processors.add_log_level,
                structlog.processors.TimeStamper(fmt="iso", utc=True),
                structlog.processors.JSONRenderer(serializer=_to_json),
            ],
            wrapper_class=structlog.make_filtering_bound_logger(self._level),
            context_class=dict,
            host=host_id,
        )

    def get_logged_codes(self, *, is_request_event: bool) -> frozenset[int]:
        """Returns the numbers of the events that are logged.

        Args:
          is_request_event: Whether the events belong to a request.
        """
        return frozenset(
            int(code)
            for code in catalogue.EventCode
            if get_level(code, is_request_event=is_request_event) >= self._level
        )

    def write(self, event: ring.Event) -> None:
        """Writes an event unless its level or the rate limit forbids it.

        Args:
          event: The event to write.
        """
        level = get_level(
            event.code, is_request_event=bool(event.user_request_id)
        )
        if level < self._level or not self._check_rate_limit(event.code):
            return
        context: dict[str, Any] = {"number": int(event.code)}
        if event.user_request_id:
            context["request"] = event.user_request_id
        suppressed = self._suppressed_by_code.pop(event.code, 0)
        if suppressed:
            context["left_out"] = suppressed
        self._logger.log(
            level,
            catalogue.format_message(event.code, event.fields_by_name),
            name=event.code.name,
            stamp=event.stamp,
            fields=event.fields_by_name,
            **context,
        )

    def _check_rate_limit(self, code: int) -> bool:
        """Counts a line and returns whether the rate limit allows it."""
        second = int(self._monotonic())
        if second != self._current_second:
            self._current_second = second
            self._lines_by_code.clear()
        lines = self._lines_by_code.get(code, 0) + 1
        self._lines_by_code[code] = lines
        if lines <= MAX_LINES_PER_CODE_PER_SECOND:
            return True
        suppressed = self._suppressed_by_code.get(code, 0)
        self._suppressed_by_code[code] = suppressed + 1
        return False


def _to_json(value: object, **_options: object) -> str:
    return msgspec.json.encode(value).decode()

"""Adds errors that Twisted logs to the event log of the node."""

from collections.abc import Callable

from twisted import logger

from bergamotdeal.telemetry import catalogue
from bergamotdeal.telemetry import records

MAX_TRACE_CHARS = 4_000


class FailureObserver:
    """Twisted log observer that records errors that no task caught.

    An example is the failure of a Deferred without an errback.

    Args:
      record: Takes the events.
    """

    def __init__(self, *, record: Callable[[records.EventRecord], None]):
        self._record = record

    def start(self) -> None:
        """Replaces Twisted's own log output on standard error."""
        logger.globalLogBeginner.beginLoggingTo(
            [self.observe], discardBuffer=True, redirectStandardIO=False
        )

    def observe(self, event: logger.LogEvent) -> None:
        """Records a log event of Twisted if it is an error.

        Args:
          event: The log event.
        """
        if (
            event.get("log_level", logger.LogLevel.debug)
            < logger.LogLevel.error
        ):
            return
        failure = event.get("log_failure")
        if failure is not None:
            trace = failure.getTraceback()
        else:
            trace = logger.formatEvent(event)
        fields = {
            "task": event.get("log_namespace", "unknown"),
            "trace": trace[-MAX_TRACE_CHARS:],
        }
        self._record(
            records.EventRecord(
                code=catalogue.EventCode.TASK_FAILED, fields=fields
            )
        )

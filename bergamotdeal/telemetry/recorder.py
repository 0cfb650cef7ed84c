"""The one place through which a node records what it decides."""

from bergamotdeal.calls import messages
from bergamotdeal.telemetry import clock
from bergamotdeal.telemetry import log
from bergamotdeal.telemetry import metrics
from bergamotdeal.telemetry import ring


class Recorder:
    """Stamps events, keeps them, counts them and logs them.

    Args:
      hybrid_clock: Source of the stamps.
      events: Memory of the events.
      counts: Counters that the events raise.
      event_log: Where events are logged, or None.
    """

    __slots__ = ("_event_log", "clock", "metrics", "ring")

    def __init__(
        self,
        *,
        hybrid_clock: clock.HybridClock,
        events: ring.Ring,
        counts: metrics.Metrics,
        event_log: log.EventLog | None = None,
    ):
        self.clock = hybrid_clock
        self.ring = events
        self.metrics = counts
        self._event_log = event_log

    def record(self, entry: messages.Record) -> None:
        """Records an event.

        Args:
          entry: The event without its stamp.
        """
        event = ring.Event(
            code=entry.code,
            stamp=self.clock.now(),
            user_request_id=entry.user_request_id,
            fields_by_name=entry.fields,
        )
        self.ring.add(event)
        counter = metrics.counter_of(entry.code, entry.fields)
        if counter is not None:
            self.metrics.count(counter)
        if self._event_log is not None:
            self._event_log.write(event)

"""The one place through which a node records what it decides."""

from bergamotdeal.calls import messages
from bergamotdeal.telemetry import clock
from bergamotdeal.telemetry import log
from bergamotdeal.telemetry import metrics
from bergamotdeal.telemetry import ring


class EventRecorder:
    """Stamps events, keeps them, counts them and logs them.

    Args:
      hybrid_clock: Source of the stamps.
      event_ring: Memory of the events.
      node_metrics: Counters that the events raise.
      event_log: Where events are logged, or None.
    """

    __slots__ = (
        "_add",
        "_count_event",
        "_event_log",
        "_logged_node_codes",
        "_logged_request_codes",
        "_now",
        "clock",
        "metrics",
        "ring",
    )

    def __init__(
        self,
        *,
        hybrid_clock: clock.HybridLogicalClock,
        event_ring: ring.EventRing,
        node_metrics: metrics.Metrics,
        event_log: log.EventLog | None = None,
    ):
        self.clock = hybrid_clock
        self.ring = event_ring
        self.metrics = node_metrics
        self._now = hybrid_clock.now
        self._add = event_ring.add
        self._count_event = node_metrics.count_event
        self._event_log = event_log
        self._logged_node_codes: frozenset[int] = frozenset()
        self._logged_request_codes: frozenset[int] = frozenset()
        if event_log is not None:
            self._logged_node_codes = event_log.get_logged_codes(
                is_request_event=False
            )
            self._logged_request_codes = event_log.get_logged_codes(
                is_request_event=True
            )

    def record(self, entry: messages.EventRecord) -> None:
        """Records an event.

        Args:
          entry: The event without its stamp.
        """
        stamp = self._now()
        self._add(stamp, entry)
        self._count_event(entry.code, entry.fields)
        logged = (
            self._logged_request_codes
            if entry.user_request_id
            else self._logged_node_codes
        )
        # An enum member's own hash is slow.
        if int(entry.code) in logged:
            self._event_log.write(ring.build_event(stamp, entry))

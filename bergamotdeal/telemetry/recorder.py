"""Recorder through which a node records all of its events."""

from bergamotdeal.telemetry import clock
from bergamotdeal.telemetry import log
from bergamotdeal.telemetry import metrics
from bergamotdeal.telemetry import records
from bergamotdeal.telemetry import ring


class EventRecorder:
    """Recorder that stamps, stores, counts and logs the events of a node.

    Attributes:
      clock: Hybrid logical clock of the node.
      ring: Ring buffer of recent events.
      metrics: Metrics of the node.

    Args:
      hybrid_clock: Source of the stamps.
      event_ring: Ring buffer that stores the events.
      node_metrics: Metrics whose counters the events increment.
      event_log: Log that the events are written to, or None.
    """

    __slots__ = (
        "_add_event",
        "_count_event",
        "_event_log",
        "_logged_node_codes",
        "_logged_request_codes",
        "_next_stamp",
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
        self._next_stamp = hybrid_clock.now
        self._add_event = event_ring.add
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

    def record(self, event: records.EventRecord) -> None:
        """Records an event.

        Args:
          event: The event, not yet stamped.
        """
        stamp = self._next_stamp()
        self._add_event(stamp, event)
        self._count_event(event.code, event.fields)
        logged_codes = (
            self._logged_request_codes
            if event.user_request_id
            else self._logged_node_codes
        )
        # Hashing an int is faster than hashing an enum member.
        if int(event.code) in logged_codes:
            self._event_log.write(ring.build_event(stamp, event))

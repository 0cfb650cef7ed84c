"""Counters, gauges and timings that are sent to statsd once a second.

Serving a call sends nothing: values are aggregated in memory, and one flush a
second sends them in a few datagrams.
"""

from collections.abc import Mapping
import enum
import random

import statsd

from bergamotdeal.telemetry import catalogue
from bergamotdeal.telemetry import histogram

FLUSH_INTERVAL_S = 1.0
MAX_SAMPLES_PER_FLUSH = 32


class Counter(enum.Enum):
    """Counters with their metric names.

    Attributes:
      slot: Index of the counter in the lists of ``Metrics``.
    """

    slot: int

    CALLS_ENTRY = "calls.entry"
    CALLS_EGRESS = "calls.egress"
    CALLS_PEER = "calls.peer"
    CALLS_DISPATCHED = "calls.dispatched"
    CALLS_RETRIED = "calls.retried"
    CALLS_CANCELLED = "calls.cancelled"
    CALLS_LATE_ANSWERS = "calls.late_answers"
    CALLS_INTERNAL_FAILURES = "calls.internal_failures"
    CALLS_DISPATCH_FAILURES = "calls.dispatch_failures"
    OUTCOME_COMPLETED = "outcome.completed"
    OUTCOME_NOT_RUN = "outcome.not_run"
    OUTCOME_UNKNOWN = "outcome.unknown"
    RUNS_STARTED = "runs.started"
    RUNS_ENDED = "runs.ended"
    RUNS_HUNG = "runs.hung"
    TICKETS_ISSUED = "tickets.issued"
    TICKETS_USED = "tickets.used"
    TICKETS_REFUSED = "tickets.refused"
    ADMISSION_QUEUED = "admission.queued"
    ADMISSION_SHED = "admission.shed"
    ADMISSION_THRESHOLD_CHANGES = "admission.threshold_changes"
    ADMISSION_LIMIT_CHANGES = "admission.limit_changes"
    ADMISSION_RETURNS_RESERVED = "admission.returns_reserved"
    ADMISSION_RETURNS_ADMITTED = "admission.returns_admitted"
    ROUTING_OUTLIERS = "routing.outliers"
    ROUTING_SPILLS = "routing.spills"
    QUARANTINE_REQUESTS = "quarantine.requests"
    MEMBERSHIP_JOINS = "membership.joins"
    MEMBERSHIP_STATE_CHANGES = "membership.state_changes"
    PRESETS_SWITCHES = "presets.switches"
    PRESETS_REJECTED = "presets.rejected"
    STORE_CALLS = "store.calls"
    STORE_OUTAGES = "store.outages"
    PEER_LINKS_OPENED = "peer.links_opened"
    PEER_LINKS_CLOSED = "peer.links_closed"
    PEER_REJECTED = "peer.rejected"
    PEER_MALFORMED = "peer.malformed"
    GOSSIP_BYTES_SENT = "gossip.bytes_sent"
    GOSSIP_DATAGRAMS_SENT = "gossip.datagrams_sent"
    GOSSIP_DATAGRAMS_DROPPED = "gossip.datagrams_dropped"
    SERVER_STOPS = "server.stops"
    QUOTA_REQUESTS = "quotas.requests"
    QUOTA_REFUSED_EXCEEDED = "quotas.refused_exceeded"
    QUOTA_REFUSED_UNREACHABLE = "quotas.refused_unreachable"
    QUOTA_TOKENS_RETURNED = "quotas.tokens_returned"
    QUOTA_TOKENS_GRANTED = "quotas.tokens_granted"
    QUOTA_TOKENS_EXPIRED = "quotas.tokens_expired"
    QUOTA_DATAGRAMS_SENT = "quotas.datagrams_sent"
    QUOTA_DATAGRAMS_DROPPED = "quotas.datagrams_dropped"
    QUOTA_BYTES_SENT = "quotas.bytes_sent"
    ORGANISATIONS_KEYS_MISSING = "organisations.keys_missing"
    ORGANISATIONS_KEYS_MALFORMED = "organisations.keys_malformed"
    ORGANISATIONS_KEYS_UNKNOWN = "organisations.keys_unknown"
    ORGANISATIONS_KEYS_REVOKED = "organisations.keys_revoked"
    ORGANISATIONS_KEYS_OUTDATED = "organisations.keys_outdated"
    ORGANISATIONS_PARENTS_UNKNOWN = "organisations.parents_unknown"
    MEMORY_BODIES_REFUSED = "memory.bodies_refused"


for _slot, _counter in enumerate(Counter):
    _counter.slot = _slot


class Gauge(enum.Enum):
    """Gauges with their metric names."""

    RUNNING = "server.running"
    QUEUED = "server.queued"
    LIMIT = "server.limit"
    WORK_FACTOR = "server.work_factor"
    THRESHOLD = "admission.threshold"
    EPOCH = "presets.epoch"
    BEHIND_S = "presets.behind_s"
    MEMBERS_ALIVE = "membership.alive"
    MEMBERS_SUSPECT = "membership.suspect"
    MEMBERS_DRAINING = "membership.draining"
    MEMBERS_DEAD = "membership.dead"
    RESIDENT_BYTES = "process.resident_bytes"
    BODY_BYTES = "memory.body_bytes"
    BODY_CAPACITY_BYTES = "memory.body_capacity_bytes"
    QUOTA_COUNTED_HOSTS = "quotas.counted_hosts"
    QUOTA_TOKENS_HELD = "quotas.tokens_held"
    QUOTA_USE = "quotas.use"
    QUOTA_REFUSED = "quotas.refused"


class Timing(enum.Enum):
    """Timings in milliseconds with their metric names."""

    CALL_MS = "calls.time"
    RUN_MS = "runs.time"
    LOOP_LAG_MS = "process.loop_lag"


COUNTERS_BY_CODE: dict[catalogue.EventCode, Counter] = {
    catalogue.EventCode.CALL_DISPATCHED: Counter.CALLS_DISPATCHED,
    catalogue.EventCode.CALL_QUEUED: Counter.ADMISSION_QUEUED,
    catalogue.EventCode.RUN_STARTED: Counter.RUNS_STARTED,
    catalogue.EventCode.RUN_ENDED: Counter.RUNS_ENDED,
    catalogue.EventCode.CALL_RETRIED: Counter.CALLS_RETRIED,
    catalogue.EventCode.CALL_CANCELLED: Counter.CALLS_CANCELLED,
    catalogue.EventCode.LATE_ANSWER_DROPPED: Counter.CALLS_LATE_ANSWERS,
    catalogue.EventCode.CALL_FAILED_INTERNALLY: (
        Counter.CALLS_INTERNAL_FAILURES
    ),
    catalogue.EventCode.DISPATCH_FAILED: Counter.CALLS_DISPATCH_FAILURES,
    catalogue.EventCode.RUN_HUNG: Counter.RUNS_HUNG,
    catalogue.EventCode.TICKET_ISSUED: Counter.TICKETS_ISSUED,
    catalogue.EventCode.TICKET_USED: Counter.TICKETS_USED,
    catalogue.EventCode.TICKET_REFUSED: Counter.TICKETS_REFUSED,
    catalogue.EventCode.CALL_SHED: Counter.ADMISSION_SHED,
    catalogue.EventCode.THRESHOLD_CHANGED: (
        Counter.ADMISSION_THRESHOLD_CHANGES
    ),
    catalogue.EventCode.LIMIT_CHANGED: Counter.ADMISSION_LIMIT_CHANGES,
    catalogue.EventCode.RETURN_RESERVED: Counter.ADMISSION_RETURNS_RESERVED,
    catalogue.EventCode.RETURN_ADMITTED: Counter.ADMISSION_RETURNS_ADMITTED,
    catalogue.EventCode.OUTLIER_FOUND: Counter.ROUTING_OUTLIERS,
    catalogue.EventCode.SPILL_STARTED: Counter.ROUTING_SPILLS,
    catalogue.EventCode.REQUEST_QUARANTINED: Counter.QUARANTINE_REQUESTS,
    catalogue.EventCode.MEMBER_JOINED: Counter.MEMBERSHIP_JOINS,
    catalogue.EventCode.MEMBER_STATE_CHANGED: (
        Counter.MEMBERSHIP_STATE_CHANGES
    ),
    catalogue.EventCode.PRESET_IN_FORCE: Counter.PRESETS_SWITCHES,
    catalogue.EventCode.PRESET_REJECTED: Counter.PRESETS_REJECTED,
    catalogue.EventCode.STORE_UNAVAILABLE: Counter.STORE_OUTAGES,
    catalogue.EventCode.SERVER_STOPPED: Counter.SERVER_STOPS,
    catalogue.EventCode.PEER_LINK_OPENED: Counter.PEER_LINKS_OPENED,
    catalogue.EventCode.PEER_LINK_CLOSED: Counter.PEER_LINKS_CLOSED,
    catalogue.EventCode.PEER_REJECTED: Counter.PEER_REJECTED,
    catalogue.EventCode.FRAME_MALFORMED: Counter.PEER_MALFORMED,
    catalogue.EventCode.BODY_REFUSED: Counter.MEMORY_BODIES_REFUSED,
}


_COUNTERS_BY_FACE = {
    "entry": Counter.CALLS_ENTRY,
    "egress": Counter.CALLS_EGRESS,
}
_COUNTERS_BY_OUTCOME = {
    "completed": Counter.OUTCOME_COMPLETED,
    "not-run": Counter.OUTCOME_NOT_RUN,
    "unknown": Counter.OUTCOME_UNKNOWN,
}
_COUNTERS_BY_KEY_REFUSAL = {
    "missing": Counter.ORGANISATIONS_KEYS_MISSING,
    "malformed": Counter.ORGANISATIONS_KEYS_MALFORMED,
    "unknown": Counter.ORGANISATIONS_KEYS_UNKNOWN,
    "revoked": Counter.ORGANISATIONS_KEYS_REVOKED,
    "outdated": Counter.ORGANISATIONS_KEYS_OUTDATED,
    "parent unknown": Counter.ORGANISATIONS_PARENTS_UNKNOWN,
}


# A list indexed by event number, since hashing an enum member is slow.
_COUNTERS_BY_NUMBER: list[Counter | None] = [None] * (
    max(catalogue.EventCode) + 1
)
for _code, _counter in COUNTERS_BY_CODE.items():
    _COUNTERS_BY_NUMBER[_code] = _counter

_CALL_ARRIVED = int(catalogue.EventCode.CALL_ARRIVED)
_CALL_ANSWERED = int(catalogue.EventCode.CALL_ANSWERED)
_KEY_REFUSED = int(catalogue.EventCode.KEY_REFUSED)


def find_counter(
    code: catalogue.EventCode, fields_by_name: Mapping[str, object]
) -> Counter | None:
    """Finds the counter that an event increments, if any.

    Args:
      code: Number of the event.
      fields_by_name: Fields of the event.
    """
    counter = _COUNTERS_BY_NUMBER[code]
    if counter is not None:
        return counter
    if code == _CALL_ARRIVED:
        return _COUNTERS_BY_FACE.get(fields_by_name.get("face"))
    if code == _CALL_ANSWERED:
        return _COUNTERS_BY_OUTCOME.get(fields_by_name.get("outcome"))
    if code == _KEY_REFUSED:
        return _COUNTERS_BY_KEY_REFUSAL.get(fields_by_name.get("cause"))
    return None


class ReservoirSample:
    """Uniform random sample of the timings since the last flush.

    Source: algorithm R of Vitter, "Random Sampling with a Reservoir", 1985.

    Attributes:
      count: Number of timings offered to the sample.
      values: Sampled timings, at most ``MAX_SAMPLES_PER_FLUSH``.

    Args:
      rng: Source of randomness for the sampling.
    """

    __slots__ = ("_rng", "count", "values")

    def __init__(self, *, rng: random.Random):
        self._rng = rng
        self.count = 0
        self.values: list[float] = []

    def add(self, value: float) -> None:
        """Offers a value to the sample, which may replace another one."""
        self.count += 1
        if len(self.values) < MAX_SAMPLES_PER_FLUSH:
            self.values.append(value)
            return
        index = int(self._rng.random() * self.count)
        if index < MAX_SAMPLES_PER_FLUSH:
            self.values[index] = value


class Metrics:
    """Metrics of a node, aggregated in memory between flushes.

    Args:
      rng: Source of randomness for sampling the timings.
    """

    def __init__(self, *, rng: random.Random):
        self._rng = rng
        self._unflushed_by_slot = [0] * len(Counter)
        self._flushed_by_slot = [0] * len(Counter)
        self._gauges_by_name: dict[str, float] = {}
        self._samples_by_timing = {t: ReservoirSample(rng=rng) for t in Timing}
        self._histograms_by_timing = {t: histogram.Histogram() for t in Timing}

    def increment(self, counter: Counter, amount: int = 1) -> None:
        """Increments a counter.

        Args:
          counter: The counter.
          amount: Number to add.
        """
        self._unflushed_by_slot[counter.slot] += amount

    def count_event(
        self, code: catalogue.EventCode, fields_by_name: Mapping[str, object]
    ) -> None:
        """Increments the counter of an event, if it has one.

        Args:
          code: Number of the event.
          fields_by_name: Fields of the event.
        """
        counter = find_counter(code, fields_by_name)
        if counter is not None:
            self._unflushed_by_slot[counter.slot] += 1

    def set_gauge(self, gauge: Gauge, value: float, *, label: str = "") -> None:
        """Sets a gauge, which the next flush sends once.

        Args:
          gauge: The gauge.
          value: Current value.
          label: Suffix of the metric name if the gauge has several values,
            else empty.
        """
        name = f"{gauge.value}.{label}" if label else gauge.value
        self._gauges_by_name[name] = value

    def time(self, timing: Timing, milliseconds: float) -> None:
        """Records the duration of one operation.

        Args:
          timing: The timing that the duration belongs to.
          milliseconds: The duration.
        """
        self._samples_by_timing[timing].add(milliseconds)
        self._histograms_by_timing[timing].add(milliseconds)

    def get_totals(self) -> dict[str, int]:
        """Returns the counter values since the process started, by name."""
        return {
            counter.value: self._flushed_by_slot[counter.slot]
            + self._unflushed_by_slot[counter.slot]
            for counter in Counter
        }

    def render_exposition(self) -> bytes:
        """Renders all metrics in the Prometheus text format."""
        # Imported late: the library is large and few processes are scraped.
        from bergamotdeal.telemetry import exposition

        return exposition.render(
            self.get_totals(),
            self._gauges_by_name,
            {
                timing.value: latencies
                for timing, latencies in self._histograms_by_timing.items()
            },
        )

    def flush(self, client: statsd.StatsClient | None) -> None:
        """Sends the values recorded since the last flush and resets them.

        Args:
          client: Client to send with; None discards the values.
        """
        if client is not None:
            with client.pipeline() as pipeline:
                self._send_values(pipeline)
        for slot, count in enumerate(self._unflushed_by_slot):
            self._flushed_by_slot[slot] += count
            self._unflushed_by_slot[slot] = 0
        self._gauges_by_name.clear()
        self._samples_by_timing = {
            t: ReservoirSample(rng=self._rng) for t in Timing
        }

    def _send_values(
        self, pipeline: statsd.client.base.StatsClientBase
    ) -> None:
        for counter in Counter:
            count = self._unflushed_by_slot[counter.slot]
            if count:
                pipeline.incr(counter.value, count)
        for name, value in self._gauges_by_name.items():
            pipeline.gauge(name, value)
        for timing, sample in self._samples_by_timing.items():
            if sample.count:
                pipeline.incr(f"{timing.value}.count", sample.count)
            for value in sample.values:
                pipeline.timing(timing.value, value)


def build_statsd_client(
    *, address: str, port: int, prefix: str
) -> statsd.StatsClient | None:
    """Builds a statsd client.

    Args:
      address: IP address of statsd; empty if statsd is not used.
      port: UDP port of statsd.
      prefix: Prefix of each metric name.

    Returns:
      The client, or None if statsd is not used.
    """
    if not address:
        return None
    return statsd.StatsClient(
        host=address, port=port, prefix=prefix, ipv6=":" in address
    )

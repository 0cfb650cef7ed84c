"""The node's recorder, log and metrics, and how they are set up."""

from collections.abc import Callable
import random
import sys
import time
import traceback

from twisted.internet import task

from bergamotdeal.calls import messages
from bergamotdeal.node import change_watch
from bergamotdeal.node import gauges
from bergamotdeal.node import status as node_status
from bergamotdeal.settings import model as settings_model
from bergamotdeal.telemetry import catalogue
from bergamotdeal.telemetry import clock
from bergamotdeal.telemetry import log
from bergamotdeal.telemetry import metrics
from bergamotdeal.telemetry import recorder
from bergamotdeal.telemetry import ring
from bergamotdeal.utils import log_stream

MS_PER_S = 1000
FLUSHES_PER_GAUGES = 10


class Observation:
    """Records what the node decides and sends its metrics.

    Attributes:
      recorder: The recorder that all tasks share.

    Args:
      settings: The node's settings.
      reactor: The reactor, as clock.
    """

    def __init__(self, *, settings: settings_model.Settings, reactor) -> None:
        statsd = settings.statsd
        self._client = metrics.connect(
            address=statsd.address, port=statsd.port, prefix=statsd.prefix
        )
        self.recorder = recorder.Recorder(
            hybrid_clock=clock.HybridClock(wall_ms=_wall_ms),
            events=ring.Ring(capacity=settings.telemetry.ring_events),
            counts=metrics.Metrics(rng=random.Random()),
            event_log=log.EventLog(
                level=settings.telemetry.log_level,
                stream=log_stream.safe_stream(sys.stdout),
                host_id=settings.node.host_id,
                monotonic=reactor.seconds,
            ),
        )
        self._reactor = reactor
        self._flush_due = 0.0
        self._flush = task.LoopingCall(self._flush_metrics)
        self._flush.clock = reactor
        self._flushes = 0
        self._read_status: Callable[..., node_status.NodeStatus] | None = None
        self._changes = change_watch.ChangeWatch(record=self.recorder.record)

    def start(
        self, *, read_status: Callable[..., node_status.NodeStatus]
    ) -> None:
        """Starts sending metrics.

        Args:
          read_status: Returns the node's status; takes ``with_members``.
        """
        self._read_status = read_status
        self._flush_due = self._reactor.seconds() + metrics.FLUSH_INTERVAL_S
        self._flush.start(metrics.FLUSH_INTERVAL_S, now=False)

    def _flush_metrics(self) -> None:
        counts = self.recorder.metrics
        lag_s = max(0.0, self._reactor.seconds() - self._flush_due)
        # A pause leaves out the flushes that were due in it.
        intervals = 1 + lag_s // metrics.FLUSH_INTERVAL_S
        self._flush_due += intervals * metrics.FLUSH_INTERVAL_S
        counts.time(metrics.Timing.LOOP_LAG_MS, lag_s * MS_PER_S)
        self._look_at_status()
        self._flushes += 1
        counts.flush(self._client)

    def _look_at_status(self) -> None:
        is_due = self._flushes % FLUSHES_PER_GAUGES == 0
        wants_gauges = is_due and self._client is not None
        try:
            status = self._read_status(with_members=wants_gauges)
        except Exception:
            # A failure here must not end the flushes.
            self.recorder.record(
                messages.EventRecord(
                    code=catalogue.EventCode.TASK_FAILED,
                    fields={
                        "task": "observation",
                        "trace": traceback.format_exc(),
                    },
                )
            )
            return
        self._changes.look(status.server)
        if wants_gauges:
            gauges.set_gauges(self.recorder.metrics, status)


def _wall_ms() -> int:
    return time.time_ns() // 1_000_000

"""Set-up of a node's event recorder, log and metrics."""

from collections.abc import Callable
import random
import sys
import time
import traceback

from twisted.internet import task

from bergamotdeal.node import change_watch
from bergamotdeal.node import gauges
from bergamotdeal.node import status as node_status
from bergamotdeal.settings import model as settings_model
from bergamotdeal.telemetry import catalogue
from bergamotdeal.telemetry import clock
from bergamotdeal.telemetry import log
from bergamotdeal.telemetry import metrics
from bergamotdeal.telemetry import recorder
from bergamotdeal.telemetry import records
from bergamotdeal.telemetry import ring
from bergamotdeal.utils import log_stream

MS_PER_S = 1000
FLUSHES_PER_GAUGE_UPDATE = 10


class NodeTelemetry:
    """Telemetry of a node: event recorder, log and periodic metrics.

    Attributes:
      recorder: Event recorder that all tasks share.

    Args:
      settings: The node's settings.
      reactor: The reactor, used as clock.
    """

    def __init__(self, *, settings: settings_model.Settings, reactor) -> None:
        statsd = settings.statsd
        self._client = metrics.build_statsd_client(
            address=statsd.address, port=statsd.port, prefix=statsd.prefix
        )
        self.recorder = recorder.EventRecorder(
            hybrid_clock=clock.HybridLogicalClock(wall_ms=_wall_ms),
            event_ring=ring.EventRing(capacity=settings.telemetry.ring_events),
            node_metrics=metrics.Metrics(rng=random.Random()),
            event_log=log.EventLog(
                level=settings.telemetry.log_level,
                stream=log_stream.make_non_blocking(sys.stdout),
                host_id=settings.node.host_id,
                monotonic=reactor.seconds,
            ),
        )
        self._reactor = reactor
        self._flush_due_at = 0.0
        self._flush_loop = task.LoopingCall(self._flush_metrics)
        self._flush_loop.clock = reactor
        self._flush_count = 0
        self._read_status: Callable[..., node_status.NodeStatus] | None = None
        self._server_changes = change_watch.ServerChangeRecorder(
            record=self.recorder.record
        )

    def start(
        self, *, read_status: Callable[..., node_status.NodeStatus]
    ) -> None:
        """Starts the periodic flush of metrics.

        Args:
          read_status: Returns the node's status; takes ``with_members``.
        """
        self._read_status = read_status
        self._flush_due_at = self._reactor.seconds() + metrics.FLUSH_INTERVAL_S
        self._flush_loop.start(metrics.FLUSH_INTERVAL_S, now=False)

    def _flush_metrics(self) -> None:
        node_metrics = self.recorder.metrics
        lag_s = max(0.0, self._reactor.seconds() - self._flush_due_at)
        # Flushes that were due during a pause of the process are skipped.
        interval_count = 1 + lag_s // metrics.FLUSH_INTERVAL_S
        self._flush_due_at += interval_count * metrics.FLUSH_INTERVAL_S
        node_metrics.time(metrics.Timing.LOOP_LAG_MS, lag_s * MS_PER_S)
        self._record_status()
        self._flush_count += 1
        node_metrics.flush(self._client)

    def _record_status(self) -> None:
        is_due = self._flush_count % FLUSHES_PER_GAUGE_UPDATE == 0
        updates_gauges = is_due and self._client is not None
        try:
            status = self._read_status(with_members=updates_gauges)
        except Exception:
            # An exception would stop the looping call and thus all flushes.
            self.recorder.record(
                records.EventRecord(
                    code=catalogue.EventCode.TASK_FAILED,
                    fields={
                        "task": "observation",
                        "trace": traceback.format_exc(),
                    },
                )
            )
            return
        self._server_changes.record_changes(status.server)
        if updates_gauges:
            gauges.set_gauges(self.recorder.metrics, status)


def _wall_ms() -> int:
    return time.time_ns() // 1_000_000

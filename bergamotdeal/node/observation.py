"""The node's recorder, log and metrics, and how they are set up."""

import random
import sys
import time

from twisted.internet import task

from bergamotdeal.settings import model as settings_model
from bergamotdeal.telemetry import clock
from bergamotdeal.telemetry import log
from bergamotdeal.telemetry import metrics
from bergamotdeal.telemetry import recorder
from bergamotdeal.telemetry import ring


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
                stream=sys.stderr,
                host_id=settings.node.host_id,
                monotonic=reactor.seconds,
            ),
        )
        self._flush = task.LoopingCall(self._flush_metrics)
        self._flush.clock = reactor

    def start(self) -> None:
        """Starts sending metrics."""
        self._flush.start(metrics.FLUSH_INTERVAL_S, now=False)

    def _flush_metrics(self) -> None:
        self.recorder.metrics.flush(self._client)


def _wall_ms() -> int:
    return time.time_ns() // 1_000_000

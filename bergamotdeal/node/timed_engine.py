"""Times the calls and runs that pass through the call engine."""

from bergamotdeal.calls import engine as call_engine
from bergamotdeal.calls import messages
from bergamotdeal.telemetry import metrics

MS_PER_S = 1000


class TimedEngine:
    """A call engine that adds timings to the metrics.

    Args:
      engine: The call engine.
      counts: Takes the timings.
    """

    def __init__(self, *, engine: call_engine.Engine, counts: metrics.Metrics):
        self._engine = engine
        self._metrics = counts
        self._started_by_origin: dict[int, float] = {}
        self._started_by_run: dict[int, float] = {}

    def handle(
        self, event: messages.Event, now: float
    ) -> list[messages.Effect]:
        """Handles one event.

        Args:
          event: What happened.
          now: Time in monotonic seconds.

        Returns:
          The engine's effects.
        """
        match event:
            case messages.CallArrived():
                self._started_by_origin[event.origin_id] = now
            case messages.CallerDisconnected():
                self._started_by_origin.pop(event.origin_id, None)
            case messages.PeerCalled():
                self._metrics.count(metrics.Counter.CALLS_PEER)
            case messages.RunAnswered() | messages.RunFailed():
                self._run_ended(event.run_id, now)
        effects = self._engine.handle(event, now)
        for effect in effects:
            kind = type(effect)
            if kind is messages.StartRun:
                self._started_by_run[effect.run_id] = now
            elif kind is messages.ReplyToCaller:
                self._answered(effect.origin_id, now)
            elif kind is messages.CancelRun:
                self._started_by_run.pop(effect.run_id, None)
        return effects

    def next_wakeup(self) -> float | None:
        """Returns when ``TimePassed`` is due, in monotonic seconds."""
        return self._engine.next_wakeup()

    def _run_ended(self, run_id: int, now: float) -> None:
        started = self._started_by_run.pop(run_id, None)
        if started is not None:
            elapsed_ms = (now - started) * MS_PER_S
            self._metrics.time(metrics.Timing.RUN_MS, elapsed_ms)

    def _answered(self, origin_id: int, now: float) -> None:
        started = self._started_by_origin.pop(origin_id, None)
        if started is not None:
            elapsed_ms = (now - started) * MS_PER_S
            self._metrics.time(metrics.Timing.CALL_MS, elapsed_ms)

"""Call engine wrapper that measures the duration of calls and runs."""

import math
import random

from bergamotdeal.calls import engine as call_engine
from bergamotdeal.calls import messages
from bergamotdeal.membership import core as membership
from bergamotdeal.presets import follower
from bergamotdeal.presets import model as preset_model
from bergamotdeal.settings import model as settings_model
from bergamotdeal.telemetry import metrics

MS_PER_S = 1000


class TimedEngine:
    """Call engine that adds the duration of calls and runs to the metrics.

    Args:
      engine: The wrapped call engine.
      node_metrics: Metrics that take the durations.
    """

    def __init__(
        self, *, engine: call_engine.Engine, node_metrics: metrics.Metrics
    ):
        self._engine = engine
        self._metrics = node_metrics
        self._started_at_by_origin_id: dict[int, float] = {}
        self._started_at_by_run_id: dict[int, float] = {}

    def handle(
        self, event: messages.Event, now: float
    ) -> list[messages.Effect]:
        """Handles one event.

        Args:
          event: The event.
          now: Current time in monotonic seconds.

        Returns:
          The effects to execute.
        """
        match event:
            case messages.CallArrived():
                self._started_at_by_origin_id[event.origin_id] = now
            case messages.CallerDisconnected():
                self._started_at_by_origin_id.pop(event.origin_id, None)
            case messages.PeerCalled():
                self._metrics.increment(metrics.Counter.CALLS_PEER)
            case messages.RunAnswered() | messages.RunFailed():
                self._record_run_time(event.run_id, now)
        effects = self._engine.handle(event, now)
        for effect in effects:
            effect_type = type(effect)
            if effect_type is messages.StartRun:
                self._started_at_by_run_id[effect.run_id] = now
            elif effect_type is messages.ReplyToCaller:
                self._record_call_time(effect.origin_id, now)
            elif effect_type is messages.CancelRun:
                self._started_at_by_run_id.pop(effect.run_id, None)
        return effects

    def next_wakeup(self) -> float | None:
        """Returns when ``TimePassed`` is due, in monotonic seconds."""
        return self._engine.next_wakeup()

    def _record_run_time(self, run_id: int, now: float) -> None:
        started_at = self._started_at_by_run_id.pop(run_id, None)
        if started_at is not None:
            elapsed_ms = (now - started_at) * MS_PER_S
            self._metrics.time(metrics.Timing.RUN_MS, elapsed_ms)

    def _record_call_time(self, origin_id: int, now: float) -> None:
        started_at = self._started_at_by_origin_id.pop(origin_id, None)
        if started_at is not None:
            elapsed_ms = (now - started_at) * MS_PER_S
            self._metrics.time(metrics.Timing.CALL_MS, elapsed_ms)


def build_engine(
    *,
    settings: settings_model.Settings,
    incarnation: str,
    rng: random.Random,
    started_at: float,
) -> call_engine.Engine:
    """Builds a node's call engine, which has no preset yet.

    Args:
      settings: The node's settings.
      incarnation: Random id of this process start.
      rng: Source of the seed of the engine's own generator.
      started_at: Time of the start of the process, in monotonic seconds.
    """
    identity = membership.Member(
        host_id=settings.node.host_id,
        incarnation=incarnation,
        data_centre=settings.node.data_centre,
        region=settings.node.region,
        address=settings.peer.address,
        peer_port=settings.peer.port,
    )
    return call_engine.Engine(
        identity=identity,
        preset=preset_model.Preset(name="none"),
        epoch=follower.NO_EPOCH,
        # Routing needs a fast generator, not a cryptographic one.
        rng=random.Random(rng.getrandbits(64)),
        caller_service=settings.node.service,
        max_silence_s=(
            settings.revocation.max_silence_ms / MS_PER_S
            if settings.revocation.strict
            else math.inf
        ),
        started_at=started_at,
    )

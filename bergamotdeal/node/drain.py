"""Graceful shutdown: refuse new work, wait for the open work, then stop."""

from collections.abc import Callable

CHECK_INTERVAL_S = 0.02
SETTLE_S = 1.0
"""Time that the other nodes get to hear of the drain before the exit."""

MAX_DRAIN_S = 60.0
"""Time after which open work no longer holds up the exit."""


class Drain:
    """Waits until a draining node has nothing open.

    Args:
      reactor: The reactor, as clock.
      is_idle: Whether every exchange, call and run has ended.
      on_started: Called once when the drain starts.
      on_finished: Called once when the node may exit.
    """

    def __init__(
        self,
        *,
        reactor,
        is_idle: Callable[[], bool],
        on_started: Callable[[], None],
        on_finished: Callable[[], None],
    ) -> None:
        self._reactor = reactor
        self._is_idle = is_idle
        self._on_started = on_started
        self._on_finished = on_finished
        self._started_at: float | None = None

    @property
    def started(self) -> bool:
        """Whether the node is draining."""
        return self._started_at is not None

    def start(self) -> None:
        """Starts the drain; a second call does nothing."""
        if self.started:
            return
        self._started_at = self._reactor.seconds()
        self._on_started()
        self._reactor.callLater(CHECK_INTERVAL_S, self._check)

    def _check(self) -> None:
        elapsed_s = self._reactor.seconds() - self._started_at
        settled = elapsed_s >= SETTLE_S and self._is_idle()
        if settled or elapsed_s >= MAX_DRAIN_S:
            self._on_finished()
            return
        self._reactor.callLater(CHECK_INTERVAL_S, self._check)

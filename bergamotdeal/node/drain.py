"""Graceful shutdown: refuse new work, finish the work in progress, exit."""

from collections.abc import Callable

CHECK_INTERVAL_S = 0.02
FLUSH_POLL_S = 0.01
IDLE_CLOSE_FRACTION = 0.25
"""Fraction of the flush timeout after which idle connections are closed."""

SETTLE_S = 1.0
"""Minimum time before the exit, in which other nodes learn of the drain."""

WITHDRAWAL_S = 0.2
"""Part of the longest time of a drain in which other nodes can answer whether
they have started what they were sent."""

MAX_DRAIN_S = 60.0
"""Time after which the node exits even if work is still in progress."""


class Drain:
    """Graceful shutdown that waits until a draining node is idle.

    Args:
      reactor: Clock and timers.
      is_idle: Returns whether every exchange, call and run has ended.
      on_started: Called once when the drain starts.
      on_finished: Called once when the node may exit.
      on_ending: Called once shortly before the longest time is over.
      on_entry_closed: Called once when the entry listener must start to refuse
        callers, with the time in seconds until the exit at the latest.
      settle_s: Minimum time in seconds before the exit, in which other nodes
        learn of the drain.
      entry_open_s: Time in seconds for which callers are still served.
      max_drain_s: Time in seconds after which the node exits even if work is
        still in progress.
    """

    def __init__(
        self,
        *,
        reactor,
        is_idle: Callable[[], bool],
        on_started: Callable[[], None],
        on_finished: Callable[[], None],
        on_ending: Callable[[], None] | None = None,
        on_entry_closed: Callable[[float], None] | None = None,
        settle_s: float = SETTLE_S,
        entry_open_s: float = 0.0,
        max_drain_s: float = MAX_DRAIN_S,
    ) -> None:
        self._reactor = reactor
        self._is_idle = is_idle
        self._on_started = on_started
        self._on_finished = on_finished
        self._on_ending = on_ending
        self._on_entry_closed = on_entry_closed
        self._settle_s = max(settle_s, entry_open_s)
        self._entry_open_s = entry_open_s
        self._max_drain_s = max_drain_s
        self._started_at: float | None = None

    @property
    def is_draining(self) -> bool:
        """Whether the node is draining."""
        return self._started_at is not None

    @property
    def elapsed_s(self) -> float:
        """Time since the start of the drain in seconds."""
        if self._started_at is None:
            return 0.0
        return self._reactor.seconds() - self._started_at

    @property
    def remaining_s(self) -> float:
        """Rest of the longest time of the drain in seconds."""
        return max(0.0, self._max_drain_s - self.elapsed_s)

    def start(self) -> None:
        """Starts the drain; a second call does nothing."""
        if self.is_draining:
            return
        self._started_at = self._reactor.seconds()
        self._on_started()
        self._reactor.callLater(CHECK_INTERVAL_S, self._check_progress)

    def _close_entry_once(self, remaining_s: float) -> None:
        callback, self._on_entry_closed = self._on_entry_closed, None
        if callback is not None:
            callback(remaining_s)

    def _check_progress(self) -> None:
        elapsed_s = self.elapsed_s
        if elapsed_s >= self._entry_open_s:
            self._close_entry_once(self.remaining_s)
        if elapsed_s >= self._max_drain_s - WITHDRAWAL_S:
            callback, self._on_ending = self._on_ending, None
            if callback is not None:
                callback()
        is_settled = elapsed_s >= self._settle_s and self._is_idle()
        if is_settled or elapsed_s >= self._max_drain_s:
            self._on_finished()
            return
        self._reactor.callLater(CHECK_INTERVAL_S, self._check_progress)


def stop_when_flushed(
    *,
    reactor,
    entry,
    has_unsent_data: Callable[[], bool],
    flush_s: float,
    longest_s: float,
) -> None:
    """Stops the reactor once all answers are sent, or after a time.

    Callers and other nodes may read slowly; an answer is sent when its last
    byte has left the process.

    Args:
      reactor: The reactor.
      entry: The entry listener, which accepts no more connections.
      has_unsent_data: Returns whether bytes wait to be sent on any connection.
      flush_s: Time in seconds to wait for connections without such bytes.
      longest_s: Longest time to wait in seconds.
    """
    started_at = reactor.seconds()
    close_idle_at = started_at + IDLE_CLOSE_FRACTION * flush_s

    def check() -> None:
        now = reactor.seconds()
        has_unsent = has_unsent_data()
        is_flushed = not (entry.open_connections or has_unsent)
        if now >= close_idle_at:
            entry.close_idle_connections()
        wait_s = longest_s if has_unsent else flush_s
        if is_flushed or now >= started_at + wait_s:
            reactor.stop()
            return
        reactor.callLater(FLUSH_POLL_S, check)

    reactor.callLater(FLUSH_POLL_S, check)

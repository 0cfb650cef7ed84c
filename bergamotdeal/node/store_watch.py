"""Continuous watch of one object of the store by long polling."""

from collections.abc import Callable
import random

import result
from twisted.internet import defer
from twisted.python import failure as twisted_failure
from twisted.python import log

from bergamotdeal.store import backoff
from bergamotdeal.store import core

WATCH_TIMEOUT_S = 50.0

RESTART_JITTER_S = 0.3
"""Upper bound of the delay that spreads the watches after a restore."""


class StoreWatch:
    """Repeated long poll, each from the last version seen.

    Args:
      store: The store.
      key: Key of the object.
      reactor: The reactor.
      rng: Random number generator.
      on_change: Called with each new version of the object.
      on_answer: Called after each answer of the store, new version or not.
      on_availability_change: Called with the reason when the store becomes
        unavailable, and with None when it is available again.
      max_backoff_s: Longest wait between retries in seconds, before jitter.
    """

    def __init__(
        self,
        *,
        store: core.Store,
        key: str,
        reactor,
        rng: random.Random,
        on_change: Callable[[core.StoredObject], None],
        on_availability_change: Callable[[str | None], None],
        on_answer: Callable[[], None] = lambda: None,
        max_backoff_s: float = backoff.MAX_DELAY_S,
    ) -> None:
        self._store = store
        self._key = key
        self._reactor = reactor
        self._on_change = on_change
        self._on_answer = on_answer
        self._on_availability_change = on_availability_change
        self._rng = rng
        self._backoff = backoff.ExponentialBackoff(rng=rng, max_s=max_backoff_s)
        self._last_version = core.NO_VERSION
        self._watched_version = core.NO_VERSION
        self._pending = None
        self._next_watch_timer = None
        self._running = False
        self._failure_detail: str | None = None

    def start(self) -> None:
        """Starts watching; does nothing if already started."""
        if not self._running:
            self._running = True
            self._send_watch()

    def stop(self) -> None:
        """Stops watching."""
        self._running = False
        if (
            self._next_watch_timer is not None
            and self._next_watch_timer.active()
        ):
            self._next_watch_timer.cancel()
        pending, self._pending = self._pending, None
        if pending is not None:
            pending.cancel()

    def restart(self) -> None:
        """Watches anew, as after a restore of the store."""
        if self._running:
            self.stop()
            self._running = True
            self._next_watch_timer = self._reactor.callLater(
                self._rng.random() * RESTART_JITTER_S, self._send_watch
            )

    def _send_watch(self) -> None:
        pending = self._store.watch(
            self._key,
            after_version=self._watched_version,
            timeout_s=WATCH_TIMEOUT_S,
        )
        self._pending = pending
        pending.addErrback(_build_failure)
        pending.addCallback(self._handle_outcome, pending)
        pending.addErrback(self._handle_error)

    def _handle_outcome(
        self,
        outcome: result.Result[core.StoredObject | None, core.Failure],
        pending,
    ) -> None:
        if not self._running or pending is not self._pending:
            return
        self._pending = None
        match outcome:
            case result.Ok(stored):
                self._handle_success(stored)
            case result.Err(failure):
                self._handle_failure(failure)

    def _handle_error(self, error: twisted_failure.Failure) -> None:
        """Goes on watching after an error in the handling of an answer."""
        log.err(error, "handling of a change in the store failed")
        if self._running:
            self._handle_failure(describe_error(error))

    def _handle_success(self, stored: core.StoredObject | None) -> None:
        self._backoff.reset()
        if self._failure_detail is not None:
            self._failure_detail = None
            self._on_availability_change(None)
        if stored is not None:
            self._watched_version = stored.version
            if stored.version != self._last_version:
                self._last_version = stored.version
                self._on_change(stored)
        self._on_answer()
        if self._running:
            # Yields to the reactor, in case the store answers every watch at
            # once.
            self._next_watch_timer = self._reactor.callLater(
                0, self._send_watch
            )

    def _handle_failure(self, failure: core.Failure) -> None:
        # The store may have been restored from a copy, in which the object has
        # a lower version; the next watch returns it whatever it is.
        self._watched_version = core.NO_VERSION
        if self._failure_detail is None:
            self._failure_detail = failure.detail
            self._on_availability_change(failure.detail)
        wait_s = max(self._backoff.next_delay(), failure.retry_after_s or 0.0)
        self._next_watch_timer = self._reactor.callLater(
            wait_s, self._send_watch
        )


def _build_failure(error: twisted_failure.Failure) -> result.Err[core.Failure]:
    """Logs an unexpected error of the store's client as a failed watch."""
    if not error.check(defer.CancelledError):
        log.err(error, "watch of the store failed")
    return result.Err(describe_error(error))


def describe_error(error: twisted_failure.Failure) -> core.Failure:
    """Returns an unexpected error as the failure of a store call."""
    return core.Failure(
        kind=core.FailureKind.INVALID, detail=error.getErrorMessage()
    )

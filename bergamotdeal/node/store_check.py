"""Regular checks whether the store answers, beside the watch."""

from collections.abc import Callable
import random

import result
from twisted.python import failure as twisted_failure
from twisted.python import log

from bergamotdeal.node import store_watch
from bergamotdeal.store import core
from bergamotdeal.telemetry import catalogue


class StoreCheck:
    """Checks of the store at a fixed interval.

    A store that loses its calls may leave their connections open. A watch that
    was lost in this way looks like one that waits for a change. A check tells
    that the store loses calls, and when it answers again, so that the watch can
    start anew. Checks are sent whether or not earlier ones were answered.

    Args:
      store: The store.
      reactor: The reactor.
      rng: Random number generator, which spreads the checks of several nodes.
      interval_s: Time between two checks in seconds; zero for none.
      is_due: Returns whether this node is one of those that check.
      on_recovery: Called when the store answers after it failed.
      emit: Called with the code of an event and its fields.
    """

    def __init__(
        self,
        *,
        store: core.Store,
        reactor,
        rng: random.Random,
        interval_s: float,
        is_due: Callable[[], bool],
        on_recovery: Callable[[], None],
        emit: Callable[..., None],
    ) -> None:
        self._store = store
        self._reactor = reactor
        self._rng = rng
        self._interval_s = interval_s
        self._is_due = is_due
        self._on_recovery = on_recovery
        self._emit = emit
        self._has_failed = False
        self._recovered_at = 0.0
        self._running = False
        self._timer = None

    def start(self) -> None:
        """Starts the checks; does nothing without an interval."""
        if self._interval_s and not self._running:
            self._running = True
            self._schedule(self._rng.random() * self._interval_s)

    def stop(self) -> None:
        """Stops the checks and ignores the answers that are still to come."""
        self._running = False
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def _schedule(self, delay_s: float) -> None:
        self._timer = self._reactor.callLater(delay_s, self._check)

    def _check(self) -> None:
        self._schedule(self._interval_s)
        if not self._is_due():
            return
        pending = self._store.check()
        pending.addErrback(_build_failure)
        pending.addCallback(self._handle_outcome, self._reactor.seconds())
        pending.addErrback(log.err, "handling of a check of the store failed")

    def _handle_outcome(
        self, outcome: result.Result[None, core.Failure], sent_at: float
    ) -> None:
        if not self._running:
            return
        match outcome:
            case result.Ok():
                self._handle_answer()
            case result.Err(failure):
                self._handle_failure(failure, sent_at)

    def _handle_answer(self) -> None:
        if not self._has_failed:
            return
        self._has_failed = False
        self._recovered_at = self._reactor.seconds()
        self._emit(catalogue.EventCode.STORE_CHECK_RECOVERED)
        self._on_recovery()

    def _handle_failure(self, failure: core.Failure, sent_at: float) -> None:
        # The watch has started anew since an earlier check was lost.
        if self._has_failed or sent_at < self._recovered_at:
            return
        self._has_failed = True
        self._emit(
            catalogue.EventCode.STORE_CHECK_FAILED, reason=failure.detail
        )


def _build_failure(error: twisted_failure.Failure) -> result.Err[core.Failure]:
    """Logs an unexpected error of the store's client as a failed check."""
    log.err(error, "check of the store failed")
    return result.Err(store_watch.describe_error(error))

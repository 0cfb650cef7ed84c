"""Regular checks of the store for a changed preset, beside the watch."""

from collections.abc import Callable
import random

import result
from twisted.python import failure as twisted_failure
from twisted.python import log

from bergamotdeal.store import core
from bergamotdeal.telemetry import catalogue

NO_WAIT_S = 0.001
"""Wait of a watch that is answered at once, with or without a change."""


class PresetPoll:
    """Checks of the store at a fixed interval.

    A store that loses a call may leave its connection open. A watch that was
    lost in this way looks like one that waits for a change. A check asks for
    changes without waiting; it is sent whether or not earlier ones were
    answered.

    Args:
      store: The store.
      key: Key of the object.
      reactor: The reactor.
      rng: Random number generator, which spreads the checks of several nodes.
      interval_s: Time between two checks in seconds; zero for none.
      is_due: Returns whether this node is one of those that check.
      on_change: Called with each version of the object that a check finds.
      on_answer: Called after each answer of the store.
      on_recovery: Called when the store answers after it failed.
      emit: Called with the code of an event and its fields.
    """

    def __init__(
        self,
        *,
        store: core.Store,
        key: str,
        reactor,
        rng: random.Random,
        interval_s: float,
        is_due: Callable[[], bool],
        on_change: Callable[[core.StoredObject], None],
        on_answer: Callable[[], None],
        on_recovery: Callable[[], None],
        emit: Callable[..., None],
    ) -> None:
        self._store = store
        self._key = key
        self._reactor = reactor
        self._rng = rng
        self._interval_s = interval_s
        self._is_due = is_due
        self._on_change = on_change
        self._on_answer = on_answer
        self._on_recovery = on_recovery
        self._emit = emit
        self._last_version = core.NO_VERSION
        self._has_failed = False
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
        pending = self._store.watch(
            self._key, after_version=self._last_version, timeout_s=NO_WAIT_S
        )
        pending.addErrback(_build_failure)
        pending.addCallback(self._handle_outcome)
        pending.addErrback(log.err, "handling of a check of the store failed")

    def _handle_outcome(
        self, outcome: result.Result[core.StoredObject | None, core.Failure]
    ) -> None:
        if not self._running:
            return
        match outcome:
            case result.Ok(stored):
                self._handle_answer(stored)
            case result.Err(failure) if not self._has_failed:
                self._has_failed = True
                self._emit(
                    catalogue.EventCode.STORE_CHECK_FAILED,
                    reason=failure.detail,
                )

    def _handle_answer(self, stored: core.StoredObject | None) -> None:
        if self._has_failed:
            self._has_failed = False
            self._emit(catalogue.EventCode.STORE_CHECK_RECOVERED)
            self._on_recovery()
        if stored is not None and stored.version != self._last_version:
            self._last_version = stored.version
            self._on_change(stored)
        self._on_answer()


def _build_failure(error: twisted_failure.Failure) -> result.Err[core.Failure]:
    """Logs an unexpected error of the store's client as a failed check."""
    log.err(error, "check of the store failed")
    return result.Err(
        core.Failure(
            kind=core.FailureKind.INVALID, detail=error.getErrorMessage()
        )
    )

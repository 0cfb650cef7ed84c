"""Tracking of when this node last heard of the preset in force."""

from collections.abc import Callable

from twisted.internet import task

from bergamotdeal.calls import messages
from bergamotdeal.settings import model

CHECKS_PER_SILENCE = 5
"""Checks, and thus reads of the store, within the silence that is allowed."""

_MS_PER_S = 1000


class PresetNews:
    """Reports to the call engine that a preset is known to be in force.

    News come from the store or from another node whose epoch isn't lower. If
    neither has any, the store is read, since a watch waits much longer than
    the silence that strict revocation allows.

    Args:
      policy: Settings of the revocation of keys.
      reactor: The reactor.
      post: Called with each event for the call engine.
      read_store: Reads the store and calls ``record`` if it answers; None
        without a store.
    """

    def __init__(
        self,
        *,
        policy: model.RevocationSection,
        reactor,
        post: Callable[[messages.Event], None],
        read_store: Callable[[], None] | None,
    ) -> None:
        self._is_strict = policy.strict
        self._interval_s = (
            policy.max_silence_ms / _MS_PER_S / CHECKS_PER_SILENCE
        )
        self._reactor = reactor
        self._post = post
        self._read_store = read_store
        self._heard_at = 0.0
        self._checks = task.LoopingCall(self._check)
        self._checks.clock = reactor

    def start(self) -> None:
        """Starts to look for news; does nothing without strict revocation."""
        if self._is_strict and self._read_store is not None:
            self._checks.start(self._interval_s, now=False)

    def stop(self) -> None:
        """Stops looking for news."""
        if self._checks.running:
            self._checks.stop()

    def record(self) -> None:
        """Records news, which are reported at a bounded rate."""
        if not self._is_strict:
            return
        now = self._reactor.seconds()
        if now - self._heard_at >= self._interval_s / 2:
            self._heard_at = now
            self._post(messages.PresetConfirmed())

    def _check(self) -> None:
        if self._reactor.seconds() - self._heard_at >= self._interval_s:
            self._read_store()

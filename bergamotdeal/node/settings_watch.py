"""Reload of a node's settings while it runs."""

from collections.abc import Callable

from twisted.internet import task

from bergamotdeal.node import environment
from bergamotdeal.telemetry import catalogue

CHECK_INTERVAL_S = 2.0
"""Interval at which the settings file is checked for changes."""


class SettingsWatch:
    """Task that reads the settings again when they have changed.

    Args:
      platform_hooks: Integration points of the platform, which reads them.
      reactor: The reactor, used as clock.
      host_id: Host of the node.
      emit: Takes an event's code and fields for the event log.
    """

    def __init__(
        self,
        *,
        platform_hooks: environment.PlatformHooks,
        reactor,
        host_id: str,
        emit: Callable[..., None],
    ) -> None:
        self._hooks = platform_hooks
        self._host_id = host_id
        self._emit = emit
        self._checks = task.LoopingCall(self.poll)
        self._checks.clock = reactor

    def start(self) -> None:
        """Starts the periodic checks if the platform can tell a change."""
        if self._hooks.has_settings_changed is not None:
            self._checks.start(CHECK_INTERVAL_S, now=False)

    def stop(self) -> None:
        """Stops the periodic checks."""
        if self._checks.running:
            self._checks.stop()

    def reload(self) -> None:
        """Reads the settings again; invalid ones leave the old ones active."""
        reload_hook = self._hooks.reload_settings
        if reload_hook is None:
            return
        problem = reload_hook()
        if problem is None:
            code, fields = catalogue.EventCode.SETTINGS_RELOADED, {}
        else:
            code = catalogue.EventCode.SETTINGS_REJECTED
            fields = {"reason": problem}
        self._emit(code, source=self._host_id, **fields)

    def poll(self) -> None:
        """Reads the settings again if they have changed."""
        if self._hooks.has_settings_changed():
            self.reload()

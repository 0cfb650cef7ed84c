"""The node's process: its clock, its signals and its collector."""

import gc
import signal
import time

from bergamotdeal.node import app
from bergamotdeal.node import environment
from bergamotdeal.settings import model as settings_model

COLLECTOR_THRESHOLDS = (20_000, 20, 50)
"""Allocations before a collection of each generation."""


def run(
    settings: settings_model.Settings,
    platform_hooks: environment.PlatformHooks = environment.DEFAULT_HOOKS,
) -> None:
    """Runs a node until it has drained.

    Args:
      settings: The node's settings.
      platform_hooks: Integration points of the platform.

    Raises:
      InvalidPresetError: The preset file can't be used.
      twisted.internet.error.CannotListenError: A port is taken.
    """
    # Importing the reactor installs it, which a library must not do.
    from twisted.internet import reactor

    schedule_by_monotonic_time(reactor)
    application = app.Application(
        settings=settings, reactor=reactor, platform_hooks=platform_hooks
    )

    def on_signal(number, frame) -> None:
        del number, frame
        reactor.callFromThread(application.start_drain)

    def on_hangup(number, frame) -> None:
        del number, frame
        reactor.callFromThread(application.reload_settings)

    application.report_failures()
    application.start()
    # The reactor's own handlers would stop it at once.
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, on_signal)
    signal.signal(signal.SIGHUP, on_hangup)
    tune_collector()
    reactor.run(installSignalHandlers=False)


def schedule_by_monotonic_time(reactor) -> None:
    """Makes a reactor measure time by the monotonic clock.

    Twisted schedules by the wall clock, which may be stepped; leases, tickets
    and deadlines must not move with it.

    Args:
      reactor: The reactor; nothing may be scheduled on it yet.
    """
    reactor.seconds = time.monotonic


def tune_collector() -> None:
    """Makes the garbage collector's pauses rare and short."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*COLLECTOR_THRESHOLDS)

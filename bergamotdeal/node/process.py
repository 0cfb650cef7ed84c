"""Process setup of a node: clock, signal handlers, garbage collector."""

import gc
import signal
import time

from bergamotdeal.node import app
from bergamotdeal.node import environment
from bergamotdeal.node import event_loop
from bergamotdeal.settings import model as settings_model

GC_THRESHOLDS = (20_000, 20, 50)
"""Thresholds of the three generations, as ``gc.set_threshold`` takes them."""


def run_node(
    settings: settings_model.Settings,
    platform_hooks: environment.PlatformHooks = environment.DEFAULT_HOOKS,
) -> None:
    """Runs a node until it has drained.

    Args:
      settings: The node's settings.
      platform_hooks: Integration points of the platform.

    Raises:
      InvalidPresetError: The preset file is missing or invalid.
      twisted.internet.error.CannotListenError: A port is in use.
    """
    event_loop.install()
    # Importing the reactor before that would install another one.
    from twisted.internet import reactor

    use_monotonic_clock(reactor)
    application = app.Application(
        settings=settings, reactor=reactor, platform_hooks=platform_hooks
    )

    def handle_termination(number, frame) -> None:
        del number, frame
        reactor.callFromThread(application.start_drain)

    def handle_hangup(number, frame) -> None:
        del number, frame
        reactor.callFromThread(application.reload_settings)

    # The reactor's own handlers would stop it without draining.
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, handle_termination)
    signal.signal(signal.SIGHUP, handle_hangup)
    application.observe_failures()
    application.start()
    tune_garbage_collector()
    reactor.run(installSignalHandlers=False)


def use_monotonic_clock(reactor) -> None:
    """Replaces the reactor's wall clock by the monotonic clock.

    Twisted schedules by the wall clock, which may be stepped. Leases, tickets
    and deadlines must not shift when it is.

    Args:
      reactor: The reactor, with no call scheduled yet.
    """
    reactor.seconds = time.monotonic


def tune_garbage_collector() -> None:
    """Configures the garbage collector for rare and short pauses."""
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    gc.enable()

"""Hooks through which a platform integration replaces node defaults."""

from collections.abc import Callable
import typing

import msgspec
from twisted.internet import defer
from twisted.internet import interfaces

from bergamotdeal.node import dialect as dialects
from bergamotdeal.node import server_life
from bergamotdeal.node import server_link
from bergamotdeal.node import server_report
from bergamotdeal.store import core as store_core


class PlatformListener(typing.Protocol):
    """Additional listening port that a platform integration opens."""

    def start(self, reactor: interfaces.IReactorTCP) -> None:
        """Starts listening."""

    def stop(self) -> None:
        """Stops listening."""


class NodeHandle(typing.Protocol):
    """Interface of the node that platform listeners use."""

    @property
    def instance_tracker(self) -> server_life.ServerInstanceTracker:
        """Tracker of the backend server's current instance."""

    @property
    def is_accepting(self) -> bool:
        """Whether the node is ready to take calls and is not draining."""

    def register_server(self, announcement: server_report.Announcement) -> None:
        """Records that the local backend server is available.

        Args:
          announcement: The server's address, capacity and instance.
        """

    def deregister_server(self, instance: str) -> None:
        """Records that the local backend server is shutting down.

        Args:
          instance: The instance that shuts down.
        """

    def poll_settings(self) -> None:
        """Reads the settings again if they have changed."""

    def record_rejected_announcement(self, reason: str) -> None:
        """Records an invalid announcement in the event log.

        Args:
          reason: Why it was rejected.
        """

    def metrics_text(self) -> bytes:
        """Returns counters and timings in the Prometheus text format."""


class PlatformHooks(msgspec.Struct, frozen=True, kw_only=True):
    """Integration points of a platform; each default is the node's own.

    Attributes:
      caller_dialect: Headers and statuses that callers use.
      server_dialect: Headers that the backend server uses.
      open_store: Opens the platform's store; takes the reactor, a callable
        that counts store calls and one that takes the reason why an object
        could not be decoded.
      build_listeners: Builds the additional listeners of the platform.
      has_egress: Whether the node listens on a separate egress port for the
        backend server's outgoing calls; otherwise the backend server calls
        the entry port like any other caller.
      server_timeout_s: Time without an announcement after which the
        backend server counts as silent, in seconds.
      probe_server: Asks the backend server how it is; takes the reactor and
        the health check's path. The deferred fires with a
        ``server_report.HealthReport`` that names the instance after its server,
        or with None.
      reload_settings: Reads the settings again; returns why they are invalid,
        or None.
      has_settings_changed: Returns whether the settings have changed since
        they were last read.
    """

    caller_dialect: dialects.CallerDialect | None = None
    server_dialect: dialects.ServerDialect | None = None
    open_store: Callable[..., store_core.Store] | None = None
    build_listeners: Callable[[NodeHandle], list[PlatformListener]] | None = (
        None
    )
    has_egress: bool = True
    server_timeout_s: float = server_link.ANNOUNCEMENT_TIMEOUT_S
    probe_server: Callable[..., defer.Deferred] | None = None
    reload_settings: Callable[[], str | None] | None = None
    has_settings_changed: Callable[[], bool] | None = None


DEFAULT_HOOKS = PlatformHooks()

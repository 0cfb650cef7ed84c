"""What a platform puts in the place of a node's own surroundings."""

from collections.abc import Callable
import dataclasses
import typing

from twisted.internet import defer
from twisted.internet import interfaces

from bergamotdeal.node import dialect as dialects
from bergamotdeal.node import server_life
from bergamotdeal.node import server_link
from bergamotdeal.store import core as store_core


class SideFace(typing.Protocol):
    """A face beside those that every node has."""

    def start(self, reactor: interfaces.IReactorTCP) -> None:
        """Starts listening."""

    def stop(self) -> None:
        """Stops listening."""


class Host(typing.Protocol):
    """What a side face may ask of the node and tell it."""

    @property
    def instance_tracker(self) -> server_life.ServerInstanceTracker:
        """Which start of the backend server the node has heard of."""

    @property
    def is_accepting(self) -> bool:
        """Whether callers may be sent to this node."""

    def server_announced(self, announcement: server_link.Announcement) -> None:
        """Takes an announcement of the local backend server."""

    def server_leaving(self, instance: str) -> None:
        """Takes the local backend server's word that it leaves."""

    def announcement_rejected(self, reason: str) -> None:
        """Takes an announcement that names no server to use."""

    def metrics_text(self) -> bytes:
        """Returns counters and timings as text."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Environment:
    """The surroundings of a node; each default is the product's own.

    Attributes:
      caller_dialect: Headers and statuses that callers use.
      server_dialect: Headers that the backend server uses.
      open_store: Opens the platform's store, given the reactor, a callable
        that counts the calls and one that takes why an object can't be read.
      side_faces: Builds the faces that the platform asks for.
      has_egress: Whether the backend server calls a face of its own; otherwise
        it calls the entry face like everybody else.
      server_silence_s: Time without an announcement after which the backend
        server counts as silent.
      ask_server: Asks the backend server who it is, given the reactor, the
        health check's path and what names its start; fires with an
        announcement or None.
      reload: Reads the settings again; returns why they can't be used, or
        None.
      settings_changed: Whether the settings were changed since they were
        last read.
    """

    caller_dialect: dialects.CallerDialect | None = None
    server_dialect: dialects.ServerDialect | None = None
    open_store: Callable[..., store_core.Store] | None = None
    side_faces: Callable[[Host], list[SideFace]] | None = None
    has_egress: bool = True
    server_silence_s: float = server_link.ANNOUNCEMENT_TIMEOUT_S
    ask_server: Callable[..., defer.Deferred] | None = None
    reload: Callable[[], str | None] | None = None
    settings_changed: Callable[[], bool] | None = None


NATIVE = Environment()

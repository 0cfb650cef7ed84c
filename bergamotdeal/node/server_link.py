"""The server link: runs requests on the local backend server.

The task owns the connections to the backend server and its announcements.
"""

import collections
from collections.abc import Callable
import dataclasses

from twisted.internet import protocol
from twisted.internet import task

from bergamotdeal.calls import messages
from bergamotdeal.node import dialect as dialects
from bergamotdeal.node import server_connection

ANNOUNCEMENT_TIMEOUT_S = 5.0
"""Time without an announcement after which the server counts as silent."""

SWEEP_S = 0.1
TIMEOUT_GRACE_S = 0.05
"""Time by which the link's own timeout lags behind the call engine's."""

DIAL_TIMEOUT_S = 1.0
"""Time to establish a connection; the server is on the same host."""

IDLE_MARGIN_S = 1.0
"""Part of the server's idle time that is not used; clocks and queues lag."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Announcement:
    """What a backend server says of itself each second.

    Attributes:
      service: Service that it belongs to.
      address: IP address that it listens on.
      port: TCP port that it listens on.
      slots: Requests that it can run at the same time.
      connections: Connections that it accepts.
      instance: Id that changes when the server restarts, or empty.
      server_id: Id by which requests name the server, or empty.
    """

    service: str
    address: str
    port: int
    slots: int
    connections: int
    instance: str = ""
    server_id: str = ""


@dataclasses.dataclass(kw_only=True, slots=True)
class _Running:
    """A run in progress.

    Attributes:
      connection: Its connection.
      deadline: Time at which it fails as timed out, monotonic seconds.
    """

    connection: server_connection.ServerConnection
    deadline: float


class _Dialer(protocol.ClientFactory):
    """Builds one connection and reports when it can't be made."""

    noisy = False

    def __init__(
        self,
        *,
        connection: server_connection.ServerConnection,
        on_connected: Callable[[server_connection.ServerConnection], None],
        on_failed: Callable[[], None],
    ) -> None:
        self._connection = connection
        self._on_connected = on_connected
        self._on_failed = on_failed

    def buildProtocol(self, addr) -> server_connection.ServerConnection:
        """Returns the connection once it is established.

        Args:
          addr: Address of the server.
        """
        del addr
        connection = self._connection
        made = connection.connectionMade

        def connection_made() -> None:
            made()
            self._on_connected(connection)

        connection.connectionMade = connection_made
        return connection

    def clientConnectionFailed(self, connector, reason) -> None:
        """Reports that the connection can't be made.

        Args:
          connector: The connector.
          reason: Why it failed.
        """
        del connector, reason
        self._on_failed()


class ServerConnectionPool:
    """Runs requests over a pool of connections to the backend server.

    Args:
      reactor: The reactor.
      post: Takes the events for the call engine.
      dialect: Headers that the server uses; the node's own if none is given.
      announcement_timeout_s: Time without an announcement after which the
        server counts as silent.
    """

    def __init__(
        self,
        *,
        reactor,
        post: Callable[[messages.Event], None],
        dialect: dialects.ServerDialect | None = None,
        announcement_timeout_s: float = ANNOUNCEMENT_TIMEOUT_S,
    ) -> None:
        self._reactor = reactor
        self._post = post
        self._dialect = dialect
        self._announcement_timeout_s = announcement_timeout_s
        self._left: str | None = None
        self._announcement: Announcement | None = None
        self._last_heard = 0.0
        self._silent = True
        self._idle: list[server_connection.ServerConnection] = []
        self._open: set[server_connection.ServerConnection] = set()
        self._dialing = 0
        self._waiting: collections.deque[messages.StartRun] = (
            collections.deque()
        )
        self._running_by_id: dict[int, _Running] = {}
        self._sweep = task.LoopingCall(self._check_timeouts)
        self._sweep.clock = reactor

    @property
    def announcement(self) -> Announcement | None:
        """The server's last announcement, or None."""
        return self._announcement

    def start(self) -> None:
        """Starts the timeout checks."""
        self._sweep.start(SWEEP_S, now=False)

    def stop(self) -> None:
        """Closes all connections; their runs end without events."""
        if self._sweep.running:
            self._sweep.stop()
        for connection in list(self._open):
            connection.abort()

    def handle_announcement(self, announcement: Announcement) -> None:
        """Takes an announcement of the backend server.

        Args:
          announcement: What the server says of itself.
        """
        if announcement.instance == self._left:
            # A server that has said that it leaves gets no work any more.
            return
        previous = self._announcement
        self._announcement = announcement
        self._last_heard = self._reactor.seconds()
        if previous is not None and _restarted(previous, announcement):
            self._server_stopped()
        # Repeated announcements without news cost the engine nothing.
        if previous != announcement or self._silent:
            self._silent = False
            self._post(
                messages.ServerAnnounced(
                    service=announcement.service,
                    slots=announcement.slots,
                    connections=announcement.connections,
                )
            )

    def handle_server_leaving(self, instance: str) -> None:
        """Takes the server's word that it leaves; what runs may end.

        Args:
          instance: The instance that leaves.
        """
        current = self._announcement
        if current is not None and current.instance != instance:
            return
        self._left = instance
        if not self._silent:
            self._silent = True
            self._post(messages.ServerLeaving(instance=instance))

    def start_run(self, run: messages.StartRun) -> None:
        """Hands a run over, over an idle connection or a new one.

        Args:
          run: The run.
        """
        if self._announcement is None:
            self._fail(run, messages.RunFailure.UNREACHABLE)
            return
        now = self._reactor.seconds()
        while self._idle:
            connection = self._idle.pop()
            if not connection.usable:
                continue
            if now < _reuse_until(connection):
                self._send(connection, run)
                return
            connection.abort()
        self._waiting.append(run)
        self._dial_if_allowed()

    def cancel_run(self, effect: messages.CancelRun) -> None:
        """Aborts a run.

        Args:
          effect: Names the run; one that has ended is ignored.
        """
        running = self._running_by_id.pop(effect.run_id, None)
        if running is None:
            self._waiting = collections.deque(
                run for run in self._waiting if run.run_id != effect.run_id
            )
            return
        timed_out = self._reactor.seconds() >= running.deadline
        if timed_out:
            self._distrust_siblings(running.connection)
        running.connection.abort()

    def _send(
        self,
        connection: server_connection.ServerConnection,
        run: messages.StartRun,
    ) -> None:
        deadline = self._reactor.seconds() + run.deadline_ms / 1000
        self._running_by_id[run.run_id] = _Running(
            connection=connection, deadline=deadline
        )
        connection.send(run, self._announcement.server_id)

    def _dial_if_allowed(self) -> None:
        wanted = len(self._waiting) - self._dialing
        if wanted > 0:
            self._dial()

    def _dial(self) -> None:
        limit = self._announcement.connections
        if len(self._open) + self._dialing >= limit:
            return
        self._dialing += 1
        connection = server_connection.ServerConnection(
            on_idle=self._connection_idle,
            on_closed=self._connection_closed,
            post=self._post_run_event,
            dialect=self._dialect,
        )
        self._reactor.connectTCP(
            self._announcement.address,
            self._announcement.port,
            _Dialer(
                connection=connection,
                on_connected=self._connected,
                on_failed=self._dial_failed,
            ),
            timeout=DIAL_TIMEOUT_S,
        )

    def _connected(
        self, connection: server_connection.ServerConnection
    ) -> None:
        self._dialing -= 1
        self._open.add(connection)
        self._connection_idle(connection)

    def _dial_failed(self) -> None:
        self._dialing -= 1
        waiting = list(self._waiting)
        self._waiting.clear()
        self._server_stopped()
        for run in waiting:
            self._fail(run, messages.RunFailure.UNREACHABLE)

    def _connection_idle(
        self, connection: server_connection.ServerConnection
    ) -> None:
        if self._waiting:
            self._send(connection, self._waiting.popleft())
            return
        connection.idle_since = self._reactor.seconds()
        self._idle.append(connection)

    def _connection_closed(
        self, connection: server_connection.ServerConnection
    ) -> None:
        self._open.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)
        if self._waiting:
            self._dial_if_allowed()

    def _post_run_event(self, event: messages.Event) -> None:
        self._running_by_id.pop(event.run_id, None)
        match event:
            case messages.RunFailed(failure=messages.RunFailure.LOST):
                self._probe()
            case messages.RunFailed(failure=messages.RunFailure.MISDIRECTED):
                # The next announcement says who listens there now.
                self._server_stopped()
        self._post(event)

    def _probe(self) -> None:
        # A lost connection may be the first sign of the server's death; a
        # new one is refused at once if so.
        if not self._dialing and self._announcement is not None:
            self._dial()

    def _server_stopped(self) -> None:
        self._silent = True
        for connection in list(self._idle):
            connection.abort()
        self._post(messages.ServerStopped())

    def _fail(
        self, run: messages.StartRun, failure: messages.RunFailure
    ) -> None:
        self._post(messages.RunFailed(run_id=run.run_id, failure=failure))

    def _distrust_siblings(
        self, connection: server_connection.ServerConnection
    ) -> None:
        # A reused connection that stays silent suggests that something
        # between the ends dropped its state; the idle ones are as old.
        if connection.runs_done == 0 or connection.answer_started:
            return
        for sibling in list(self._idle):
            sibling.abort()

    def _check_timeouts(self) -> None:
        now = self._reactor.seconds()
        overdue = [
            running
            for running in self._running_by_id.values()
            if now >= running.deadline + TIMEOUT_GRACE_S
        ]
        for running in overdue:
            self._distrust_siblings(running.connection)
            running.connection.fail(messages.RunFailure.TIMED_OUT)
        for connection in list(self._idle):
            if now >= _reuse_until(connection):
                connection.abort()
        if (
            not self._silent
            and now - self._last_heard > self._announcement_timeout_s
        ):
            self._silent = True
            self._post(messages.ServerSilent())


def _reuse_until(connection: server_connection.ServerConnection) -> float:
    """Returns the time up to which the server surely keeps a connection."""
    margin_s = min(IDLE_MARGIN_S, connection.idle_limit_s / 2)
    return connection.idle_since + connection.idle_limit_s - margin_s


def _restarted(previous: Announcement, current: Announcement) -> bool:
    if (previous.address, previous.port) != (current.address, current.port):
        return True
    return previous.instance != current.instance

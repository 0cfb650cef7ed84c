"""Connection pool that runs requests on the local backend server.

The pool also keeps the server's latest announcement and reports when the
server stops, leaves or falls silent.
"""

import collections
from collections.abc import Callable
import math

import result
from twisted.internet import task

from bergamotdeal.calls import messages
from bergamotdeal.node import active_runs
from bergamotdeal.node import connect_guard
from bergamotdeal.node import connection_buffers
from bergamotdeal.node import dialect as dialects
from bergamotdeal.node import server_condition
from bergamotdeal.node import server_connection
from bergamotdeal.node import server_connector
from bergamotdeal.node import server_report
from bergamotdeal.node import server_speed

ANNOUNCEMENT_TIMEOUT_S = 5.0
"""Time without an announcement after which the server counts as silent."""

CHECK_INTERVAL_S = 0.1
TIMEOUT_GRACE_S = 0.05
"""Time by which the pool's own timeout lags behind the call engine's."""

CONNECT_TIMEOUT_S = 1.0
"""Time to establish a connection; the server is on the same host."""

DEFECT_INTERVAL_S = 1.0
"""Minimum time between events on reports with a malformed part, which may come
with every answer."""

KEEP_ALIVE_MARGIN_S = 1.0
"""Unused part of the server's keep-alive timeout, for clock and queue lag."""


class ServerConnectionPool:
    """Pool of connections that run requests on the backend server.

    Args:
      reactor: The reactor.
      post: Accepts events for the call engine.
      dialect: Headers that the server uses; the node's native dialect by
        default.
      announcement_timeout_s: Time in seconds without an announcement after
        which the server counts as silent.
      buffers: Counts the bytes that the connections buffer; None counts none.
    """

    def __init__(
        self,
        *,
        reactor,
        post: Callable[[messages.Event], None],
        dialect: dialects.ServerDialect | None = None,
        announcement_timeout_s: float = ANNOUNCEMENT_TIMEOUT_S,
        buffers: connection_buffers.ConnectionBuffers | None = None,
    ) -> None:
        self._buffers = buffers
        self._reactor = reactor
        self._post = post
        self._dialect = dialect
        self._announcement_timeout_s = announcement_timeout_s
        self._leaving_instance: str | None = None
        self._announcement: server_report.Announcement | None = None
        # The first server found may have run before this process.
        self._condition = server_condition.ServerConditionTracker(
            is_known=dialect is None or not dialect.reports_condition
        )
        self._posted_rate_limit: float | None = None
        self._connect_guard = connect_guard.ConnectGuard()
        self._speed = server_speed.SpeedReporter()
        self._defect_posted_at = -math.inf
        self._last_announced_at = 0.0
        self._is_silent = True
        self._idle_connections: list[server_connection.ServerConnection] = []
        self._open_connections: set[server_connection.ServerConnection] = set()
        self._pending_connects = 0
        self._queued_runs: collections.deque[messages.StartRun] = (
            collections.deque()
        )
        self._active_runs_by_id: dict[int, active_runs.ActiveRun] = {}
        self._timeout_checks = task.LoopingCall(self._check_timeouts)
        self._timeout_checks.clock = reactor

    @property
    def announcement(self) -> server_report.Announcement | None:
        """Latest announcement of the server, or None."""
        return self._announcement

    def start(self) -> None:
        """Starts the periodic timeout checks."""
        self._timeout_checks.start(CHECK_INTERVAL_S, now=False)

    def stop(self) -> None:
        """Closes all connections; their runs end without events."""
        if self._timeout_checks.running:
            self._timeout_checks.stop()
        for connection in list(self._open_connections):
            connection.abort()

    def handle_announcement(
        self,
        announcement: server_report.Announcement,
        report: server_report.HealthReport | None = None,
    ) -> None:
        """Records an announcement of the backend server.

        Args:
          announcement: Current description of the server.
          report: Health check that confirmed the announcement, if there was
            one.
        """
        self._record_announcement(announcement)
        if report is not None:
            self.handle_health_report(report)

    def _record_announcement(
        self, announcement: server_report.Announcement
    ) -> None:
        if announcement.instance == self._leaving_instance:
            # An instance that has announced its leave gets no more work.
            return
        previous = self._announcement
        self._announcement = announcement
        self._last_announced_at = self._reactor.seconds()
        if previous is not None and _has_restarted(previous, announcement):
            self._report_server_stopped()
            self._condition = server_condition.ServerConditionTracker(
                is_known=True
            )
            self._speed.forget()
            self._post_rate_limit()
        # An unchanged announcement isn't passed on, to save the engine work.
        if previous != announcement or self._is_silent:
            self._is_silent = False
            self._post(
                messages.ServerAnnounced(
                    service=announcement.service,
                    slots=announcement.slots,
                    connections=announcement.connections,
                )
            )
        if announcement.cold_remaining_ms > 0:
            self._post(
                messages.ServerCold(remaining_ms=announcement.cold_remaining_ms)
            )

    def handle_server_leaving(self, instance: str) -> None:
        """Reports a leaving instance; its runs in progress may finish.

        Args:
          instance: Instance that is leaving.
        """
        current = self._announcement
        if current is not None and current.instance != instance:
            return
        self._leaving_instance = instance
        if not self._is_silent:
            self._is_silent = True
            self._post(messages.ServerLeaving(instance=instance))

    def handle_health_report(
        self, report: server_report.HealthReport | None
    ) -> None:
        """Records the answer of the backend server to a health check.

        Args:
          report: The answer, or None if the server has given none.
        """
        current = self._announcement
        if report is not None and (
            current is None or current.instance == report.instance
        ):
            self._record_condition(
                report.condition,
                instance=report.instance,
                sent_at=self._reactor.seconds(),
            )
            if report.announcement is not None:
                self.handle_announcement(report.announcement)
        self._post_rate_limit()

    def start_run(self, run: messages.StartRun) -> None:
        """Starts a run on an idle connection, or queues it for a new one.

        Args:
          run: Run to start.
        """
        if self._announcement is None:
            self._post_run_failed(run, messages.RunFailure.UNREACHABLE)
            return
        now = self._reactor.seconds()
        while self._idle_connections:
            connection = self._idle_connections.pop()
            if not connection.is_available:
                continue
            if now < _compute_reuse_deadline(connection):
                self._send_run(connection, run)
                return
            connection.abort()
        self._queued_runs.append(run)
        self._post(messages.RunHeld(run_id=run.run_id, is_held=True))
        self._connect_if_needed()

    def cancel_run(self, effect: messages.CancelRun) -> None:
        """Aborts a run; does nothing if the run has ended.

        Args:
          effect: Effect that names the run.
        """
        active_run = self._active_runs_by_id.pop(effect.run_id, None)
        if active_run is None:
            self._queued_runs = collections.deque(
                run for run in self._queued_runs if run.run_id != effect.run_id
            )
            return
        has_timed_out = self._reactor.seconds() >= active_run.deadline
        if has_timed_out or effect.is_hung:
            self._close_idle_after_timeout(active_run.connection)
        active_run.connection.abort()

    def _send_run(
        self,
        connection: server_connection.ServerConnection,
        run: messages.StartRun,
    ) -> None:
        self._active_runs_by_id[run.run_id] = active_runs.build_active_run(
            run,
            connection=connection,
            instance=self._announcement.instance,
            now=self._reactor.seconds(),
        )
        connection.send_request(run, self._announcement.server_id)

    def _connect_if_needed(self) -> None:
        missing_connections = len(self._queued_runs) - self._pending_connects
        if missing_connections > 0:
            self._connect()

    def _connect(self) -> None:
        limit = self._announcement.connections
        if len(self._open_connections) + self._pending_connects >= limit:
            return
        self._pending_connects += 1
        connection = server_connection.ServerConnection(
            on_idle=self._handle_connection_idle,
            on_closed=self._handle_connection_closed,
            post=self._post_run_event,
            on_condition=self._handle_condition,
            dialect=self._dialect,
            buffers=self._buffers,
        )
        self._reactor.connectTCP(
            self._announcement.address,
            self._announcement.port,
            server_connector.ConnectionFactory(
                connection=connection,
                on_connected=self._handle_connected,
                on_failed=self._handle_connect_failure,
            ),
            timeout=CONNECT_TIMEOUT_S,
        )

    def _handle_connected(
        self, connection: server_connection.ServerConnection
    ) -> None:
        self._pending_connects -= 1
        self._open_connections.add(connection)
        now = connection.connected_at = self._reactor.seconds()
        trial_s = self._connect_guard.compute_trial_s(now)
        if trial_s:
            self._reactor.callLater(trial_s, self._finish_trial, connection)
        else:
            self._handle_connection_idle(connection)

    def _finish_trial(
        self, connection: server_connection.ServerConnection
    ) -> None:
        if connection in self._open_connections:
            self._handle_connection_idle(connection)

    def _handle_connect_failure(self) -> None:
        self._pending_connects -= 1
        unstarted_runs = list(self._queued_runs)
        self._queued_runs.clear()
        # A server that has connections open is only short of them.
        if not self._open_connections:
            self._report_server_stopped()
        for run in unstarted_runs:
            self._post_run_failed(run, messages.RunFailure.UNREACHABLE)

    def _handle_connection_idle(
        self, connection: server_connection.ServerConnection
    ) -> None:
        if self._queued_runs:
            run = self._queued_runs.popleft()
            self._post(messages.RunHeld(run_id=run.run_id, is_held=False))
            self._send_run(connection, run)
            return
        connection.idle_since = self._reactor.seconds()
        self._idle_connections.append(connection)

    def _handle_connection_closed(
        self, connection: server_connection.ServerConnection
    ) -> None:
        self._open_connections.discard(connection)
        if connection in self._idle_connections:
            self._idle_connections.remove(connection)
        is_rejected = connection.is_lost and (
            self._connect_guard.record_loss(
                connected_at=connection.connected_at,
                completed_runs=connection.completed_runs,
                now=self._reactor.seconds(),
            )
        )
        if is_rejected and self._queued_runs:
            # Another server may have a connection for it.
            self._post_run_failed(
                self._queued_runs.popleft(), messages.RunFailure.UNREACHABLE
            )
        if self._queued_runs:
            self._connect_if_needed()

    def _handle_condition(
        self, run_id: int, reported: server_connection.ConditionResult
    ) -> None:
        active_run = self._active_runs_by_id.get(run_id)
        if active_run is None:
            return
        if active_run.instance != self._announcement.instance:
            return
        self._record_condition(
            reported, instance=active_run.instance, sent_at=active_run.sent_at
        )

    def _record_condition(
        self,
        reported: server_connection.ConditionResult,
        *,
        instance: str,
        sent_at: float,
    ) -> None:
        match reported:
            case result.Err(reason):
                self._post(messages.ServerConditionRejected(reason=reason))
            case result.Ok(condition) if condition.is_leaving:
                self.handle_server_leaving(instance)
            case result.Ok(condition):
                now = self._reactor.seconds()
                self._condition.record(condition, sent_at=sent_at, now=now)
                self._post_rate_limit()
                if condition.work_factor is not None:
                    self._speed.record(condition.work_factor)
                    self._post_speed(now)
                if condition.defect:
                    self._post_defect(condition.defect, now)

    def _post_speed(self, now: float) -> None:
        work_factor = self._speed.take_due(now)
        if work_factor is not None:
            self._post(messages.ServerSpeedReported(work_factor=work_factor))

    def _post_defect(self, reason: str, now: float) -> None:
        if now - self._defect_posted_at >= DEFECT_INTERVAL_S:
            self._defect_posted_at = now
            self._post(messages.ServerConditionRejected(reason=reason))

    def _post_rate_limit(self) -> None:
        rate_limit = self._condition.rate_limit
        if rate_limit == self._posted_rate_limit:
            return
        self._posted_rate_limit = rate_limit
        self._post(
            messages.ServerRateLimited(
                rate_limit=rate_limit,
                is_provisional=not self._condition.is_known,
            )
        )

    def _post_run_event(self, event: messages.Event) -> None:
        self._active_runs_by_id.pop(event.run_id, None)
        match event:
            case messages.RunFailed(failure=messages.RunFailure.LOST):
                self._probe_server()
            case messages.RunFailed(failure=messages.RunFailure.MISDIRECTED):
                # The next announcement tells which server listens there now.
                # The connections that are open are to that server.
                later_run_ids = (event.run_id, *self._active_runs_by_id)
                self._report_server_stopped(later_run_ids)
        self._post(event)

    def _probe_server(self) -> None:
        # A lost connection may be the first sign that the server has crashed,
        # in which case a new connection is refused at once.
        if not self._pending_connects and self._announcement is not None:
            self._connect()

    def _report_server_stopped(
        self, later_run_ids: tuple[int, ...] = ()
    ) -> None:
        self._is_silent = True
        for connection in list(self._idle_connections):
            connection.abort()
        self._post(messages.ServerStopped(later_run_ids=later_run_ids))

    def _post_run_failed(
        self, run: messages.StartRun, failure: messages.RunFailure
    ) -> None:
        self._post(messages.RunFailed(run_id=run.run_id, failure=failure))

    def _close_idle_after_timeout(
        self, connection: server_connection.ServerConnection
    ) -> None:
        # A timeout on a reused connection without any answer suggests that a
        # middlebox dropped the connection's state; the idle connections are
        # as old and probably affected as well.
        if connection.completed_runs == 0 or connection.has_received_head:
            return
        for idle_connection in list(self._idle_connections):
            idle_connection.abort()

    def _report_overdue_runs(self, now: float) -> None:
        for run_id, active_run in list(self._active_runs_by_id.items()):
            if now < active_run.answer_due_at:
                continue
            active_run.answer_due_at = math.inf
            if not active_run.connection.has_received_head:
                self._post(messages.RunOverdue(run_id=run_id))

    def _check_timeouts(self) -> None:
        now = self._reactor.seconds()
        self._post_speed(now)
        self._report_overdue_runs(now)
        timed_out_runs = [
            active_run
            for active_run in self._active_runs_by_id.values()
            if now >= active_run.deadline + TIMEOUT_GRACE_S
        ]
        for active_run in timed_out_runs:
            self._close_idle_after_timeout(active_run.connection)
            active_run.connection.fail_run(messages.RunFailure.TIMED_OUT)
        for connection in list(self._idle_connections):
            if now >= _compute_reuse_deadline(connection):
                connection.abort()
        if (
            not self._is_silent
            and now - self._last_announced_at > self._announcement_timeout_s
        ):
            self._is_silent = True
            self._post(messages.ServerUnresponsive())


def _compute_reuse_deadline(
    connection: server_connection.ServerConnection,
) -> float:
    """Returns the time until which the server is sure to keep a connection.

    Args:
      connection: Idle connection.

    Returns:
      Time in monotonic seconds.
    """
    margin_s = min(KEEP_ALIVE_MARGIN_S, connection.keep_alive_timeout_s / 2)
    return connection.idle_since + connection.keep_alive_timeout_s - margin_s


def _has_restarted(
    previous: server_report.Announcement, current: server_report.Announcement
) -> bool:
    if (previous.address, previous.port) != (current.address, current.port):
        return True
    return previous.instance != current.instance

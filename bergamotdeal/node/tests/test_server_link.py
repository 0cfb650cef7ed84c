"""Tests of the connection pool under timeouts, restarts and silence."""

import pytest
import result
from twisted.internet import error
from twisted.internet import testing
from twisted.python import failure

from bergamotdeal.calls import messages
from bergamotdeal.node import dialect as dialects
from bergamotdeal.node import server_connection
from bergamotdeal.node import server_link
from bergamotdeal.node import server_report
from bergamotdeal.rpc import core as rpc

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


def announcement(**changes):
    fields = {
        "service": "kitview",
        "address": "127.0.0.1",
        "port": 9000,
        "slots": 4,
        "connections": 3,
        "instance": "a",
    }
    return server_report.Announcement(**(fields | changes))


def start_run(run_id, deadline_ms=1000):
    return messages.StartRun(
        run_id=run_id,
        request=rpc.Request(
            service="kitview", method="GET", path="/", headers=[], body=b""
        ),
        user_request_id=f"r-{run_id}",
        context="c",
        deadline_ms=deadline_ms,
    )


class Harness:
    def __init__(self, dialect=None):
        self.reactor = testing.MemoryReactorClock()
        self.events = []
        self.holds = []
        self.pool = server_link.ServerConnectionPool(
            reactor=self.reactor, post=self._post, dialect=dialect
        )
        self.pool.start()
        self.pool.handle_announcement(announcement())
        self.events.clear()

    def _post(self, event):
        is_hold = isinstance(event, messages.RunHeld)
        (self.holds if is_hold else self.events).append(event)

    @property
    def connection_attempts(self):
        return len(self.reactor.tcpClients)

    def accept_connection(self, index=-1):
        factory = self.reactor.tcpClients[index][2]
        connection = factory.buildProtocol(None)
        transport = testing.StringTransport()
        connection.makeConnection(transport)
        return connection

    def refuse_connection(self, index=-1):
        factory = self.reactor.tcpClients[index][2]
        reason = failure.Failure(error.ConnectionRefusedError())
        factory.clientConnectionFailed(None, reason)

    def complete_run(self, run_id):
        self.pool.start_run(start_run(run_id))
        connection = self.accept_connection()
        connection.dataReceived(ANSWER)
        return connection

    def failures(self):
        return [
            event.failure
            for event in self.events
            if isinstance(event, messages.RunFailed)
        ]


def test_run_is_held_until_its_request_is_written():
    harness = Harness()
    harness.pool.start_run(start_run(1))
    assert harness.holds == [messages.RunHeld(run_id=1, is_held=True)]
    connection = harness.accept_connection()
    assert harness.holds[1:] == [messages.RunHeld(run_id=1, is_held=False)]
    connection.dataReceived(ANSWER)
    harness.pool.start_run(start_run(2))
    assert len(harness.holds) == 2


def test_idle_connection_is_reused():
    harness = Harness()
    connection = harness.complete_run(1)
    harness.pool.start_run(start_run(2))
    assert harness.connection_attempts == 1
    assert connection.run.run_id == 2


def test_runs_are_queued_while_all_connections_are_busy():
    harness = Harness()
    for run_id in range(1, 6):
        harness.pool.start_run(start_run(run_id))
    assert harness.connection_attempts == 3
    connections = [harness.accept_connection(index) for index in range(3)]
    for _ in range(2):
        connections[0].dataReceived(ANSWER)
    assert connections[0].run.run_id == 5


def test_refused_connection_reports_server_stopped_and_run_unreachable():
    harness = Harness()
    harness.pool.start_run(start_run(1))
    harness.refuse_connection()
    assert harness.failures() == [messages.RunFailure.UNREACHABLE]
    assert messages.ServerStopped() in harness.events


def test_run_without_an_announcement_is_unreachable():
    harness = Harness()
    harness.pool._announcement = None
    harness.pool.start_run(start_run(1))
    assert harness.failures() == [messages.RunFailure.UNREACHABLE]


def test_lost_connection_triggers_a_probe_of_the_server():
    harness = Harness()
    harness.pool.start_run(start_run(1))
    connection = harness.accept_connection()
    connection.connectionLost()
    assert harness.failures() == [messages.RunFailure.LOST]
    assert harness.connection_attempts == 2
    harness.refuse_connection()
    assert messages.ServerStopped() in harness.events


def test_new_instance_reports_server_stopped_and_announced():
    harness = Harness()
    connection = harness.complete_run(1)
    harness.events.clear()
    harness.pool.handle_announcement(announcement(instance="b"))
    assert [type(event) for event in harness.events] == [
        messages.ServerStopped,
        messages.ServerAnnounced,
    ]
    assert not connection.is_available


def test_repeated_announcement_posts_no_event():
    harness = Harness()
    harness.pool.handle_announcement(announcement())
    assert harness.events == []


def test_missing_announcements_are_reported_once():
    harness = Harness()
    harness.reactor.pump([0.1] * 120)
    assert harness.events == [messages.ServerUnresponsive()]
    harness.pool.handle_announcement(announcement())
    assert isinstance(harness.events[-1], messages.ServerAnnounced)


def test_timeout_on_reused_connection_closes_idle_connections():
    """A middlebox drops the state of connections of the same age together."""
    harness = Harness()
    harness.pool.start_run(start_run(1))
    harness.pool.start_run(start_run(2))
    first, second = harness.accept_connection(0), harness.accept_connection(1)
    first.dataReceived(ANSWER)
    second.dataReceived(ANSWER)
    harness.events.clear()
    harness.pool.start_run(start_run(3, deadline_ms=500))
    _, idle = (first, second) if first.run else (second, first)
    harness.reactor.pump([0.1] * 7)
    assert harness.failures() == [messages.RunFailure.TIMED_OUT]
    assert not idle.is_available
    harness.pool.start_run(start_run(4))
    assert harness.connection_attempts == 3


def test_timeout_on_new_connection_keeps_idle_connections():
    harness = Harness()
    idle = harness.complete_run(1)
    harness.pool.start_run(start_run(2))
    harness.pool.start_run(start_run(3, deadline_ms=300))
    new_connection = harness.accept_connection()
    idle.dataReceived(ANSWER)
    harness.reactor.pump([0.1] * 5)
    assert new_connection.run is None
    assert idle.is_available


@pytest.mark.parametrize("is_queued", [True, False], ids=["waiting", "running"])
def test_cancelled_run_posts_no_event(is_queued):
    harness = Harness()
    harness.pool.start_run(start_run(1))
    if not is_queued:
        connection = harness.accept_connection()
    harness.pool.cancel_run(messages.CancelRun(run_id=1))
    if is_queued:
        connection = harness.accept_connection()
        assert connection.run is None
    else:
        assert not connection.is_available
    assert harness.events == []


def test_stopped_pool_closes_its_connections():
    harness = Harness()
    connection = harness.complete_run(1)
    harness.pool.stop()
    assert not connection.is_available


def test_idle_connection_is_not_reused_near_its_keep_alive_timeout():
    harness = Harness()
    connection = harness.complete_run(1)
    connection.keep_alive_timeout_s = 5
    harness.reactor.advance(4.5)
    harness.pool.start_run(start_run(2))
    assert harness.connection_attempts == 2


def test_leaving_instance_is_not_accepted_again():
    harness = Harness()
    harness.pool.handle_server_leaving("a")
    assert harness.events == [messages.ServerLeaving(instance="a")]
    harness.pool.handle_announcement(announcement())
    assert len(harness.events) == 1
    harness.pool.handle_announcement(announcement(instance="b"))
    assert isinstance(harness.events[-1], messages.ServerAnnounced)


def test_leave_of_an_earlier_instance_is_ignored():
    harness = Harness()
    harness.pool.handle_server_leaving("z")
    assert harness.events == []


class MisdirectionDialect(server_connection.NativeDialect):
    """Native dialect whose servers refuse what is meant for another one."""

    def classify_answer(self, run, status, headers):
        del run
        if status == 421:
            return dialects.Misdirected(is_identified=True)
        return dialects.Complete(headers=headers, is_identified=True)


def test_runs_at_a_replaced_server_are_told_from_those_at_the_crashed_one():
    """Guards against accusing requests that only the next server received."""
    harness = Harness(dialect=MisdirectionDialect())
    connections = []
    for run_id in (1, 2, 3):
        harness.pool.start_run(start_run(run_id))
        connections.append(harness.accept_connection())
    connections[0].connectionLost(failure.Failure(error.ConnectionLost()))
    connections[1].dataReceived(
        b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"
    )
    (stopped,) = [
        event
        for event in harness.events
        if isinstance(event, messages.ServerStopped)
    ]
    assert sorted(stopped.later_run_ids) == [2, 3]


class ConditionDialect(server_connection.NativeDialect):
    """Native dialect whose servers report their condition in headers."""

    reports_condition = True

    def read_condition(self, headers):
        for name, value in headers:
            if name == "rate-limit" and value.isdigit():
                return result.Ok(
                    dialects.ServerCondition(rate_limit=float(value))
                )
            if name == "work":
                return result.Ok(
                    dialects.ServerCondition(work_factor=float(value))
                    if value != "many"
                    else dialects.ServerCondition(defect="work many")
                )
            if name == "rate-limit":
                return result.Err(f"{value!r} is not a number")
            if name == "leaving":
                return result.Ok(dialects.ServerCondition(is_leaving=True))
        return result.Ok(dialects.NORMAL_CONDITION)


def build_report(instance="a", announced=None, **condition):
    return server_report.HealthReport(
        instance=instance,
        condition=result.Ok(dialects.ServerCondition(**condition)),
        announcement=announced,
    )


def build_answer(rate_limit=None):
    header = b"" if rate_limit is None else b"Rate-Limit: %s\r\n" % rate_limit
    return b"HTTP/1.1 200 OK\r\n%sContent-Length: 2\r\n\r\nok" % header


def select_rate_limits(harness):
    return [
        event.rate_limit
        for event in harness.events
        if isinstance(event, messages.ServerRateLimited)
    ]


def test_rate_limit_is_reported_before_the_answer_and_once():
    harness = Harness(dialect=ConditionDialect())
    harness.pool.start_run(start_run(1))
    connection = harness.accept_connection()
    connection.dataReceived(build_answer(b"21"))
    assert harness.events[0] == messages.ServerRateLimited(rate_limit=21.0)
    assert isinstance(harness.events[1], messages.RunAnswered)
    harness.pool.start_run(start_run(2))
    connection.dataReceived(build_answer(b"21"))
    assert select_rate_limits(harness) == [21.0]


def test_answer_to_an_overlapping_request_does_not_lift_the_rate_limit():
    harness = Harness(dialect=ConditionDialect())
    connections = []
    for run_id in (1, 2):
        harness.pool.start_run(start_run(run_id))
        connections.append(harness.accept_connection())
    harness.reactor.advance(0.01)
    connections[0].dataReceived(build_answer(b"21"))
    connections[1].dataReceived(build_answer())
    assert select_rate_limits(harness) == [21.0]
    harness.reactor.advance(0.01)
    harness.pool.start_run(start_run(3))
    connections[1].dataReceived(build_answer())
    assert select_rate_limits(harness) == [21.0, None]


def test_malformed_rate_limit_is_reported_and_the_last_one_holds():
    harness = Harness(dialect=ConditionDialect())
    harness.pool.start_run(start_run(1))
    connection = harness.accept_connection()
    connection.dataReceived(build_answer(b"21"))
    harness.pool.start_run(start_run(2))
    connection.dataReceived(build_answer(b"many"))
    assert select_rate_limits(harness) == [21.0]
    (rejected,) = [
        event
        for event in harness.events
        if isinstance(event, messages.ServerConditionRejected)
    ]
    assert "many" in rejected.reason


def test_rate_limit_ends_with_the_instance_but_not_with_its_connections():
    harness = Harness(dialect=ConditionDialect())
    harness.pool.start_run(start_run(1))
    connection = harness.accept_connection()
    connection.dataReceived(build_answer(b"21"))
    connection.connectionLost()
    harness.pool.start_run(start_run(2))
    harness.refuse_connection()
    harness.pool.handle_announcement(announcement())
    assert select_rate_limits(harness) == [21.0]
    harness.pool.handle_announcement(announcement(instance="b"))
    assert select_rate_limits(harness) == [21.0, None]


def test_late_answer_of_an_earlier_instance_sets_no_rate_limit():
    harness = Harness(dialect=ConditionDialect())
    harness.pool.start_run(start_run(1))
    connection = harness.accept_connection()
    harness.pool.handle_announcement(announcement(instance="b"))
    connection.dataReceived(build_answer(b"21"))
    assert select_rate_limits(harness) == []


def test_server_that_says_it_leaves_is_reported_and_not_announced_again():
    harness = Harness(dialect=ConditionDialect())
    harness.pool.start_run(start_run(1))
    connection = harness.accept_connection()
    answer = build_answer().replace(b"OK\r\n", b"OK\r\nLeaving: 1\r\n")
    connection.dataReceived(answer)
    assert harness.events[0] == messages.ServerLeaving(instance="a")
    assert isinstance(harness.events[1], messages.RunAnswered)
    harness.pool.handle_announcement(announcement())
    assert len(harness.events) == 2


# Guards against a node that starts beside a limited server and sends as much
# as there are slots, until the first answer tells the limit.
def test_server_found_at_start_is_limited_until_its_first_answer():
    harness = Harness(dialect=ConditionDialect())
    harness.pool.handle_health_report(None)
    (limited,) = harness.events
    assert limited.is_provisional
    assert limited.rate_limit > 0
    harness.pool.start_run(start_run(1))
    harness.accept_connection().dataReceived(build_answer())
    assert harness.events[1] == messages.ServerRateLimited(rate_limit=None)


@pytest.mark.parametrize("rate_limit", [None, 21.0])
def test_health_report_makes_the_rate_limit_known(rate_limit):
    harness = Harness(dialect=ConditionDialect())
    harness.pool.handle_health_report(build_report(rate_limit=rate_limit))
    expected = [] if rate_limit is None else [rate_limit]
    assert select_rate_limits(harness) == expected


# Guards against a restarted node that takes a leaving server for available,
# because its heartbeats go on saying that it is ready.
def test_server_that_leaves_by_its_health_report_is_never_announced():
    harness = Harness(dialect=ConditionDialect())
    harness.pool._announcement = None
    harness.pool._is_silent = True
    harness.pool.handle_health_report(build_report(is_leaving=True))
    harness.pool.handle_announcement(announcement())
    assert not any(
        isinstance(event, messages.ServerAnnounced) for event in harness.events
    )
    harness.pool.handle_announcement(announcement(instance="b"))
    assert isinstance(harness.events[-1], messages.ServerAnnounced)


def test_health_report_of_another_instance_is_ignored():
    harness = Harness(dialect=ConditionDialect())
    report = build_report(instance="b", is_leaving=True)
    harness.pool.handle_health_report(report)
    (limited,) = harness.events
    assert limited.is_provisional


def test_native_servers_are_never_limited_provisionally():
    harness = Harness()
    harness.pool.handle_health_report(None)
    assert harness.events == []

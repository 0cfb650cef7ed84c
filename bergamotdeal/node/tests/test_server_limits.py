"""Tests of the connection pool with servers that are slow or accept little."""

from bergamotdeal.calls import messages
from bergamotdeal.node.tests import test_server_link

ANSWER = test_server_link.ANSWER
ConditionDialect = test_server_link.ConditionDialect
Harness = test_server_link.Harness
announcement = test_server_link.announcement
build_answer = test_server_link.build_answer
start_run = test_server_link.start_run


def send_work_figures(harness, figures, interval_s):
    connection = None
    for run_id, figure in enumerate(figures):
        harness.pool.start_run(start_run(run_id))
        connection = connection or harness.accept_connection()
        header = b"OK\r\nWork: %s\r\n" % figure
        connection.dataReceived(build_answer().replace(b"OK\r\n", header))
        harness.reactor.advance(interval_s)


def select_events(harness, event_type):
    return [each for each in harness.events if isinstance(each, event_type)]


# Guards against an engine that handles a speed report with every answer of a
# server that changes its figure several hundred times a second.
def test_speed_reports_are_bounded_and_the_last_one_is_posted():
    harness = Harness(dialect=ConditionDialect())
    send_work_figures(harness, [b"1.0", b"2.0"] * 100, interval_s=0.002)
    harness.reactor.advance(0.1)
    reports = select_events(harness, messages.ServerSpeedReported)
    assert 10 <= len(reports) <= 22
    assert reports[-1].work_factor == 2.0


def test_unchanged_speed_is_repeated_and_noise_is_not_posted():
    harness = Harness(dialect=ConditionDialect())
    send_work_figures(harness, [b"1.0", b"1.02"] * 100, interval_s=0.002)
    reports = select_events(harness, messages.ServerSpeedReported)
    assert 3 <= len(reports) <= 5


# Guards against a log that fills up with one event per answer.
def test_malformed_speed_is_reported_at_most_once_per_second():
    harness = Harness(dialect=ConditionDialect())
    send_work_figures(harness, [b"many"] * 100, interval_s=0.002)
    rejected = select_events(harness, messages.ServerConditionRejected)
    assert len(rejected) == 1
    assert select_events(harness, messages.ServerSpeedReported) == []


# Guards against an engine that resumes admission with each heartbeat of a cold
# server, as its remaining time counts down.
def test_cold_server_is_announced_once():
    harness = Harness()
    for cold_remaining_ms in (2000, 1000, 0):
        harness.pool.handle_announcement(
            announcement(instance="b", cold_remaining_ms=cold_remaining_ms)
        )
    assert len(select_events(harness, messages.ServerAnnounced)) == 1
    assert select_events(harness, messages.ServerCold) == [
        messages.ServerCold(remaining_ms=2000),
        messages.ServerCold(remaining_ms=1000),
    ]


# Guards against a server that is reported as crashed while it runs requests
# and only accepts no more connections.
def test_refused_connection_beside_open_ones_is_no_crash():
    harness = Harness()
    harness.pool.start_run(start_run(1))
    harness.accept_connection()
    harness.pool.start_run(start_run(2))
    harness.refuse_connection()
    assert harness.failures() == [messages.RunFailure.UNREACHABLE]
    assert messages.ServerStopped() not in harness.events


def test_reset_before_anything_is_sent_is_unreachable_and_no_crash():
    harness = Harness()
    harness.pool.start_run(start_run(1))
    harness.accept_connection().connectionLost()
    harness.accept_connection()
    harness.events.clear()
    harness.pool.start_run(start_run(2))
    harness.pool.start_run(start_run(3))
    connection = harness.accept_connection()
    assert connection.run is None
    connection.connectionLost()
    assert harness.failures() == [messages.RunFailure.UNREACHABLE]
    assert messages.ServerStopped() not in harness.events


def test_connection_after_a_reset_is_used_once_it_has_held():
    harness = Harness()
    harness.pool.start_run(start_run(1))
    harness.accept_connection().connectionLost()
    harness.pool.start_run(start_run(2))
    connection = harness.accept_connection()
    assert connection.run is None
    harness.reactor.advance(0.02)
    assert connection.run.run_id == 2


def test_overdue_run_is_reported_once_and_only_without_an_answer():
    harness = Harness()
    for run_id in (1, 2):
        run = start_run(run_id, deadline_ms=5000)
        run.answer_due_ms = 1000
        harness.pool.start_run(run)
    answering = harness.accept_connection(1)
    silent = harness.accept_connection(0)
    answering.dataReceived(ANSWER[:-2])
    harness.reactor.pump([0.1] * 20)
    silent_id = silent.run.run_id
    assert harness.events == [messages.RunOverdue(run_id=silent_id)]


def test_hung_run_closes_its_connection_and_idle_siblings():
    harness = Harness()
    harness.pool.start_run(start_run(1))
    harness.pool.start_run(start_run(2))
    first, second = harness.accept_connection(0), harness.accept_connection(1)
    first.dataReceived(ANSWER)
    second.dataReceived(ANSWER)
    harness.pool.start_run(start_run(3, deadline_ms=5000))
    harness.pool.cancel_run(messages.CancelRun(run_id=3, is_hung=True))
    assert not first.is_available
    assert not second.is_available

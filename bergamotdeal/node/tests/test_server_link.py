"""The pool of server connections under timeouts, restarts and silence."""

import pytest
from twisted.internet import error
from twisted.internet import testing
from twisted.python import failure

from bergamotdeal.calls import core as calls
from bergamotdeal.calls import messages
from bergamotdeal.node import server_link

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
    return server_link.Announcement(**(fields | changes))


def start_run(run_id, deadline_ms=1000):
    return messages.StartRun(
        run_id=run_id,
        request=calls.Request(
            service="kitview", method="GET", path="/", headers=[], body=b""
        ),
        user_request_id=f"r-{run_id}",
        context="c",
        deadline_ms=deadline_ms,
    )


class Harness:
    def __init__(self):
        self.reactor = testing.MemoryReactorClock()
        self.events = []
        self.task = server_link.ServerConnectionPool(
            reactor=self.reactor, post=self.events.append
        )
        self.task.start()
        self.task.handle_announcement(announcement())
        self.events.clear()

    @property
    def dials(self):
        return len(self.reactor.tcpClients)

    def accept(self, index=-1):
        factory = self.reactor.tcpClients[index][2]
        connection = factory.buildProtocol(None)
        transport = testing.StringTransport()
        connection.makeConnection(transport)
        return connection

    def refuse(self, index=-1):
        factory = self.reactor.tcpClients[index][2]
        reason = failure.Failure(error.ConnectionRefusedError())
        factory.clientConnectionFailed(None, reason)

    def run_to_end(self, run_id):
        self.task.start_run(start_run(run_id))
        connection = self.accept()
        connection.dataReceived(ANSWER)
        return connection

    def failures(self):
        return [
            event.failure
            for event in self.events
            if isinstance(event, messages.RunFailed)
        ]


def test_connection_is_reused():
    harness = Harness()
    connection = harness.run_to_end(1)
    harness.task.start_run(start_run(2))
    assert harness.dials == 1
    assert connection.run.run_id == 2


def test_runs_wait_when_all_connections_are_busy():
    harness = Harness()
    for run_id in range(1, 6):
        harness.task.start_run(start_run(run_id))
    assert harness.dials == 3
    connections = [harness.accept(index) for index in range(3)]
    for _ in range(2):
        connections[0].dataReceived(ANSWER)
    assert connections[0].run.run_id == 5


def test_refused_dial_is_a_stopped_server_and_an_unreached_run():
    harness = Harness()
    harness.task.start_run(start_run(1))
    harness.refuse()
    assert harness.failures() == [messages.RunFailure.UNREACHABLE]
    assert messages.ServerStopped() in harness.events


def test_run_without_an_announcement_is_unreached():
    harness = Harness()
    harness.task._announcement = None
    harness.task.start_run(start_run(1))
    assert harness.failures() == [messages.RunFailure.UNREACHABLE]


def test_lost_connection_is_probed_for_the_server_s_death():
    harness = Harness()
    harness.task.start_run(start_run(1))
    connection = harness.accept()
    connection.connectionLost()
    assert harness.failures() == [messages.RunFailure.LOST]
    assert harness.dials == 2
    harness.refuse()
    assert messages.ServerStopped() in harness.events


def test_new_instance_is_a_death_and_a_new_announcement():
    harness = Harness()
    connection = harness.run_to_end(1)
    harness.events.clear()
    harness.task.handle_announcement(announcement(instance="b"))
    assert [type(event) for event in harness.events] == [
        messages.ServerStopped,
        messages.ServerAnnounced,
    ]
    assert not connection.usable


def test_repeated_announcement_is_not_news():
    harness = Harness()
    harness.task.handle_announcement(announcement())
    assert harness.events == []


def test_missing_announcements_are_reported_once():
    harness = Harness()
    harness.reactor.pump([0.1] * 120)
    assert harness.events == [messages.ServerSilent()]
    harness.task.handle_announcement(announcement())
    assert isinstance(harness.events[-1], messages.ServerAnnounced)


def test_silent_reused_connection_discredits_its_idle_siblings():
    """Connections of one age are dropped together by what is between."""
    harness = Harness()
    harness.task.start_run(start_run(1))
    harness.task.start_run(start_run(2))
    first, second = harness.accept(0), harness.accept(1)
    first.dataReceived(ANSWER)
    second.dataReceived(ANSWER)
    harness.events.clear()
    harness.task.start_run(start_run(3, deadline_ms=500))
    _, idle = (first, second) if first.run else (second, first)
    harness.reactor.pump([0.1] * 7)
    assert harness.failures() == [messages.RunFailure.TIMED_OUT]
    assert not idle.usable
    harness.task.start_run(start_run(4))
    assert harness.dials == 3


def test_first_run_on_a_connection_that_times_out_spares_the_siblings():
    harness = Harness()
    idle = harness.run_to_end(1)
    harness.task.start_run(start_run(2))
    harness.task.start_run(start_run(3, deadline_ms=300))
    fresh = harness.accept()
    idle.dataReceived(ANSWER)
    harness.reactor.pump([0.1] * 5)
    assert fresh.run is None
    assert idle.usable


@pytest.mark.parametrize("waits", [True, False], ids=["waiting", "running"])
def test_cancelled_run_posts_nothing(waits):
    harness = Harness()
    harness.task.start_run(start_run(1))
    if not waits:
        connection = harness.accept()
    harness.task.cancel_run(messages.CancelRun(run_id=1))
    if waits:
        connection = harness.accept()
        assert connection.run is None
    else:
        assert not connection.usable
    assert harness.events == []


def test_stopped_link_closes_its_connections():
    harness = Harness()
    connection = harness.run_to_end(1)
    harness.task.stop()
    assert not connection.usable


def test_idle_connection_is_not_used_to_the_end_of_its_time():
    harness = Harness()
    connection = harness.run_to_end(1)
    connection.idle_limit_s = 5
    harness.reactor.advance(4.5)
    harness.task.start_run(start_run(2))
    assert harness.dials == 2


def test_server_that_leaves_is_not_taken_back():
    harness = Harness()
    harness.task.handle_server_leaving("a")
    assert harness.events == [messages.ServerLeaving(instance="a")]
    harness.task.handle_announcement(announcement())
    assert len(harness.events) == 1
    harness.task.handle_announcement(announcement(instance="b"))
    assert isinstance(harness.events[-1], messages.ServerAnnounced)


def test_leave_of_an_earlier_server_changes_nothing():
    harness = Harness()
    harness.task.handle_server_leaving("z")
    assert harness.events == []

"""Load: callers send to a node that has just started and isn't ready yet."""

from twisted.internet import task

from bergamotdeal.node import http_exchange
from bergamotdeal.node import startup_hold
from bergamotdeal.telemetry import catalogue


class FakeExchange:
    def __init__(self):
        self.is_answered = False


class Harness:
    def __init__(self):
        self.clock = task.Clock()
        self.can_serve = False
        self.handled = []
        self.records = []
        self.hold = startup_hold.StartupHold(
            reactor=self.clock,
            can_serve=lambda: self.can_serve,
            record=self.records.append,
        )
        self.hold.start(
            lambda exchange, request, held_s: self.handled.append(
                (exchange, held_s)
            )
        )

    def add(self, body=b""):
        exchange = FakeExchange()
        request = http_exchange.HttpRequest(
            method="GET", target="/", headers=[], body=body, keep_alive=True
        )
        return exchange if self.hold.add(exchange, request) else None

    def advance(self, seconds):
        self.clock.pump([0.01] * round(seconds * 100))


def test_requests_are_handled_in_order_once_the_node_can_serve():
    harness = Harness()
    first = harness.add()
    harness.advance(0.2)
    second = harness.add()
    harness.advance(0.1)
    assert harness.handled == []
    harness.can_serve = True
    harness.advance(startup_hold.CHECK_INTERVAL_S)
    assert [exchange for exchange, _ in harness.handled] == [first, second]
    held_s = [seconds for _, seconds in harness.handled]
    assert 0.3 <= held_s[0] <= 0.35
    assert 0.1 <= held_s[1] <= 0.15
    # From now on, requests are handled at once.
    assert harness.add() is None
    (record,) = harness.records
    assert record.code is catalogue.EventCode.STARTUP_HOLD_ENDED
    assert record.fields["requests"] == 2


def test_no_request_is_held_longer_than_the_limit():
    harness = Harness()
    harness.add()
    harness.advance(startup_hold.MAX_HOLD_S + startup_hold.CHECK_INTERVAL_S)
    ((_, held_s),) = harness.handled
    limit = startup_hold.MAX_HOLD_S + 2 * startup_hold.CHECK_INTERVAL_S
    assert held_s <= limit


def test_node_that_does_not_become_ready_stops_holding():
    harness = Harness()
    harness.advance(startup_hold.STARTUP_S + startup_hold.CHECK_INTERVAL_S)
    assert harness.add() is None


def test_held_requests_and_their_bytes_are_bounded():
    harness = Harness()
    for _ in range(startup_hold.MAX_HELD_REQUESTS):
        assert harness.add()
    assert harness.add() is None
    harness = Harness()
    assert harness.add(bytes(startup_hold.MAX_HELD_BYTES))
    assert harness.add(b"x") is None


def test_request_of_a_caller_that_has_left_is_dropped():
    harness = Harness()
    exchange = harness.add()
    exchange.is_answered = True
    harness.can_serve = True
    harness.advance(0.1)
    assert harness.handled == []


def test_requests_that_are_held_at_a_stop_are_answered():
    harness = Harness()
    harness.add()
    harness.hold.stop()
    assert len(harness.handled) == 1

"""The node's clock."""

import time

from twisted.internet import epollreactor

from bergamotdeal.node import process


def test_stepped_wall_clock_moves_no_timer(monkeypatch):
    reactor = epollreactor.EPollReactor()
    process.schedule_by_monotonic_time(reactor)
    call = reactor.callLater(10, lambda: None)
    monkeypatch.setattr(time, "time", lambda: 0.0)
    left_s = call.getTime() - time.monotonic()
    assert 0 < left_s <= 10
    assert reactor.seconds() <= time.monotonic()
    assert reactor.timeout() > 0

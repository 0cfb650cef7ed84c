"""Tests of the reactor clock."""

import time

from twisted.internet import epollreactor

from bergamotdeal.node import process


def test_use_monotonic_clock_with_stepped_wall_clock_keeps_timers(monkeypatch):
    reactor = epollreactor.EPollReactor()
    process.use_monotonic_clock(reactor)
    call = reactor.callLater(10, lambda: None)
    monkeypatch.setattr(time, "time", lambda: 0.0)
    left_s = call.getTime() - time.monotonic()
    assert 0 < left_s <= 10
    assert reactor.seconds() <= time.monotonic()
    assert reactor.timeout() > 0

"""Tests of the regular checks whether the store answers."""

import random

import pytest
import result
from twisted.internet import defer
from twisted.internet import task

from bergamotdeal.node import store_check
from bergamotdeal.store import core
from bergamotdeal.telemetry import catalogue

INTERVAL_S = 1.0
CODES = catalogue.EventCode


class Store:
    """Store whose answers to checks are given by the test."""

    def __init__(self):
        self.pending = []
        self.checks = 0

    def check(self):
        self.checks += 1
        self.pending.append(defer.Deferred())
        return self.pending[-1]

    def answer(self, outcome):
        self.pending.pop(0).callback(outcome)


class Harness:
    def __init__(self, *, interval_s=INTERVAL_S):
        self.clock = task.Clock()
        self.clock.advance(100.0)
        self.store = Store()
        self.is_due = True
        self.recoveries = 0
        self.codes = []
        self.check = store_check.StoreCheck(
            store=self.store,
            reactor=self.clock,
            rng=random.Random(1),
            interval_s=interval_s,
            is_due=lambda: self.is_due,
            on_recovery=self.count_recovery,
            emit=lambda code, **fields: self.codes.append(code),
        )
        self.check.start()

    def count_recovery(self):
        self.recoveries += 1

    def advance(self, seconds):
        self.clock.pump([0.1] * round(seconds * 10))


def make_failure():
    return result.Err(
        core.Failure(kind=core.FailureKind.UNAVAILABLE, detail="timed out")
    )


# Guards against a check that waits behind one whose answer was lost.
def test_checks_are_sent_although_earlier_ones_are_unanswered():
    harness = Harness()
    harness.advance(5.0)
    assert len(harness.store.pending) == 5


def test_answered_checks_change_nothing():
    harness = Harness()
    harness.advance(4.0)
    for _ in range(4):
        harness.store.answer(result.Ok(None))
    assert (harness.recoveries, harness.codes) == (0, [])


# Guards against a watch that stays lost after the store is back, and against
# one that starts anew for each check that was lost.
def test_watch_starts_anew_once_when_the_store_answers_again():
    harness = Harness()
    harness.advance(5.0)
    lost, answered = harness.store.pending[:4], harness.store.pending[4]
    lost[0].callback(make_failure())
    lost[1].callback(make_failure())
    answered.callback(result.Ok(None))
    lost[2].callback(make_failure())
    lost[3].callback(make_failure())
    harness.store.pending.clear()
    harness.advance(1.0)
    harness.store.answer(result.Ok(None))
    assert harness.recoveries == 1
    assert harness.codes == [
        CODES.STORE_CHECK_FAILED,
        CODES.STORE_CHECK_RECOVERED,
    ]


# Guards against an outage that is over before its lost check has failed.
def test_watch_starts_anew_after_an_outage_between_two_answers():
    harness = Harness()
    harness.advance(2.0)
    lost, answered = harness.store.pending
    answered.callback(result.Ok(None))
    lost.callback(make_failure())
    harness.store.pending.clear()
    harness.advance(1.0)
    harness.store.answer(result.Ok(None))
    assert harness.recoveries == 1


def test_checks_go_on_after_an_unexpected_error():
    harness = Harness()
    harness.advance(1.0)
    harness.store.pending.pop().errback(RuntimeError("broken client"))
    harness.advance(1.0)
    assert harness.codes == [CODES.STORE_CHECK_FAILED]
    assert len(harness.store.pending) == 1


@pytest.mark.parametrize("interval_s", [0.0, INTERVAL_S])
def test_nothing_is_sent_without_an_interval_or_by_other_nodes(interval_s):
    harness = Harness(interval_s=interval_s)
    harness.is_due = False
    harness.advance(5.0)
    assert harness.store.checks == 0


def test_stopped_checks_ignore_late_answers():
    harness = Harness()
    harness.advance(1.0)
    harness.check.stop()
    harness.store.answer(make_failure())
    harness.advance(5.0)
    assert harness.codes == []
    assert harness.store.checks == 1

"""Tests of the regular checks of the store for a changed preset."""

import random

import pytest
import result
from twisted.internet import defer
from twisted.internet import task

from bergamotdeal.node import preset_poll
from bergamotdeal.store import core
from bergamotdeal.telemetry import catalogue

KEY = "in-force"
INTERVAL_S = 1.0
CODES = catalogue.EventCode


class Store:
    """Store whose answers to watches are given by the test."""

    def __init__(self):
        self.pending = []
        self.waits_s = []

    def watch(self, key, *, after_version, timeout_s):
        assert key == KEY
        self.waits_s.append(timeout_s)
        self.pending.append(defer.Deferred())
        return self.pending[-1]

    def answer(self, outcome):
        self.pending.pop(0).callback(outcome)


class Harness:
    def __init__(self, *, interval_s=INTERVAL_S):
        self.clock = task.Clock()
        self.store = Store()
        self.is_due = True
        self.changes = []
        self.answers = 0
        self.recoveries = 0
        self.codes = []
        self.poll = preset_poll.PresetPoll(
            store=self.store,
            key=KEY,
            reactor=self.clock,
            rng=random.Random(1),
            interval_s=interval_s,
            is_due=lambda: self.is_due,
            on_change=self.changes.append,
            on_answer=self.count_answer,
            on_recovery=self.count_recovery,
            emit=lambda code, **fields: self.codes.append(code),
        )
        self.poll.start()

    def count_answer(self):
        self.answers += 1

    def count_recovery(self):
        self.recoveries += 1

    def advance(self, seconds):
        self.clock.pump([0.1] * round(seconds * 10))


def make_stored(version):
    return core.StoredObject(key=KEY, version=version, value=b"{}")


def make_failure():
    return result.Err(
        core.Failure(kind=core.FailureKind.INVALID, detail="timed out")
    )


# Guards against a check that waits behind one whose answer was lost.
def test_checks_are_sent_although_earlier_ones_are_unanswered():
    harness = Harness()
    harness.advance(5.0)
    assert len(harness.store.pending) == 5
    assert max(harness.store.waits_s) < INTERVAL_S / 100


def test_change_is_reported_once():
    harness = Harness()
    harness.advance(4.0)
    for version in (7, 7, 8):
        harness.store.answer(result.Ok(make_stored(version)))
    harness.store.answer(result.Ok(None))
    assert [stored.version for stored in harness.changes] == [7, 8]
    assert harness.answers == 4
    assert harness.recoveries == 0


# Guards against a watch that stays lost after the store is back.
def test_watch_starts_anew_once_when_the_store_answers_again():
    harness = Harness()
    harness.advance(4.0)
    for _ in range(2):
        harness.store.answer(make_failure())
    for _ in range(2):
        harness.store.answer(result.Ok(None))
    assert harness.recoveries == 1
    assert harness.codes == [
        CODES.STORE_CHECK_FAILED,
        CODES.STORE_CHECK_RECOVERED,
    ]


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
    assert harness.store.waits_s == []


def test_stopped_poll_ignores_late_answers():
    harness = Harness()
    harness.advance(1.0)
    harness.poll.stop()
    harness.store.answer(result.Ok(make_stored(7)))
    harness.advance(5.0)
    assert harness.changes == []
    assert len(harness.store.waits_s) == 1

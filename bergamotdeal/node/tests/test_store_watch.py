"""The lasting watch against the store stand-in and its faults."""

import random

import pytest
import result
from twisted.internet import defer
from twisted.internet import reactor
from twisted.internet import task

from bergamotdeal.node import store_watch
from bergamotdeal.settings import model as settings
from bergamotdeal.store import core
from bergamotdeal.store import http
from standins import store as standin

DEADLINE_S = 10.0
KEY = "in-force"


def wait_until(condition):
    end = reactor.seconds() + DEADLINE_S
    while not condition():
        assert reactor.seconds() < end, "condition not met in time"
        reactor.iterate(0.01)


class Watched:
    """A stand-in, a client and a watch that notes what it is told."""

    def __init__(self):
        self.store, self.listening = standin.listen(reactor=reactor)
        section = settings.StoreSection(
            address="127.0.0.1",
            port=self.listening.getHost().port,
            calls_per_minute=6000,
        )
        self.client = http.HttpStore(settings=section, reactor=reactor)
        self.values = []
        self.problems = []
        self.watch = store_watch.StoreWatch(
            store=self.client,
            key=KEY,
            reactor=reactor,
            rng=random.Random(1),
            changed=lambda stored: self.values.append(stored.value),
            available=self.problems.append,
        )

    def write(self, value, version):
        done = []
        written = self.client.put(KEY, value, expected_version=version)
        written.addBoth(done.append)
        wait_until(lambda: bool(done))
        return done[0].unwrap()

    def wait_open(self):
        wait_until(lambda: self.store.report()["waiting"] == 1)

    def close(self):
        self.watch.stop()
        done = []
        self.client.close().addBoth(done.append)
        stopping = self.listening.stopListening()
        stopping.addBoth(done.append)
        wait_until(lambda: len(done) == 2)


@pytest.fixture
def watched():
    started = Watched()
    started.watch.start()
    started.wait_open()
    yield started
    started.close()


def test_each_version_is_seen_once_and_in_order(watched):
    for version in range(3):
        watched.write(b"%d" % version, version)
        wait_until(lambda n=version: len(watched.values) == n + 1)
        watched.wait_open()
    assert watched.values == [b"0", b"1", b"2"]
    assert watched.problems == []


def test_dropped_watch_is_opened_again_and_misses_nothing(watched):
    watched.write(b"0", 0)
    wait_until(lambda: watched.values == [b"0"])
    watched.wait_open()
    watched.store.control({"drop_watches": True})
    watched.write(b"1", 1)
    wait_until(lambda: watched.values == [b"0", b"1"])


def test_outage_is_told_once_and_its_end_once(watched):
    watched.store.control({"down": True})
    wait_until(lambda: watched.store.counts_by_operation["watch"] >= 4)
    assert len(watched.problems) == 1
    watched.store.control({"down": False})
    watched.wait_open()
    watched.write(b"0", 0)
    wait_until(lambda: watched.values == [b"0"])
    assert [problem is None for problem in watched.problems] == [False, True]


def test_stopped_watch_frees_the_store_and_starts_again(watched):
    watched.watch.stop()
    wait_until(lambda: watched.store.report()["waiting"] == 0)
    watched.write(b"0", 0)
    assert watched.values == []
    watched.watch.start()
    wait_until(lambda: watched.values == [b"0"])


class LimitingStore:
    """Answers each watch with a rate limit."""

    def __init__(self):
        self.calls = 0

    def watch(self, key, *, after_version, timeout_s):
        self.calls += 1
        failure = core.Failure(
            kind=core.FailureKind.RATE_LIMITED, detail="", retry_after_s=7.0
        )
        return defer.succeed(result.Err(failure))


def test_rate_limit_is_waited_out():
    clock = task.Clock()
    store = LimitingStore()
    watch = store_watch.StoreWatch(
        store=store,
        key=KEY,
        reactor=clock,
        rng=random.Random(1),
        changed=lambda stored: None,
        available=lambda problem: None,
    )
    watch.start()
    clock.advance(6.9)
    assert store.calls == 1
    clock.advance(0.2)
    assert store.calls == 2
    watch.stop()
    clock.advance(1000)
    assert store.calls == 2

"""Tests of the thresholds set from rates."""

import random

import pytest

from bergamotdeal.admission import window
from bergamotdeal.presets import model

WINDOW_S = 0.1


class _Server:
    """Feeds windows of a server that takes what the thresholds admit."""

    def __init__(self, *, slots=20, capacity=200.0, offered=(80.0, 720.0)):
        self.thresholds = window.RateThresholds(
            policy=model.AdmissionPolicy(), class_count=2, now=0.0
        )
        self.rng = random.Random(1)
        self.slots = slots
        self.capacity = capacity
        self.offered = offered
        self.queues = [0.0, 0.0]
        self.now = 0.0

    def run(self, windows):
        for _ in range(windows):
            self.step()
        return [self.thresholds.value(rank) for rank in (0, 1)]

    def step(self):
        for rank, rate in enumerate(self.offered):
            value = self.thresholds.value(rank)
            admitted = round(rate * value * WINDOW_S)
            for _ in range(admitted):
                share = self.rng.uniform(0.0, value)
                self.thresholds.count_arrival(rank, share)
            self.queues[rank] += admitted
        room = round(self.capacity * WINDOW_S)
        done = 0
        for rank in (0, 1):
            served = min(self.queues[rank], room - done)
            self.queues[rank] = min(self.slots, self.queues[rank] - served)
            for _ in range(int(served)):
                self.thresholds.count_start(rank, 0.0)
                self.thresholds.count_completion()
            done += served
        busy_share = min(1.0, done / room)
        self.thresholds.count_busy(busy_share * self.slots * WINDOW_S)
        self.now += WINDOW_S
        self.thresholds.close_window(
            now=self.now,
            limit=self.slots,
            depth_by_rank=[int(queue) for queue in self.queues],
            queue_bound=self.slots,
        )


def test_overload_sheds_the_less_important_class():
    critical, browse = _Server().run(60)
    assert critical == pytest.approx(1.0, abs=0.01)
    assert browse == pytest.approx(120.0 / 720.0, abs=0.06)


def test_the_first_class_is_cut_once_it_alone_is_too_much():
    critical, browse = _Server(offered=(400.0, 400.0)).run(60)
    assert critical == pytest.approx(0.5, abs=0.1)
    assert browse < 0.05


@pytest.mark.parametrize("windows", [1, 5, 20, 600])
def test_everything_is_open_within_a_second_of_the_end(windows):
    server = _Server(offered=(500.0, 5000.0))
    server.run(windows)
    server.capacity = 1000.0
    server.offered = (80.0, 400.0)
    assert server.run(10) == [1.0, 1.0]


def test_a_threshold_opens_when_no_request_comes_at_all():
    server = _Server(offered=(500.0, 5000.0))
    server.run(50)
    server.offered = (0.0, 0.0)
    assert server.run(40) == [1.0, 1.0]


def test_a_long_silence_counts_as_many_windows():
    server = _Server(offered=(80.0, 5000.0))
    server.run(50)
    server.offered = (0.0, 0.0)
    server.queues = [0.0, 0.0]
    server.run(3)
    server.now += 30.0
    assert server.run(1) == [1.0, 1.0]


def test_a_few_probes_a_second_stay_admitted():
    server = _Server(offered=(400.0, 400.0))
    server.run(100)
    assert server.thresholds.value(1) * 400.0 >= 0.8


def test_late_feedback_does_not_look_like_less_work():
    server = _Server()
    server.run(40)
    estimate = server.thresholds.value(1)
    thresholds = server.thresholds
    counts = thresholds._counts[1]
    counts.arrivals = 0.0
    counts.hash_sum = 0.0
    for _ in range(100):
        thresholds.count_arrival(1, server.rng.uniform(0.0, 0.05))
    assert counts.offered(max(estimate, 0.2)) == pytest.approx(2000, rel=0.3)


@pytest.mark.parametrize("slots", [1, 2, 4, 100])
def test_a_server_of_any_size_cuts_the_first_class_when_it_must(slots):
    server = _Server(slots=slots, offered=(400.0, 400.0))
    critical, _ = server.run(60)
    assert critical == pytest.approx(0.5, abs=0.1)

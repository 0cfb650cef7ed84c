"""Tests of the threshold controller."""

import random

import pytest

from bergamotdeal.admission import window
from bergamotdeal.presets import model

WINDOW_S = 0.1


class _SimulatedServer:
    """Simulated server that drives one control window per step."""

    def __init__(
        self,
        *,
        slots=20,
        capacity=200.0,
        offered=(80.0, 720.0),
        rate_limit=None,
    ):
        self.thresholds = window.ThresholdController(
            policy=model.AdmissionPolicy(), class_count=2, now=0.0
        )
        self.rng = random.Random(1)
        self.slots = slots
        self.capacity = capacity
        self.offered = offered
        self.rate_limit = rate_limit
        self.queues = [0.0, 0.0]
        self.now = 0.0

    def run(self, windows):
        for _ in range(windows):
            self.step()
        return [self.thresholds.class_threshold(rank) for rank in (0, 1)]

    def step(self):
        for rank, rate in enumerate(self.offered):
            threshold = self.thresholds.class_threshold(rank)
            admitted = round(rate * threshold * WINDOW_S)
            for _ in range(admitted):
                hash_share = self.rng.uniform(0.0, threshold)
                self.thresholds.record_arrival(rank, hash_share)
            self.queues[rank] += admitted
        slot_capacity = round(self.capacity * WINDOW_S)
        window_capacity = slot_capacity
        if self.rate_limit is not None:
            window_capacity = round(self.rate_limit * WINDOW_S)
        total_served = 0
        for rank in (0, 1):
            served = min(self.queues[rank], window_capacity - total_served)
            self.queues[rank] = min(self.slots, self.queues[rank] - served)
            for _ in range(int(served)):
                self.thresholds.record_start(rank, 0.0)
                self.thresholds.record_completion()
            total_served += served
        busy_share = min(1.0, total_served / slot_capacity)
        self.thresholds.add_busy_time(busy_share * self.slots * WINDOW_S)
        self.now += WINDOW_S
        self.thresholds.close_window(
            now=self.now,
            limit=self.slots,
            rate_limit=self.rate_limit,
            depth_by_rank=[int(queue) for queue in self.queues],
            queue_bound=self.slots,
        )


def test_overload_sheds_the_less_important_class():
    critical, browse = _SimulatedServer().run(60)
    assert critical == pytest.approx(1.0, abs=0.01)
    assert browse == pytest.approx(120.0 / 720.0, abs=0.06)


def test_rate_limit_sheds_although_slots_are_free():
    server = _SimulatedServer(rate_limit=100.0, offered=(40.0, 360.0))
    server.run(100)
    browse_thresholds = [server.run(1)[1] for _ in range(100)]
    mean = sum(browse_thresholds) / len(browse_thresholds)
    assert mean == pytest.approx(60.0 / 360.0, abs=0.05)


def test_top_class_is_shed_when_it_alone_exceeds_capacity():
    critical, browse = _SimulatedServer(offered=(400.0, 400.0)).run(60)
    assert critical == pytest.approx(0.5, abs=0.1)
    assert browse < 0.05


@pytest.mark.parametrize("windows", [1, 5, 20, 600])
def test_thresholds_recover_within_a_second_after_overload(windows):
    server = _SimulatedServer(offered=(500.0, 5000.0))
    server.run(windows)
    server.capacity = 1000.0
    server.offered = (80.0, 400.0)
    assert server.run(10) == [1.0, 1.0]


def test_threshold_recovers_without_arrivals():
    server = _SimulatedServer(offered=(500.0, 5000.0))
    server.run(50)
    server.offered = (0.0, 0.0)
    assert server.run(40) == [1.0, 1.0]


def test_long_idle_period_counts_as_many_windows():
    server = _SimulatedServer(offered=(80.0, 5000.0))
    server.run(50)
    server.offered = (0.0, 0.0)
    server.queues = [0.0, 0.0]
    server.run(3)
    server.now += 30.0
    assert server.run(1) == [1.0, 1.0]


def test_some_probe_requests_stay_admitted_under_overload():
    server = _SimulatedServer(offered=(400.0, 400.0))
    server.run(100)
    assert server.thresholds.class_threshold(1) * 400.0 >= 0.8


def test_offered_rate_estimate_is_unbiased_by_upstream_shedding():
    server = _SimulatedServer()
    server.run(40)
    local_threshold = server.thresholds.class_threshold(1)
    thresholds = server.thresholds
    counts = thresholds._counts[1]
    counts.arrivals = 0.0
    counts.hash_sum = 0.0
    for _ in range(100):
        thresholds.record_arrival(1, server.rng.uniform(0.0, 0.05))
    assert counts.estimate_offered(max(local_threshold, 0.2)) == pytest.approx(
        2000, rel=0.3
    )


@pytest.mark.parametrize("slots", [1, 2, 4, 100])
def test_top_class_is_shed_for_any_number_of_slots(slots):
    server = _SimulatedServer(slots=slots, offered=(400.0, 400.0))
    critical, _ = server.run(60)
    assert critical == pytest.approx(0.5, abs=0.1)

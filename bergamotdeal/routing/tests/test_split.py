"""Tests of smooth weighted round robin."""

import random

import pytest

from bergamotdeal.presets import model
from bergamotdeal.routing import split


def select_services(weights_by_service, count, seed=1):
    round_robin = split.WeightedSplit(
        destinations=tuple(
            model.Destination(service=service, weight=weight)
            for service, weight in weights_by_service.items()
        ),
        rng=random.Random(seed),
    )
    return [round_robin.next_service() for _ in range(count)]


@pytest.mark.parametrize("seed", range(5))
def test_every_run_of_requests_follows_the_weights(seed):
    services = select_services({"a": 90, "b": 10}, 500, seed)
    for start in range(0, 400, 7):
        share = services[start : start + 100].count("b") / 100
        assert share == pytest.approx(0.1, abs=0.02)


def test_destination_with_zero_weight_gets_no_requests():
    assert set(select_services({"a": 1, "b": 0}, 100)) == {"a"}


def test_nodes_start_at_different_destinations():
    first_services = {
        select_services({"a": 1, "b": 1}, 1, seed)[0] for seed in range(20)
    }
    assert first_services == {"a", "b"}

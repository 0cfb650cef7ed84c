"""Requests dealt to services by weight."""

import random

import pytest

from bergamotdeal.presets import model
from bergamotdeal.routing import split


def deal(weights_by_service, count, seed=1):
    dealt = split.WeightedSplit(
        destinations=tuple(
            model.Destination(service=service, weight=weight)
            for service, weight in weights_by_service.items()
        ),
        rng=random.Random(seed),
    )
    return [dealt.next_service() for _ in range(count)]


@pytest.mark.parametrize("seed", range(5))
def test_each_stretch_has_the_weights(seed):
    services = deal({"a": 90, "b": 10}, 500, seed)
    for start in range(0, 400, 7):
        share = services[start : start + 100].count("b") / 100
        assert share == pytest.approx(0.1, abs=0.02)


def test_part_without_weight_gets_nothing():
    assert set(deal({"a": 1, "b": 0}, 100)) == {"a"}


def test_nodes_do_not_deal_in_step():
    firsts = {deal({"a": 1, "b": 1}, 1, seed)[0] for seed in range(20)}
    assert firsts == {"a", "b"}

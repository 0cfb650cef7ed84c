"""Use of the cap, false refusals and traffic of a fleet without faults."""

import random

import pytest

from bergamotdeal.quotas.tests import model


def _run_fleet(host_count, cap, rate, *, seconds=6.0, spread=None, seed=1):
    names = [f"h{n}" for n in range(host_count)]
    fleet = model.Fleet(
        names=names,
        preset=model.build_preset({"o": cap}),
        seed=seed,
        established=True,
    )
    start = fleet.now
    weights = spread or model.skew(names, fleet.rng)
    fleet.demand("o", rate, weights, start + seconds)
    fleet.run_until(start + seconds)
    return fleet, start


@pytest.mark.parametrize("host_count", [14, 71, 196, 1300])
@pytest.mark.parametrize("rate", [8.0, 160.0])
def test_demand_above_the_cap_uses_the_cap(host_count, rate):
    fleet, start = _run_fleet(host_count, (rate, rate), 4 * rate, seconds=9)
    used = model.count_between(fleet.runs["o"], start + 3, start + 9)
    assert used >= 0.95 * rate * 6
    assert model.find_fullest_window(fleet.runs["o"]) <= (6 * rate * 1.1 + 20)


@pytest.mark.parametrize("host_count", [14, 71, 196, 1300])
def test_cap_stays_usable_when_demand_moves_to_other_hosts(host_count):
    names = [f"h{n}" for n in range(host_count)]
    rate = 80.0
    fleet = model.Fleet(
        names=names,
        preset=model.build_preset({"o": (rate, rate)}),
        seed=2,
        established=True,
    )
    start = fleet.now
    half = host_count // 2
    first = dict.fromkeys(names[:half], 1.0)
    second = dict.fromkeys(names[half:], 1.0)
    fleet.demand("o", 3 * rate, first, start + 6)
    fleet.run_until(start + 6)
    fleet.demand("o", 3 * rate, second, start + 8)
    fleet.run_until(start + 8)
    used = model.count_between(fleet.runs["o"], start + 6, start + 7)
    assert used >= 0.90 * rate


@pytest.mark.parametrize("host_count", [14, 71, 196, 1300])
@pytest.mark.parametrize("usual", [5.0, 30.0, 100.0])
def test_organisation_below_its_cap_is_hardly_refused(host_count, usual):
    cap = (1.6 * usual, 1.6 * usual)
    seconds = max(10, 1000 / usual)
    fleet, start = _run_fleet(host_count, cap, usual, seconds=seconds)
    refused = [t for t, _ in fleet.refusals["o"] if t > start + 2]
    runs = model.count_between(fleet.runs["o"], start + 2, fleet.now)
    assert len(refused) < 0.01 * (runs + len(refused))


def test_traffic_of_eighty_organisations():
    rng = random.Random(3)
    names = [f"h{n}" for n in range(196)]
    usual = {f"o{n}": rng.choice([5, 20, 50, 100]) for n in range(80)}
    caps = {o: (1.6 * rate, 1.6 * rate) for o, rate in usual.items()}
    fleet = model.Fleet(
        names=names,
        preset=model.build_preset(caps),
        seed=3,
        established=True,
    )
    start = fleet.now
    for name, rate in usual.items():
        overload = 7.5 if name == "o0" else 1.0
        weights = dict.fromkeys(names, 1.0)
        fleet.demand(name, overload * rate, weights, start + 4)
    fleet.run_until(start + 1)
    fleet.bytes_sent = 0
    fleet.run_until(start + 4)
    assert fleet.bytes_sent / 3 / 196 <= 2000

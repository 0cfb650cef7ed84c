"""Tests of fair sharing among organisations at the entries.

Load: one organisation sends 7.5 times its usual demand and 79 others send
theirs, while the capacity fits the usual demand of all 80.
"""

import random
import statistics

import pytest

from bergamotdeal.fairness import gate as fairness
from bergamotdeal.pricing import gate

_SLOT_S = 0.1
_SURGE = 7.5
_SETTLED_S = 5.0


def _draw_arrivals(rng, rates, *, seconds, surge_at):
    """Draws Poisson arrivals; organisation 0 surges from a time on."""
    arrivals = []
    for organisation, rate in enumerate(rates):
        now = 0.0
        while True:
            factor = _SURGE if organisation == 0 and now >= surge_at else 1.0
            now += rng.expovariate(rate * factor)
            if now >= seconds:
                break
            arrivals.append((now, organisation))
    return sorted(arrivals)


def _serve(
    *,
    rates,
    entries,
    is_fair,
    capacity_share=1.0,
    seconds=45.0,
    surge_at=15.0,
):
    """Returns what each organisation gets from the settled surge on.

    The share that the service reports follows the offered load, as it does
    when the backpressure of its server has settled. The figures are the share
    of its usual demand that each organisation gets.
    """
    rng = random.Random(1)
    gates = [gate.EntryGate(rng=random.Random(n)) for n in range(entries)]
    served = [0] * len(rates)
    offered = [0] * len(rates)
    usual = sum(rates)
    surging = usual + (_SURGE - 1) * rates[0]
    arrivals = _draw_arrivals(rng, rates, seconds=seconds, surge_at=surge_at)
    for number, (now, organisation) in enumerate(arrivals):
        entry = gates[rng.randrange(entries)]
        is_excess = entry.record_request(
            "kits",
            1,
            {"orderline": _SLOT_S},
            now,
            organisation=f"o{organisation}" if is_fair else "",
            weight=rates[organisation] * len(rates) / usual,
        )
        if now < surge_at:
            continue
        admitted = entry.admits(
            "kits",
            number,
            {"orderline": capacity_share * usual / surging},
            now,
            is_excess=is_excess,
        )
        if now >= surge_at + _SETTLED_S:
            offered[organisation] += 1
            served[organisation] += admitted
    offered[0] /= _SURGE
    return [s / o for s, o in zip(served, offered, strict=True)]


_EQUAL = [12.5] * 80
_UNEVEN = [5.0 + 5.0 * (n % 5) for n in range(2, 82)]


@pytest.mark.parametrize("entries", [1, 70])
@pytest.mark.parametrize("rates", [_EQUAL, _UNEVEN])
def test_surging_organisation_takes_nothing_from_the_others(entries, rates):
    kept = _serve(rates=rates, entries=entries, is_fair=True)
    without = _serve(rates=rates, entries=entries, is_fair=False)
    assert statistics.mean(kept[1:]) >= 0.95
    assert statistics.mean(without[1:]) < 0.93
    assert min(kept[1:]) > 0.9
    assert kept[0] >= 1.0
    assert statistics.mean(kept) >= 0.97


# Putting the surging organisation behind the others altogether would starve
# it when the others alone exceed the capacity.


@pytest.mark.parametrize("entries", [1, 70])
def test_no_organisation_starves_when_all_exceed_the_capacity(entries):
    kept = _serve(
        rates=_EQUAL, entries=entries, is_fair=True, capacity_share=0.5
    )
    mean = statistics.mean(kept)
    assert mean == pytest.approx(0.5, abs=0.05)
    assert min(kept) >= mean / 4


def test_organisations_change_nothing_without_overload():
    entry = gate.EntryGate(rng=random.Random(1))
    for step in range(1000):
        is_excess = entry.record_request(
            "kits",
            1,
            {"orderline": _SLOT_S},
            step * 0.01,
            organisation=f"o{step % 3}",
        )
        assert not is_excess


# Names of organisations come from presets, but a table that grows with each
# name seen would outlive many of them.


def test_state_per_organisation_is_bounded():
    shares = fairness.FairShares()
    count = 3 * fairness.MAX_ORGANISATIONS
    for number in range(count):
        shares.record_request(f"o{number}", 1.0, 0, {"orderline": 0.1}, 1.0)
    shares.set_capacity("orderline", 0, 1.0, 2.0)
    table = shares._tables_by_key["orderline", 0]
    assert len(table.demands_by_organisation) == fairness.MAX_ORGANISATIONS
    assert f"o{count - 1}" in table.demands_by_organisation

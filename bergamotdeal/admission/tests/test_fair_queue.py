"""Tests of the fair order of the queue beside a server.

Load: one organisation sends 7.5 times its usual demand and 79 others send
theirs, at a server whose capacity fits the usual demand of all 80.
"""

import random
import statistics

import pytest

from bergamotdeal.admission import core
from bergamotdeal.admission import waiting
from bergamotdeal.admission.tests import simulation
from bergamotdeal.fairness import rounds
from bergamotdeal.presets import model

_ORGANISATIONS = 80
_RATE = 2.5
_SURGE = 7.5
_SLOTS = 20
_SECONDS = 40.0
_SETTLED_S = 5.0
_POLICY = {
    "thresholds": False,
    "consistent_hash": False,
    "slow_start": False,
    "adapt_limit": False,
    "reserved_share": 0.0,
    "queue_slots_ratio": 2.5,
}


def _serve(*, is_fair, capacity_share=1.0):
    """Returns the share of its usual demand that each organisation gets."""
    rng = random.Random(1)
    run_s = _SLOTS / (capacity_share * _ORGANISATIONS * _RATE)
    arrivals = []
    for organisation in range(_ORGANISATIONS):
        rate = _RATE * (_SURGE if organisation == 0 else 1.0)
        now = rng.expovariate(rate)
        while now < _SECONDS:
            arrival = simulation.Arrival(
                at=now,
                run_s=rng.uniform(0.5, 1.5) * run_s,
                fields={"organisation": f"o{organisation}"},
            )
            arrivals.append((organisation, arrival))
            now += rng.expovariate(rate)
    simulation.run_server(
        [arrival for _, arrival in arrivals],
        slots=_SLOTS,
        policy=model.AdmissionPolicy(fair_share=is_fair, **_POLICY),
    )
    served = [0.0] * _ORGANISATIONS
    offered = [0.0] * _ORGANISATIONS
    for organisation, arrival in arrivals:
        if arrival.at >= _SETTLED_S:
            offered[organisation] += 1.0
            served[organisation] += arrival.ended_at is not None
    offered[0] /= _SURGE
    return [s / o for s, o in zip(served, offered, strict=True)]


def test_surging_organisation_takes_nothing_from_the_others():
    kept = _serve(is_fair=True)
    without = _serve(is_fair=False)
    assert statistics.mean(kept[1:]) >= 0.97
    # Each organisation has some 90 random arrivals, some have a fifth more.
    assert min(kept[1:]) >= 0.85
    assert statistics.mean(without[1:]) < 0.95


def test_no_organisation_starves_when_all_exceed_the_capacity():
    kept = _serve(is_fair=True, capacity_share=0.5)
    mean = statistics.mean(kept)
    assert mean == pytest.approx(0.5, abs=0.05)
    assert min(kept) >= mean / 4


def _make_job(job_id, organisation="", *, weight=1.0):
    return core.Job(
        job_id=job_id,
        class_rank=0,
        hash_share=0.0,
        deadline=10.0,
        arrived=float(job_id),
        organisation=organisation,
        weight=weight,
    )


def _ids(queue):
    return [job.job_id for job in queue.jobs()]


def test_organisation_ahead_goes_behind_and_is_evicted_first():
    queue = waiting.JobQueue()
    for job_id in range(6):
        queue.push(_make_job(job_id, "many"), rank=0, hash_share=0.0)
    queue.push(_make_job(6, "few"), rank=0, hash_share=0.0)
    assert _ids(queue) == [0, 1, 2, 6, 3, 4, 5]
    assert queue.last().job_id == 5


def test_order_without_organisations_is_that_of_arrival():
    queue = waiting.JobQueue()
    for job_id in range(6):
        queue.push(_make_job(job_id), rank=0, hash_share=0.0)
    assert _ids(queue) == list(range(6))
    assert queue.last().job_id == 5


# A heavier organisation may have more jobs in the same round.


def test_weight_counts_for_the_order():
    queue = waiting.JobQueue()
    for job_id in range(6):
        queue.push(
            _make_job(job_id, "large", weight=4.0), rank=0, hash_share=0.0
        )
    queue.push(_make_job(6, "small", weight=0.5), rank=0, hash_share=0.0)
    assert _ids(queue) == list(range(7))


def test_state_per_organisation_is_bounded():
    class_rounds = rounds.FairRounds()
    for number in range(3 * rounds.MAX_ORGANISATIONS):
        class_rounds.assign(f"o{number}", 1.0)
    known = len(class_rounds._due_by_organisation)
    assert known == rounds.MAX_ORGANISATIONS
    class_rounds.record_start(5)
    assert class_rounds.assign("new", 1.0) == 5
    assert len(class_rounds._due_by_organisation) == 1

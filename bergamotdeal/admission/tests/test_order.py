"""Tests of the order by progress and target latency.

Load: 1.7 times the usual demand for 18 s at the service where the call trees
end. Two fifths of the callers retry three times immediately. There are four
kinds of requests, with up to eight calls in sequence.
"""

import dataclasses
import random

import pytest

from bergamotdeal.admission import core
from bergamotdeal.admission import order
from bergamotdeal.admission import waiting
from bergamotdeal.admission.tests import simulation
from bergamotdeal.presets import model

_SLOTS = 20
_SURGE = 1.7
_USUAL_UTILIZATION = 0.75
_SURGE_FROM_S = 5.0
_SURGE_S = 18.0
_SECONDS = 30.0
_BETWEEN_CALLS_S = 0.03
_POLICY = {
    "thresholds": False,
    "consistent_hash": False,
    "slow_start": False,
    "adapt_limit": False,
    "queue_slots_ratio": 2.5,
}


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Kind:
    target_s: float
    deadline_s: float
    calls: int
    run_s: float


_KINDS = (
    _Kind(target_s=0.4, deadline_s=1.5, calls=1, run_s=0.08),
    _Kind(target_s=1.0, deadline_s=3.0, calls=2, run_s=0.1),
    _Kind(target_s=2.0, deadline_s=5.0, calls=4, run_s=0.1),
    _Kind(target_s=4.0, deadline_s=8.0, calls=8, run_s=0.12),
)


@dataclasses.dataclass(kw_only=True, eq=False)
class _Tree:
    kind: _Kind
    arrived_at: float
    retries_left: int
    done_calls: int = 0
    used_s: float = 0.0
    wasted_s: float = 0.0
    completed_at: float | None = None

    def next_call(self, now, rng):
        return simulation.Arrival(
            at=now,
            run_s=self.kind.run_s * rng.uniform(0.5, 1.5),
            deadline_s=self.arrived_at + self.kind.deadline_s - now,
            fields={
                "target": self.arrived_at + self.kind.target_s,
                "calls_made": self.done_calls,
            },
        )


def _serve(*, deadline_order, seed=1):
    """Returns the share in time, the share completed and the wasted share."""
    rng = random.Random(seed)
    work_s = sum(kind.calls * kind.run_s for kind in _KINDS) / len(_KINDS)
    usual_rate = _USUAL_UTILIZATION * _SLOTS / work_s
    trees = []
    now = 0.0
    while True:
        in_surge = _SURGE_FROM_S <= now < _SURGE_FROM_S + _SURGE_S
        now += rng.expovariate(usual_rate * (_SURGE if in_surge else 1.0))
        if now >= _SECONDS:
            break
        retries = 3 if rng.random() < 0.4 else 0
        trees.append(
            _Tree(kind=rng.choice(_KINDS), arrived_at=now, retries_left=retries)
        )
    trees_by_call = {}

    def call(tree, at):
        arrival = tree.next_call(at, rng)
        trees_by_call[id(arrival)] = (tree, arrival)
        return arrival

    def on_end(arrival, at):
        tree, _ = trees_by_call.pop(id(arrival))
        if arrival.ended_at is not None:
            tree.done_calls += 1
            tree.used_s += arrival.run_s
            if tree.done_calls < tree.kind.calls:
                # The caller works between its calls, without a slot here.
                return [call(tree, at + _BETWEEN_CALLS_S)]
            tree.completed_at = at
            return []
        tree.wasted_s += tree.used_s
        tree.used_s = 0.0
        tree.done_calls = 0
        if tree.retries_left:
            tree.retries_left -= 1
            return [call(tree, at)]
        return []

    simulation.run_server(
        [call(tree, tree.arrived_at) for tree in trees],
        slots=_SLOTS,
        policy=model.AdmissionPolicy(deadline_order=deadline_order, **_POLICY),
        on_end=on_end,
    )
    surge = [
        tree
        for tree in trees
        if _SURGE_FROM_S <= tree.arrived_at < _SURGE_FROM_S + _SURGE_S
    ]
    in_time = sum(
        tree.completed_at is not None
        and tree.completed_at <= tree.arrived_at + tree.kind.target_s
        for tree in surge
    )
    completed = sum(tree.completed_at is not None for tree in surge)
    used = sum(tree.used_s + tree.wasted_s for tree in surge)
    wasted = sum(
        tree.wasted_s + (tree.used_s if tree.completed_at is None else 0.0)
        for tree in surge
    )
    return in_time / len(surge), completed / len(surge), wasted / used


@pytest.mark.parametrize("seed", [1, 2])
def test_order_by_deadline_serves_more_in_time_and_wastes_less(seed):
    in_time, completed, wasted = _serve(deadline_order=True, seed=seed)
    plain = _serve(deadline_order=False, seed=seed)
    assert in_time >= plain[0] + 0.05
    assert completed >= plain[1] + 0.08
    assert wasted < 0.02 < plain[2]


def _make_job(job_id, **fields):
    return core.Job(
        job_id=job_id,
        class_rank=fields.pop("class_rank", 0),
        hash_share=0.0,
        deadline=fields.pop("deadline", 20.0),
        arrived=float(job_id),
        **fields,
    )


def _queue_order(jobs, *, now=0.0, run_s=0.0):
    queue = waiting.JobQueue(by_deadline=True)
    for job in jobs:
        queue.push(job, rank=job.class_rank, hash_share=0.0)
    queue.update_urgency(now, run_s=run_s)
    return [job.job_id for job in queue.jobs()]


def test_order_is_class_then_progress_then_slack_then_lateness():
    jobs = [
        _make_job(1, target=1.0, class_rank=1, calls_made=3),
        _make_job(2, target=0.4),
        _make_job(3),
        _make_job(4, target=9.0),
        _make_job(5, target=2.0),
        _make_job(6, target=8.0, calls_made=1),
    ]
    assert _queue_order(jobs, run_s=0.5) == [6, 5, 4, 3, 2, 1]


# A job that was urgent would otherwise stay in front after its target passed.


def test_job_moves_back_once_its_target_can_not_be_met():
    jobs = [_make_job(1, target=1.0), _make_job(2, target=3.0)]
    assert _queue_order(jobs, now=0.4, run_s=0.5) == [1, 2]
    assert _queue_order(jobs, now=0.6, run_s=0.5) == [2, 1]
    late = order.compute_urgency(jobs[0], now=0.6, run_s=0.5)
    assert late == order.Urgency(is_late=True, due=20.0)


def test_targets_do_not_count_when_switched_off():
    queue = waiting.JobQueue()
    for job_id in (1, 2):
        job = _make_job(job_id, target=10.0 - job_id, calls_made=job_id)
        queue.push(job, rank=0, hash_share=0.0)
    queue.update_urgency(50.0, run_s=1.0)
    assert [job.job_id for job in queue.jobs()] == [1, 2]

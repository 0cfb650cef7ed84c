"""Tests of the admission controller."""

import hypothesis
from hypothesis import strategies

from bergamotdeal.admission import controller
from bergamotdeal.admission import core
from bergamotdeal.errors import core as errors
from bergamotdeal.presets import model


def _make_controller(**changes):
    arguments = {
        "policy": model.AdmissionPolicy(slow_start=False),
        "service_policy": model.ServicePolicy(),
        "class_count": 2,
        "slots": 2,
        "now": 0.0,
    }
    return controller.AdmissionController(**(arguments | changes))


def _make_job(job_id, *, rank=1, share=0.5, deadline=10.0, arrived=0.0):
    return core.Job(
        job_id=job_id,
        class_rank=rank,
        hash_share=share,
        deadline=deadline,
        arrived=arrived,
    )


def _shed_decision(job_id):
    return core.Refuse(job_id=job_id, kind=errors.ErrorKind.SHED)


def test_jobs_start_up_to_the_limit_and_then_queue():
    admission = _make_controller()
    assert admission.submit(_make_job(1), 0.0) == [core.Start(job_id=1)]
    assert admission.submit(_make_job(2, rank=0), 0.0) == [core.Start(job_id=2)]
    assert admission.submit(_make_job(3), 0.0) == []
    assert admission.load().queued == 1
    assert admission.release_slot(1, 0.01, completed=True) == [
        core.Start(job_id=3)
    ]


def test_critical_job_evicts_a_queued_browse_job():
    admission = _make_controller()
    for job_id in (1, 2, 3, 4):
        admission.submit(_make_job(job_id, rank=0 if job_id < 3 else 1), 0.0)
    assert admission.submit(_make_job(5, rank=0), 0.0) == [_shed_decision(4)]


def test_all_jobs_start_when_limits_are_disabled():
    admission = _make_controller(policy=model.AdmissionPolicy(limits=False))
    for job_id in range(100):
        started = [core.Start(job_id=job_id)]
        assert admission.submit(_make_job(job_id), 0.0) == started
    assert admission.threshold(1) == 1.0


def test_job_past_its_deadline_is_refused():
    admission = _make_controller(slots=1)
    admission.submit(_make_job(1, rank=0), 0.0)
    admission.submit(_make_job(2, rank=0, deadline=1.0), 0.0)
    decisions = admission.release_slot(1, 2.0, completed=True)
    kind = errors.ErrorKind.DEADLINE_EXCEEDED
    assert decisions == [core.Refuse(job_id=2, kind=kind)]


def test_queued_jobs_are_refused_when_the_server_leaves():
    admission = _make_controller(slots=1)
    admission.submit(_make_job(1, rank=0), 0.0)
    admission.submit(_make_job(2, rank=0), 0.0)
    kind = errors.ErrorKind.NO_SERVER
    assert admission.set_slots(0, 0.1) == [core.Refuse(job_id=2, kind=kind)]


def _cancellable_controller(**changes):
    service_policy = model.ServicePolicy(accepts_cancellation=True)
    return _make_controller(service_policy=service_policy, **changes)


def _started_ids(decisions):
    return [each.job_id for each in decisions if isinstance(each, core.Start)]


def test_critical_job_preempts_a_running_browse_job():
    admission = _cancellable_controller()
    admission.submit(_make_job(1, rank=0), 0.0)
    admission.submit(_make_job(2, rank=1, share=0.9), 0.0)
    admission.submit(_make_job(3, rank=0, share=0.1), 0.0)
    admission.submit(_make_job(4, rank=0, share=0.2), 0.0)
    decisions = admission.submit(_make_job(5, rank=0, share=0.3), 0.0)
    assert decisions == [core.Preempt(job_id=2), core.Start(job_id=5)]
    assert admission.release_slot(2, 0.1, completed=False) == []
    assert admission.load().running == 2


def test_no_preemption_if_the_server_accepts_no_cancellation():
    admission = _make_controller()
    admission.submit(_make_job(1, rank=0), 0.0)
    admission.submit(_make_job(2, rank=1), 0.0)
    admission.submit(_make_job(3, rank=0), 0.0)
    admission.submit(_make_job(4, rank=0), 0.0)
    assert admission.submit(_make_job(5, rank=0, share=0.9), 0.0) == [
        _shed_decision(5)
    ]


@hypothesis.given(
    steps=strategies.lists(
        strategies.tuples(
            strategies.sampled_from(["critical", "browse", "finish", "wait"]),
            strategies.floats(0.0, 0.999),
        ),
        max_size=120,
    ),
    cancellable=strategies.booleans(),
)
def test_critical_job_is_refused_only_without_lower_class_to_displace(
    steps, cancellable
):
    admission = (_cancellable_controller if cancellable else _make_controller)(
        slots=4
    )
    now = 0.0
    ranks_by_id = {}
    running = set()
    waiting = set()
    for job_id, (step, value) in enumerate(steps):
        now += 0.01
        if step == "finish" and running:
            decisions = admission.release_slot(
                min(running), now, completed=True
            )
            running.discard(min(running))
        elif step in ("critical", "browse"):
            ranks_by_id[job_id] = 0 if step == "critical" else 1
            waiting.add(job_id)
            job = _make_job(
                job_id,
                rank=ranks_by_id[job_id],
                share=value,
                deadline=1000.0,
                arrived=now,
            )
            decisions = admission.submit(job, now)
        else:
            now += value
            decisions = admission.advance(now)
        for decision in decisions:
            waiting.discard(decision.job_id)
            match decision:
                case core.Start():
                    running.add(decision.job_id)
                case core.Preempt():
                    running.discard(decision.job_id)
        refused = [each for each in decisions if isinstance(each, core.Refuse)]
        if any(ranks_by_id[each.job_id] == 0 for each in refused):
            assert all(ranks_by_id[each] == 0 for each in waiting)
            if cancellable:
                assert all(ranks_by_id[each] == 0 for each in running)
        assert len(running) == admission.load().running <= 4
        assert len(waiting) == admission.load().queued <= 4


def test_slot_is_reserved_for_the_top_class_after_its_first_job():
    policy = model.AdmissionPolicy(slow_start=False, reserved_share=0.25)
    admission = _make_controller(policy=policy, slots=4)
    admission.submit(_make_job(1, rank=0), 0.0)
    admission.release_slot(1, 0.01, completed=True)
    for job_id in (2, 3, 4, 5):
        admission.submit(_make_job(job_id), 0.02)
    assert admission.load().running == 3
    assert _started_ids(admission.submit(_make_job(6, rank=0), 0.02)) == [6]


def test_no_slot_is_reserved_for_a_top_class_without_jobs():
    admission = _make_controller(slots=4)
    for job_id in range(4):
        admission.submit(_make_job(job_id), 0.0)
    assert admission.load().running == 4


def test_job_that_would_miss_its_deadline_is_refused():
    admission = _make_controller(slots=1)
    for job_id in range(5):
        now = float(job_id)
        admission.submit(_make_job(job_id, deadline=100.0), now)
        admission.release_slot(job_id, now + 0.5, completed=True)
    admission.advance(6.0)
    late = _make_job(10, rank=0, deadline=6.3, arrived=6.0)
    assert admission.submit(late, 6.0) == [_shed_decision(10)]
    early = _make_job(11, rank=0, deadline=7.3, arrived=6.0)
    assert _started_ids(admission.submit(early, 6.0)) == [11]


def test_high_run_time_estimate_decays_until_jobs_start():
    admission = _make_controller(slots=1)
    admission.submit(_make_job(0, deadline=100.0), 0.0)
    admission.release_slot(0, 5.0, completed=True)
    now = 5.0
    for job_id in range(1, 100):
        now += 0.25
        job = _make_job(job_id, deadline=now + 1.0, arrived=now)
        if _started_ids(admission.submit(job, now)):
            break
    assert now < 10.0


def test_queued_critical_job_preempts_before_its_latest_start():
    admission = _cancellable_controller(slots=1)
    admission.submit(_make_job(0, deadline=100.0), 0.0)
    admission.release_slot(0, 1.0, completed=True)
    admission.advance(1.5)
    admission.submit(_make_job(1, rank=1, deadline=100.0), 1.5)
    critical = _make_job(2, rank=0, deadline=5.0, arrived=1.5)
    assert admission.submit(critical, 1.5) == []
    wakeup = 1.5
    decisions = []
    while not decisions:
        wakeup = admission.next_wakeup()
        decisions = admission.advance(wakeup)
    assert decisions == [core.Preempt(job_id=1), core.Start(job_id=2)]
    assert wakeup <= 4.0


def test_limit_grows_gradually_for_a_new_server():
    policy = model.AdmissionPolicy()
    admission = _make_controller(policy=policy, slots=20)
    assert admission.load().limit == 2
    admission.advance(1.0)
    assert admission.load().limit == 10
    admission.advance(3.0)
    assert admission.load().limit == 20
    admission.set_slots(0, 4.0)
    admission.set_slots(20, 5.0)
    admission.advance(5.0)
    assert admission.load().limit == 2


def test_no_displacement_when_class_order_is_disabled():
    policy = model.AdmissionPolicy(slow_start=False, class_order=False)
    admission = _make_controller(policy=policy, slots=1)
    admission.submit(_make_job(1, rank=1, share=0.1), 0.0)
    admission.submit(_make_job(2, rank=1, share=0.2), 0.0)
    assert admission.submit(_make_job(3, rank=0, share=0.9), 0.0) == [
        _shed_decision(3)
    ]


def test_new_policy_applies_to_queued_and_running_jobs():
    admission = _make_controller(slots=1)
    admission.submit(_make_job(1, rank=1), 0.0)
    admission.submit(_make_job(2, rank=1), 0.0)
    decisions = admission.set_policy(
        policy=model.AdmissionPolicy(limits=False),
        service_policy=model.ServicePolicy(),
        class_count=1,
        now=0.1,
    )
    assert _started_ids(decisions) == [2]
    assert admission.threshold(1) == 1.0


def test_cancelled_job_frees_its_slot_or_queue_place():
    admission = _make_controller(slots=1)
    admission.submit(_make_job(1), 0.0)
    admission.submit(_make_job(2), 0.0)
    assert _started_ids(admission.cancel_job(1, 0.1)) == [2]
    admission.submit(_make_job(3), 0.1)
    admission.cancel_job(3, 0.2)
    assert admission.load().queued == 0


@hypothesis.given(
    deadline=strategies.floats(1.0, 1e6), run_s=strategies.floats(1e-6, 0.5)
)
def test_next_wakeup_is_always_in_the_future(deadline, run_s):
    admission = _make_controller(slots=1)
    admission.submit(_make_job(1, deadline=1e9), 0.0)
    admission.release_slot(1, run_s, completed=True)
    admission.advance(0.9)
    admission.submit(_make_job(2, deadline=1e9), 0.9)
    admission.submit(_make_job(3, deadline=0.9 + deadline, arrived=0.9), 0.9)
    now = 0.9
    while admission.load().queued and now < 3.0:
        wakeup = admission.next_wakeup()
        assert wakeup > now
        now = wakeup
        admission.advance(now)


# A server that slows down when nearly full loses more throughput to its last
# slots than they add, so ``slots_share`` keeps part of them free.


def test_slots_share_keeps_part_of_the_slots_free():
    policy = model.AdmissionPolicy(slots_share=0.95, slow_start=False)
    admission = _make_controller(slots=18, policy=policy)
    decisions = [
        decision
        for job_id in range(18)
        for decision in admission.submit(_make_job(job_id, rank=0), 0.0)
    ]
    assert decisions == [core.Start(job_id=job_id) for job_id in range(17)]
    assert admission.load().limit == 17
    assert admission.load().queued == 1


def test_slots_share_leaves_at_least_one_slot():
    admission = _make_controller(
        slots=1, policy=model.AdmissionPolicy(slots_share=0.5)
    )
    assert admission.submit(_make_job(1), 0.0) == [core.Start(job_id=1)]

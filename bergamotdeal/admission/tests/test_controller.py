"""Tests of the admission controller."""

import hypothesis
from hypothesis import strategies

from bergamotdeal.admission import controller
from bergamotdeal.admission import core
from bergamotdeal.errors import core as errors
from bergamotdeal.presets import model


def _controller(**changes):
    arguments = {
        "policy": model.AdmissionPolicy(slow_start=False),
        "service_policy": model.ServicePolicy(),
        "class_count": 2,
        "slots": 2,
        "now": 0.0,
    }
    return controller.AdmissionController(**(arguments | changes))


def _job(job_id, *, rank=1, share=0.5, deadline=10.0, arrived=0.0):
    return core.Job(
        job_id=job_id,
        class_rank=rank,
        hash_share=share,
        deadline=deadline,
        arrived=arrived,
    )


def _shed(job_id):
    return core.Refuse(job_id=job_id, kind=errors.ErrorKind.SHED)


def test_jobs_start_up_to_the_limit_and_then_wait():
    target = _controller()
    assert target.submit(_job(1), 0.0) == [core.Start(job_id=1)]
    assert target.submit(_job(2, rank=0), 0.0) == [core.Start(job_id=2)]
    assert target.submit(_job(3), 0.0) == []
    assert target.load().queued == 1
    assert target.release_slot(1, 0.01, completed=True) == [
        core.Start(job_id=3)
    ]


def test_a_critical_job_evicts_a_queued_browse_job():
    target = _controller()
    for job_id in (1, 2, 3, 4):
        target.submit(_job(job_id, rank=0 if job_id < 3 else 1), 0.0)
    assert target.submit(_job(5, rank=0), 0.0) == [_shed(4)]


def test_without_limits_everything_starts():
    target = _controller(policy=model.AdmissionPolicy(limits=False))
    for job_id in range(100):
        started = [core.Start(job_id=job_id)]
        assert target.submit(_job(job_id), 0.0) == started
    assert target.threshold(1) == 1.0


def test_a_late_job_is_not_started():
    target = _controller(slots=1)
    target.submit(_job(1, rank=0), 0.0)
    target.submit(_job(2, rank=0, deadline=1.0), 0.0)
    decisions = target.release_slot(1, 2.0, completed=True)
    kind = errors.ErrorKind.DEADLINE_EXCEEDED
    assert decisions == [core.Refuse(job_id=2, kind=kind)]


def test_a_server_that_leaves_refuses_waiting_jobs():
    target = _controller(slots=1)
    target.submit(_job(1, rank=0), 0.0)
    target.submit(_job(2, rank=0), 0.0)
    kind = errors.ErrorKind.NO_SERVER
    assert target.set_slots(0, 0.1) == [core.Refuse(job_id=2, kind=kind)]


def _cancellable(**changes):
    service_policy = model.ServicePolicy(accepts_cancellation=True)
    return _controller(service_policy=service_policy, **changes)


def _starts(decisions):
    return [each.job_id for each in decisions if isinstance(each, core.Start)]


def test_a_critical_job_takes_the_slot_of_browse_instead_of_a_refusal():
    target = _cancellable()
    target.submit(_job(1, rank=0), 0.0)
    target.submit(_job(2, rank=1, share=0.9), 0.0)
    target.submit(_job(3, rank=0, share=0.1), 0.0)
    target.submit(_job(4, rank=0, share=0.2), 0.0)
    decisions = target.submit(_job(5, rank=0, share=0.3), 0.0)
    assert decisions == [core.Preempt(job_id=2), core.Start(job_id=5)]
    assert target.release_slot(2, 0.1, completed=False) == []
    assert target.load().running == 2


def test_browse_runs_on_where_the_server_accepts_no_cancellation():
    target = _controller()
    target.submit(_job(1, rank=0), 0.0)
    target.submit(_job(2, rank=1), 0.0)
    target.submit(_job(3, rank=0), 0.0)
    target.submit(_job(4, rank=0), 0.0)
    assert target.submit(_job(5, rank=0, share=0.9), 0.0) == [_shed(5)]


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
def test_critical_is_refused_only_when_no_browse_could_give_way(
    steps, cancellable
):
    target = (_cancellable if cancellable else _controller)(slots=4)
    now = 0.0
    ranks_by_id = {}
    running = set()
    waiting = set()
    for job_id, (step, value) in enumerate(steps):
        now += 0.01
        if step == "finish" and running:
            decisions = target.release_slot(min(running), now, completed=True)
            running.discard(min(running))
        elif step in ("critical", "browse"):
            ranks_by_id[job_id] = 0 if step == "critical" else 1
            waiting.add(job_id)
            job = _job(
                job_id,
                rank=ranks_by_id[job_id],
                share=value,
                deadline=1000.0,
                arrived=now,
            )
            decisions = target.submit(job, now)
        else:
            now += value
            decisions = target.advance(now)
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
        assert len(running) == target.load().running <= 4
        assert len(waiting) == target.load().queued <= 4


def test_a_slot_stays_free_for_the_first_class_once_it_was_seen():
    policy = model.AdmissionPolicy(slow_start=False, reserved_share=0.25)
    target = _controller(policy=policy, slots=4)
    target.submit(_job(1, rank=0), 0.0)
    target.release_slot(1, 0.01, completed=True)
    for job_id in (2, 3, 4, 5):
        target.submit(_job(job_id), 0.02)
    assert target.load().running == 3
    assert _starts(target.submit(_job(6, rank=0), 0.02)) == [6]


def test_nothing_is_reserved_for_a_class_without_requests():
    target = _controller(slots=4)
    for job_id in range(4):
        target.submit(_job(job_id), 0.0)
    assert target.load().running == 4


def test_work_that_cannot_finish_in_time_is_not_started():
    target = _controller(slots=1)
    for job_id in range(5):
        now = float(job_id)
        target.submit(_job(job_id, deadline=100.0), now)
        target.release_slot(job_id, now + 0.5, completed=True)
    target.advance(6.0)
    late = _job(10, rank=0, deadline=6.3, arrived=6.0)
    assert target.submit(late, 6.0) == [_shed(10)]
    early = _job(11, rank=0, deadline=7.3, arrived=6.0)
    assert _starts(target.submit(early, 6.0)) == [11]


def test_a_long_estimate_does_not_refuse_for_ever():
    target = _controller(slots=1)
    target.submit(_job(0, deadline=100.0), 0.0)
    target.release_slot(0, 5.0, completed=True)
    now = 5.0
    for job_id in range(1, 100):
        now += 0.25
        job = _job(job_id, deadline=now + 1.0, arrived=now)
        if _starts(target.submit(job, now)):
            break
    assert now < 10.0


def test_a_waiting_critical_job_preempts_before_it_is_too_late():
    target = _cancellable(slots=1)
    target.submit(_job(0, deadline=100.0), 0.0)
    target.release_slot(0, 1.0, completed=True)
    target.advance(1.5)
    target.submit(_job(1, rank=1, deadline=100.0), 1.5)
    critical = _job(2, rank=0, deadline=5.0, arrived=1.5)
    assert target.submit(critical, 1.5) == []
    wakeup = 1.5
    decisions = []
    while not decisions:
        wakeup = target.next_wakeup()
        decisions = target.advance(wakeup)
    assert decisions == [core.Preempt(job_id=1), core.Start(job_id=2)]
    assert wakeup <= 4.0


def test_a_new_server_starts_slowly():
    policy = model.AdmissionPolicy()
    target = _controller(policy=policy, slots=20)
    assert target.load().limit == 2
    target.advance(1.0)
    assert target.load().limit == 10
    target.advance(3.0)
    assert target.load().limit == 20
    target.set_slots(0, 4.0)
    target.set_slots(20, 5.0)
    target.advance(5.0)
    assert target.load().limit == 2


def test_without_class_order_browse_is_not_displaced():
    policy = model.AdmissionPolicy(slow_start=False, class_order=False)
    target = _controller(policy=policy, slots=1)
    target.submit(_job(1, rank=1, share=0.1), 0.0)
    target.submit(_job(2, rank=1, share=0.2), 0.0)
    assert target.submit(_job(3, rank=0, share=0.9), 0.0) == [_shed(3)]


def test_a_new_policy_takes_over_waiting_and_running_jobs():
    target = _controller(slots=1)
    target.submit(_job(1, rank=1), 0.0)
    target.submit(_job(2, rank=1), 0.0)
    decisions = target.set_policy(
        policy=model.AdmissionPolicy(limits=False),
        service_policy=model.ServicePolicy(),
        class_count=1,
        now=0.1,
    )
    assert _starts(decisions) == [2]
    assert target.threshold(1) == 1.0


def test_a_withdrawn_job_gives_back_its_place():
    target = _controller(slots=1)
    target.submit(_job(1), 0.0)
    target.submit(_job(2), 0.0)
    assert _starts(target.cancel_job(1, 0.1)) == [2]
    target.submit(_job(3), 0.1)
    target.cancel_job(3, 0.2)
    assert target.load().queued == 0


@hypothesis.given(
    deadline=strategies.floats(1.0, 1e6), run_s=strategies.floats(1e-6, 0.5)
)
def test_a_wakeup_always_makes_progress(deadline, run_s):
    target = _controller(slots=1)
    target.submit(_job(1, deadline=1e9), 0.0)
    target.release_slot(1, run_s, completed=True)
    target.advance(0.9)
    target.submit(_job(2, deadline=1e9), 0.9)
    target.submit(_job(3, deadline=0.9 + deadline, arrived=0.9), 0.9)
    now = 0.9
    while target.load().queued and now < 3.0:
        wakeup = target.next_wakeup()
        assert wakeup > now
        now = wakeup
        target.advance(now)


# Server that slows down when nearly full: the last slots cost more than they
# bring, so a part stays free.


def test_part_of_the_slots_stays_free():
    policy = model.AdmissionPolicy(slots_share=0.95, slow_start=False)
    target = _controller(slots=18, policy=policy)
    decisions = [
        decision
        for job_id in range(18)
        for decision in target.submit(_job(job_id, rank=0), 0.0)
    ]
    assert decisions == [core.Start(job_id=job_id) for job_id in range(17)]
    assert target.load().limit == 17
    assert target.load().queued == 1


def test_one_slot_is_always_used():
    target = _controller(slots=1, policy=model.AdmissionPolicy(slots_share=0.5))
    assert target.submit(_job(1), 0.0) == [core.Start(job_id=1)]

"""Tests of the server's speed and of what admission does about it."""

import pytest

from bergamotdeal.admission import controller
from bergamotdeal.admission import core
from bergamotdeal.admission import speed
from bergamotdeal.errors import core as errors
from bergamotdeal.presets import model

RUN_S = 0.1
SLOTS = 4


def build_admission():
    """Returns a controller that has measured run times of ``RUN_S``."""
    admission = controller.AdmissionController(
        policy=model.AdmissionPolicy(slow_start=False),
        service_policy=model.ServicePolicy(),
        class_count=1,
        slots=SLOTS,
        now=0.0,
    )
    for job_id in range(10):
        now = job_id * 0.2
        submit(admission, job_id, now)
        admission.release_slot(job_id, now + RUN_S, completed=True)
    admission.advance(2.2)
    return admission


def submit(admission, job_id, now, allowed_s=10.0):
    job = core.Job(
        job_id=job_id,
        class_rank=0,
        hash_share=0.5,
        deadline=now + allowed_s,
        arrived=now,
    )
    return admission.submit(job, now)


def count_started(decisions):
    return sum(isinstance(each, core.Start) for each in decisions)


# Guards against a job that starts on a slow server and misses its deadline.
@pytest.mark.parametrize(("work_factor", "starts"), [(1.0, 1), (2.5, 0)])
def test_expected_run_time_follows_the_work_factor(work_factor, starts):
    admission = build_admission()
    admission.set_work_factor(work_factor, 2.2)
    decisions = submit(admission, 100, 2.2, allowed_s=2.0 * RUN_S)
    assert count_started(decisions) == starts


# Guards against slow phases that raise the estimate for the time after them.
def test_run_times_in_slow_phases_do_not_change_the_estimate():
    admission = build_admission()
    admission.set_work_factor(2.5, 2.2)
    for job_id in range(100, 164):
        now = 3.0 + 0.3 * (job_id - 100)
        submit(admission, job_id, now)
        admission.release_slot(job_id, now + 2.5 * RUN_S, completed=True)
    admission.advance(30.0)
    admission.set_work_factor(1.0, 30.0)
    decisions = submit(admission, 200, 30.0, allowed_s=1.5 * RUN_S)
    assert count_started(decisions) == 1


def test_slow_server_runs_as_many_jobs_and_queues_fewer():
    admission = build_admission()
    started, refused = 0, 0
    admission.set_work_factor(2.0, 2.2)
    for job_id in range(100, 100 + 4 * SLOTS):
        for decision in submit(admission, job_id, 2.2):
            started += isinstance(decision, core.Start)
            refused += decision == core.Refuse(
                job_id=decision.job_id, kind=errors.ErrorKind.SHED
            )
    slow_queue = admission.load().queued
    assert started == SLOTS
    assert slow_queue + refused == 3 * SLOTS
    ratio = model.AdmissionPolicy().queue_slots_ratio
    assert slow_queue == pytest.approx(ratio * SLOTS / 2, abs=1)


def test_report_counts_as_unknown_after_its_maximum_age():
    server_speed = speed.ServerSpeed()
    server_speed.record(2.5, 10.0)
    assert server_speed.current(10.5) == 2.5
    assert server_speed.smoothed(10.5) == 2.5
    assert server_speed.current(11.0) == pytest.approx(1.0)


def test_permanently_slow_server_is_usual_for_itself():
    server_speed = speed.ServerSpeed()
    for step in range(3000):
        server_speed.record(1.6, step * 0.02)
    assert server_speed.current(60.0) == 1.6
    assert server_speed.relative(60.0) == pytest.approx(1.0, abs=0.02)
    assert server_speed.current(90.0) == pytest.approx(1.6, abs=0.02)


def test_single_report_hardly_changes_the_smoothed_factor():
    server_speed = speed.ServerSpeed()
    for step in range(50):
        server_speed.record(1.0, step * 0.02)
    server_speed.record(2.5, 0.99)
    assert server_speed.current(0.99) == 2.5
    assert server_speed.smoothed(0.99) < 1.4


def test_cold_server_is_twice_as_slow_unless_it_reports_its_speed():
    server_speed = speed.ServerSpeed()
    server_speed.set_cold(3.0, 10.0)
    assert server_speed.current(12.9) == speed.COLD_WORK_FACTOR
    assert server_speed.current(13.0) == 1.0
    server_speed.record(1.3, 11.0)
    assert server_speed.current(11.1) == 1.3

"""Tests of the admission controller."""

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
    return controller.Controller(**(arguments | changes))


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
    assert target.finish(1, 0.01, completed=True) == [core.Start(job_id=3)]


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
    verdicts = target.finish(1, 2.0, completed=True)
    kind = errors.ErrorKind.DEADLINE_EXCEEDED
    assert verdicts == [core.Refuse(job_id=2, kind=kind)]


def test_a_server_that_leaves_refuses_waiting_jobs():
    target = _controller(slots=1)
    target.submit(_job(1, rank=0), 0.0)
    target.submit(_job(2, rank=0), 0.0)
    kind = errors.ErrorKind.NO_SERVER
    assert target.set_slots(0, 0.1) == [core.Refuse(job_id=2, kind=kind)]

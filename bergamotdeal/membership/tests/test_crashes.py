"""Crash reports reach each node while they are evidence, and no longer."""

import pytest

from bergamotdeal.membership import core
from bergamotdeal.membership import crashes
from bergamotdeal.membership import messages
from standins import gossip_fleet as fleets

SEEDS = [1, 2, 3]
NODES_AT_ONCE = 3
IN_TOUCH_S = 3.0


def make_report(number=0, *, age_s=0.0):
    return core.CrashReport(
        fingerprint=f"f{number}",
        host_id="host-3",
        death_id=f"d{number}",
        age_s=age_s,
    )


def make_fleet(seed, size=14):
    fleet = fleets.Fleet(seed=seed, size=size)
    fleet.run_until(fleet.is_converged, within_s=10)
    return fleet


def report_crashes(fleet, host_id, *reports):
    event = messages.CrashReportsCreated(reports=reports)
    fleet.send_event(host_id, event)


def list_received(fleet, host_id):
    return [
        report
        for effect in fleet.effects_by_id[host_id]
        if isinstance(effect, messages.CrashReportsReceived)
        for report in effect.reports
    ]


def list_death_ids(fleet, host_id):
    return [report.death_id for report in list_received(fleet, host_id)]


def restart(fleet, host_id, incarnation):
    seeds = tuple(other for other in fleet.running() if other != host_id)
    fleet.effects_by_id[host_id].clear()
    fleet.add_node(
        host_id,
        incarnation=incarnation,
        state_number=int(1000 * fleet.now),
        seeds=seeds[:2],
    )


@pytest.mark.parametrize("seed", SEEDS)
def test_reports_outlast_rolling_restarts_of_all_nodes(seed):
    """Guards against a quarantine that an upgrade of all nodes lifts."""
    fleet = make_fleet(seed)
    reports = [make_report(number) for number in range(4)]
    report_crashes(fleet, "host-3", *reports)
    fleet.run(5)
    host_ids = sorted(fleet.cores_by_id)
    for incarnation in ("b", "c"):
        for start in range(0, len(host_ids), NODES_AT_ONCE):
            batch = host_ids[start : start + NODES_AT_ONCE]
            for host_id in batch:
                fleet.send_event(host_id, messages.LeaveRequested())
                fleet.stopped.add(host_id)
            fleet.run(2)
            for host_id in batch:
                restart(fleet, host_id, incarnation)
            fleet.run(0.5)
    fleet.run(IN_TOUCH_S)
    for host_id in host_ids:
        assert sorted(list_death_ids(fleet, host_id)) == [
            report.death_id for report in reports
        ]


@pytest.mark.parametrize("count", [1, 100])
def test_node_that_was_cut_off_learns_the_reports_of_that_time(count):
    """Guards against reports that a node missed while they were rumours."""
    fleet = make_fleet(1)
    fleet.is_reachable = lambda source, target: "host-5" not in (source, target)
    report_crashes(fleet, "host-3", *map(make_report, range(count)))
    fleet.run(40)
    assert not list_received(fleet, "host-5")
    fleet.is_reachable = lambda source, target: True
    fleet.run(30)
    assert len(set(list_death_ids(fleet, "host-5"))) == count


def test_report_of_a_node_that_was_cut_off_reaches_the_others():
    """Guards against reports that only the side of a partition knows."""
    fleet = make_fleet(1)
    fleet.is_reachable = lambda source, target: "host-5" not in (source, target)
    report_crashes(fleet, "host-5", make_report())
    fleet.run(40)
    fleet.is_reachable = lambda source, target: True
    fleet.run(40)
    for host_id in fleet.cores_by_id:
        if host_id != "host-5":
            [report] = list_received(fleet, host_id)
            assert 39 < report.age_s < 81


def test_expired_report_does_not_reach_a_node_that_restarts():
    """Guards against evidence that the syncs keep alive for ever."""
    fleet = make_fleet(1)
    report_crashes(fleet, "host-3", make_report())
    fleet.run(crashes.REPORT_TTL_S - 1)
    restart(fleet, "host-5", "b")
    fleet.run(0.9)
    fleet.run(60)
    restart(fleet, "host-6", "b")
    fleet.run(30)
    assert not list_received(fleet, "host-6")
    for report in list_received(fleet, "host-5"):
        assert report.age_s > crashes.REPORT_TTL_S - 2


def test_rumour_queued_during_an_isolation_has_the_age_of_its_crash():
    """Guards against an old crash that counts from the end of a partition."""
    fleet = fleets.Fleet(seed=1, size=1)
    report_crashes(fleet, "host-0", make_report())
    fleet.run(100)
    fleet.add_node("host-1")
    fleet.run(5)
    [report] = list_received(fleet, "host-1")
    assert 99 < report.age_s < 106


def test_expired_rumour_is_not_sent():
    fleet = fleets.Fleet(seed=1, size=1)
    report_crashes(fleet, "host-0", make_report())
    fleet.run(crashes.REPORT_TTL_S + 1)
    fleet.add_node("host-1")
    fleet.run(30)
    assert not list_received(fleet, "host-1")


def test_nodes_that_compare_no_reports_are_sent_none():
    """Guards against bytes that a node of the version before can't use."""
    fleet = make_fleet(1, size=2)
    report_crashes(fleet, "host-0", make_report())
    node = fleet.cores_by_id["host-0"]
    sender = fleet.cores_by_id["host-1"].own_record
    request = messages.SyncRequest(sender=sender, epoch=0, digests=())
    answer, _ = node.answer_sync(request, fleet.now)
    assert answer.crash_reports == ()
    endpoint = messages.Endpoint(address="host-1", port=1)
    answer = messages.SyncResponse(buckets=(), entries=())
    effects = node.handle(
        messages.SyncAnswered(endpoint=endpoint, answer=answer), fleet.now
    )
    assert not any(isinstance(e, messages.SendBulk) for e in effects)


def test_equal_logs_exchange_no_reports():
    fleet = make_fleet(1, size=2)
    sent = []

    def count_reports(bulk):
        if isinstance(bulk, messages.SyncResponse):
            sent.extend(bulk.crash_reports)
        elif isinstance(bulk, messages.CrashPush):
            sent.extend(bulk.reports)
        return 0

    report_crashes(fleet, "host-0", *map(make_report, range(50)))
    fleet.run(40)
    fleet._bulk_bytes = count_reports
    fleet.run(120)
    assert len(set(list_death_ids(fleet, "host-1"))) == 50
    assert not sent


def test_young_copy_of_an_expired_report_is_not_new():
    """Guards against a host whose clock stood still while it was suspended."""
    log = crashes.CrashReportLog()
    assert log.add_new((make_report(),), 0.0)
    now = crashes.REPORT_TTL_S + 1
    assert not log.list_current(now)
    assert not log.add_new((make_report(age_s=200.0),), now)
    assert not log.list_current(now)


def test_full_log_evicts_the_oldest_crashes_and_returns_none_as_new():
    log = crashes.CrashReportLog()
    reports = tuple(map(make_report, range(crashes.MAX_REPORTS)))
    assert log.add_new(reports, 10.0) == reports
    older = make_report("older", age_s=20.0)
    assert log.add_new((older,), 20.0) == ()
    newer = make_report("newer")
    assert log.add_new((newer,), 20.0) == (newer,)
    assert len(log.list_current(20.0)) == crashes.MAX_REPORTS


def test_digest_depends_on_the_current_reports_only():
    first, second = crashes.CrashReportLog(), crashes.CrashReportLog()
    empty = first.compute_digest(0.0)
    assert empty
    first.add_new((make_report(1), make_report(2)), 0.0)
    second.add_new((make_report(2, age_s=1.0),), 0.5)
    assert first.compute_digest(1.0) != second.compute_digest(1.0)
    second.add_new((make_report(1),), 0.7)
    assert first.compute_digest(1.0) == second.compute_digest(1.0) != empty
    expired_at = crashes.REPORT_TTL_S + 1
    assert first.compute_digest(expired_at) == empty


def test_only_crashes_with_the_same_request_confirm_each_other():
    """Guards against a write for each of the requests that ran at a crash."""
    log = crashes.CrashReportLog()
    crowd = tuple(map(make_report, range(50)))
    log.add_new(crowd, 0.0)
    assert log.list_confirmed("host-3", 1.0) == ()
    second = core.CrashReport(
        fingerprint="f7", host_id="host-4", death_id="other"
    )
    log.add_new((second,), 1.0)
    (confirmed,) = log.list_confirmed("host-3", 2.0)
    assert (confirmed.fingerprint, confirmed.age_s) == ("f7", 2.0)
    assert len(log.list_confirmed("host-4", 2.0)) == 1
    assert log.list_confirmed("host-3", crashes.REPORT_TTL_S) == ()


def test_reports_from_the_registry_are_told_to_the_others():
    fleet = make_fleet(1)
    event = messages.CrashReportsFound(reports=(make_report(age_s=20.0),))
    fleet.send_event("host-3", event)
    fleet.run(IN_TOUCH_S)
    for host_id in fleet.cores_by_id:
        assert list_death_ids(fleet, host_id) == ["d0"]
    (report,) = fleet.cores_by_id[
        "host-3"
    ]._replica._crash_reports.list_current(fleet.now)
    assert 22 < report.age_s < 24

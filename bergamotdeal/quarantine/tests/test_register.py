"""Tests of the quarantine register."""

import pytest

from bergamotdeal.membership import core as membership
from bergamotdeal.presets import model
from bergamotdeal.quarantine import register


def _make_register(host_id="a"):
    return register.QuarantineRegister(
        policy=model.QuarantinePolicy(), host_id=host_id
    )


def _record_death_with(quarantine, *fingerprints, now=0.0, death_id="d"):
    for run_id, fingerprint in enumerate(fingerprints, start=1000):
        quarantine.record_run_start(fingerprint, run_id)
    return quarantine.record_server_death(now, death_id)


def test_request_is_quarantined_after_two_distinct_servers_died():
    first, second, entry = (
        _make_register("a"),
        _make_register("b"),
        _make_register("c"),
    )
    entry.add_reports(_record_death_with(first, "poison", death_id="1"), 0.0)
    assert not entry.is_quarantined("poison", 0.0)
    entry.add_reports(_record_death_with(second, "poison", death_id="2"), 1.0)
    assert entry.is_quarantined("poison", 1.0)
    assert not entry.is_quarantined("poison", 62.0)


def test_request_is_quarantined_after_three_deaths_on_one_host():
    """Guards against a service with one host that is crashed for ever."""
    quarantine = _make_register("a")
    for death in range(2):
        _record_death_with(
            quarantine, "request", now=float(death), death_id=str(death)
        )
        assert not quarantine.is_quarantined("request", 5.0)
    _record_death_with(quarantine, "request", now=2.0, death_id="2")
    assert quarantine.is_quarantined("request", 5.0)
    assert not quarantine.is_quarantined("request", 63.0)


@pytest.mark.parametrize(
    ("host_ids", "duration_s"),
    [
        ("ab", 60),
        ("abc", 120),
        ("abcd", 240),
        ("abcde", 300),
        ("aaa", 60),
        ("aaaa", 120),
        ("aab", 120),
    ],
)
def test_each_further_death_doubles_the_duration(host_ids, duration_s):
    """Guards against a request that crashes servers once a minute for ever."""
    entry = _make_register("z")
    for number, host_id in enumerate(host_ids):
        reports = _record_death_with(
            _make_register(host_id), "poison", death_id=str(number)
        )
        entry.add_reports(reports, 0.0)
    assert entry.is_quarantined("poison", duration_s - 0.1)
    assert not entry.is_quarantined("poison", duration_s + 0.1)


def test_deaths_on_one_host_with_different_requests_quarantine_nothing():
    """Guards against a host that dies often for a reason of its own."""
    quarantine = _make_register("a")
    for death in range(20):
        requests = [f"{death}-{number}" for number in range(50)]
        _record_death_with(
            quarantine, *requests, now=float(death), death_id=str(death)
        )
        assert not any(
            quarantine.is_quarantined(request, float(death))
            for request in requests
        )


def test_popular_request_outlives_a_host_that_dies_often():
    """Guards against blocking what completes between the deaths."""
    quarantine = _make_register("a")
    other = _make_register("b")
    for death in range(20):
        _complete_runs(quarantine, "popular", 3)
        reports = _record_death_with(
            quarantine, "popular", now=float(death), death_id=str(death)
        )
        other.add_reports(reports, float(death))
        for each in (quarantine, other):
            assert not each.is_quarantined("popular", float(death))


def test_request_resent_once_after_a_death_is_not_quarantined():
    """Guards against blocking the innocent retry that meets another death."""
    quarantine = _make_register("a")
    _record_death_with(quarantine, "retried", now=0.0, death_id="1")
    _record_death_with(quarantine, "retried", now=4.0, death_id="2")
    assert not quarantine.is_quarantined("retried", 4.0)


def test_duplicate_report_counts_once():
    entry = _make_register("c")
    reports = _record_death_with(_make_register("a"), "request", death_id="1")
    entry.add_reports(reports, 0.0)
    entry.add_reports(reports, 1.0)
    assert not entry.is_quarantined("request", 1.0)


def test_requests_running_at_a_single_death_are_not_quarantined():
    first, second, entry = (
        _make_register("a"),
        _make_register("b"),
        _make_register("c"),
    )
    crowd_a = [f"a{i}" for i in range(50)]
    crowd_b = [f"b{i}" for i in range(50)]
    entry.add_reports(
        _record_death_with(first, "poison", *crowd_a, death_id="1"), 0.0
    )
    entry.add_reports(
        _record_death_with(second, "poison", *crowd_b, death_id="2"), 0.0
    )
    assert entry.is_quarantined("poison", 0.0)
    assert not any(
        entry.is_quarantined(fingerprint, 0.0)
        for fingerprint in crowd_a + crowd_b
    )


def test_request_with_completed_runs_is_not_reported():
    servers = [_make_register("a"), _make_register("b")]
    entry = _make_register("c")
    for number, server in enumerate(servers):
        for run_id in range(10):
            server.record_run_start("popular", run_id)
            server.record_run_end(run_id, completed=True)
        reports = _record_death_with(
            server, "popular", "poison", death_id=str(number)
        )
        entry.add_reports(reports, 0.0)
    assert entry.is_quarantined("poison", 0.0)
    assert not entry.is_quarantined("popular", 0.0)


def _complete_runs(quarantine, fingerprint, count, *, completed=True):
    for run_id in range(count):
        quarantine.record_run_start(fingerprint, run_id)
        quarantine.record_run_end(run_id, completed=completed)


def test_runs_completed_after_the_first_report_prevent_quarantine():
    servers = [_make_register("a"), _make_register("b")]
    other = _make_register("c")
    other.add_reports(
        _record_death_with(servers[0], "popular", death_id="1"), 0.0
    )
    _complete_runs(other, "popular", 6)
    other.add_reports(
        _record_death_with(servers[1], "popular", death_id="2"), 1.0
    )
    assert not other.is_quarantined("popular", 1.0)


def test_runs_completed_before_the_first_report_do_not_count():
    other = _make_register("c")
    _complete_runs(other, "turned", 100)
    for host_id in "ab":
        server = _make_register(host_id)
        other.add_reports(
            _record_death_with(server, "turned", death_id=host_id), 1.0
        )
    assert other.is_quarantined("turned", 1.0)


def test_request_that_starts_to_crash_is_found_after_a_restart():
    servers = [_make_register("a"), _make_register("b")]
    entry = _make_register("c")
    for lifetime in range(2):
        for server in servers:
            if lifetime == 0:
                _complete_runs(server, "turned", 100)
            death_id = f"{server._host_id}.{lifetime}"
            entry.add_reports(
                _record_death_with(server, "turned", death_id=death_id), 1.0
            )
    assert entry.is_quarantined("turned", 1.0)


def test_request_that_crashes_sometimes_is_quarantined():
    servers = [_make_register("a"), _make_register("b")]
    entry = _make_register("c")
    for server in servers:
        _complete_runs(server, "flaky", 1)
        entry.add_reports(
            _record_death_with(server, "flaky", death_id=server._host_id), 0.0
        )
    assert entry.is_quarantined("flaky", 0.0)


def test_runs_that_were_refused_are_no_evidence_of_innocence():
    """Guards against a request that is excused while its server is down."""
    servers = [_make_register("a"), _make_register("b")]
    entry = _make_register("c")
    for server in servers:
        _complete_runs(server, "poison", 3, completed=False)
        reports = _record_death_with(server, "poison", death_id=server._host_id)
        entry.add_reports(reports, 0.0)
        _complete_runs(entry, "poison", 20, completed=False)
    assert entry.is_quarantined("poison", 0.0)


def test_request_that_waits_for_a_connection_is_not_reported():
    """Guards against accusing what comes while a crash is being detected."""
    quarantine = _make_register("a")
    quarantine.record_run_start("waiting", 1)
    quarantine.record_run_held(1, is_held=True)
    reports = _record_death_with(quarantine, "poison", death_id="1")
    assert [report.fingerprint for report in reports] == ["poison"]
    quarantine.record_run_held(1, is_held=False)
    reports = quarantine.record_server_death(1.0, "2")
    assert [report.fingerprint for report in reports] == ["waiting"]
    assert quarantine.record_server_death(2.0, "3") == []


def test_run_that_was_sent_after_the_crash_is_not_reported():
    """Guards against accusing what the next server at the address refuses."""
    quarantine = _make_register("a")
    quarantine.record_run_start("poison", 1)
    quarantine.record_run_start("misdirected", 2)
    reports = quarantine.record_server_death(0.0, "1", (2, 3))
    assert [report.fingerprint for report in reports] == ["poison"]
    reports = quarantine.record_server_death(1.0, "2")
    assert [report.fingerprint for report in reports] == ["misdirected"]


def test_expired_deaths_do_not_count():
    entry = _make_register("c")
    entry.add_reports(
        _record_death_with(_make_register("a"), "request", death_id="1"), 0.0
    )
    entry.add_reports(
        _record_death_with(_make_register("b"), "request", death_id="2"), 400.0
    )
    assert not entry.is_quarantined("request", 400.0)


def test_disabled_quarantine_refuses_nothing():
    entry = _make_register("c")
    for host_id in "ab":
        server = _make_register(host_id)
        entry.add_reports(
            _record_death_with(server, "poison", death_id=host_id), 0.0
        )
    assert entry.is_quarantined("poison", 0.0)
    entry.set_policy(model.QuarantinePolicy(enabled=False))
    assert not entry.is_quarantined("poison", 0.0)


def test_register_size_stays_bounded():
    entry = _make_register("c")
    for number in range(6000):
        _complete_runs(entry, f"s{number}", 1)
        report = membership.CrashReport(
            fingerprint=f"f{number}", host_id="a", death_id=str(number)
        )
        entry.add_reports([report], 0.0)
    for number in range(100):
        report = membership.CrashReport(
            fingerprint="f5999", host_id="a", death_id=str(number)
        )
        entry.add_reports([report], 0.0)
    assert len(entry._completed_runs_by_fingerprint) == 4096
    assert len(entry._evidence_by_fingerprint) == 4096
    assert len(entry._evidence_by_fingerprint["f5999"].deaths_by_id) == 16

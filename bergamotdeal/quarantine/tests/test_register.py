"""Tests of the quarantine register."""

from bergamotdeal.membership import core as membership
from bergamotdeal.presets import model
from bergamotdeal.quarantine import register


def _register(host_id="a"):
    return register.QuarantineRegister(
        policy=model.QuarantinePolicy(), host_id=host_id
    )


def _die_with(target, *fingerprints, now=0.0, death_id="d"):
    for run_id, fingerprint in enumerate(fingerprints, start=1000):
        target.record_run_start(fingerprint, run_id)
    return target.record_server_death(now, death_id)


def test_a_request_is_refused_after_two_distinct_servers_died():
    first, second, entry = _register("a"), _register("b"), _register("c")
    entry.add_reports(_die_with(first, "poison", death_id="1"), 0.0)
    assert not entry.is_quarantined("poison", 0.0)
    entry.add_reports(_die_with(second, "poison", death_id="2"), 1.0)
    assert entry.is_quarantined("poison", 1.0)
    assert not entry.is_quarantined("poison", 62.0)


def test_one_server_that_dies_often_blocks_nothing():
    target = _register("a")
    for death in range(5):
        _die_with(target, "request", now=float(death), death_id=str(death))
    assert not target.is_quarantined("request", 5.0)


def test_a_repeated_report_counts_once():
    entry = _register("c")
    reports = _die_with(_register("a"), "request", death_id="1")
    entry.add_reports(reports, 0.0)
    entry.add_reports(reports, 1.0)
    assert not entry.is_quarantined("request", 1.0)


def test_innocents_at_one_death_stay_allowed():
    first, second, entry = _register("a"), _register("b"), _register("c")
    crowd_a = [f"a{i}" for i in range(50)]
    crowd_b = [f"b{i}" for i in range(50)]
    entry.add_reports(_die_with(first, "poison", *crowd_a, death_id="1"), 0.0)
    entry.add_reports(_die_with(second, "poison", *crowd_b, death_id="2"), 0.0)
    assert entry.is_quarantined("poison", 0.0)
    assert not any(entry.is_quarantined(fp, 0.0) for fp in crowd_a + crowd_b)


def test_a_popular_request_that_keeps_completing_is_not_reported():
    servers = [_register("a"), _register("b")]
    entry = _register("c")
    for number, server in enumerate(servers):
        for run_id in range(10):
            server.record_run_start("popular", run_id)
            server.record_run_end(run_id)
        reports = _die_with(server, "popular", "poison", death_id=str(number))
        entry.add_reports(reports, 0.0)
    assert entry.is_quarantined("poison", 0.0)
    assert not entry.is_quarantined("popular", 0.0)


def _complete(target, fingerprint, count):
    for run_id in range(count):
        target.record_run_start(fingerprint, run_id)
        target.record_run_end(run_id)


def test_a_popular_request_is_freed_by_runs_after_the_first_report():
    servers = [_register("a"), _register("b")]
    other = _register("c")
    other.add_reports(_die_with(servers[0], "popular", death_id="1"), 0.0)
    _complete(other, "popular", 6)
    other.add_reports(_die_with(servers[1], "popular", death_id="2"), 1.0)
    assert not other.is_quarantined("popular", 1.0)


def test_runs_before_the_first_report_do_not_excuse_a_request():
    other = _register("c")
    _complete(other, "turned", 100)
    for host_id in "ab":
        server = _register(host_id)
        other.add_reports(_die_with(server, "turned", death_id=host_id), 1.0)
    assert other.is_quarantined("turned", 1.0)


def test_a_request_that_begins_to_crash_is_found_in_the_next_life():
    servers = [_register("a"), _register("b")]
    entry = _register("c")
    for life in range(2):
        for server in servers:
            if life == 0:
                _complete(server, "turned", 100)
            death_id = f"{server._host_id}.{life}"
            entry.add_reports(
                _die_with(server, "turned", death_id=death_id), 1.0
            )
    assert entry.is_quarantined("turned", 1.0)


def test_a_request_that_crashes_now_and_then_is_refused():
    servers = [_register("a"), _register("b")]
    entry = _register("c")
    for server in servers:
        _complete(server, "flaky", 1)
        entry.add_reports(
            _die_with(server, "flaky", death_id=server._host_id), 0.0
        )
    assert entry.is_quarantined("flaky", 0.0)


def test_old_deaths_do_not_count():
    entry = _register("c")
    entry.add_reports(_die_with(_register("a"), "request", death_id="1"), 0.0)
    entry.add_reports(_die_with(_register("b"), "request", death_id="2"), 400.0)
    assert not entry.is_quarantined("request", 400.0)


def test_quarantine_can_be_switched_off():
    entry = _register("c")
    for host_id in "ab":
        server = _register(host_id)
        entry.add_reports(_die_with(server, "poison", death_id=host_id), 0.0)
    assert entry.is_quarantined("poison", 0.0)
    entry.set_policy(model.QuarantinePolicy(enabled=False))
    assert not entry.is_quarantined("poison", 0.0)


def test_the_register_stays_bounded():
    entry = _register("c")
    for number in range(6000):
        _complete(entry, f"s{number}", 1)
        report = membership.CrashReport(
            fingerprint=f"f{number}", host_id="a", death_id=str(number)
        )
        entry.add_reports([report], 0.0)
    for number in range(100):
        report = membership.CrashReport(
            fingerprint="f5999", host_id="a", death_id=str(number)
        )
        entry.add_reports([report], 0.0)
    assert len(entry._successes_by_fingerprint) == 4096
    assert len(entry._suspicions_by_fingerprint) == 4096
    assert len(entry._suspicions_by_fingerprint["f5999"].deaths_by_id) == 16

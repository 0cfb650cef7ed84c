"""Tests of the quarantine register."""

from bergamotdeal.presets import model
from bergamotdeal.quarantine import register


def _register(host_id="a"):
    return register.Register(policy=model.QuarantinePolicy(), host_id=host_id)


def _die_with(target, *fingerprints, now=0.0, death_id="d"):
    for run_id, fingerprint in enumerate(fingerprints, start=1000):
        target.started(fingerprint, run_id)
    return target.server_died(now, death_id)


def test_a_request_is_refused_after_two_distinct_servers_died():
    first, second, entry = _register("a"), _register("b"), _register("c")
    entry.hear(_die_with(first, "poison", death_id="1"), 0.0)
    assert not entry.blocked("poison", 0.0)
    entry.hear(_die_with(second, "poison", death_id="2"), 1.0)
    assert entry.blocked("poison", 1.0)
    assert not entry.blocked("poison", 62.0)


def test_one_server_that_dies_often_blocks_nothing():
    target = _register("a")
    for death in range(5):
        _die_with(target, "request", now=float(death), death_id=str(death))
    assert not target.blocked("request", 5.0)


def test_a_repeated_report_counts_once():
    entry = _register("c")
    reports = _die_with(_register("a"), "request", death_id="1")
    entry.hear(reports, 0.0)
    entry.hear(reports, 1.0)
    assert not entry.blocked("request", 1.0)


def test_innocents_at_one_death_stay_allowed():
    first, second, entry = _register("a"), _register("b"), _register("c")
    crowd_a = [f"a{i}" for i in range(50)]
    crowd_b = [f"b{i}" for i in range(50)]
    entry.hear(_die_with(first, "poison", *crowd_a, death_id="1"), 0.0)
    entry.hear(_die_with(second, "poison", *crowd_b, death_id="2"), 0.0)
    assert entry.blocked("poison", 0.0)
    assert not any(entry.blocked(fp, 0.0) for fp in crowd_a + crowd_b)


def test_a_popular_request_that_keeps_completing_is_not_reported():
    servers = [_register("a"), _register("b")]
    entry = _register("c")
    for number, server in enumerate(servers):
        for run_id in range(10):
            server.started("popular", run_id)
            server.finished(run_id)
        reports = _die_with(server, "popular", "poison", death_id=str(number))
        entry.hear(reports, 0.0)
    assert entry.blocked("poison", 0.0)
    assert not entry.blocked("popular", 0.0)

"""Crashes in registry entries, which outlast a kill of all nodes."""

import pytest

from bergamotdeal.membership import core
from bergamotdeal.membership import registry
from bergamotdeal.node.tests import test_registry as harnesses


def make_crash_report(number=0, *, host_id=harnesses.OWN, age_s=0.0):
    return core.CrashReport(
        fingerprint=f"f{number}",
        host_id=host_id,
        death_id=f"d{number}",
        age_s=age_s,
    )


def get_own_entry(harness):
    _, value = harness.store.objects_by_key[registry.build_key(harnesses.OWN)]
    return registry.decode(value).unwrap()


@pytest.mark.parametrize("lists_values", [True, False])
def test_confirmed_crash_is_written_soon_and_read_after_a_restart(lists_values):
    harness = harnesses.Harness(lists_values=lists_values)
    harness.task.start()
    harness.run(30)
    harness.membership.crashes = (make_crash_report(age_s=1.0),)
    harness.task.handle_crash_reports()
    harness.run(0.3)
    (crash,) = get_own_entry(harness).crashes
    assert crash.fingerprint == "f0"
    restarted = harnesses.Harness(lists_values=lists_values)
    restarted.task._store = harness.store
    restarted.wall_s = harness.wall_s + 100.0
    restarted.task.start()
    restarted.run(0.3)
    (report, *_) = restarted.membership.added_reports
    assert (report.fingerprint, report.host_id) == ("f0", harnesses.OWN)
    assert 70 < report.age_s < 72
    puts = harness.store.calls.count("put")
    restarted.run(60)
    assert get_own_entry(harness).crashes == (crash,)
    assert harness.store.calls.count("put") == puts


def test_crashes_of_other_hosts_are_read():
    harness = harnesses.Harness()
    crash = registry.Crash(
        fingerprint="f", death_id="d", at_ms=int(harness.wall_s * 1000)
    )
    entry = registry.build_entry(harnesses.make_member("host-2"), (crash,))
    harness.store.write_entry("host-2", registry.encode(entry))
    harness.task.start()
    harness.run(0.3)
    assert [r.host_id for r in harness.membership.added_reports] == ["host-2"]


def test_expired_crash_is_not_read_and_leaves_the_entry():
    harness = harnesses.Harness()
    crash = registry.Crash(
        fingerprint="f", death_id="d", at_ms=int(harness.wall_s * 1000)
    )
    entry = registry.build_entry(harnesses.make_member(harnesses.OWN), (crash,))
    harness.store.write_entry(harnesses.OWN, registry.encode(entry))
    harness.wall_s += 301.0
    harness.task.start()
    harness.run(0.3)
    assert harness.membership.added_reports == []
    assert get_own_entry(harness).crashes == ()


def test_unconfirmed_crash_causes_no_store_call():
    harness = harnesses.Harness()
    harness.task.start()
    harness.run(40)
    calls = len(harness.store.calls)
    harness.task.handle_crash_reports()
    harness.run(0.5)
    assert len(harness.store.calls) == calls


def test_crash_of_a_clock_that_is_ahead_has_no_negative_age():
    harness = harnesses.Harness()
    crash = registry.Crash(
        fingerprint="f", death_id="d", at_ms=int(harness.wall_s * 1000) + 60_000
    )
    entry = registry.build_entry(harnesses.make_member(harnesses.OWN), (crash,))
    harness.store.write_entry(harnesses.OWN, registry.encode(entry))
    harness.task.start()
    harness.run(0.3)
    assert harness.membership.added_reports[0].age_s == 0.0

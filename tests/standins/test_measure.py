"""Tests of the benchmark calculations on synthetic runs."""

import pytest

from standins import load
from standins.measure import figures
from standins.measure import overload

TIMES = overload.PhaseTimes(
    steady_start=0.0, trigger_start=10.0, recovery_start=20.0, end=30.0
)


def make_requests(start, end, *, is_failed=lambda at: False, per_s=40):
    made = []
    for number in range(int((end - start) * per_s)):
        at = start + number / per_s
        made.append(
            load.UserRequest(
                phase="recovery",
                request_id=f"r{at}",
                is_critical=False,
                sent_at=at,
                status=503 if is_failed(at) else 200,
            )
        )
    return made


def make_outcome(made, ledger=()):
    return overload.Outcome(times=TIMES, requests=made, ledger=list(ledger))


def test_recovery_without_failures_is_zero():
    assert (
        overload.compute_recovery_s(make_outcome(make_requests(20, 30)), 1.0)
        == 0.0
    )


def test_recovery_with_early_failures_ends_after_last_failed_window():
    made = make_requests(20, 30, is_failed=lambda at: at < 22)
    assert overload.compute_recovery_s(
        make_outcome(made), 1.0
    ) == pytest.approx(2.4, abs=0.2)


def test_recovery_with_late_failures_includes_them():
    made = make_requests(20, 30, is_failed=lambda at: 25 < at < 26)
    assert overload.compute_recovery_s(make_outcome(made), 1.0) > 5.0


def test_recovery_with_constant_failures_is_none_and_misses_target():
    made = make_requests(20, 30, is_failed=lambda at: True)
    assert overload.compute_recovery_s(make_outcome(made), 1.0) is None
    report = figures.Report()
    report.add("recovery", None, "s", target=1.0)
    assert report.figures[0].meets_target is False


def make_ledger_line(step, request_id, busy_s, at=15.0, service="orderline"):
    return {
        "time": at,
        "step": step,
        "request_id": request_id,
        "busy_s": busy_s,
        "service": service,
    }


def test_wasted_share_counts_failed_requests_and_failed_runs():
    made = make_requests(20, 20.05)
    good, bad = made[0], made[1]
    bad.status = 503
    lines = [
        make_ledger_line("started", good.request_id, 9.0),
        make_ledger_line("completed", good.request_id, 3.0),
        make_ledger_line("completed", bad.request_id, 0.5),
        make_ledger_line("failed", good.request_id, 0.5),
        make_ledger_line("completed", bad.request_id, 50.0, at=25.0),
    ]
    share = overload.compute_wasted_share(make_outcome(made, lines), 10.0, 20.0)
    assert share == pytest.approx(0.25)


def test_deepest_busy_share_counts_only_deepest_service():
    slots = overload.SERVERS_PER_SERVICE * overload.DEFAULT_BOTTLENECK.slots
    lines = [
        make_ledger_line("completed", "r", 5.0 * slots),
        make_ledger_line("completed", "r", 99.0, service="kitview"),
    ]
    share = overload.compute_bottleneck_utilization(
        make_outcome([], lines),
        10.0,
        20.0,
        slots=overload.DEFAULT_BOTTLENECK.slots,
    )
    assert share == pytest.approx(0.5)


def test_report_with_upper_and_lower_bounds_counts_missed_targets(tmp_path):
    report = figures.Report(conditions={"machine": "a test"})
    at_least = figures.Bound.AT_LEAST
    report.add("a", 0.9, "share", target=0.95, bound=at_least, note="why")
    report.add("b", 0.96, "share", target=0.95, bound=at_least)
    report.add("c", 1.0, "s", target=1.0)
    report.add("d", 5.0, "ms")
    assert [f.meets_target for f in report.figures] == [False, True, True, None]
    report.write(tmp_path)
    assert "Missed targets: 1" in (tmp_path / "measure.txt").read_text()
    assert figures.read_report(tmp_path / "measure.json") == report


def test_scenarios_disable_each_rule_once():
    variants = [scenario.variant for scenario in overload.build_scenarios()]
    assert len(variants) == len(set(variants))
    assert "control off" in variants
    for rule in ("feedback", "class_order", "adapt_limit", "consistent_hash"):
        assert f"without {rule}" in variants

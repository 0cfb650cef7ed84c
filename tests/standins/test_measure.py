"""The measures' own arithmetic, on forged runs."""

import pytest

from standins import load
from standins.measure import figures
from standins.measure import overload

TIMES = overload.PhaseTimes(
    steady_start=0.0, trigger_start=10.0, recovery_start=20.0, end=30.0
)


def requests(start, end, *, fails=lambda at: False, per_s=40):
    made = []
    for number in range(int((end - start) * per_s)):
        at = start + number / per_s
        made.append(
            load.UserRequest(
                phase="recovery",
                request_id=f"r{at}",
                is_critical=False,
                sent_at=at,
                status=503 if fails(at) else 200,
            )
        )
    return made


def outcome(made, ledger=()):
    return overload.Outcome(times=TIMES, requests=made, ledger=list(ledger))


def test_recovery_at_once():
    assert overload.compute_recovery_s(outcome(requests(20, 30)), 1.0) == 0.0


def test_recovery_ends_with_the_last_bad_window():
    made = requests(20, 30, fails=lambda at: at < 22)
    assert overload.compute_recovery_s(outcome(made), 1.0) == pytest.approx(
        2.4, abs=0.2
    )


def test_a_late_relapse_counts():
    made = requests(20, 30, fails=lambda at: 25 < at < 26)
    assert overload.compute_recovery_s(outcome(made), 1.0) > 5.0


def test_no_recovery_is_none_and_misses_the_target():
    made = requests(20, 30, fails=lambda at: True)
    assert overload.compute_recovery_s(outcome(made), 1.0) is None
    report = figures.Report()
    report.add("recovery", None, "s", target=1.0)
    assert report.figures[0].meets_target is False


def line(step, request_id, busy_s, at=15.0, service="orderline"):
    return {
        "time": at,
        "step": step,
        "request_id": request_id,
        "busy_s": busy_s,
        "service": service,
    }


def test_waste_is_the_time_of_failed_requests_and_failed_runs():
    made = requests(20, 20.05)
    good, bad = made[0], made[1]
    bad.status = 503
    lines = [
        line("started", good.request_id, 9.0),
        line("completed", good.request_id, 3.0),
        line("completed", bad.request_id, 0.5),
        line("failed", good.request_id, 0.5),
        line("completed", bad.request_id, 50.0, at=25.0),
    ]
    share = overload.compute_wasted_share(outcome(made, lines), 10.0, 20.0)
    assert share == pytest.approx(0.25)


def test_busy_share_of_the_deepest_service():
    slots = overload.SERVERS_PER_SERVICE * overload.DEFAULT_BOTTLENECK.slots
    lines = [
        line("completed", "r", 5.0 * slots),
        line("completed", "r", 99.0, service="kitview"),
    ]
    share = overload.compute_bottleneck_utilization(
        outcome([], lines), 10.0, 20.0, slots=overload.DEFAULT_BOTTLENECK.slots
    )
    assert share == pytest.approx(0.5)


def test_targets_on_both_sides(tmp_path):
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


def test_every_rule_is_ablated_once():
    variants = [scenario.variant for scenario in overload.build_scenarios()]
    assert len(variants) == len(set(variants))
    assert "control off" in variants
    for rule in ("feedback", "class_order", "adapt_limit", "consistent_hash"):
        assert f"without {rule}" in variants

"""Tests that the capacity page is complete and derived from its figures."""

import re

import pytest

from standins import capacity
from standins import capacity_rows
from standins.measure import figures

_IDLE = "resident memory of an idle node"
_REQUIRED_VALUES = {
    ("processor time per call, entry node", "54 calls/s"): 0.5,
    ("processor time per call, callee node", "54 calls/s"): 0.4,
    ("resident memory, entry node", "540 calls/s"): 50.0,
    ("resident memory, callee node", "540 calls/s"): 50.0,
    ("resident memory after import", "node"): 45.0,
    ("engine's routing state", "1300 members"): 0.2,
    ("records of the members", "1300 members"): 0.7,
    ("processor time of one membership change", "1300 members"): 6.0,
    ("added latency p99", "two nodes, 54 calls/s"): 1.5,
    ("added latency p99", "null relay, 54 calls/s"): 0.8,
    (_IDLE, "10 nodes"): 48.0,
    (_IDLE, "18 nodes"): 49.0,
    ("bytes sent per node for one death", "80 cores"): 6000.0,
    ("encoded gossip sent", "400 cores"): 570.0,
    ("epoch told to all by rumour", "400 cores"): 0.4,
    ("control slope, bytes_per_s", "fit"): 0.5,
    ("control base, bytes_per_s", "fit"): 600.0,
    ("control slope, cpu_share", "fit"): -0.1,
    ("control base, cpu_share", "fit"): 0.004,
    ("switch accepted to in force everywhere, maximum", "12 nodes"): 0.8,
} | {
    (f"preset pulled{what}", f"{routes} routes a service"): 1000.0 * routes
    for what in (" whole", ", one route changed")
    for routes in (2, 10, 50)
}


def make_report(without=None):
    report = figures.Report(conditions={"machine": "a test"})
    for (name, variant), value in _REQUIRED_VALUES.items():
        if (name, variant) != without:
            report.add(name, value, "unit", variant=variant)
    return report


def test_page_of_complete_report_has_no_empty_cell():
    for line in capacity.build(make_report()).splitlines():
        if line.startswith("|"):
            assert all(cell.strip() for cell in line.strip("|").split("|"))


def test_rows_of_complete_report_cover_every_role():
    roles = {row.role for row in capacity_rows.build_rows(make_report())}
    assert roles >= {
        "entry",
        "egress",
        "callee",
        "member",
        "store watcher",
        "registry",
        "store",
        "operator's command",
    }


def test_page_with_exceeded_bound_lists_row_with_remedy():
    page = capacity.build(make_report())
    assert "**NO**" in page
    exceeded = page.partition("## Rows that exceed a bound")[2]
    assert "memory, whole process" in exceeded.partition("##")[0]


# The idle memory is measured at several sizes; one of them suffices.
_REQUIRED_FIGURES = [name for name in _REQUIRED_VALUES if name[0] != _IDLE]


@pytest.mark.parametrize(
    "missing", _REQUIRED_FIGURES, ids=lambda name: ", ".join(name)
)
def test_page_without_required_figure_raises(missing):
    with pytest.raises((KeyError, ValueError)):
        capacity.build(make_report(without=missing)).splitlines()


def test_rows_with_negative_slope_extrapolate_to_base():
    (row,) = (
        row
        for row in capacity_rows.build_rows(make_report())
        if (row.role, row.item) == ("member", "processor")
    )
    assert 0.004 <= row.result < 0.0041


def test_committed_page_contains_run_conditions():
    text = capacity.PAGE_PATH.read_text()
    assert re.search(r"^- machine: ", text, re.MULTILINE)
    assert "overload chain" in text

"""The reference pages in docs/ agree with the code."""

import re

import msgspec
import pytest

from bergamotdeal.calls import explanations
from bergamotdeal.settings import model
from bergamotdeal.telemetry import catalogue
from bergamotdeal.telemetry import metrics
from tools import build_pages

DOCS = build_pages.ROOT / "docs"
SOURCES = [
    path.read_text()
    for path in (build_pages.ROOT / "bergamotdeal").rglob("*.py")
    if "tests" not in path.parts
    and path.name not in ("metrics.py", "catalogue.py", "log.py")
]


@pytest.mark.parametrize(
    "page",
    [
        "events.md",
        "errors.md",
        "operators/exit-codes.md",
        "operators/preset-reference.md",
    ],
)
def test_page_tables_match_the_code(page):
    path = DOCS / page
    assert path in list(build_pages.find_pages())
    text = path.read_text()
    assert build_pages.update_tables(text) == text, "run make pages"


def test_with_tables_regenerates_a_stale_table():
    path = DOCS / "events.md"
    stale = path.read_text().replace("| 300 |", "| 299 |")
    assert build_pages.update_tables(stale) == path.read_text()


def test_metrics_page_lists_each_metric_once():
    text = (DOCS / "metrics.md").read_text()
    documented = re.findall(r"^\| `([a-z_.]+)(?:\.<class>)?` \|", text, re.M)
    metric_types = (metrics.Counter, metrics.Gauge, metrics.Timing)
    assert sorted(documented) == sorted(
        m.value for t in metric_types for m in t
    )


def _is_recorded(metric):
    name = f"{type(metric).__name__}.{metric.name}"
    return any(re.search(rf"\b{name}\b", text) for text in SOURCES)


def test_each_metric_is_recorded_in_the_code():
    derived = {
        metrics.find_counter(code, fields)
        for code in catalogue.EventCode
        for fields in (
            {},
            {"face": "entry"},
            {"face": "egress"},
            {"outcome": "completed"},
            {"outcome": "not-run"},
            {"outcome": "unknown"},
            *({"cause": cause.value} for cause in explanations.KeyRefusal),
        )
    }
    metric_types = (metrics.Counter, metrics.Gauge, metrics.Timing)
    missing = [
        metric.value
        for metric_type in metric_types
        for metric in metric_type
        if metric not in derived and not _is_recorded(metric)
    ]
    assert missing == []


def test_each_event_is_emitted_in_the_code():
    missing = [
        code.name
        for code in catalogue.EventCode
        if not any(re.search(rf"\.{code.name}\b", text) for text in SOURCES)
    ]
    assert missing == []


def test_settings_page_lists_each_setting():
    text = (DOCS / "operators" / "settings.md").read_text()
    documented = re.findall(r"^\| `([a-z_]+)` \|", text, re.M)
    sections = re.findall(r"^## `\[([a-z]+)\]`", text, re.M)
    assert (sections, documented) == _list_settings()


def _list_settings():
    sections = msgspec.structs.fields(model.Settings)
    names = []
    for section in sections:
        names += [field.name for field in msgspec.structs.fields(section.type)]
    return [section.name for section in sections], names

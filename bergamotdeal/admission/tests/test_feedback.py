"""Tests of the table of reported admission thresholds."""

import random

import pytest

from bergamotdeal.admission import feedback
from bergamotdeal.presets import model

KEY = ("kitview", "/kits", "browse")


def test_a_reported_threshold_refuses_high_hashes():
    table = feedback.ThresholdTable(policy=model.AdmissionPolicy())
    for step in range(50):
        table.observe(*KEY, 0.3, step * 0.01)
    assert table.admits(*KEY, 0.2, 0.5)
    assert not table.admits(*KEY, 0.4, 0.5)


def test_threshold_recovers_without_reports():
    table = feedback.ThresholdTable(policy=model.AdmissionPolicy())
    table.observe(*KEY, 0.0, 0.0)
    assert not table.admits(*KEY, 0.9, 0.1)
    assert table.admits(*KEY, 0.99, 10.0)


def test_disabled_feedback_admits_everything():
    policy = model.AdmissionPolicy(feedback=False)
    table = feedback.ThresholdTable(policy=policy)
    table.observe(*KEY, 0.0, 0.0)
    assert table.threshold(*KEY, 0.0) == 1.0


def test_reports_are_averaged_by_number_of_calls():
    table = feedback.ThresholdTable(policy=model.AdmissionPolicy())
    rng = random.Random(1)
    thresholds = []
    for step in range(4000):
        now = step * 0.001
        reported = 0.2 if rng.random() < 0.25 else 1.0
        table.observe(*KEY, reported, now)
        thresholds.append(table.threshold(*KEY, now))
    mean = sum(thresholds[1000:]) / len(thresholds[1000:])
    assert 0.5 < mean < 0.85


def test_sparse_reports_follow_the_latest_one():
    table = feedback.ThresholdTable(policy=model.AdmissionPolicy())
    table.observe(*KEY, 0.1, 0.0)
    table.observe(*KEY, 0.6, 3.0)
    assert table.threshold(*KEY, 3.0) == pytest.approx(0.6, abs=0.01)


@pytest.mark.parametrize("reported", [0.0, 0.001, 0.05, 0.9])
def test_threshold_fully_recovers_within_two_seconds(reported):
    table = feedback.ThresholdTable(policy=model.AdmissionPolicy())
    for step in range(1000):
        table.observe(*KEY, reported, step * 0.01)
    assert table.threshold(*KEY, 12.0) == 1.0


def test_table_size_stays_bounded():
    table = feedback.ThresholdTable(policy=model.AdmissionPolicy())
    for number in range(10_000):
        table.observe("kitview", f"/{number}", "browse", 0.5, 0.0)
    assert len(table._entries_by_key) <= 4096
    table.observe(*KEY, 0.5, 100.0)
    assert table.threshold(*KEY, 100.0) < 0.6

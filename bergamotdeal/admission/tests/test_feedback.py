"""Tests of the table of reported thresholds."""

from bergamotdeal.admission import feedback
from bergamotdeal.presets import model

KEY = ("kitview", "/kits", "browse")


def test_a_reported_threshold_refuses_high_hashes():
    table = feedback.ThresholdTable(policy=model.AdmissionPolicy())
    for step in range(50):
        table.observe(*KEY, 0.3, step * 0.01)
    assert table.admits(*KEY, 0.2, 0.5)
    assert not table.admits(*KEY, 0.4, 0.5)


def test_a_threshold_opens_without_answers():
    table = feedback.ThresholdTable(policy=model.AdmissionPolicy())
    table.observe(*KEY, 0.0, 0.0)
    assert not table.admits(*KEY, 0.9, 0.1)
    assert table.admits(*KEY, 0.99, 10.0)


def test_feedback_can_be_switched_off():
    policy = model.AdmissionPolicy(feedback=False)
    table = feedback.ThresholdTable(policy=policy)
    table.observe(*KEY, 0.0, 0.0)
    assert table.threshold(*KEY, 0.0) == 1.0

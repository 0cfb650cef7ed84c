"""Eras of a store that comes back from a copy some seconds old."""

from bergamotdeal.store import core
from bergamotdeal.store import eras
from bergamotdeal.store import http_calls


def test_version_of_a_later_era_is_higher():
    """A restore gives out revisions again, and lower ones."""
    assert eras.combine(4, 7) > eras.combine(3, 900)
    version = eras.combine(4, 7)
    assert (eras.get_era(version), eras.get_revision(version)) == (4, 7)


def test_version_without_an_era_is_the_revision():
    assert eras.combine(eras.NO_ERA, 12) == 12


def test_tracker_tells_of_a_restore_once():
    tracker = eras.EraTracker()
    told = []
    tracker.listeners.append(told.append)
    assert [tracker.observe(era) for era in (3, 3, 4, 4)] == [True] * 4
    assert told == [4]


def test_answer_of_an_older_era_is_not_the_newest():
    tracker = eras.EraTracker()
    tracker.observe(4)
    assert not tracker.observe(3)
    assert tracker.newest == 4


def test_revision_that_was_given_out_again_is_outdated():
    tracker = eras.EraTracker()
    tracker.observe(4)
    assert tracker.is_outdated(eras.combine(3, 7))
    assert not tracker.is_outdated(eras.combine(4, 7))
    assert not tracker.is_outdated(core.NO_VERSION)


def test_write_across_a_restore_is_not_taken_as_accepted():
    checked = http_calls.check_write_era(eras.combine(4, 8), eras.combine(3, 7))
    assert checked.unwrap_err().may_have_applied
    assert http_calls.check_write_era(
        eras.combine(4, 8), eras.combine(4, 7)
    ).is_ok()

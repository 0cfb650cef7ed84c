"""Tests of the settings that follow from properties of a deployment."""

import pytest

from bergamotdeal.settings import derived
from bergamotdeal.settings import model


@pytest.mark.parametrize(
    ("data_centres", "watchers"), [(0, 10), (3, 4), (8, 2)]
)
def test_each_data_centre_has_watchers(data_centres, watchers):
    assert derived.compute_watchers(data_centres) == watchers


@pytest.mark.parametrize(("data_centres", "checkers"), [(0, 2), (1, 2), (3, 1)])
def test_fleet_has_two_checkers_or_one_in_each_data_centre(
    data_centres, checkers
):
    assert derived.compute_checkers(data_centres) == checkers


@pytest.mark.parametrize(
    ("apply_ms", "check_ms", "longest_wait_ms"),
    [(2000, 1000, 1000), (0, 0, 100)],
)
def test_recovery_of_the_store_is_noticed_in_half_of_the_time(
    apply_ms, check_ms, longest_wait_ms
):
    store = derived.build_store_section(
        model.Endpoint(address="10.0.0.1", port=8309),
        data_centre_count=3,
        apply_ms=apply_ms,
        calls_per_minute=600,
    )
    assert (store.address, store.port) == ("10.0.0.1", 8309)
    assert (store.watchers, store.checkers) == (4, 1)
    assert store.check_ms == check_ms
    assert store.longest_wait_ms == longest_wait_ms


def test_drain_ends_within_the_grace_period():
    drain = derived.build_drain_section(grace_ms=6000, detection_ms=2500)
    assert drain.entry_open_ms == 2500
    assert drain.longest_ms + drain.flush_ms < 6000


def test_drain_within_a_short_grace_period_leaves_time_to_end():
    drain = derived.build_drain_section(grace_ms=800, detection_ms=2500)
    assert drain.entry_open_ms == 400
    assert drain.longest_ms == 1

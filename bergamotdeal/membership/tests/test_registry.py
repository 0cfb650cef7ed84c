"""Tests of registry entries and of the choice of hosts to contact."""

import msgspec
import pytest

from bergamotdeal.membership import core
from bergamotdeal.membership import registry

ENTRY = registry.Entry(address="10.1.0.8", port=7620, data_centre="prai")


def test_encoded_entry_decodes_to_same_entry():
    assert registry.decode(registry.encode(ENTRY)).unwrap() == ENTRY
    assert registry.parse_host_id(registry.build_key("host-1")) == "host-1"


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"null",
        b"[]",
        b'{"address":"a","port":"x","data_centre":"d"}',
        b'{"address":"a","port":70000,"data_centre":"d"}',
        b"{" * 5000,
        b'{"address":"a","port":1,"data_centre":"d","crashes":[1]}',
        b'{"address":"a","port":1,"data_centre":"d","crashes":'
        b'[{"fingerprint":"f","death_id":"","at_ms":1}]}',
        b'{"address":"a","port":1,"data_centre":"d","crashes":'
        b'[{"fingerprint":"f","death_id":"d","at_ms":-1}]}',
        b'{"address":"a","port":1,"data_centre":"d","crashes":'
        b'[{"fingerprint":"f","death_id":"d","at_ms":1e30}]}',
    ],
)
def test_decode_rejects_malformed_entries(data):
    assert registry.decode(data).is_err()


def test_entry_without_crashes_is_that_of_the_version_before():
    """Guards against a write by each node of a fleet that is upgraded."""
    assert registry.encode(ENTRY) == (
        b'{"address":"10.1.0.8","data_centre":"prai","port":7620}'
    )


def test_entry_with_the_most_and_longest_crashes_fits():
    """Guards against an entry that hosts reject for its size."""
    name = "f" * 62
    reports = tuple(
        core.CrashReport(
            fingerprint=f"{name}{number:02}",
            host_id="host-1",
            death_id=f"{name}{number:02}",
            age_s=number,
        )
        for number in range(2 * registry.MAX_CRASHES)
    )
    archive = registry.CrashArchive(host_id="host-1")
    crashes = archive.build(reports, 2**53)
    assert len(crashes) == registry.MAX_CRASHES
    assert crashes[0].fingerprint.endswith("00")
    entry = msgspec.structs.replace(
        ENTRY, address="a" * 64, data_centre="d" * 64, crashes=crashes
    )
    assert registry.decode(registry.encode(entry)).unwrap() == entry


def test_tracker_returns_only_unknown_hosts():
    tracker = registry.ContactTracker()
    listed = {"a": 1, "b": 1, "c": 1}
    assert tracker.list_unknown_hosts(listed, ["b"], "a") == ["c"]


def test_tracker_skips_silent_host_until_its_entry_changes():
    tracker = registry.ContactTracker()
    for _ in range(registry.MAX_CONTACT_ATTEMPTS):
        assert tracker.list_unknown_hosts({"c": 1}, [], "a") == ["c"]
        tracker.record_attempt("c", 1, 0.0)
    assert tracker.list_unknown_hosts({"c": 1}, [], "a") == []
    assert tracker.list_unknown_hosts({"c": 2}, [], "a") == ["c"]


def exhaust_attempts(tracker, host_id, version, now):
    tracker.list_unknown_hosts({host_id: version}, [], "a")
    for _ in range(registry.MAX_CONTACT_ATTEMPTS):
        tracker.record_attempt(host_id, version, now)


def test_host_is_gone_after_a_long_silence():
    tracker = registry.ContactTracker()
    exhaust_attempts(tracker, "c", 7, now=100.0)
    gone_at = 100.0 + registry.GONE_AFTER_S
    assert tracker.list_gone_hosts(gone_at - 1) == {}
    assert tracker.list_gone_hosts(gone_at) == {"c": 7}


def test_host_that_was_not_contacted_often_enough_is_not_gone():
    tracker = registry.ContactTracker()
    tracker.list_unknown_hosts({"c": 7}, [], "a")
    tracker.record_attempt("c", 7, 100.0)
    assert tracker.list_gone_hosts(100.0 + 10 * registry.GONE_AFTER_S) == {}


@pytest.mark.parametrize(
    ("listed", "known"),
    [({"c": 8}, []), ({"c": 7}, ["c"]), ({}, [])],
    ids=["entry changed", "host is known", "entry is gone"],
)
def test_host_that_shows_a_sign_is_not_gone(listed, known):
    tracker = registry.ContactTracker()
    exhaust_attempts(tracker, "c", 7, now=100.0)
    tracker.list_unknown_hosts(listed, known, "a")
    assert tracker.list_gone_hosts(100.0 + registry.GONE_AFTER_S) == {}

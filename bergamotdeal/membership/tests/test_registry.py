"""Tests of registry entries and of the choice of hosts to contact."""

import random

import pytest

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
    ],
)
def test_decode_rejects_malformed_entries(data):
    assert registry.decode(data).is_err()


def test_tracker_returns_only_unknown_hosts():
    tracker = registry.ContactTracker()
    listed = {"a": 1, "b": 1, "c": 1}
    assert tracker.list_unknown_hosts(listed, ["b"], "a") == ["c"]


def test_tracker_skips_silent_host_until_its_entry_changes():
    tracker = registry.ContactTracker()
    for _ in range(registry.MAX_CONTACT_ATTEMPTS):
        assert tracker.list_unknown_hosts({"c": 1}, [], "a") == ["c"]
        tracker.record_attempt("c", 1)
    assert tracker.list_unknown_hosts({"c": 1}, [], "a") == []
    assert tracker.list_unknown_hosts({"c": 2}, [], "a") == ["c"]


def test_contacts_are_few_and_mostly_in_the_own_data_centre():
    """Guards against a start of 196 nodes in which each one pings all."""
    entries_by_host = {
        f"host-{i}": registry.Entry(
            address="10.1.0.8",
            port=7620,
            data_centre="prai" if i % 5 == 0 else "kulim",
        )
        for i in range(196)
    }
    chosen = registry.choose_contacts(entries_by_host, "prai", random.Random(1))
    centres = [entries_by_host[host_id].data_centre for host_id in chosen]
    assert centres.count("prai") == registry.MAX_LOCAL_CONTACTS
    assert centres.count("kulim") == registry.MAX_REMOTE_CONTACTS

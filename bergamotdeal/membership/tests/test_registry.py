"""Entries of the registry and whom they introduce."""

import pytest

from bergamotdeal.membership import registry

ENTRY = registry.Entry(address="10.1.0.8", port=7620, data_centre="prai")


def test_entry_reads_back():
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
def test_foreign_entries_name_nobody(data):
    assert registry.decode(data).is_err()


def test_only_unknown_hosts_are_introduced():
    known = registry.ContactTracker()
    listed = {"a": 1, "b": 1, "c": 1}
    assert known.take_unknown_hosts(listed, ["b"], "a") == ["c"]


def test_host_that_never_answers_is_left_until_its_entry_changes():
    known = registry.ContactTracker()
    for _ in range(registry.MAX_TRIES):
        assert known.take_unknown_hosts({"c": 1}, [], "a") == ["c"]
    assert known.take_unknown_hosts({"c": 1}, [], "a") == []
    assert known.take_unknown_hosts({"c": 2}, [], "a") == ["c"]

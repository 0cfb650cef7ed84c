"""Registry task with an in-memory store and a simulated clock."""

import random

import hypothesis
from hypothesis import strategies
import pytest
import result
from twisted.internet import defer
from twisted.internet import task

from bergamotdeal.membership import core
from bergamotdeal.membership import registry
from bergamotdeal.node import registry as registry_task
from bergamotdeal.settings import model as settings
from bergamotdeal.store import core as store_core

FailureKind = store_core.FailureKind
OWN = "host-1"


class MemoryStore:
    """In-memory store whose listings optionally include values."""

    def __init__(self, *, lists_values=True):
        self.objects_by_key = {}
        self.calls = []
        self.is_unavailable = False
        self.lists_values = lists_values

    def write_entry(self, host_id, value=None):
        entry = registry.Entry(address=host_id, port=1, data_centre="prai")
        key = registry.build_key(host_id)
        version, _ = self.objects_by_key.get(key, (0, b""))
        value = registry.encode(entry) if value is None else value
        self.objects_by_key[key] = (version + 1, value)

    def _fail(self, kind):
        failure = store_core.Failure(kind=kind, detail="no answer")
        return defer.succeed(result.Err(failure))

    def get(self, key):
        self.calls.append("get")
        if key not in self.objects_by_key:
            return self._fail(FailureKind.NOT_FOUND)
        version, value = self.objects_by_key[key]
        stored = store_core.StoredObject(key=key, version=version, value=value)
        return defer.succeed(result.Ok(stored))

    def put(self, key, value, *, expected_version):
        self.calls.append("put")
        version, _ = self.objects_by_key.get(key, (0, b""))
        if version != expected_version:
            return self._fail(FailureKind.CONFLICT)
        self.objects_by_key[key] = (version + 1, value)
        return defer.succeed(result.Ok(version + 1))

    def delete(self, key, *, expected_version):
        self.calls.append("delete")
        version, _ = self.objects_by_key.get(key, (0, b""))
        if not version:
            return self._fail(FailureKind.NOT_FOUND)
        if version != expected_version:
            return self._fail(FailureKind.CONFLICT)
        del self.objects_by_key[key]
        return defer.succeed(result.Ok(None))

    def list(self, prefix):
        self.calls.append("list")
        if self.is_unavailable:
            return self._fail(FailureKind.UNAVAILABLE)
        listed = [
            store_core.ListingEntry(
                key=key,
                version=version,
                value=value if self.lists_values else None,
            )
            for key, (version, value) in self.objects_by_key.items()
        ]
        return defer.succeed(result.Ok(listed))


def make_member(host_id):
    return core.Member(
        host_id=host_id,
        incarnation="0",
        data_centre="prai",
        region="penang",
        address=host_id,
        peer_port=1,
    )


class FakeMembership:
    """Membership task that knows each live seed at once."""

    def __init__(self):
        self.members_by_host_id = {OWN: make_member(OWN)}
        self.seeds = []
        self.gone_addresses = set()
        self.is_frozen = False
        self.crashes = ()
        self.added_reports = []

    def is_eviction_frozen(self):
        return self.is_frozen

    def members_by_id(self):
        return self.members_by_host_id

    def list_confirmed_crashes(self):
        return self.crashes

    def add_crash_reports(self, reports):
        self.added_reports += reports
        own = [report for report in reports if report.host_id == OWN]
        self.crashes = tuple(own)

    def add_seeds(self, seeds):
        for seed in seeds:
            self.seeds.append(seed.address)
            if seed.address not in self.gone_addresses:
                self.members_by_host_id[seed.address] = make_member(
                    seed.address
                )


class Harness:
    def __init__(self, **options):
        self.clock = task.Clock()
        self.store = MemoryStore(**options)
        self.membership = FakeMembership()
        self.records = []
        self.listings = []
        self.suspended_s = 0.0
        self.wall_s = 1_700_000_000.0
        self.task = registry_task.RegistryTask(
            settings=settings.Settings(
                node=settings.NodeSection(host_id=OWN, data_centre="prai"),
                peer=settings.PeerSection(key="k" * 16),
            ),
            reactor=self.clock,
            rng=random.Random(1),
            store=self.store,
            membership=self.membership,
            record=self.records.append,
            on_listed=lambda host_ids: self.listings.append(set(host_ids)),
            suspend_clock=lambda: self.clock.seconds() + self.suspended_s,
            wall_clock=lambda: self.wall_s + self.clock.seconds(),
        )

    def run(self, seconds):
        self.clock.pump([0.1] * round(seconds * 10))

    def run_long(self, seconds):
        self.clock.pump([10.0] * round(seconds / 10))

    def write_gone_hosts(self, count):
        for index in range(count):
            self.store.write_entry(f"gone-{index}")
            self.membership.gone_addresses.add(f"gone-{index}")

    def list_entries(self):
        return set(self.store.objects_by_key)


def test_start_without_entry_writes_entry_once():
    harness = Harness()
    harness.task.start()
    harness.run(30)
    assert harness.store.calls.count("put") == 1
    _, value = harness.store.objects_by_key[registry.build_key(OWN)]
    assert registry.decode(value).unwrap().address == OWN


def test_listings_are_reported_with_the_ids_of_the_hosts():
    # Nodes that start together all see an empty registry first.
    harness = Harness()
    harness.task.start()
    harness.run(30)
    assert (harness.listings[0], harness.listings[-1]) == (set(), {OWN})
    harness.store.write_entry("host-2")
    harness.run(60)
    assert harness.listings[-1] == {OWN, "host-2"}


def test_start_with_unchanged_entry_writes_nothing():
    harness = Harness()
    own = registry.build_entry(make_member(OWN))
    harness.store.write_entry(OWN, registry.encode(own))
    harness.task.start()
    harness.run(30)
    assert "put" not in harness.store.calls


def test_poll_with_some_known_members_contacts_the_unknown():
    harness = Harness()
    harness.membership.members_by_host_id["host-2"] = make_member("host-2")
    for host_id in ("host-2", "host-3", "host-4"):
        harness.store.write_entry(host_id)
    harness.task.start()
    harness.run(2)
    assert sorted(harness.membership.seeds) == ["host-3", "host-4"]


def test_poll_contacts_nodes_that_start_later():
    harness = Harness()
    harness.task.start()
    harness.run(3)
    harness.store.write_entry("host-9")
    harness.run(10)
    assert harness.membership.seeds == ["host-9"]


def test_poll_reads_entries_when_listing_has_no_values():
    harness = Harness(lists_values=False)
    for index in range(2, 9):
        harness.store.write_entry(f"host-{index}")
    harness.task.start()
    harness.run(30)
    assert len(harness.membership.seeds) == 7


def test_malformed_entry_is_recorded_and_skipped():
    harness = Harness()
    harness.store.write_entry("host-3", b"nonsense")
    harness.store.write_entry("host-4")
    harness.task.start()
    harness.run(2)
    assert harness.membership.seeds == ["host-4"]
    assert harness.records


def test_poll_is_retried_after_store_outage():
    harness = Harness()
    harness.store.is_unavailable = True
    harness.store.write_entry("host-2")
    harness.task.start()
    harness.run(5)
    assert harness.membership.seeds == []
    harness.store.is_unavailable = False
    harness.run(20)
    assert harness.membership.seeds == ["host-2"]


def test_poll_backs_off_when_all_nodes_are_known():
    harness = Harness()
    harness.store.write_entry("host-2")
    harness.task.start()
    harness.run(60)
    calls = len(harness.store.calls)
    harness.run(600)
    assert len(harness.store.calls) - calls <= 8


def test_stop_ends_store_calls():
    harness = Harness()
    harness.task.start()
    harness.run(2)
    calls = len(harness.store.calls)
    harness.task.stop()
    harness.run(30)
    assert len(harness.store.calls) == calls


# The store comes back from a copy some seconds old.


def test_entry_that_a_restore_lost_is_written_again_within_two_seconds():
    harness = Harness()
    harness.task.start()
    harness.run(10)
    harness.store.objects_by_key.clear()
    harness.task.handle_store_restored()
    harness.run(2.2)
    assert registry.build_key(OWN) in harness.store.objects_by_key


def test_restore_costs_no_call_of_a_node_whose_entry_is_old():
    harness = Harness()
    harness.task.start()
    harness.run(10 + registry_task.RESTORE_DEPTH_S)
    calls = len(harness.store.calls)
    harness.task.handle_store_restored()
    harness.run(2.2)
    assert len(harness.store.calls) == calls


# Guards against a registry that is not read again after an unexpected error in
# the handling of an entry.
def test_polls_go_on_after_an_unexpected_error():
    harness = Harness()
    harness.store.list = lambda prefix: defer.fail(RecursionError("too deep"))
    harness.task.start()
    harness.run(2)
    del harness.store.list
    harness.store.write_entry("host-2")
    harness.run(5)
    assert harness.membership.seeds == ["host-2"]


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(strategies.binary())
@hypothesis.example(b'{"address":' + b"[" * 1000 + b"]" * 1000 + b"}")
def test_entry_of_any_bytes_does_not_keep_the_others_out(value):
    harness = Harness()
    harness.store.write_entry("foreign", value)
    harness.store.write_entry("host-2")
    harness.task.start()
    harness.run(5)
    assert "host-2" in harness.membership.seeds


# Entries of hosts that are gone.


def test_live_host_is_found_among_many_that_are_gone():
    """Guards against a start that takes minutes beside dead entries."""
    harness = Harness()
    harness.write_gone_hosts(1000)
    harness.store.write_entry("host-2")
    harness.task.start()
    harness.run(2)
    assert "host-2" in harness.membership.members_by_host_id


def test_search_among_entries_costs_no_store_calls():
    calls = []
    for count in (0, 1000):
        harness = Harness()
        harness.write_gone_hosts(count)
        harness.task.start()
        harness.run(30)
        calls.append(len(harness.store.calls))
    assert calls[0] == calls[1]


def test_entries_of_gone_hosts_are_removed_after_a_long_silence():
    harness = Harness()
    harness.write_gone_hosts(3)
    harness.store.write_entry("host-2")
    harness.task.start()
    harness.run_long(registry.GONE_AFTER_S - 60)
    assert len(harness.list_entries()) == 5
    # Another node has the same view and removes its part of them.
    other = Harness()
    other.store = other.task._store = harness.store
    other.task._host_id = "host-2"
    other.membership.members_by_host_id = harness.membership.members_by_host_id
    other.membership.gone_addresses = harness.membership.gone_addresses
    other.task.start()
    for _ in range(400):
        harness.run_long(10)
        other.run_long(10)
    assert harness.list_entries() == {
        registry.build_key(OWN),
        registry.build_key("host-2"),
    }
    assert harness.store.calls.count("delete") == 3


def test_node_that_may_be_cut_off_removes_nothing():
    harness = Harness()
    harness.write_gone_hosts(3)
    harness.membership.is_frozen = True
    harness.task.start()
    harness.run_long(3 * registry.GONE_AFTER_S)
    assert "delete" not in harness.store.calls


def test_entry_that_its_host_wrote_again_is_not_removed():
    harness = Harness()
    harness.write_gone_hosts(1)
    harness.task.start()
    harness.run_long(registry.GONE_AFTER_S - 60)
    list_entries = harness.store.list

    def list_stale(prefix):
        listed = list_entries(prefix)
        harness.store.write_entry("gone-0")
        return listed

    harness.store.list = list_stale
    harness.run_long(2 * registry_task.MAX_POLL_INTERVAL_S)
    assert registry.build_key("gone-0") in harness.list_entries()


def test_many_removals_are_spread_over_several_polls():
    harness = Harness()
    harness.write_gone_hosts(100)
    harness.task.start()
    harness.run_long(registry.GONE_AFTER_S + 60)
    harness.run_long(1.5 * registry_task.MAX_POLL_INTERVAL_S)
    deletes = harness.store.calls.count("delete")
    assert 0 < deletes <= 3 * registry_task.MAX_REMOVALS_PER_POLL


def test_choices_of_removers_leave_the_event_loop_to_others(monkeypatch):
    """Guards against a listing of dead entries that blocks the event loop."""
    harness = Harness()
    harness.write_gone_hosts(500)
    for number in range(100):
        other = make_member(f"other-{number}")
        harness.membership.members_by_host_id[other.host_id] = other
    harness.task.start()
    harness.run_long(registry.GONE_AFTER_S - 60)
    choices_by_turn = [0]
    select_name = registry_task.rendezvous.select_name
    call_later = harness.clock.callLater

    def count_choice(*arguments):
        choices_by_turn[-1] += 1
        return select_name(*arguments)

    def count_turn(*arguments):
        choices_by_turn.append(0)
        return call_later(*arguments)

    monkeypatch.setattr(registry_task.rendezvous, "select_name", count_choice)
    monkeypatch.setattr(harness.clock, "callLater", count_turn)
    harness.run_long(2 * registry_task.MAX_POLL_INTERVAL_S)
    assert sum(choices_by_turn) >= 500
    assert max(choices_by_turn) <= registry_task.CHOICES_PER_TURN


# Guards against a living host whose entry was removed while it was cut off and
# which is not found by hosts that start after its return.
@pytest.mark.parametrize("is_suspended", [False, True])
def test_removed_entry_is_back_within_two_seconds_of_the_return(is_suspended):
    harness = Harness()
    harness.task.start()
    harness.run(10)
    if is_suspended:
        harness.suspended_s = registry_task.LONG_ISOLATION_S
    else:
        harness.membership.is_frozen = True
        harness.run_long(registry_task.LONG_ISOLATION_S)
    del harness.store.objects_by_key[registry.build_key(OWN)]
    harness.membership.is_frozen = False
    harness.run(2)
    assert registry.build_key(OWN) in harness.list_entries()


def test_short_isolation_costs_no_store_call():
    harness = Harness()
    harness.task.start()
    harness.run(1000)
    calls = len(harness.store.calls)
    harness.membership.is_frozen = True
    harness.run(10)
    harness.membership.is_frozen = False
    harness.run(2)
    assert len(harness.store.calls) - calls <= 1

"""The registry task with a store in memory and an injected clock."""

import random

import result
from twisted.internet import defer
from twisted.internet import task

from bergamotdeal.membership import core
from bergamotdeal.membership import registry
from bergamotdeal.node import registry as registry_task
from bergamotdeal.settings import model as settings
from bergamotdeal.store import core as store_core

Kind = store_core.FailureKind
OWN = "host-1"


class MemoryStore:
    """Objects with versions; listings hold values only if asked to."""

    def __init__(self, *, lists_values=True):
        self.objects_by_key = {}
        self.calls = []
        self.down = False
        self.lists_values = lists_values

    def write(self, host_id, value=None):
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
            return self._fail(Kind.NOT_FOUND)
        version, value = self.objects_by_key[key]
        stored = store_core.StoredObject(key=key, version=version, value=value)
        return defer.succeed(result.Ok(stored))

    def put(self, key, value, *, expected_version):
        self.calls.append("put")
        version, _ = self.objects_by_key.get(key, (0, b""))
        if version != expected_version:
            return self._fail(Kind.CONFLICT)
        self.objects_by_key[key] = (version + 1, value)
        return defer.succeed(result.Ok(version + 1))

    def list(self, prefix):
        self.calls.append("list")
        if self.down:
            return self._fail(Kind.UNAVAILABLE)
        listed = [
            store_core.Listed(
                key=key,
                version=version,
                value=value if self.lists_values else None,
            )
            for key, (version, value) in self.objects_by_key.items()
        ]
        return defer.succeed(result.Ok(listed))


def member(host_id):
    return core.Member(
        host_id=host_id,
        incarnation="0",
        data_centre="prai",
        region="penang",
        address=host_id,
        peer_port=1,
    )


class Membership:
    """Stands in for the membership task; it meets whoever it is told of."""

    def __init__(self):
        self.members = {OWN: member(OWN)}
        self.seeds = []

    def members_by_id(self):
        return self.members

    def add_seeds(self, seeds):
        for seed in seeds:
            self.seeds.append(seed.address)
            self.members[seed.address] = member(seed.address)


class Harness:
    def __init__(self, **options):
        self.clock = task.Clock()
        self.store = MemoryStore(**options)
        self.membership = Membership()
        self.records = []
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
        )

    def run(self, seconds):
        self.clock.pump([0.1] * round(seconds * 10))


def test_node_enters_itself_once():
    harness = Harness()
    harness.task.start()
    harness.run(30)
    assert harness.store.calls.count("put") == 1
    _, value = harness.store.objects_by_key[registry.build_key(OWN)]
    assert registry.decode(value).unwrap().address == OWN


def test_restarted_node_writes_nothing():
    harness = Harness()
    own = registry.build_entry(member(OWN))
    harness.store.write(OWN, registry.encode(own))
    harness.task.start()
    harness.run(30)
    assert "put" not in harness.store.calls


def test_node_meets_others_though_it_knows_some_already():
    harness = Harness()
    harness.membership.members["host-2"] = member("host-2")
    for host_id in ("host-2", "host-3", "host-4"):
        harness.store.write(host_id)
    harness.task.start()
    harness.run(2)
    assert sorted(harness.membership.seeds) == ["host-3", "host-4"]


def test_late_starters_are_met_too():
    harness = Harness()
    harness.task.start()
    harness.run(3)
    harness.store.write("host-9")
    harness.run(10)
    assert harness.membership.seeds == ["host-9"]


def test_entries_are_read_where_listings_hold_none():
    harness = Harness(lists_values=False)
    for index in range(2, 9):
        harness.store.write(f"host-{index}")
    harness.task.start()
    harness.run(30)
    assert len(harness.membership.seeds) == 7


def test_malformed_entry_is_told_and_left():
    harness = Harness()
    harness.store.write("host-3", b"nonsense")
    harness.store.write("host-4")
    harness.task.start()
    harness.run(2)
    assert harness.membership.seeds == ["host-4"]
    assert harness.records


def test_store_that_is_down_is_tried_again():
    harness = Harness()
    harness.store.down = True
    harness.store.write("host-2")
    harness.task.start()
    harness.run(5)
    assert harness.membership.seeds == []
    harness.store.down = False
    harness.run(20)
    assert harness.membership.seeds == ["host-2"]


def test_calls_grow_rare_once_everybody_is_met():
    harness = Harness()
    harness.store.write("host-2")
    harness.task.start()
    harness.run(60)
    calls = len(harness.store.calls)
    harness.run(600)
    assert len(harness.store.calls) - calls <= 8


def test_stopped_task_calls_no_more():
    harness = Harness()
    harness.task.start()
    harness.run(2)
    calls = len(harness.store.calls)
    harness.task.stop()
    harness.run(30)
    assert len(harness.store.calls) == calls

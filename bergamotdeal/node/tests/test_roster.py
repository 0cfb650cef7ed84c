"""The roster task with a store in memory and an injected clock."""

import random

import pytest
import result
from twisted.internet import defer
from twisted.internet import task

from bergamotdeal.membership import core
from bergamotdeal.membership import roster
from bergamotdeal.node import roster as roster_task
from bergamotdeal.settings import model as settings
from bergamotdeal.store import core as store_core

Kind = store_core.FailureKind
OWN = "host-1"


class MemoryStore:
    """Objects with versions; ``before_put`` lets another writer in."""

    def __init__(self):
        self.objects_by_key = {}
        self.calls = []
        self.down = False
        self.before_put = None

    def write(self, key, contacts):
        version, _ = self.objects_by_key.get(key, (0, b""))
        value = roster.encode(roster.Roster(contacts=contacts))
        self.objects_by_key[key] = (version + 1, value)

    def read(self, key):
        _, value = self.objects_by_key[key]
        return roster.decode(value).unwrap()

    def _fail(self, kind):
        failure = store_core.Failure(kind=kind, detail="")
        return defer.succeed(result.Err(failure))

    def get(self, key):
        self.calls.append(("get", key))
        if self.down:
            return self._fail(Kind.UNAVAILABLE)
        if key not in self.objects_by_key:
            return self._fail(Kind.NOT_FOUND)
        version, value = self.objects_by_key[key]
        stored = store_core.StoredObject(key=key, version=version, value=value)
        return defer.succeed(result.Ok(stored))

    def put(self, key, value, *, expected_version):
        self.calls.append(("put", key))
        if self.before_put is not None:
            self.before_put()
        version, _ = self.objects_by_key.get(key, (0, b""))
        if version != expected_version:
            return self._fail(Kind.CONFLICT)
        self.objects_by_key[key] = (version + 1, value)
        return defer.succeed(result.Ok(version + 1))

    def list(self, prefix):
        self.calls.append(("list", prefix))
        if self.down:
            return self._fail(Kind.UNAVAILABLE)
        listed = [
            store_core.Listed(key=key, version=version)
            for key, (version, _) in self.objects_by_key.items()
            if key.startswith(prefix)
        ]
        return defer.succeed(result.Ok(listed))


class Membership:
    """Stands in for the membership task."""

    def __init__(self):
        self.members = members(OWN)
        self.seeds = []

    def joined(self):
        return len(self.members) > 1

    def members_by_id(self):
        return self.members

    def add_seeds(self, seeds):
        self.seeds.extend(seeds)


def members(*host_ids):
    return {
        host_id: core.Member(
            host_id=host_id,
            incarnation="i",
            data_centre="odori",
            region="north",
            address=f"10.0.0.{host_id.split('-')[1]}",
            peer_port=7,
        )
        for host_id in host_ids
    }


def contact(host_id):
    return roster.Contact(
        host_id=host_id, address=f"10.0.0.{host_id.split('-')[1]}", port=7
    )


class Scene:
    def __init__(self):
        self.clock = task.Clock()
        self.store = MemoryStore()
        self.membership = Membership()
        self.task = roster_task.RosterTask(
            settings=settings.Settings(
                node=settings.NodeSection(host_id=OWN, data_centre="odori"),
                peer=settings.PeerSection(key="k" * 16),
            ),
            reactor=self.clock,
            rng=random.Random(1),
            store=self.store,
            membership=self.membership,
            clock=self.clock.seconds,
        )
        self.task.start()

    def run(self, seconds):
        self.clock.pump([0.1] * round(10 * seconds))


@pytest.fixture
def scene():
    return Scene()


def addresses(scene):
    return {endpoint.address for endpoint in scene.membership.seeds}


def test_lone_node_adds_itself_and_finds_the_others(scene):
    scene.store.write("roster/odori", (contact("host-2"), contact("host-3")))
    scene.run(5)
    held = scene.store.read("roster/odori").contacts
    assert [c.host_id for c in held] == ["host-2", "host-3", OWN]
    assert addresses(scene) == {"10.0.0.2", "10.0.0.3"}


def test_rosters_of_other_data_centres_help_out(scene):
    for number in range(2, 9):
        key = f"roster/dc-{number}"
        scene.store.write(key, (contact(f"host-{number}"),))
    scene.run(5)
    assert len(addresses(scene)) >= roster_task.MAX_OTHER_ROSTERS


def test_joined_writer_finds_the_data_centres_that_its_view_lacks(scene):
    """Both start at once and know nobody of the other data centre."""
    scene.membership.members = members(OWN, "host-2")
    scene.run(3)
    assert addresses(scene) == set()
    scene.store.write("roster/kotoni", (contact("host-9"),))
    scene.run(roster_task.EARLY_CHECK_INTERVAL_S * 1.5)
    assert addresses(scene) == {"10.0.0.9"}


def test_known_data_centres_are_not_read_again(scene):
    scene.membership.members = members(OWN, "host-2")
    scene.store.write("roster/odori", (contact("host-2"),))
    scene.run(10)
    assert addresses(scene) == set()


def test_store_that_is_down_is_asked_ever_more_seldom(scene):
    scene.store.down = True
    scene.run(600)
    reads = [c for c in scene.store.calls if c[0] == "list"]
    assert 5 <= len(reads) <= 60
    scene.store.down = False
    scene.store.write("roster/odori", (contact("host-2"),))
    scene.run(60)
    assert addresses(scene) == {"10.0.0.2"}


def test_writer_with_an_old_view_conflicts(scene):
    scene.membership.members = members(OWN, "host-2")
    winner = (contact("host-5"),)
    scene.store.before_put = lambda: scene.store.write("roster/odori", winner)
    scene.run(5)
    assert scene.store.read("roster/odori").contacts == winner


def test_unchanged_roster_costs_hardly_any_calls(scene):
    scene.membership.members = members(OWN, "host-2")
    scene.run(5)
    held = scene.store.read("roster/odori").contacts
    assert {c.host_id for c in held} == {OWN, "host-2"}
    before = len(scene.store.calls)
    scene.run(3600)
    # One read each ten minutes, to see that the roster is still there.
    assert 4 <= len(scene.store.calls) - before <= 7


def test_node_that_is_not_chosen_makes_no_calls(scene):
    names = [f"host-{number}" for number in range(1, 200)]
    fleet = members(*names)
    assert not roster.is_writer(fleet, "odori", OWN)
    scene.membership.members = fleet
    scene.run(600)
    assert scene.store.calls == []


def test_stopped_task_makes_no_calls(scene):
    scene.task.stop()
    scene.run(600)
    assert scene.store.calls == []

"""Membership over real nodes: stops, pauses, restarts and first contact."""

import random
import signal
import socket

import pytest

from standins import cluster as clusters
from tests.integration import fleet as fleets

PRESET = "[preset]\nname = ordinary\n"
SIZE = 6


@pytest.fixture
def fleet(tmp_path):
    options = {"folder": tmp_path, "size": SIZE, "preset": PRESET}
    with fleets.Fleet(**options) as started:
        started.start_nodes()
        yield started


def wait_state(fleet, hosts, host_id, states, within_s):
    def all_see() -> bool:
        return all(fleet.states(host).get(host_id) in states for host in hosts)

    clusters.wait_for(all_see, f"{host_id} is {states}", within_s)


def test_killed_node_becomes_suspect_then_dead(fleet):
    gone, *others = fleet.hosts_by_id.values()
    fleet.signal(gone.node, signal.SIGKILL)
    wait_state(fleet, others, gone.host_id, ("suspect", "dead"), 10)
    wait_state(fleet, others, gone.host_id, ("dead",), 20)


def test_planned_stop_is_disseminated_to_all_members(fleet):
    leaving, *others = fleet.hosts_by_id.values()
    fleet.signal(leaving.node, signal.SIGTERM)
    assert leaving.node.wait(timeout=20) == 0
    wait_state(fleet, others, leaving.host_id, ("draining", "dead"), 3)
    wait_state(fleet, others, leaving.host_id, ("dead",), 5)


def test_restarted_node_replaces_its_old_incarnation(fleet):
    host, *others = fleet.hosts_by_id.values()
    old = fleet.status(host)["incarnation"]
    fleet.signal(host.node, signal.SIGKILL)
    host.node.wait()
    fleet.start_node(host)

    def replaced() -> bool:
        for other in others:
            members = fleet.status(other).get("members", [])
            told = {m["host_id"]: m for m in members}.get(host.host_id, {})
            if told.get("incarnation") in (old, None):
                return False
            if told["state"] != "alive":
                return False
        return fleet.alive(host) == SIZE

    clusters.wait_for(replaced, "the new incarnation is known")


def test_paused_node_rejoins_with_the_same_incarnation(fleet):
    paused, *others = fleet.hosts_by_id.values()
    incarnation = fleet.status(paused)["incarnation"]
    fleet.signal(paused.node, signal.SIGSTOP)
    wait_state(fleet, others, paused.host_id, ("dead",), 30)
    fleet.signal(paused.node, signal.SIGCONT)
    wait_state(fleet, others, paused.host_id, ("alive",), 20)
    assert fleet.status(paused)["incarnation"] == incarnation
    clusters.wait_for(lambda: fleet.alive(paused) == SIZE, "all are alive")


def test_random_datagrams_are_dropped_and_counted(fleet):
    target, *others = fleet.hosts_by_id.values()
    rng = random.Random(5)

    def dropped() -> int:
        counters = fleet.status(target).get("counters_by_name", {})
        return counters.get("gossip.datagrams_dropped", 0)

    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for sent in range(1, 101):
            data = rng.randbytes(rng.randrange(1, 1400))
            sender.sendto(data, (target.address, clusters.PEER_PORT))
            clusters.wait_for(lambda n=sent: dropped() >= n, "it is counted")
    for other in others:
        assert fleet.states(other)[target.host_id] == "alive"


def test_nodes_join_through_the_store_without_seeds(tmp_path):
    options = {"folder": tmp_path, "size": SIZE, "preset": PRESET}
    with fleets.Fleet(**options, with_store=True, with_seeds=False) as fleet:
        fleet.start_store()
        fleet.wait_store()
        fleet.start_nodes()


def test_nodes_join_through_seeds_while_the_store_is_down(tmp_path):
    """A node without any preset says so, and is ready once there is one."""
    with fleets.Fleet(folder=tmp_path, size=4, with_store=True) as fleet:
        *first, last = fleet.hosts_by_id.values()
        for host in first:
            fleet.start_node(host)
        clusters.wait_for(
            lambda: all(fleet.alive(host) == len(first) for host in first),
            "the first nodes know one another",
        )

        def says_why() -> bool:
            status = fleet.status(first[0])
            return "store is not available" in status["not_ready_reason"]

        clusters.wait_for(says_why, "the node says why it is not ready")
        assert not fleet.status(first[0])["ready"]
        fleet.start_store()
        fleet.wait_store()
        assert fleet.operator("peak").switch().epoch == 1
        fleet.wait_epoch(1, first, within_s=clusters.START_TIMEOUT_S)
        fleet.kill_store()
        fleet.start_node(last)
        fleet.wait_epoch(1, [last], within_s=clusters.START_TIMEOUT_S)
        assert fleet.status(last)["ready"]

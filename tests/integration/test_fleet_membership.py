"""Membership over real nodes: stops, pauses, restarts and joins."""

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


def wait_for_state(fleet, hosts, host_id, states, timeout_s):
    def all_report_state() -> bool:
        return all(
            fleet.get_states_by_host_id(host).get(host_id) in states
            for host in hosts
        )

    clusters.wait_for(all_report_state, f"{host_id} is {states}", timeout_s)


def test_killed_node_becomes_suspect_then_dead(fleet):
    killed, *other_hosts = fleet.hosts_by_id.values()
    fleet.signal_process(killed.node, signal.SIGKILL)
    wait_for_state(fleet, other_hosts, killed.host_id, ("suspect", "dead"), 10)
    wait_for_state(fleet, other_hosts, killed.host_id, ("dead",), 20)


def test_planned_stop_is_disseminated_to_all_members(fleet):
    leaving, *other_hosts = fleet.hosts_by_id.values()
    fleet.signal_process(leaving.node, signal.SIGTERM)
    assert leaving.node.wait(timeout=20) == 0
    wait_for_state(fleet, other_hosts, leaving.host_id, ("draining", "dead"), 3)
    wait_for_state(fleet, other_hosts, leaving.host_id, ("dead",), 5)


def test_restarted_node_replaces_its_old_incarnation(fleet):
    host, *other_hosts = fleet.hosts_by_id.values()
    old_incarnation = fleet.status(host)["incarnation"]
    fleet.signal_process(host.node, signal.SIGKILL)
    host.node.wait()
    fleet.start_node(host)

    def is_replaced() -> bool:
        for other_host in other_hosts:
            members = fleet.status(other_host).get("members", [])
            reported = {m["host_id"]: m for m in members}.get(host.host_id, {})
            if reported.get("incarnation") in (old_incarnation, None):
                return False
            if reported["state"] != "alive":
                return False
        return fleet.alive(host) == SIZE

    clusters.wait_for(is_replaced, "the new incarnation is known")


def test_paused_node_rejoins_with_the_same_incarnation(fleet):
    paused, *other_hosts = fleet.hosts_by_id.values()
    incarnation = fleet.status(paused)["incarnation"]
    fleet.signal_process(paused.node, signal.SIGSTOP)
    wait_for_state(fleet, other_hosts, paused.host_id, ("dead",), 30)
    fleet.signal_process(paused.node, signal.SIGCONT)
    wait_for_state(fleet, other_hosts, paused.host_id, ("alive",), 20)
    assert fleet.status(paused)["incarnation"] == incarnation
    clusters.wait_for(lambda: fleet.alive(paused) == SIZE, "all are alive")


def test_random_datagrams_are_dropped_and_counted(fleet):
    target, *other_hosts = fleet.hosts_by_id.values()
    rng = random.Random(5)

    def count_dropped() -> int:
        counters = fleet.status(target).get("counters_by_name", {})
        return counters.get("gossip.datagrams_dropped", 0)

    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for sent in range(1, 101):
            data = rng.randbytes(rng.randrange(1, 1400))
            sender.sendto(data, (target.address, clusters.PEER_PORT))
            clusters.wait_for(
                lambda n=sent: count_dropped() >= n, "it is counted"
            )
    for other_host in other_hosts:
        assert (
            fleet.get_states_by_host_id(other_host)[target.host_id] == "alive"
        )


def test_nodes_join_through_the_store_without_seeds(tmp_path):
    options = {"folder": tmp_path, "size": SIZE, "preset": PRESET}
    with fleets.Fleet(**options, with_store=True, with_seeds=False) as fleet:
        fleet.start_store()
        fleet.wait_for_store()
        fleet.start_nodes()


def test_nodes_join_through_seeds_while_the_store_is_down(tmp_path):
    """Guards against a node that is ready without a preset.

    The nodes join through their seeds. While the store is down they know no
    preset, stay not ready and report the reason. A node that starts after the
    store is gone again gets the preset from its peers.
    """
    with fleets.Fleet(folder=tmp_path, size=4, with_store=True) as fleet:
        *first_hosts, last_host = fleet.hosts_by_id.values()
        for host in first_hosts:
            fleet.start_node(host)
        clusters.wait_for(
            lambda: all(
                fleet.alive(host) == len(first_hosts) for host in first_hosts
            ),
            "the first nodes know one another",
        )

        def reports_reason() -> bool:
            status = fleet.status(first_hosts[0])
            return "store is not available" in status["not_ready_reason"]

        clusters.wait_for(reports_reason, "the node says why it is not ready")
        assert not fleet.status(first_hosts[0])["ready"]
        fleet.start_store()
        fleet.wait_for_store()
        assert fleet.operator("peak").switch().epoch == 1
        fleet.wait_for_epoch(1, first_hosts, timeout_s=clusters.START_TIMEOUT_S)
        fleet.kill_store()
        fleet.start_node(last_host)
        fleet.wait_for_epoch(1, [last_host], timeout_s=clusters.START_TIMEOUT_S)
        assert fleet.status(last_host)["ready"]

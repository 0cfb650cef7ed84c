"""Switches, drains and deaths of nodes, as operators see them."""

import itertools
import pathlib
import random
import signal
import tempfile
import time

from twisted.internet import defer
from twisted.internet import reactor as twisted_reactor
from twisted.internet import task
from twisted.internet import threads

from bergamotdeal.presets import model
from bergamotdeal.presets import switch
from bergamotdeal.settings import model as settings
from bergamotdeal.store import http
from standins import cluster
from standins import load
from standins import presets
from standins.measure import figures
from standins.measure import overload

SWITCH_TARGET_S = 5.0
DRAIN_TARGET_S = 3.0
FLEET_SIZE = 12
SWITCHES = 10

_DATA_CENTRES = ("odori", "kotoni", "shin-sapporo", "makomanai")
_POLL_S = 0.01
_TIMEOUT_S = 30.0
_DRAIN_RATE_PER_S = 60.0
_DRAIN_LOAD_S = 8.0
_DRAIN_AT_S = 2.0
_SEED = 3


@defer.inlineCallbacks
def measure(report: figures.Report):
    """Adds switch, death and drain figures.

    Args:
      report: Takes the figures.
    """
    yield _measure_fleet(report)
    yield _measure_drain(report)


@defer.inlineCallbacks
def _measure_fleet(report: figures.Report):
    with tempfile.TemporaryDirectory() as folder:
        built = cluster.Cluster(folder=pathlib.Path(folder), with_store=True)
        for number in range(FLEET_SIZE):
            centre = _DATA_CENTRES[number % len(_DATA_CENTRES)]
            built.add(f"host-{number}", centre)
        try:
            yield threads.deferToThread(_start_fleet, built)
            times_s = []
            for number in range(1, SWITCHES + 1):
                times_s.append((yield _switch(built, f"preset-{number}")))
            died_s = yield threads.deferToThread(_kill_one, built)
        finally:
            yield threads.deferToThread(built.stop)
    variant = f"{FLEET_SIZE} nodes"
    report.add(
        "switch accepted to in force everywhere, maximum",
        max(times_s),
        "s",
        variant=variant,
        target=SWITCH_TARGET_S,
        note=f"of {SWITCHES} switches",
    )
    for state, value in died_s.items():
        report.add(f"dead node {state} everywhere", value, "s", variant=variant)


def _start_fleet(built: cluster.Cluster) -> None:
    built.start_store()
    hosts = built.hosts_by_id.values()
    for host in hosts:
        built.start_node(host)
    cluster.wait_for(
        lambda: all(
            len(built.status(host).get("members", [])) == FLEET_SIZE
            for host in hosts
        ),
        "the nodes know one another",
    )


@defer.inlineCallbacks
def _switch(built: cluster.Cluster, name: str):
    """Switches and returns the seconds from accepted to everywhere."""
    section = settings.StoreSection(
        address=built.store_address, port=cluster.STORE_PORT
    )
    store = http.HttpStore(settings=section, reactor=twisted_reactor)
    machine = switch.SwitchStateMachine(
        preset=model.Preset(name=name),
        operator="measure",
        rng=random.Random(),
    )
    outcome = yield switch.run(
        machine, object_store=store, reactor=twisted_reactor
    )
    accepted_at = time.monotonic()
    if not isinstance(outcome, switch.Accepted):
        raise RuntimeError(f"switch ended {outcome}")
    in_force_at = yield threads.deferToThread(
        _wait_in_force, built, outcome.epoch
    )
    yield store.close()
    return in_force_at - accepted_at


def _wait_in_force(built: cluster.Cluster, epoch: int) -> float:
    hosts = built.hosts_by_id.values()
    _wait(lambda: all(built.status(h).get("epoch", -1) >= epoch for h in hosts))
    return time.monotonic()


def _kill_one(built: cluster.Cluster) -> dict[str, float]:
    """Kills a node; returns when all others saw it suspect, then dead."""
    victim, *others = built.hosts_by_id.values()
    victim.node.kill()
    killed_at = time.monotonic()

    def states() -> set[str]:
        seen = set()
        for host in others:
            members = built.status(host).get("members", [])
            states_by_id = {m["host_id"]: m["state"] for m in members}
            seen.add(states_by_id.get(victim.host_id, "dead"))
        return seen

    _wait(lambda: "alive" not in states())
    avoided_s = time.monotonic() - killed_at
    _wait(lambda: states() == {"dead"})
    return {
        "avoided": avoided_s,
        "declared dead": time.monotonic() - killed_at,
    }


@defer.inlineCallbacks
def _measure_drain(report: figures.Report):
    scenario = overload.Scenario(variant="drain", preset=presets.with_control())
    with tempfile.TemporaryDirectory() as folder:
        built = overload.build_cluster(pathlib.Path(folder), scenario)
        try:
            yield threads.deferToThread(built.start)
            yield threads.deferToThread(built.wait_joined)
            yield _drain_under_load(report, built)
        finally:
            yield threads.deferToThread(built.stop)


@defer.inlineCallbacks
def _drain_under_load(report: figures.Report, built: cluster.Cluster):
    hosts = list(built.hosts_by_id.values())
    entries = [
        (host.address, cluster.ENTRY_PORT)
        for host in hosts
        if host.service == presets.SERVICES[0]
    ]
    leaving = next(h for h in hosts if h.service == presets.SERVICES[1])
    callers = load.Callers(reactor=twisted_reactor, entries=entries, seed=_SEED)
    plan = load.Plan(
        name="drain",
        rate_per_s=_DRAIN_RATE_PER_S,
        duration_s=_DRAIN_LOAD_S,
        deadline_ms=overload.DEFAULT_BOTTLENECK.deadline_ms,
    )
    drained_at = []

    def drain() -> None:
        drained_at.append(twisted_reactor.seconds())
        built.signal(leaving.node, signal.SIGTERM)

    drain_done = task.deferLater(twisted_reactor, _DRAIN_AT_S, drain)
    yield callers.run([plan])
    yield drain_done
    exit_code = yield threads.deferToThread(leaving.node.wait, _TIMEOUT_S)
    lines = yield threads.deferToThread(built.ledger)
    own = [line for line in lines if line["server"] == leaving.host_id]
    late_s = [
        line["time"] - drained_at[0]
        for line in own
        if line["step"] == "started" and line["time"] > drained_at[0]
    ]
    variant = "SIGTERM under load"
    report.add(
        "new work after a drain starts, last",
        max(late_s, default=0.0),
        "s",
        variant=variant,
        target=DRAIN_TARGET_S,
    )
    report.add(
        "runs cut off by a drain",
        sum(
            line["step"] in ("cancelled", "failed")
            and line["time"] > drained_at[0]
            for line in own
        ),
        "runs",
        variant=variant,
        target=0,
    )
    report.add(
        "exit code of the drained node",
        exit_code,
        "code",
        variant=variant,
        target=0,
    )
    failed = [r for r in callers.requests if not r.completed]
    report.add(
        "user requests failed around the drain",
        len(failed),
        "requests",
        variant=variant,
        note=f"of {len(callers.requests)}",
    )


def _wait(condition) -> None:
    deadline = time.monotonic() + _TIMEOUT_S
    for _ in itertools.count():
        if condition():
            return
        if time.monotonic() > deadline:
            raise TimeoutError("condition not met in time")
        # The interval of a poll, not a wait for a result.
        time.sleep(_POLL_S)

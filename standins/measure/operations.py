"""Duration of preset switches, failure detection and drains."""

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
SWITCH_COUNT = 10

_DATA_CENTRES = ("odori", "kotoni", "shin-sapporo", "makomanai")
_POLL_S = 0.01
_TIMEOUT_S = 30.0
_DRAIN_RATE_PER_S = 60.0
_DRAIN_LOAD_S = 8.0
_DRAIN_AT_S = 2.0
_SEED = 3


@defer.inlineCallbacks
def measure(report: figures.Report):
    """Adds figures of preset switches, a node crash and a drain.

    Args:
      report: Report that receives the figures.
    """
    yield _measure_fleet(report)
    yield _measure_drain(report)


@defer.inlineCallbacks
def _measure_fleet(report: figures.Report):
    with tempfile.TemporaryDirectory() as folder:
        running_cluster = cluster.Cluster(
            folder=pathlib.Path(folder), with_store=True
        )
        for number in range(FLEET_SIZE):
            data_centre = _DATA_CENTRES[number % len(_DATA_CENTRES)]
            running_cluster.add_host(f"host-{number}", data_centre)
        try:
            yield threads.deferToThread(_start_fleet, running_cluster)
            durations_s = []
            for number in range(1, SWITCH_COUNT + 1):
                durations_s.append(
                    (yield _switch_preset(running_cluster, f"preset-{number}"))
                )
            detection_s_by_state = yield threads.deferToThread(
                _crash_one_node, running_cluster
            )
        finally:
            yield threads.deferToThread(running_cluster.stop)
    variant = f"{FLEET_SIZE} nodes"
    report.add(
        "switch accepted to in force everywhere, maximum",
        max(durations_s),
        "s",
        variant=variant,
        target=SWITCH_TARGET_S,
        note=f"of {SWITCH_COUNT} switches",
    )
    for state, value in detection_s_by_state.items():
        report.add(f"dead node {state} everywhere", value, "s", variant=variant)


def _start_fleet(running_cluster: cluster.Cluster) -> None:
    running_cluster.start_store()
    hosts = running_cluster.hosts_by_id.values()
    for host in hosts:
        running_cluster.start_node(host)
    cluster.wait_for(
        lambda: all(
            len(running_cluster.status(host).get("members", [])) == FLEET_SIZE
            for host in hosts
        ),
        "the nodes know one another",
    )


@defer.inlineCallbacks
def _switch_preset(running_cluster: cluster.Cluster, name: str):
    """Switches the preset of a fleet.

    Returns:
      Time from the acceptance of the switch until the preset is in force on
      all nodes, in seconds.
    """
    section = settings.StoreSection(
        address=running_cluster.store_address, port=cluster.STORE_PORT
    )
    store = http.HttpStore(settings=section, reactor=twisted_reactor)
    state_machine = switch.SwitchStateMachine(
        preset=model.Preset(name=name),
        operator="measure",
        rng=random.Random(),
    )
    outcome = yield switch.run(
        state_machine, object_store=store, reactor=twisted_reactor
    )
    accepted_at = time.monotonic()
    if not isinstance(outcome, switch.Accepted):
        raise RuntimeError(f"switch ended {outcome}")
    in_force_at = yield threads.deferToThread(
        _wait_in_force, running_cluster, outcome.epoch
    )
    yield store.close()
    return in_force_at - accepted_at


def _wait_in_force(running_cluster: cluster.Cluster, epoch: int) -> float:
    hosts = running_cluster.hosts_by_id.values()
    _wait_until(
        lambda: all(
            running_cluster.status(h).get("epoch", -1) >= epoch for h in hosts
        )
    )
    return time.monotonic()


def _crash_one_node(running_cluster: cluster.Cluster) -> dict[str, float]:
    """Kills a node and waits until all others declare it dead.

    Returns:
      Time in seconds until no other node considers it alive ("avoided") and
      until all consider it dead ("declared dead"), by state.
    """
    victim, *others = running_cluster.hosts_by_id.values()
    victim.node.kill()
    killed_at = time.monotonic()

    def observe_states() -> set[str]:
        observed = set()
        for host in others:
            members = running_cluster.status(host).get("members", [])
            states_by_id = {m["host_id"]: m["state"] for m in members}
            observed.add(states_by_id.get(victim.host_id, "dead"))
        return observed

    _wait_until(lambda: "alive" not in observe_states())
    avoided_after_s = time.monotonic() - killed_at
    _wait_until(lambda: observe_states() == {"dead"})
    return {
        "avoided": avoided_after_s,
        "declared dead": time.monotonic() - killed_at,
    }


@defer.inlineCallbacks
def _measure_drain(report: figures.Report):
    scenario = overload.Scenario(
        variant="drain", preset=presets.build_controlled_preset()
    )
    with tempfile.TemporaryDirectory() as folder:
        running_cluster = overload.build_cluster(pathlib.Path(folder), scenario)
        try:
            yield threads.deferToThread(running_cluster.start)
            yield threads.deferToThread(running_cluster.wait_until_joined)
            yield _drain_under_load(report, running_cluster)
        finally:
            yield threads.deferToThread(running_cluster.stop)


@defer.inlineCallbacks
def _drain_under_load(report: figures.Report, running_cluster: cluster.Cluster):
    hosts = list(running_cluster.hosts_by_id.values())
    entries = [
        (host.address, cluster.ENTRY_PORT)
        for host in hosts
        if host.service == presets.SERVICES[0]
    ]
    leaving = next(h for h in hosts if h.service == presets.SERVICES[1])
    callers = load.Callers(reactor=twisted_reactor, entries=entries, seed=_SEED)
    plan = load.Phase(
        name="drain",
        rate_per_s=_DRAIN_RATE_PER_S,
        duration_s=_DRAIN_LOAD_S,
        deadline_ms=overload.DEFAULT_BOTTLENECK.deadline_ms,
    )
    drain_started_at = []

    def start_drain() -> None:
        drain_started_at.append(twisted_reactor.seconds())
        running_cluster.signal_process(leaving.node, signal.SIGTERM)

    drain_request = task.deferLater(twisted_reactor, _DRAIN_AT_S, start_drain)
    yield callers.run([plan])
    yield drain_request
    exit_code = yield threads.deferToThread(leaving.node.wait, _TIMEOUT_S)
    ledger = yield threads.deferToThread(running_cluster.read_ledgers)
    leaving_entries = [
        line for line in ledger if line["server"] == leaving.host_id
    ]
    start_delays_s = [
        line["time"] - drain_started_at[0]
        for line in leaving_entries
        if line["step"] == "started" and line["time"] > drain_started_at[0]
    ]
    variant = "SIGTERM under load"
    report.add(
        "new work after a drain starts, last",
        max(start_delays_s, default=0.0),
        "s",
        variant=variant,
        target=DRAIN_TARGET_S,
    )
    report.add(
        "runs cut off by a drain",
        sum(
            line["step"] in ("cancelled", "failed")
            and line["time"] > drain_started_at[0]
            for line in leaving_entries
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


def _wait_until(condition) -> None:
    deadline = time.monotonic() + _TIMEOUT_S
    for _ in itertools.count():
        if condition():
            return
        if time.monotonic() > deadline:
            raise TimeoutError("condition not met in time")
        # The polling interval; the condition itself ends the wait.
        time.sleep(_POLL_S)

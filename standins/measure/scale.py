"""Slopes over the size of the fleet, from the cores alone.

A machine can't hold the design's number of processes, so the cores run in one
process under an injected clock: the gossip cores of whole fleets of several
sizes, one call engine that knows all members, and presets of several sizes.
"""

import dataclasses
import gc
import random
import statistics
import time
import tracemalloc

from bergamotdeal.calls import engine as call_engine
from bergamotdeal.calls import messages as call_messages
from bergamotdeal.membership import core as membership
from bergamotdeal.membership import messages as gossip
from bergamotdeal.presets import model
from bergamotdeal.presets import sections
from bergamotdeal.wire import gossip as wire
from standins import gossip_fleet
from standins import gossip_study
from standins.measure import figures

NODES = 1300
SERVICES = 34
ROUTES_PER_SERVICE = (2, 10, 50)

_GOSSIP_SIZES = (10, 20, 40, 80)
_RUMOUR_SIZES = (25, 100, 400)
_JOIN_S = 20.0
_DEATH_LIMIT_S = 60.0
_STEADY_S = 15.0
_DATAGRAM_HEADER_BYTES = 28
_MB = 1e6
_SEED = 4


def measure(report: figures.Report) -> None:
    """Adds the slopes of gossip, the engine's state and preset sizes."""
    _measure_gossip(report)
    _measure_rumours(report)
    _measure_engine(report)
    _measure_presets(report)


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Gossip:
    size: int
    bytes_per_s: float
    cpu_share: float
    death_bytes: float
    death_s: float


def _measure_gossip(report: figures.Report) -> None:
    runs = [_run_gossip(size) for size in _GOSSIP_SIZES]
    for run in runs:
        variant = f"{run.size} cores"
        report.add(
            "gossip bytes sent", run.bytes_per_s, "bytes/s", variant=variant
        )
        report.add(
            "gossip processor share",
            run.cpu_share,
            "share of a core",
            variant=variant,
        )
        report.add(
            "bytes sent per node for one death",
            run.death_bytes,
            "bytes",
            variant=variant,
        )
        report.add(
            "dead node declared dead everywhere",
            run.death_s,
            "s",
            variant=variant,
        )
    for name, unit in (
        ("bytes_per_s", "bytes/s per node"),
        ("cpu_share", "share of a core per node"),
        ("death_bytes", "bytes per node"),
        ("death_s", "s per node"),
    ):
        line = statistics.linear_regression(
            [run.size for run in runs], [getattr(run, name) for run in runs]
        )
        report.add(f"gossip slope, {name}", line.slope, unit, variant="fit")
        report.add(f"gossip base, {name}", line.intercept, unit, variant="fit")


def _run_gossip(size: int) -> _Gossip:
    fleet = gossip_fleet.Fleet(seed=_SEED, size=size)
    fleet.run(_JOIN_S)
    if not fleet.complete():
        raise RuntimeError(f"{size} cores do not know one another")
    before = sum(fleet.bytes_by_id.values())
    start = time.process_time()
    fleet.run(_STEADY_S)
    cpu_s = time.process_time() - start
    steady = sum(fleet.bytes_by_id.values()) - before
    before = sum(fleet.bytes_by_id.values())
    victim = "host-1"
    fleet.stopped.add(victim)
    death_s = fleet.run_until(
        lambda: fleet.agree(victim, membership.MemberState.DEAD),
        within_s=_DEATH_LIMIT_S,
    )
    fleet.run(max(0.0, _STEADY_S - death_s))
    dying = sum(fleet.bytes_by_id.values()) - before
    return _Gossip(
        size=size,
        bytes_per_s=steady / size / _STEADY_S,
        cpu_share=cpu_s / size / _STEADY_S,
        death_bytes=max(0.0, (dying - steady) / size),
        death_s=death_s,
    )


def _measure_rumours(report: figures.Report) -> None:
    """Adds figures of larger fleets whose messages are encoded."""
    for size in _RUMOUR_SIZES:
        study = gossip_study.Study(size=size, seed=_SEED)
        steady = study.steady(_STEADY_S)
        sent = steady["udp_bytes_per_s"] + steady["bulk_bytes_per_s"]
        for name, value, unit in (
            ("encoded gossip sent", sent, "bytes/s"),
            (
                "processor share of encoded gossip",
                steady["cpu_share"],
                "share of a core",
            ),
            (
                "epoch told to all by rumour",
                study.epoch()["epoch_all_s"],
                "s",
            ),
            ("drain told to all by rumour", study.drain()["drain_all_s"], "s"),
        ):
            report.add(name, value, unit, variant=f"{size} cores")


def _measure_engine(report: figures.Report) -> None:
    gc.collect()
    tracemalloc.start()
    members_by_id = _members()
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    report.add(
        "records of the members", used / _MB, "MB", variant=f"{NODES} members"
    )
    preset = _preset(ROUTES_PER_SERVICE[1])
    gc.collect()
    tracemalloc.start()
    engine = call_engine.Engine(
        identity=members_by_id["host-0"],
        preset=preset,
        epoch=1,
        rng=random.Random(_SEED),
    )
    before = tracemalloc.get_traced_memory()[0]
    event = call_messages.MembersChanged(members_by_id=members_by_id)
    engine.handle(event, 0.0)
    gc.collect()
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    times_s = []
    for number in range(20):
        start = time.process_time()
        engine.handle(event, float(number))
        times_s.append(time.process_time() - start)
    variant = f"{NODES} members"
    report.add("engine's routing state", used / _MB, "MB", variant=variant)
    report.add(
        "processor time of one membership change",
        1000 * statistics.median(times_s),
        "ms",
        variant=variant,
    )


def _measure_presets(report: figures.Report) -> None:
    for routes in ROUTES_PER_SERVICE:
        variant = f"{routes} routes a service"
        old = sections.split(_preset(routes))
        new = sections.split(_preset(routes, changed=True))
        known = frozenset(section.digest for section in old)
        for name, content in (
            ("preset pulled whole", new),
            ("preset pulled, one route changed", _without(new, known)),
        ):
            response = gossip.PresetResponse(
                epoch=2, operation_id="1-a", sections=content
            )
            report.add(
                name, len(wire.encode_bulk(response)), "bytes", variant=variant
            )


def _without(content, known):
    return sections.omit_known_content(content, known)


def _members() -> dict[str, membership.Member]:
    members_by_id = {}
    for number in range(NODES):
        host_id = f"host-{number}"
        members_by_id[host_id] = membership.Member(
            host_id=host_id,
            incarnation=f"{number:032x}",
            data_centre=f"dc-{number % 8}",
            region=f"region-{number % 2}",
            address=f"10.0.{number // 250}.{number % 250}",
            peer_port=7002,
            server=membership.Server(
                service=f"service-{number % SERVICES}",
                slots=80,
                connections=600,
            ),
        )
    return members_by_id


def _preset(routes_per_service: int, *, changed: bool = False) -> model.Preset:
    names = [f"service-{number}" for number in range(SERVICES)]
    routes = tuple(
        model.Route(
            service=name,
            method="GET",
            prefix=f"/resource-{number}",
            class_name=model.BROWSE,
            repeatable=True,
            deadline_ms=900 if changed and name == names[0] else 800,
        )
        for name in names
        for number in range(routes_per_service)
    )
    policies = {name: model.ServicePolicy() for name in names}
    return model.Preset(name="peak", services_by_name=policies, routes=routes)

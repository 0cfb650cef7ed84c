"""Growth of costs with the fleet size, without node processes.

One machine can't run as many processes as the design has nodes. The protocol
cores therefore run in one process under an injected clock: the gossip cores of
whole fleets of several sizes, one call engine that knows all members, and
presets of several sizes.
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

NODE_COUNT = 1300
SERVICE_COUNT = 34
ROUTES_PER_SERVICE = (2, 10, 50)

_GOSSIP_SIZES = (10, 20, 40, 80)
_ENCODED_GOSSIP_SIZES = (25, 100, 400)
_JOIN_DURATION_S = 20.0
_DEATH_TIMEOUT_S = 60.0
_STEADY_DURATION_S = 15.0
_DATAGRAM_HEADER_BYTES = 28
_MB = 1e6
_SEED = 4


def measure(report: figures.Report) -> None:
    """Adds costs of gossip, the call engine's state and preset sizes.

    Args:
      report: Report that receives the figures.
    """
    _measure_gossip(report)
    _measure_encoded_gossip(report)
    _measure_engine(report)
    _measure_presets(report)


@dataclasses.dataclass(frozen=True, kw_only=True)
class _GossipCost:
    """Mean cost of gossip for one node; the figures bear the fields' names.

    Attributes:
      size: Fleet size, in nodes.
      bytes_per_s: Bytes sent per second in steady state.
      cpu_share: Share of a processor core in steady state.
      death_bytes: Additional bytes sent for the dissemination of one death.
      death_s: Time until all nodes declared a stopped node dead, in seconds.
    """

    size: int
    bytes_per_s: float
    cpu_share: float
    death_bytes: float
    death_s: float


def _measure_gossip(report: figures.Report) -> None:
    costs = [_run_gossip(size) for size in _GOSSIP_SIZES]
    for cost in costs:
        variant = f"{cost.size} cores"
        report.add(
            "gossip bytes sent", cost.bytes_per_s, "bytes/s", variant=variant
        )
        report.add(
            "gossip processor share",
            cost.cpu_share,
            "share of a core",
            variant=variant,
        )
        report.add(
            "bytes sent per node for one death",
            cost.death_bytes,
            "bytes",
            variant=variant,
        )
        report.add(
            "dead node declared dead everywhere",
            cost.death_s,
            "s",
            variant=variant,
        )
    for name, unit in (
        ("bytes_per_s", "bytes/s per node"),
        ("cpu_share", "share of a core per node"),
        ("death_bytes", "bytes per node"),
        ("death_s", "s per node"),
    ):
        fit = statistics.linear_regression(
            [cost.size for cost in costs],
            [getattr(cost, name) for cost in costs],
        )
        report.add(f"gossip slope, {name}", fit.slope, unit, variant="fit")
        report.add(f"gossip base, {name}", fit.intercept, unit, variant="fit")


def _run_gossip(size: int) -> _GossipCost:
    fleet = gossip_fleet.Fleet(seed=_SEED, size=size)
    fleet.run(_JOIN_DURATION_S)
    if not fleet.is_converged():
        raise RuntimeError(f"not all of {size} gossip cores know one another")
    before = sum(fleet.bytes_by_id.values())
    start = time.process_time()
    fleet.run(_STEADY_DURATION_S)
    cpu_s = time.process_time() - start
    steady_bytes = sum(fleet.bytes_by_id.values()) - before
    before = sum(fleet.bytes_by_id.values())
    victim = "host-1"
    fleet.stopped.add(victim)
    death_s = fleet.run_until(
        lambda: fleet.all_agree(victim, membership.MemberState.DEAD),
        within_s=_DEATH_TIMEOUT_S,
    )
    fleet.run(max(0.0, _STEADY_DURATION_S - death_s))
    death_window_bytes = sum(fleet.bytes_by_id.values()) - before
    return _GossipCost(
        size=size,
        bytes_per_s=steady_bytes / size / _STEADY_DURATION_S,
        cpu_share=cpu_s / size / _STEADY_DURATION_S,
        death_bytes=max(0.0, (death_window_bytes - steady_bytes) / size),
        death_s=death_s,
    )


def _measure_encoded_gossip(report: figures.Report) -> None:
    """Adds figures of larger fleets that encode their gossip messages."""
    for size in _ENCODED_GOSSIP_SIZES:
        study = gossip_study.Study(size=size, seed=_SEED)
        steady = study.steady(_STEADY_DURATION_S)
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
    members_by_id = _build_members()
    used_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    report.add(
        "records of the members",
        used_bytes / _MB,
        "MB",
        variant=f"{NODE_COUNT} members",
    )
    preset = _build_preset(ROUTES_PER_SERVICE[1])
    gc.collect()
    tracemalloc.start()
    engine = call_engine.Engine(
        identity=members_by_id["host-0"],
        preset=preset,
        epoch=1,
        rng=random.Random(_SEED),
    )
    bytes_before = tracemalloc.get_traced_memory()[0]
    event = call_messages.MembersChanged(members_by_id=members_by_id)
    engine.handle(event, 0.0)
    gc.collect()
    used_bytes = tracemalloc.get_traced_memory()[0] - bytes_before
    tracemalloc.stop()
    times_s = []
    for number in range(20):
        start = time.process_time()
        engine.handle(event, float(number))
        times_s.append(time.process_time() - start)
    variant = f"{NODE_COUNT} members"
    report.add(
        "engine's routing state", used_bytes / _MB, "MB", variant=variant
    )
    report.add(
        "processor time of one membership change",
        1000 * statistics.median(times_s),
        "ms",
        variant=variant,
    )


def _measure_presets(report: figures.Report) -> None:
    for routes in ROUTES_PER_SERVICE:
        variant = f"{routes} routes a service"
        old = sections.split(_build_preset(routes))
        new = sections.split(_build_preset(routes, changed=True))
        known = frozenset(section.digest for section in old)
        for name, content in (
            ("preset pulled whole", new),
            (
                "preset pulled, one route changed",
                _omit_known_sections(new, known),
            ),
        ):
            response = gossip.PresetResponse(
                epoch=2, operation_id="1-a", sections=content
            )
            report.add(
                name, len(wire.encode_bulk(response)), "bytes", variant=variant
            )


def _omit_known_sections(content, known):
    return sections.omit_known_content(content, known)


def _build_members() -> dict[str, membership.Member]:
    members_by_id = {}
    for number in range(NODE_COUNT):
        host_id = f"host-{number}"
        members_by_id[host_id] = membership.Member(
            host_id=host_id,
            incarnation=f"{number:032x}",
            data_centre=f"dc-{number % 8}",
            region=f"region-{number % 2}",
            address=f"10.0.{number // 250}.{number % 250}",
            peer_port=7002,
            server=membership.Server(
                service=f"service-{number % SERVICE_COUNT}",
                slots=80,
                connections=600,
            ),
        )
    return members_by_id


def _build_preset(
    routes_per_service: int, *, changed: bool = False
) -> model.Preset:
    names = [f"service-{number}" for number in range(SERVICE_COUNT)]
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

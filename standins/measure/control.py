"""What control alone costs a node, at several sizes of the fleet."""

import dataclasses
import pathlib
import statistics
import sys
import tempfile
import time

import psutil

from standins import cluster
from standins import presets
from standins.measure import figures

SIZES = (5, 10, 20, 40)
BYTES_TARGET_PER_S = 19_000
CPU_TARGET = 0.036
MEMORY_TARGET_MB = 32.0

_DATA_CENTRES = ("odori", "kotoni", "shin-sapporo", "makomanai")
_DATAGRAM_HEADER_BYTES = 28
_JOIN_TIMEOUT_S = 60.0
_SETTLE_WINDOW_S = 6.0
_SETTLE_AT_MOST_S = 42.0
_STILL_FALLING = 0.9
_MEASURE_S = 10.0
_MB = 1e6
_BYTES = "gossip.bytes_sent"
_DATAGRAMS = "gossip.datagrams_sent"
_STORE_CALLS = "store.calls"

_IMPORTS_BY_PART = {
    "interpreter": "",
    "libraries": "import twisted.web.http, twisted.internet.reactor, capnp, "
    "structlog, statsd, result, msgspec, click, httptools",
    "node": "import bergamotdeal.node.app",
}


@dataclasses.dataclass(frozen=True, kw_only=True)
class Cost:
    """Mean cost of one node."""

    size: int
    bytes_per_s: float
    cpu_share: float
    memory_mb: float
    store_calls_per_s: float


def measure(report: figures.Report, sizes: tuple[int, ...] = SIZES) -> None:
    """Adds the cost at each size, and its slopes.

    Args:
      report: Takes the figures.
      sizes: Numbers of nodes.
    """
    for part, statement in _IMPORTS_BY_PART.items():
        report.add(
            "resident memory after import",
            _import_mb(statement),
            "MB",
            variant=part,
        )
    costs = []
    for size in sizes:
        with tempfile.TemporaryDirectory() as folder:
            cost = _measure_size(pathlib.Path(folder), size)
        costs.append(cost)
        _add(report, cost)
    for name, unit in (
        ("bytes_per_s", "bytes/s per node"),
        ("cpu_share", "share of a core per node"),
        ("memory_mb", "MB per node"),
        ("store_calls_per_s", "calls/s per node"),
    ):
        slope, base = _fit(costs, name)
        report.add(f"control slope, {name}", slope, unit, variant="fit")
        report.add(f"control base, {name}", base, unit, variant="fit")


def _measure_size(folder: pathlib.Path, size: int) -> Cost:
    preset = presets.with_control()
    # A preset in force ends the search for one, as in any fleet in use.
    with cluster.Cluster(
        folder=folder, with_store=True, preset=preset
    ) as built:
        for number in range(size):
            centre = _DATA_CENTRES[number % len(_DATA_CENTRES)]
            built.add(f"host-{number}", centre)
        built.start_store()
        hosts = list(built.hosts_by_id.values())
        for host in hosts:
            built.start_node(host)
        _wait_until_known(built, size)
        _wait_until_settled(built, hosts)
        before = [_sample(built, host) for host in hosts]
        time.sleep(_MEASURE_S)
        after = [_sample(built, host) for host in hosts]
    return _cost(size, before, after)


def _wait_until_settled(
    built: cluster.Cluster, hosts: list[cluster.Host]
) -> None:
    """Waits until the bytes of the joins' rumours no longer fall."""
    give_up_at = time.monotonic() + _SETTLE_AT_MOST_S
    rate = float("inf")
    while time.monotonic() < give_up_at:
        before = [_sample(built, host) for host in hosts]
        # The length of a window, not a wait for a result.
        time.sleep(_SETTLE_WINDOW_S)
        after = [_sample(built, host) for host in hosts]
        earlier, rate = rate, _cost(len(hosts), before, after).bytes_per_s
        if rate > _STILL_FALLING * earlier:
            return


def _wait_until_known(built: cluster.Cluster, size: int) -> None:
    counts: dict[str, int] = {}

    def known() -> bool:
        for host_id, host in built.hosts_by_id.items():
            members = built.status(host).get("members", [])
            counts[host_id] = len(members)
        return set(counts.values()) == {size}

    try:
        cluster.wait_for(known, "the nodes know one another", _JOIN_TIMEOUT_S)
    except TimeoutError as e:
        raise TimeoutError(f"{e}; members known: {counts}") from e


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Sample:
    at: float
    cpu_s: float
    memory_mb: float
    counters: dict[str, int]


def _sample(built: cluster.Cluster, host: cluster.Host) -> _Sample:
    counters = built.status(host)["counters_by_name"]
    process = psutil.Process(host.node.pid)
    times = process.cpu_times()
    return _Sample(
        at=time.monotonic(),
        cpu_s=times.user + times.system,
        memory_mb=process.memory_info().rss / _MB,
        counters=counters,
    )


def _cost(size: int, before: list[_Sample], after: list[_Sample]) -> Cost:
    def rate(name: str) -> float:
        return statistics.mean(
            (b.counters.get(name, 0) - a.counters.get(name, 0)) / (b.at - a.at)
            for a, b in zip(before, after, strict=True)
        )

    headers_per_s = _DATAGRAM_HEADER_BYTES * rate(_DATAGRAMS)
    return Cost(
        size=size,
        bytes_per_s=rate(_BYTES) + headers_per_s,
        cpu_share=statistics.mean(
            (b.cpu_s - a.cpu_s) / (b.at - a.at)
            for a, b in zip(before, after, strict=True)
        ),
        memory_mb=statistics.mean(b.memory_mb for b in after),
        store_calls_per_s=rate(_STORE_CALLS),
    )


def _add(report: figures.Report, cost: Cost) -> None:
    variant = f"{cost.size} nodes"
    report.add(
        "control bytes sent",
        cost.bytes_per_s,
        "bytes/s",
        variant=variant,
        target=BYTES_TARGET_PER_S,
    )
    report.add(
        "control processor share",
        cost.cpu_share,
        "share of a core",
        variant=variant,
        target=CPU_TARGET,
    )
    report.add(
        "resident memory of an idle node",
        cost.memory_mb,
        "MB",
        variant=variant,
        target=MEMORY_TARGET_MB,
        note="the libraries alone stand at the bound; see the imports",
    )
    report.add(
        "control store calls",
        cost.store_calls_per_s,
        "calls/s",
        variant=variant,
    )


def _fit(costs: list[Cost], name: str) -> tuple[float, float]:
    """Returns slope and base of the least squares line over the size."""
    if len(costs) < 2:
        return 0.0, getattr(costs[0], name)
    line = statistics.linear_regression(
        [cost.size for cost in costs], [getattr(cost, name) for cost in costs]
    )
    return line.slope, line.intercept


def _import_mb(statement: str) -> float:
    code = f"import time; {statement or 'pass'}; print(1, flush=True); input()"
    process = psutil.Popen(
        [sys.executable, "-c", code], stdin=-1, stdout=-1, text=True
    )
    try:
        process.stdout.readline()
        return process.memory_info().rss / _MB
    finally:
        process.communicate("\n")

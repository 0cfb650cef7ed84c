"""Control-plane overhead of an idle node at several fleet sizes."""

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

FLEET_SIZES = (5, 10, 20, 40)
BYTES_TARGET_PER_S = 19_000
CPU_TARGET = 0.036
MEMORY_TARGET_MB = 32.0

_DATA_CENTRES = ("odori", "kotoni", "shin-sapporo", "makomanai")
_DATAGRAM_HEADER_BYTES = 28
_JOIN_TIMEOUT_S = 60.0
_SETTLE_WINDOW_S = 6.0
_SETTLE_TIMEOUT_S = 42.0
_SETTLED_RATIO = 0.9
_MEASURE_DURATION_S = 10.0
_MB = 1e6
_BYTES_SENT = "gossip.bytes_sent"
_DATAGRAMS_SENT = "gossip.datagrams_sent"
_STORE_CALLS = "store.calls"

_IMPORTS_BY_VARIANT = {
    "interpreter": "",
    "libraries": "import twisted.web.http, twisted.internet.reactor, capnp, "
    "structlog, statsd, result, msgspec, click, httptools",
    "node": "import bergamotdeal.node.app",
}


@dataclasses.dataclass(frozen=True, kw_only=True)
class NodeCost:
    """Mean cost of one node; the figures bear the fields' names.

    Attributes:
      size: Fleet size, in nodes.
      bytes_per_s: Gossip bytes sent per second, datagram headers included.
      cpu_share: Share of a processor core.
      memory_mb: Resident memory, in megabytes.
      store_calls_per_s: Calls to the object store per second.
    """

    size: int
    bytes_per_s: float
    cpu_share: float
    memory_mb: float
    store_calls_per_s: float


def measure(
    report: figures.Report, sizes: tuple[int, ...] = FLEET_SIZES
) -> None:
    """Adds the cost at each fleet size and its linear fit over the size.

    Args:
      report: Report that receives the figures.
      sizes: Fleet sizes, in nodes.
    """
    for variant, statement in _IMPORTS_BY_VARIANT.items():
        report.add(
            "resident memory after import",
            _measure_import_mb(statement),
            "MB",
            variant=variant,
        )
    costs = []
    for size in sizes:
        with tempfile.TemporaryDirectory() as folder:
            cost = _measure_size(pathlib.Path(folder), size)
        costs.append(cost)
        _add_figures(report, cost)
    for name, unit in (
        ("bytes_per_s", "bytes/s per node"),
        ("cpu_share", "share of a core per node"),
        ("memory_mb", "MB per node"),
        ("store_calls_per_s", "calls/s per node"),
    ):
        slope, intercept = _fit_line(costs, name)
        report.add(f"control slope, {name}", slope, unit, variant="fit")
        report.add(f"control base, {name}", intercept, unit, variant="fit")


def _measure_size(folder: pathlib.Path, size: int) -> NodeCost:
    preset = presets.build_controlled_preset()
    # Without a preset in force the nodes would keep asking for one, which a
    # fleet in production doesn't.
    with cluster.Cluster(
        folder=folder, with_store=True, preset=preset
    ) as running_cluster:
        for number in range(size):
            data_centre = _DATA_CENTRES[number % len(_DATA_CENTRES)]
            running_cluster.add_host(f"host-{number}", data_centre)
        running_cluster.start_store()
        hosts = list(running_cluster.hosts_by_id.values())
        for host in hosts:
            running_cluster.start_node(host)
        _wait_until_known(running_cluster, size)
        _wait_until_settled(running_cluster, hosts)
        before = [_take_sample(running_cluster, host) for host in hosts]
        time.sleep(_MEASURE_DURATION_S)
        after = [_take_sample(running_cluster, host) for host in hosts]
    return _compute_cost(size, before, after)


def _wait_until_settled(
    running_cluster: cluster.Cluster, hosts: list[cluster.Host]
) -> None:
    """Waits until the gossip about joined nodes has died down.

    The wait ends when the byte rate of a window is no longer clearly below
    that of the window before, or after ``_SETTLE_TIMEOUT_S``.
    """
    deadline = time.monotonic() + _SETTLE_TIMEOUT_S
    rate = float("inf")
    while time.monotonic() < deadline:
        before = [_take_sample(running_cluster, host) for host in hosts]
        # The length of the window over which the byte rate is measured.
        time.sleep(_SETTLE_WINDOW_S)
        after = [_take_sample(running_cluster, host) for host in hosts]
        previous_rate, rate = (
            rate,
            _compute_cost(len(hosts), before, after).bytes_per_s,
        )
        if rate > _SETTLED_RATIO * previous_rate:
            return


def _wait_until_known(running_cluster: cluster.Cluster, size: int) -> None:
    counts_by_id: dict[str, int] = {}

    def all_known() -> bool:
        for host_id, host in running_cluster.hosts_by_id.items():
            members = running_cluster.status(host).get("members", [])
            counts_by_id[host_id] = len(members)
        return set(counts_by_id.values()) == {size}

    try:
        cluster.wait_for(
            all_known, "the nodes know one another", _JOIN_TIMEOUT_S
        )
    except TimeoutError as e:
        raise TimeoutError(f"{e}; members known: {counts_by_id}") from e


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Sample:
    """Cumulative counters of one node at one time.

    Attributes:
      at: Time of the sample, in seconds on the monotonic clock.
      cpu_s: Processor time used so far, in seconds.
      memory_mb: Resident memory, in megabytes.
      counters: Values of the node's metrics by name.
    """

    at: float
    cpu_s: float
    memory_mb: float
    counters: dict[str, int]


def _take_sample(
    running_cluster: cluster.Cluster, host: cluster.Host
) -> _Sample:
    counters = running_cluster.status(host)["counters_by_name"]
    process = psutil.Process(host.node.pid)
    times = process.cpu_times()
    return _Sample(
        at=time.monotonic(),
        cpu_s=times.user + times.system,
        memory_mb=process.memory_info().rss / _MB,
        counters=counters,
    )


def _compute_cost(
    size: int, before: list[_Sample], after: list[_Sample]
) -> NodeCost:
    def mean_rate(name: str) -> float:
        return statistics.mean(
            (b.counters.get(name, 0) - a.counters.get(name, 0)) / (b.at - a.at)
            for a, b in zip(before, after, strict=True)
        )

    headers_per_s = _DATAGRAM_HEADER_BYTES * mean_rate(_DATAGRAMS_SENT)
    return NodeCost(
        size=size,
        bytes_per_s=mean_rate(_BYTES_SENT) + headers_per_s,
        cpu_share=statistics.mean(
            (b.cpu_s - a.cpu_s) / (b.at - a.at)
            for a, b in zip(before, after, strict=True)
        ),
        memory_mb=statistics.mean(b.memory_mb for b in after),
        store_calls_per_s=mean_rate(_STORE_CALLS),
    )


def _add_figures(report: figures.Report, cost: NodeCost) -> None:
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


def _fit_line(costs: list[NodeCost], name: str) -> tuple[float, float]:
    """Returns slope and intercept of a least squares fit over the size."""
    if len(costs) < 2:
        return 0.0, getattr(costs[0], name)
    fit = statistics.linear_regression(
        [cost.size for cost in costs], [getattr(cost, name) for cost in costs]
    )
    return fit.slope, fit.intercept


def _measure_import_mb(statement: str) -> float:
    """Returns the resident memory of a process after an import, in MB."""
    code = f"import time; {statement or 'pass'}; print(1, flush=True); input()"
    process = psutil.Popen(
        [sys.executable, "-c", code], stdin=-1, stdout=-1, text=True
    )
    try:
        process.stdout.readline()
        return process.memory_info().rss / _MB
    finally:
        process.communicate("\n")

"""Latency that two nodes add to a call, compared with null relays."""

import collections
import pathlib
import random
import statistics
import subprocess
import sys
import tempfile

import psutil
from twisted.internet import defer
from twisted.internet import reactor as twisted_reactor
from twisted.internet import task
from twisted.internet import threads

from standins import cluster
from standins import http_client
from standins import presets
from standins.measure import figures

NODE_RATE_PER_S = 54
RATES_PER_S = (NODE_RATE_PER_S, 10 * NODE_RATE_PER_S)
TARGET_P99_MS = 0.56
SEED = 5

_SERVICE = "kitview"
_PATH = "/kits/17"
REQUEST_TARGET = f"/{_SERVICE}{_PATH}"
_ROUND_COUNT = 3
_CALLS_PER_ROUND = {RATES_PER_S[0]: 220, RATES_PER_S[1]: 1000}
_WARM_UP_CALLS = 300
_TIMEOUT_S = 5.0
_MB = 1e6


class CallPath:
    """One network path from the caller to the backend server.

    Args:
      name: Name of the path in the report.
      address: IP address to connect to.
      port: TCP port to connect to.
      target: Request target of every call.

    Attributes:
      name: Name of the path in the report.
      latencies_ms: Latencies of the successful calls, in milliseconds, by the
        mean call rate per second.
      failures: Number of calls without a response of status 200.
    """

    def __init__(self, *, name: str, address: str, port: int, target: str):
        self.name = name
        self._target = target
        self._client = http_client.Client(
            reactor=twisted_reactor, address=address, port=port
        )
        self.latencies_ms: dict[int, list[float]] = collections.defaultdict(
            list
        )
        self.failures = 0

    @defer.inlineCallbacks
    def send_calls(self, rate_per_s: int, count: int, rng: random.Random):
        """Sends calls in an open loop and waits for all responses.

        The gaps between calls are exponentially distributed.

        Args:
          rate_per_s: Mean rate, calls per second.
          count: Number of calls.
          rng: Source of the gaps between calls.
        """
        calls = []
        due = twisted_reactor.seconds()
        for _ in range(count):
            due += rng.expovariate(rate_per_s)
            delay_s = max(0.0, due - twisted_reactor.seconds())
            yield task.deferLater(twisted_reactor, delay_s)
            calls.append(self._call(rate_per_s))
        yield defer.gatherResults(calls)

    @defer.inlineCallbacks
    def _call(self, rate_per_s: int):
        start = twisted_reactor.seconds()
        try:
            response = yield self._client.request(
                "GET", self._target, timeout_s=_TIMEOUT_S
            )
        except (http_client.RequestError, defer.CancelledError):
            self.failures += 1
            return
        if response.status != 200:
            self.failures += 1
            return
        elapsed_ms = 1000 * (twisted_reactor.seconds() - start)
        self.latencies_ms[rate_per_s].append(elapsed_ms)


class _NullRelay:
    """Process that relays bytes to a target without processing them.

    Args:
      address: IP address of the target.
      port: TCP port of the target.

    Attributes:
      port: TCP port on which the relay listens.
    """

    def __init__(self, *, address: str, port: int):
        self._process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "standins.null_relay",
                "--target",
                f"{address}:{port}",
            ],
            stdout=subprocess.PIPE,
            text=True,
        )
        self.port = int(self._process.stdout.readline().split()[1])

    def stop(self) -> None:
        """Terminates the process."""
        self._process.terminate()
        self._process.wait(10)
        self._process.stdout.close()


@defer.inlineCallbacks
def measure(report: figures.Report):
    """Adds latencies, processor time per call and resident memory.

    The calls take three paths to the same backend server: directly, through
    two nodes, and through two null relays, which make as many hops as the
    nodes and so show the machine's share of the latency.

    Args:
      report: Report that receives the figures.
    """
    with tempfile.TemporaryDirectory() as folder:
        running_cluster = build_cluster(pathlib.Path(folder))
        relays = []
        try:
            yield threads.deferToThread(start_cluster, running_cluster)
            entry, callee = running_cluster.hosts_by_id.values()
            relays.append(
                _NullRelay(address=callee.address, port=cluster.SERVER_PORT)
            )
            relays.append(_NullRelay(address="127.0.0.1", port=relays[0].port))
            paths = [
                CallPath(
                    name="direct",
                    address=callee.address,
                    port=cluster.SERVER_PORT,
                    target=_PATH,
                ),
                CallPath(
                    name="null relay",
                    address="127.0.0.1",
                    port=relays[1].port,
                    target=_PATH,
                ),
                CallPath(
                    name="two nodes",
                    address=entry.address,
                    port=cluster.ENTRY_PORT,
                    target=REQUEST_TARGET,
                ),
            ]
            yield _measure_paths(report, paths, entry, callee)
        finally:
            for relay in relays:
                relay.stop()
            yield threads.deferToThread(running_cluster.stop)


def build_cluster(
    folder: pathlib.Path,
    command: tuple[str, ...] = (sys.executable, "-m", "bergamotdeal"),
) -> cluster.Cluster:
    """Creates an entry host and a host whose server answers without delay.

    Args:
      folder: Directory for the settings and logs of the processes.
      command: Command that starts a node.

    Returns:
      The cluster, not started yet.
    """
    built = cluster.Cluster(
        folder=folder,
        preset=presets.build_controlled_preset((_SERVICE,)),
        command=command,
    )
    built.add_host("gate-1", "prai")
    built.add_host(
        f"{_SERVICE}-1", "prai", service=_SERVICE, slots=80, service_ms=0.0
    )
    return built


def start_cluster(new_cluster: cluster.Cluster) -> None:
    """Starts a cluster and waits until the entry node reaches the server."""
    new_cluster.start()
    entry, *_ = new_cluster.hosts_by_id.values()

    def responds() -> bool:
        status, _ = cluster.send_request(
            entry.address, cluster.ENTRY_PORT, "GET", REQUEST_TARGET
        )
        return status == 200

    cluster.wait_for(responds, "the entry knows the server")


@defer.inlineCallbacks
def _measure_paths(report, paths, entry, callee):
    rng = random.Random(SEED)
    for path in paths:
        yield path.send_calls(RATES_PER_S[1], _WARM_UP_CALLS, rng)
        path.latencies_ms.clear()
    for rate_per_s in RATES_PER_S:
        count = _CALLS_PER_ROUND[rate_per_s]
        cpu_s_by_role = collections.Counter()
        for _ in range(_ROUND_COUNT):
            for path in paths:
                before = _read_cpu_s(entry, callee)
                yield path.send_calls(rate_per_s, count, rng)
                if path is paths[-1]:
                    cpu_s_by_role.update(_read_cpu_s(entry, callee))
                    cpu_s_by_role.subtract(before)
        calls = count * _ROUND_COUNT
        for role, host in (("entry node", entry), ("callee node", callee)):
            report.add(
                f"resident memory, {role}",
                psutil.Process(host.node.pid).memory_info().rss / _MB,
                "MB",
                variant=f"{rate_per_s} calls/s",
            )
        _add_latencies(report, paths, rate_per_s)
        for role, seconds in cpu_s_by_role.items():
            report.add(
                f"processor time per call, {role}",
                1000 * seconds / calls,
                "ms",
                variant=f"{rate_per_s} calls/s",
            )


def _read_cpu_s(entry: cluster.Host, callee: cluster.Host) -> dict[str, float]:
    cpu_s_by_role = {}
    for role, host in (("entry node", entry), ("callee node", callee)):
        times = psutil.Process(host.node.pid).cpu_times()
        cpu_s_by_role[role] = times.user + times.system
    return cpu_s_by_role


def _add_latencies(
    report: figures.Report, paths: list[CallPath], rate_per_s: int
) -> None:
    quantiles_by_path = {
        path.name: _compute_quantiles(path.latencies_ms[rate_per_s])
        for path in paths
    }
    load = f"{rate_per_s} calls/s"
    for name, quantiles in quantiles_by_path.items():
        for label, value in quantiles.items():
            report.add(
                f"latency {label}", value, "ms", variant=f"{name}, {load}"
            )
    direct = quantiles_by_path["direct"]
    for name in ("null relay", "two nodes"):
        for label, value in quantiles_by_path[name].items():
            has_target = name == "two nodes" and label == "p99"
            report.add(
                f"added latency {label}",
                value - direct[label],
                "ms",
                variant=f"{name}, {load}",
                target=TARGET_P99_MS if has_target else None,
                note="see the null relay in the same run for the machine's "
                "share, and the call cost for the node's"
                if has_target
                else "",
            )
    failures = sum(path.failures for path in paths)
    report.add("failed calls", failures, "calls", variant=load, target=0)


def _compute_quantiles(latencies_ms: list[float]) -> dict[str, float]:
    cuts = statistics.quantiles(latencies_ms, n=100)
    return {"p50": cuts[49], "p99": cuts[98]}

"""Latency that two nodes add to a call, beside a null relay."""

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
TARGET = f"/{_SERVICE}{_PATH}"
_ROUNDS = 3
_CALLS_PER_SLICE = {RATES_PER_S[0]: 220, RATES_PER_S[1]: 1000}
_WARM_UP_CALLS = 300
_TIMEOUT_S = 5.0
_MB = 1e6


class Way:
    """One way to the backend server.

    Args:
      name: Its name in the report.
      address: IP address to call.
      port: TCP port to call.
      target: Path to ask for.
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
    def call_many(self, rate_per_s: int, count: int, rng: random.Random):
        """Calls at a mean rate, without waiting for the answers."""
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


class _Relay:
    """A null relay process.

    Args:
      address: IP address of its target.
      port: TCP port of its target.
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
        """Ends the process."""
        self._process.terminate()
        self._process.wait(10)
        self._process.stdout.close()


@defer.inlineCallbacks
def measure(report: figures.Report):
    """Adds latencies and processor time per call.

    Args:
      report: Takes the figures.
    """
    with tempfile.TemporaryDirectory() as folder:
        built = build_cluster(pathlib.Path(folder))
        relays = []
        try:
            yield threads.deferToThread(start, built)
            entry, callee = built.hosts_by_id.values()
            relays.append(
                _Relay(address=callee.address, port=cluster.SERVER_PORT)
            )
            relays.append(_Relay(address="127.0.0.1", port=relays[0].port))
            ways = [
                Way(
                    name="direct",
                    address=callee.address,
                    port=cluster.SERVER_PORT,
                    target=_PATH,
                ),
                Way(
                    name="null relay",
                    address="127.0.0.1",
                    port=relays[1].port,
                    target=_PATH,
                ),
                Way(
                    name="two nodes",
                    address=entry.address,
                    port=cluster.ENTRY_PORT,
                    target=TARGET,
                ),
            ]
            yield _measure_ways(report, ways, entry, callee)
        finally:
            for relay in relays:
                relay.stop()
            yield threads.deferToThread(built.stop)


def build_cluster(
    folder: pathlib.Path,
    command: tuple[str, ...] = (sys.executable, "-m", "bergamotdeal"),
) -> cluster.Cluster:
    """Returns an entry host and a host with a server that answers at once."""
    built = cluster.Cluster(
        folder=folder,
        preset=presets.with_control((_SERVICE,)),
        command=command,
    )
    built.add("gate-1", "prai")
    built.add(
        f"{_SERVICE}-1", "prai", service=_SERVICE, slots=80, service_ms=0.0
    )
    return built


def start(built: cluster.Cluster) -> None:
    """Starts the cluster and waits until the entry knows the server."""
    built.start()
    entry, *_ = built.hosts_by_id.values()

    def answers() -> bool:
        status, _ = cluster.request(
            entry.address, cluster.ENTRY_PORT, "GET", TARGET
        )
        return status == 200

    cluster.wait_for(answers, "the entry knows the server")


@defer.inlineCallbacks
def _measure_ways(report, ways, entry, callee):
    rng = random.Random(SEED)
    for way in ways:
        yield way.call_many(RATES_PER_S[1], _WARM_UP_CALLS, rng)
        way.latencies_ms.clear()
    for rate_per_s in RATES_PER_S:
        count = _CALLS_PER_SLICE[rate_per_s]
        cpu_s = collections.Counter()
        for _ in range(_ROUNDS):
            for way in ways:
                before = _cpu_s(entry, callee)
                yield way.call_many(rate_per_s, count, rng)
                if way is ways[-1]:
                    cpu_s.update(_cpu_s(entry, callee))
                    cpu_s.subtract(before)
        calls = count * _ROUNDS
        for role, host in (("entry node", entry), ("callee node", callee)):
            report.add(
                f"resident memory, {role}",
                psutil.Process(host.node.pid).memory_info().rss / _MB,
                "MB",
                variant=f"{rate_per_s} calls/s",
            )
        _add_latencies(report, ways, rate_per_s)
        for role, seconds in cpu_s.items():
            report.add(
                f"processor time per call, {role}",
                1000 * seconds / calls,
                "ms",
                variant=f"{rate_per_s} calls/s",
            )


def _cpu_s(entry: cluster.Host, callee: cluster.Host) -> dict[str, float]:
    spent_s = {}
    for role, host in (("entry node", entry), ("callee node", callee)):
        times = psutil.Process(host.node.pid).cpu_times()
        spent_s[role] = times.user + times.system
    return spent_s


def _add_latencies(
    report: figures.Report, ways: list[Way], rate_per_s: int
) -> None:
    quantiles_by_way = {
        way.name: _quantiles(way.latencies_ms[rate_per_s]) for way in ways
    }
    load = f"{rate_per_s} calls/s"
    for name, quantiles in quantiles_by_way.items():
        for label, value in quantiles.items():
            report.add(
                f"latency {label}", value, "ms", variant=f"{name}, {load}"
            )
    direct = quantiles_by_way["direct"]
    for name in ("null relay", "two nodes"):
        for label, value in quantiles_by_way[name].items():
            has_target = name == "two nodes" and label == "p99"
            report.add(
                f"added latency {label}",
                value - direct[label],
                "ms",
                variant=f"{name}, {load}",
                target=TARGET_P99_MS if has_target else None,
                note="see the null relay in the same run for the machine's "
                "share, and the profile for the node's"
                if has_target
                else "",
            )
    failures = sum(way.failures for way in ways)
    report.add("failed calls", failures, "calls", variant=load, target=0)


def _quantiles(latencies_ms: list[float]) -> dict[str, float]:
    cuts = statistics.quantiles(latencies_ms, n=100)
    return {"p50": cuts[49], "p99": cuts[98]}

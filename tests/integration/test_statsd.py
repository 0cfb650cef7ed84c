"""A real node sends its metrics to statsd."""

import socket
import time

from bergamotdeal.telemetry import metrics
from standins import cluster
from tools import build_binary

PRESET = build_binary.ROOT / "examples" / "lintasan" / "ordinary.ini"
RECEIVE_TIMEOUT_S = 30


class StatsdCluster(cluster.Cluster):
    """A cluster whose nodes send their metrics to one UDP port."""

    statsd_port = 0

    def _settings(self, host):
        return super()._settings(host) + (
            f"[statsd]\naddress = 127.0.0.1\nport = {self.statsd_port}\n"
            "prefix = fleet\n"
        )


def _receive_until(statsd, names):
    values_by_name = {}
    deadline = time.monotonic() + RECEIVE_TIMEOUT_S
    while not names <= values_by_name.keys():
        statsd.settimeout(max(0.01, deadline - time.monotonic()))
        for line in statsd.recv(65_536).decode().split("\n"):
            name, _, value = line.partition(":")
            values_by_name[name] = value
    return values_by_name


def test_statsd_receives_counters_timings_and_gauges(tmp_path):
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as statsd:
        statsd.bind(("127.0.0.1", 0))
        running_cluster = StatsdCluster(
            folder=tmp_path, preset=PRESET.read_text()
        )
        running_cluster.statsd_port = statsd.getsockname()[1]
        host = running_cluster.add_host("kitview-1", "prai", service="kitview")
        try:
            running_cluster.start()
            cluster.wait_for(
                lambda: _is_serving(host), "a call through the node"
            )
            names = {
                f"fleet.{metric.value}"
                for metric in (
                    metrics.Counter.CALLS_ENTRY,
                    metrics.Counter.OUTCOME_COMPLETED,
                    metrics.Timing.CALL_MS,
                    metrics.Timing.RUN_MS,
                    metrics.Timing.LOOP_LAG_MS,
                    metrics.Gauge.MEMBERS_ALIVE,
                )
            }
            values_by_name = _receive_until(statsd, names)
        finally:
            running_cluster.stop()
    assert values_by_name["fleet.membership.alive"] == "1|g"
    assert values_by_name["fleet.calls.time"].endswith("|ms")


def _is_serving(host):
    status, _ = cluster.send_request(
        host.address, cluster.ENTRY_PORT, "GET", "/kitview/kits/1"
    )
    return status == 200

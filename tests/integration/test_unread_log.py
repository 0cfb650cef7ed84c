"""A supervisor that stops reading the log does not stop the node."""

import subprocess

from standins import cluster
from tools import build_binary

PRESET = build_binary.ROOT / "examples" / "lintasan" / "ordinary.ini"
CALLS = 800
"""Calls whose events at debug level overfill any pipe."""


class UnreadCluster(cluster.Cluster):
    """Nodes log at debug level to a pipe that nobody reads."""

    def _settings(self, host):
        return super()._settings(host) + "[telemetry]\nlog_level = debug\n"

    def _spawn(self, name, *command):
        if not name.endswith("-node"):
            return super()._spawn(name, *command)
        process = subprocess.Popen(
            command,
            stdin=subprocess.DEVNULL,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.PIPE,
            cwd=build_binary.ROOT,
        )
        self._processes.append(process)
        return process


def _call(host):
    status, _ = cluster.request(
        host.address, cluster.ENTRY_PORT, "GET", "/kitview/kits/1"
    )
    return status


def test_calls_are_served_while_nobody_reads_the_log(tmp_path):
    made = UnreadCluster(folder=tmp_path, preset=PRESET.read_text())
    host = made.add("kitview-1", "prai", service="kitview", service_ms=0.5)
    try:
        made.start()
        cluster.wait_for(lambda: _call(host) == 200, "the backend server")
        statuses = {_call(host) for _ in range(CALLS)}
    finally:
        made.stop()
        host.node.stderr.close()
    assert statuses == {200}

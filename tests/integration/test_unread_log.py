"""A node goes on serving when its supervisor stops reading the log."""

import subprocess

from standins import cluster
from tools import build_binary

PRESET = build_binary.ROOT / "examples" / "lintasan" / "ordinary.ini"
CALL_COUNT = 800
"""Number of calls; their debug events exceed the capacity of any pipe."""


class UnreadCluster(cluster.Cluster):
    """A cluster whose nodes log at debug level to a pipe nobody reads."""

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


def _send_call(host):
    status, _ = cluster.send_request(
        host.address, cluster.ENTRY_PORT, "GET", "/kitview/kits/1"
    )
    return status


def test_calls_are_served_while_nobody_reads_the_log(tmp_path):
    running_cluster = UnreadCluster(folder=tmp_path, preset=PRESET.read_text())
    host = running_cluster.add_host(
        "kitview-1", "prai", service="kitview", service_ms=0.5
    )
    try:
        running_cluster.start()
        cluster.wait_for(lambda: _send_call(host) == 200, "the backend server")
        statuses = {_send_call(host) for _ in range(CALL_COUNT)}
    finally:
        running_cluster.stop()
        host.node.stderr.close()
    assert statuses == {200}

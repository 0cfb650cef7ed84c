"""Profiles an entry node under load."""

import pathlib
import random
import signal
import sys
import tempfile

from twisted.internet import defer
from twisted.internet import threads

from standins import cluster
from standins.measure import figures
from standins.measure import latency
from standins.measure import profiled

_CALL_COUNT = 3000
_EXIT_TIMEOUT_S = 20.0


@defer.inlineCallbacks
def measure(report: figures.Report):
    """Adds the ten functions of an entry node with the most own time.

    Args:
      report: Report that receives the profile lines.
    """
    with tempfile.TemporaryDirectory() as folder:
        command = (
            sys.executable,
            "-m",
            "standins.measure.profiled",
            folder,
        )
        running_cluster = latency.build_cluster(pathlib.Path(folder), command)
        try:
            yield threads.deferToThread(latency.start_cluster, running_cluster)
            entry, *_ = running_cluster.hosts_by_id.values()
            path = latency.CallPath(
                name="profile",
                address=entry.address,
                port=cluster.ENTRY_PORT,
                target=latency.REQUEST_TARGET,
            )
            rate_per_s = latency.RATES_PER_S[1] // 2
            yield path.send_calls(rate_per_s, _CALL_COUNT, random.Random(1))
            running_cluster.signal_process(entry.node, signal.SIGTERM)
            yield threads.deferToThread(entry.node.wait, _EXIT_TIMEOUT_S)
            profile_path = pathlib.Path(folder) / f"{entry.node.pid}.prof"
            report.profile = profiled.format_top_functions(profile_path)
        finally:
            yield threads.deferToThread(running_cluster.stop)

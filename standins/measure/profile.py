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

_CALLS = 3000
_EXIT_TIMEOUT_S = 20.0


@defer.inlineCallbacks
def measure(report: figures.Report):
    """Adds the profile's top ten of an entry node.

    Args:
      report: Takes the lines.
    """
    with tempfile.TemporaryDirectory() as folder:
        command = (
            sys.executable,
            "-m",
            "standins.measure.profiled",
            folder,
        )
        built = latency.build_cluster(pathlib.Path(folder), command)
        try:
            yield threads.deferToThread(latency.start, built)
            entry, *_ = built.hosts_by_id.values()
            way = latency.Way(
                name="profile",
                address=entry.address,
                port=cluster.ENTRY_PORT,
                target=latency.TARGET,
            )
            rate_per_s = latency.RATES_PER_S[1] // 2
            yield way.call_many(rate_per_s, _CALLS, random.Random(1))
            built.signal(entry.node, signal.SIGTERM)
            yield threads.deferToThread(entry.node.wait, _EXIT_TIMEOUT_S)
            path = pathlib.Path(folder) / f"{entry.node.pid}.prof"
            report.profile = profiled.top_lines(path)
        finally:
            yield threads.deferToThread(built.stop)

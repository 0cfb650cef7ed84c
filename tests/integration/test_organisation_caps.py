"""A cap holds over real nodes while some are killed, stopped and restarted."""

import http.client
import signal
import threading
import time

import pytest

from bergamotdeal.organisations import keys
from bergamotdeal.quotas.tests import model as quota_model
from standins import cluster as clusters
from standins import presets

KEY = "key-of-acme"
RATE = 12.0
BURST = 12.0
BOUND = (RATE * 5 + BURST) * 1.1 + 20
SENDERS_PER_NODE = 2
PAUSE_S = 0.025  # Together 20 times the cap.
LOAD_S = 16.0


class Sender(threading.Thread):
    """A thread that sends requests of the organisation to one entry."""

    def __init__(self, host, end):
        super().__init__(daemon=True)
        self.host = host
        self.end = end
        self.answers = []

    def run(self):
        while time.monotonic() < self.end:
            time.sleep(PAUSE_S)
            connection = http.client.HTTPConnection(
                self.host.address, clusters.ENTRY_PORT, timeout=5
            )
            try:
                connection.request(
                    "GET",
                    "/orderline/kits",
                    headers={"Authorization": f"Bearer {KEY}"},
                )
                response = connection.getresponse()
                response.read()
                answer = (response.status, response.headers["Retry-After"])
                self.answers.append(answer)
            except (OSError, http.client.HTTPException):
                continue  # The node is down or stopped.
            finally:
                connection.close()


@pytest.fixture
def cluster(tmp_path):
    started = clusters.Cluster(
        folder=tmp_path,
        preset=(
            f"{presets.build_controlled_preset(('orderline',))}\n"
            "[organisation acme]\n"
            f"key_digests = {keys.digest_key(KEY)}\n"
            f"rate_per_s = {RATE}\n"
            f"burst = {BURST}\n"
        ),
    )
    for number in range(10):
        started.add_host(f"entry-{number}", "prai")
    for number in range(2):
        started.add_host(
            f"orderline-{number}",
            "prai",
            service="orderline",
            service_ms=2.0,
            slots=50,
        )
    with started:
        started.start()
        started.wait_until_joined()
        started.wait_until_granting()
        yield started


def _restart(cluster, host):
    cluster.signal_process(host.node, signal.SIGKILL)
    host.node.wait()
    cluster.start_node(host)


def test_cap_holds_while_nodes_fail(cluster):
    hosts = list(cluster.hosts_by_id.values())
    end = time.monotonic() + LOAD_S
    senders = [
        Sender(host, end) for host in hosts[:4] for _ in range(SENDERS_PER_NODE)
    ]
    for sender in senders:
        sender.start()
    time.sleep(3)
    cluster.signal_process(hosts[4].node, signal.SIGKILL)
    cluster.signal_process(hosts[0].node, signal.SIGSTOP)
    cluster.signal_process(hosts[5].node, signal.SIGSTOP)
    _restart(cluster, hosts[1])
    time.sleep(4)
    cluster.signal_process(hosts[0].node, signal.SIGCONT)
    cluster.signal_process(hosts[5].node, signal.SIGCONT)
    _restart(cluster, hosts[6])
    for sender in senders:
        sender.join()
    times = [
        line["time"]
        for line in cluster.read_ledgers()
        if line["step"] == "started"
    ]
    assert quota_model.find_fullest_window(times) <= BOUND
    # At least one of the two parts is used all the time.
    assert len(times) >= 0.4 * RATE * LOAD_S
    answers = [answer for sender in senders for answer in sender.answers]
    refused = [wait for status, wait in answers if status == 429]
    assert len(refused) > 5 * len(times)
    assert all(float(wait) > 0 for wait in refused)
    assert {status for status, _ in answers} <= {200, 429, 503}

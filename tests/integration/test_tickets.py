"""Ticketed requests run at most once, also when their node is killed."""

import base64
import concurrent.futures
import http.client
import signal

import pytest

from bergamotdeal.caller import blocking
from bergamotdeal.caller import core
from bergamotdeal.errors import core as errors
from bergamotdeal.tickets import core as tickets
from standins import cluster as clusters
from standins import presets

SERVICE_MS = 500.0
POLICY = core.RetryPolicy(attempts=6, deadline_s=15.0)
RESERVATION = {
    "service": "orderline",
    "method": "POST",
    "path": "/reservations",
    "body": b"feeder 7",
}


@pytest.fixture
def cluster(tmp_path):
    started_cluster = clusters.Cluster(
        folder=tmp_path, preset=presets.build_controlled_preset(("orderline",))
    )
    started_cluster.add_host("kitview-1", "prai")
    started_cluster.add_host("kitview-2", "prai")
    for number in (1, 2):
        started_cluster.add_host(
            f"orderline-{number}",
            "prai",
            service="orderline",
            service_ms=SERVICE_MS,
        )
    with started_cluster:
        started_cluster.start()
        started_cluster.wait_until_joined()
        yield started_cluster


def get_entry_address(cluster, host_id):
    return (cluster.hosts_by_id[host_id].address, clusters.ENTRY_PORT)


def send_reservation(cluster, *host_ids, **kwargs):
    client = blocking.Client(
        entries=[get_entry_address(cluster, host_id) for host_id in host_ids],
        policy=POLICY,
    )
    return client.call(**RESERVATION, **kwargs)


def request_ticket(cluster, request_id):
    """Returns an unused ticket for the reservation."""
    connection = http.client.HTTPConnection(
        *get_entry_address(cluster, "kitview-1")
    )
    try:
        connection.request(
            RESERVATION["method"],
            f"/{RESERVATION['service']}{RESERVATION['path']}",
            RESERVATION["body"],
            {"Bergamot-Request-Id": request_id},
        )
        response = connection.getresponse()
        response.read()
        assert response.status == 428
        return response.getheader("Bergamot-Ticket")
    finally:
        connection.close()


def list_servers_of_started_runs(cluster, request_id):
    return [
        line["server"]
        for line in cluster.read_ledgers()
        if line["step"] == "started" and line["request_id"] == request_id
    ]


def test_reservation_runs_once_when_sent_through_two_entries(
    cluster,
):
    ticket = request_ticket(cluster, "r-1")
    with concurrent.futures.ThreadPoolExecutor() as pool:
        calls = [
            pool.submit(
                send_reservation,
                cluster,
                host_id,
                request_id="r-1",
                ticket=ticket,
            )
            for host_id in ("kitview-1", "kitview-2")
        ]
        answers = [call.result() for call in calls]
    assert [answer.ok_value.status for answer in answers] == [200, 200]
    assert answers[0].ok_value.body == answers[1].ok_value.body
    assert len(list_servers_of_started_runs(cluster, "r-1")) == 1


def test_reservation_is_unknown_and_not_rerun_after_node_crash(
    cluster,
):
    ticket = request_ticket(cluster, "r-2")
    host_id = tickets.decode(base64.urlsafe_b64decode(ticket)).ok_value.host_id
    host = cluster.hosts_by_id[host_id]
    cluster.control(host, hang=True)
    with concurrent.futures.ThreadPoolExecutor() as pool:
        call = pool.submit(
            send_reservation,
            cluster,
            "kitview-2",
            "kitview-1",
            request_id="r-2",
            ticket=ticket,
        )
        clusters.wait_for(
            lambda: list_servers_of_started_runs(cluster, "r-2"), "the run"
        )
        cluster.signal_process(host.node, signal.SIGKILL)
        host.node.wait()
        cluster.start_node(host)
        cluster.wait_until_ready(host)
        failure = call.result()
    assert failure.err_value.outcome is errors.Outcome.UNKNOWN
    repeated = send_reservation(
        cluster, "kitview-1", request_id="r-2", ticket=ticket
    )
    assert repeated.err_value.error is errors.ErrorKind.TICKET_LOST
    assert list_servers_of_started_runs(cluster, "r-2") == [host_id]

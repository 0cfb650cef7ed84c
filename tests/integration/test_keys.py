"""Keys of organisations on real nodes with the native headers."""

import pytest

from bergamotdeal.organisations import keys
from standins import cluster as clusters

KEY = "harbour-5e1d0c77ab"
PRESET = f"""\
[preset]
name = keyed

[tickets]
required = no

[organisation harbour works]
key_digests = {keys.digest_key(KEY)}
class = critical
"""
AUTHORIZED = {"Authorization": f"Bearer {KEY}"}


@pytest.fixture
def cluster(tmp_path):
    with clusters.Cluster(folder=tmp_path, preset=PRESET) as started:
        started.add_host(
            "kitview-1", "prai", service="kitview", next_service="orderline"
        )
        started.add_host("orderline-1", "prai", service="orderline")
        started.start()
        started.wait_until_joined()
        yield started


def call(host, target, headers_by_name):
    status, _ = clusters.send_request(
        host.address,
        clusters.ENTRY_PORT,
        "GET",
        target,
        headers_by_name=headers_by_name,
    )
    return status


def read_admin(host, path):
    _, body = clusters.send_request(
        host.address, clusters.ADMIN_PORT, "GET", path
    )
    return body.decode()


def test_keys_pass_calls_of_servers_and_are_shown_nowhere(cluster):
    front = cluster.hosts_by_id["kitview-1"]
    clusters.wait_for(
        lambda: call(front, "/kitview/kits", AUTHORIZED) == 200,
        "a request with a key and an inner call on another host",
    )
    assert call(front, "/orderline/orders", AUTHORIZED) == 200
    assert call(front, "/orderline/orders", {}) == 401
    wrong = {"Authorization": f"Bearer {KEY}x"}
    assert call(front, "/orderline/orders", wrong) == 401
    timeline = read_admin(front, "/v1/timeline")
    assert '"code":1100' in timeline
    for host in cluster.hosts_by_id.values():
        for path in ("/v1/status", "/v1/timeline", "/v1/metrics"):
            assert KEY not in read_admin(host, path), path
    for path in cluster.folder.iterdir():
        if path.is_file():
            assert KEY.encode() not in path.read_bytes(), path

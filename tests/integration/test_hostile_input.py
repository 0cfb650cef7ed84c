"""No input on any listener ends a node or makes it lose its state."""

import contextlib
import random
import socket
import struct

from standins import cluster
from tools import build_binary

PRESET = build_binary.ROOT / "examples" / "lintasan" / "ordinary.ini"
SEED = 7
INPUT_COUNT = 600
PORTS = (
    cluster.ENTRY_PORT,
    cluster.EGRESS_PORT,
    cluster.ADMIN_PORT,
    cluster.PEER_PORT,
)
INPUT_PREFIXES = (
    b"",
    b"GET /v1/status HTTP/1.1\r\n",
    b"GET /v1/timeline?since=99999999999999999999 HTTP/1.1\r\n\r\n",
    b"PUT /v1/in-force HTTP/1.1\r\nContent-Length: 50\r\n\r\n",
    b"PUT /v1/server HTTP/1.1\r\nContent-Length: 20\r\n\r\n",
    b"POST /kitview/kits HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
    b"GET /kitview/kits HTTP/1.1\r\nBergamot-Ticket: ",
    b"GET /kitview/\xc3\xa9 HTTP/1.1\r\nBergamot-Request-Id: \xff\r\n\r\n",
    b"GET /kitview/%ff%00 HTTP/1.1\r\n\r\n",
    b"GET /kitview/k HTTP/1.1\r\nExpect: 100-continue\r\n"
    b"Content-Length: 99999999\r\n\r\n",
    b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
    b"\x00\x00\x00\x10",
    b"\xff\xff\xff\xff",
)
SUFFIX_LENGTHS_BYTES = (0, 10, 100, 5_000, 50_000)
# Value of SO_LINGER with a timeout of zero: close sends a reset.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def _send_random_inputs(host, rng):
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp_socket:
        for _ in range(INPUT_COUNT):
            datagram = rng.randbytes(rng.randrange(1, 1400))
            udp_socket.sendto(datagram, (host.address, cluster.PEER_PORT))
            data = rng.choice(INPUT_PREFIXES) + rng.randbytes(
                rng.choice(SUFFIX_LENGTHS_BYTES)
            )
            _send_over_tcp((host.address, rng.choice(PORTS)), data, rng)


def _send_over_tcp(address, data, rng):
    with socket.create_connection(address, timeout=5) as connection:
        if rng.random() < 0.3:
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )
        # The node may close the connection before it has read all input.
        with contextlib.suppress(OSError):
            connection.sendall(data)


def test_node_keeps_its_state_under_hostile_input(tmp_path):
    running_cluster = cluster.Cluster(
        folder=tmp_path, preset=PRESET.read_text()
    )
    host = running_cluster.add_host("kitview-1", "prai", service="kitview")
    try:
        running_cluster.start()
        status_before = running_cluster.status(host)
        _send_random_inputs(host, random.Random(SEED))
        cluster.wait_for(lambda: _is_serving(host), "a call after the input")
        status_after = running_cluster.status(host)
        failures = _fetch_timeline_events(host, "call-failed-internally")
        failures += _fetch_timeline_events(host, "task-failed")
        assert host.node.poll() is None
    finally:
        running_cluster.stop()
    for name in ("incarnation", "epoch", "ready", "draining"):
        assert status_after[name] == status_before[name], name
    assert len(status_after["members"]) == 1
    counters = status_after["counters_by_name"]
    assert counters["gossip.datagrams_dropped"] > 0
    assert counters["peer.malformed"] > 0
    assert failures == b""
    log = (tmp_path / "kitview-1-node.log").read_text()
    assert "Traceback" not in log
    assert "Unhandled" not in log


def _is_serving(host):
    status, _ = cluster.send_request(
        host.address, cluster.ENTRY_PORT, "GET", "/kitview/kits/1"
    )
    return status == 200


def _fetch_timeline_events(host, name):
    status, body = cluster.send_request(
        host.address, cluster.ADMIN_PORT, "GET", f"/v1/timeline?event={name}"
    )
    assert status == 200
    return body

"""No bytes on any face end a node or make it forget its work."""

import contextlib
import random
import socket
import struct

from standins import cluster
from tools import build_binary

PRESET = build_binary.ROOT / "examples" / "lintasan" / "ordinary.ini"
SEED = 7
INPUTS = 600
PORTS = (
    cluster.ENTRY_PORT,
    cluster.EGRESS_PORT,
    cluster.ADMIN_PORT,
    cluster.PEER_PORT,
)
HEADS = (
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
LENGTHS = (0, 10, 100, 5_000, 50_000)
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def _spray(host, rng):
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagrams:
        for _ in range(INPUTS):
            noise = rng.randbytes(rng.randrange(1, 1400))
            datagrams.sendto(noise, (host.address, cluster.PEER_PORT))
            data = rng.choice(HEADS) + rng.randbytes(rng.choice(LENGTHS))
            _send((host.address, rng.choice(PORTS)), data, rng)


def _send(address, data, rng):
    with socket.create_connection(address, timeout=5) as connection:
        if rng.random() < 0.3:
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )
        # The node may close the connection in the middle of the input.
        with contextlib.suppress(OSError):
            connection.sendall(data)


def test_node_keeps_its_state_under_hostile_input(tmp_path):
    made = cluster.Cluster(folder=tmp_path, preset=PRESET.read_text())
    host = made.add("kitview-1", "prai", service="kitview")
    try:
        made.start()
        before = made.status(host)
        _spray(host, random.Random(SEED))
        cluster.wait_for(lambda: _serves(host), "a call after the input")
        after = made.status(host)
        failures = _events(host, "call-failed-internally")
        failures += _events(host, "task-failed")
        assert host.node.poll() is None
    finally:
        made.stop()
    for name in ("incarnation", "epoch", "ready", "draining"):
        assert after[name] == before[name], name
    assert len(after["members"]) == 1
    counters = after["counters_by_name"]
    assert counters["gossip.datagrams_dropped"] > 0
    assert counters["peer.malformed"] > 0
    assert failures == b""
    log = (tmp_path / "kitview-1-node.log").read_text()
    assert "Traceback" not in log
    assert "Unhandled" not in log


def _serves(host):
    status, _ = cluster.request(
        host.address, cluster.ENTRY_PORT, "GET", "/kitview/kits/1"
    )
    return status == 200


def _events(host, name):
    status, body = cluster.request(
        host.address, cluster.ADMIN_PORT, "GET", f"/v1/timeline?event={name}"
    )
    assert status == 200
    return body

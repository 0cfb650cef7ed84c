"""Tests of the fault proxy with plain sockets and a proxy process."""

import contextlib
import json
import socket
import subprocess
import sys
import threading
import urllib.error
import urllib.request

import pytest

ANSWER = b"0123456789"


class Upstream:
    """A server that answers each chunk with ten bytes and records the data."""

    def __init__(self):
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        self.received = b""
        self.accepted = threading.Semaphore(0)
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            self.accepted.release()
            threading.Thread(
                target=self._answer_connection, args=(connection,), daemon=True
            ).start()

    def _answer_connection(self, connection):
        with connection, contextlib.suppress(OSError):
            while data := connection.recv(1000):
                self.received += data
                connection.sendall(ANSWER)


class ProxyProcess:
    """A fault proxy in a process of its own, controlled over HTTP."""

    def __init__(self, target_port):
        self.process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "standins.fault_proxy",
                "--target",
                f"127.0.0.1:{target_port}",
            ],
            stdout=subprocess.PIPE,
            text=True,
        )
        words = self.process.stdout.readline().split()
        self.port, self.control_port = int(words[1]), int(words[3])

    def send_control(self, method, path, data=None):
        request = urllib.request.Request(
            f"http://127.0.0.1:{self.control_port}{path}",
            method=method,
            data=json.dumps(data).encode() if data is not None else None,
        )
        with urllib.request.urlopen(request, timeout=10) as answer:
            return answer.read()

    def faults(self, *faults):
        self.send_control("PUT", "/faults", list(faults))

    def connect(self):
        connection = socket.create_connection(("127.0.0.1", self.port), 10)
        connection.settimeout(10)
        return connection

    def stop(self):
        self.process.terminate()
        self.process.wait(10)
        self.process.stdout.close()


@pytest.fixture
def upstream():
    target = Upstream()
    yield target
    target.listener.close()


@pytest.fixture
def proxy(upstream):
    started = ProxyProcess(upstream.port)
    yield started
    started.stop()


def read_all(connection):
    data = b""
    while piece := connection.recv(1000):
        data += piece
    return data


def test_proxy_without_faults_forwards_data(proxy):
    with proxy.connect() as connection:
        connection.sendall(b"x")
        assert connection.recv(100) == ANSWER


def test_proxy_without_faults_forwards_half_close(proxy):
    with proxy.connect() as connection:
        connection.sendall(b"x")
        connection.shutdown(socket.SHUT_WR)
        assert read_all(connection) == ANSWER


def test_cut_after_bytes_resets_connection(proxy):
    proxy.faults({"type": "Cut", "direction": "down", "after_bytes": 4})
    with proxy.connect() as connection:
        connection.sendall(b"x")
        with pytest.raises(ConnectionResetError):
            read_all(connection)


def test_truncate_set_on_open_connection_counts_bytes_from_then(proxy):
    with proxy.connect() as connection:
        connection.sendall(b"x")
        assert connection.recv(100) == ANSWER
        proxy.faults(
            {"type": "Truncate", "direction": "down", "after_bytes": 4}
        )
        connection.sendall(b"x")
        assert read_all(connection) == ANSWER[:4]


def test_truncate_after_bytes_closes_without_reset(proxy):
    proxy.faults({"type": "Truncate", "direction": "down", "after_bytes": 4})
    with proxy.connect() as connection:
        connection.sendall(b"x")
        assert read_all(connection) == ANSWER[:4]


def test_half_close_up_still_forwards_answer(proxy, upstream):
    proxy.faults({"type": "HalfClose", "direction": "up", "after_bytes": 3})
    with proxy.connect() as connection:
        connection.sendall(b"abcdef")
        assert read_all(connection) == ANSWER
    assert upstream.received == b"abc"


def test_blackhole_after_bytes_drops_data_and_stays_open(proxy):
    proxy.faults({"type": "Blackhole", "direction": "down", "after_bytes": 2})
    with proxy.connect() as connection:
        connection.sendall(b"x")
        assert connection.recv(100) == ANSWER[:2]
        connection.settimeout(0.2)
        with pytest.raises(TimeoutError):
            connection.recv(100)


def test_silence_with_open_connection_drops_only_its_data(proxy):
    with proxy.connect() as old:
        old.sendall(b"x")
        assert old.recv(100) == ANSWER
        proxy.send_control("POST", "/silence")
        old.sendall(b"x")
        with proxy.connect() as new:
            new.sendall(b"x")
            assert new.recv(100) == ANSWER
        old.settimeout(0.2)
        with pytest.raises(TimeoutError):
            old.recv(100)


def test_duplicate_connect_opens_second_target_connection(proxy, upstream):
    proxy.faults({"type": "DuplicateConnect"})
    with proxy.connect() as connection:
        connection.sendall(b"x")
        assert connection.recv(100) == ANSWER
        assert upstream.accepted.acquire(timeout=10)
        assert upstream.accepted.acquire(timeout=10)


def test_refuse_resets_new_connection(proxy):
    proxy.faults({"type": "Refuse"})
    with pytest.raises(ConnectionError), proxy.connect() as connection:
        connection.sendall(b"x")
        read_all(connection)


def test_delay_forwards_complete_data(proxy):
    proxy.faults({"type": "Delay", "direction": "down", "seconds": 0.05})
    with proxy.connect() as connection:
        connection.sendall(b"x")
        assert connection.recv(100) == ANSWER


def test_control_with_unknown_fault_answers_400(proxy):
    with pytest.raises(urllib.error.HTTPError) as caught:
        proxy.faults({"type": "Earthquake"})
    assert caught.value.code == 400

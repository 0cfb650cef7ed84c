"""The proxy's faults, seen by plain sockets through the real kernel."""

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
    """Answers each line with ten bytes and keeps what it was sent."""

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
                target=self._talk, args=(connection,), daemon=True
            ).start()

    def _talk(self, connection):
        with connection, contextlib.suppress(OSError):
            while data := connection.recv(1000):
                self.received += data
                connection.sendall(ANSWER)


class Proxy:
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
        self.port, self.control = int(words[1]), int(words[3])

    def ask(self, method, path, data=None):
        request = urllib.request.Request(
            f"http://127.0.0.1:{self.control}{path}",
            method=method,
            data=json.dumps(data).encode() if data is not None else None,
        )
        with urllib.request.urlopen(request, timeout=10) as answer:
            return answer.read()

    def faults(self, *faults):
        self.ask("PUT", "/faults", list(faults))

    def dial(self):
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
    started = Proxy(upstream.port)
    yield started
    started.stop()


def read_all(connection):
    data = b""
    while piece := connection.recv(1000):
        data += piece
    return data


def test_passes_data_on(proxy):
    with proxy.dial() as connection:
        connection.sendall(b"x")
        assert connection.recv(100) == ANSWER


def test_passes_the_end_on(proxy):
    with proxy.dial() as connection:
        connection.sendall(b"x")
        connection.shutdown(socket.SHUT_WR)
        assert read_all(connection) == ANSWER


def test_cut_resets_after_the_bytes(proxy):
    proxy.faults({"type": "Cut", "direction": "down", "after_bytes": 4})
    with proxy.dial() as connection:
        connection.sendall(b"x")
        with pytest.raises(ConnectionResetError):
            read_all(connection)


def test_bytes_count_from_the_setting_of_the_fault(proxy):
    with proxy.dial() as connection:
        connection.sendall(b"x")
        assert connection.recv(100) == ANSWER
        proxy.faults(
            {"type": "Truncate", "direction": "down", "after_bytes": 4}
        )
        connection.sendall(b"x")
        assert read_all(connection) == ANSWER[:4]


def test_truncate_ends_in_good_order(proxy):
    proxy.faults({"type": "Truncate", "direction": "down", "after_bytes": 4})
    with proxy.dial() as connection:
        connection.sendall(b"x")
        assert read_all(connection) == ANSWER[:4]


def test_half_close_up_lets_the_answer_through(proxy, upstream):
    proxy.faults({"type": "HalfClose", "direction": "up", "after_bytes": 3})
    with proxy.dial() as connection:
        connection.sendall(b"abcdef")
        assert read_all(connection) == ANSWER
    assert upstream.received == b"abc"


def test_blackhole_swallows_and_stays_open(proxy):
    proxy.faults({"type": "Blackhole", "direction": "down", "after_bytes": 2})
    with proxy.dial() as connection:
        connection.sendall(b"x")
        assert connection.recv(100) == ANSWER[:2]
        connection.settimeout(0.2)
        with pytest.raises(TimeoutError):
            connection.recv(100)


def test_silence_spares_new_connections(proxy):
    with proxy.dial() as old:
        old.sendall(b"x")
        assert old.recv(100) == ANSWER
        proxy.ask("POST", "/silence")
        old.sendall(b"x")
        with proxy.dial() as new:
            new.sendall(b"x")
            assert new.recv(100) == ANSWER
        old.settimeout(0.2)
        with pytest.raises(TimeoutError):
            old.recv(100)


def test_duplicate_connect(proxy, upstream):
    proxy.faults({"type": "DuplicateConnect"})
    with proxy.dial() as connection:
        connection.sendall(b"x")
        assert connection.recv(100) == ANSWER
        assert upstream.accepted.acquire(timeout=10)
        assert upstream.accepted.acquire(timeout=10)


def test_refuse_resets(proxy):
    proxy.faults({"type": "Refuse"})
    with pytest.raises(ConnectionError), proxy.dial() as connection:
        connection.sendall(b"x")
        read_all(connection)


def test_delay_keeps_data_whole(proxy):
    proxy.faults({"type": "Delay", "direction": "down", "seconds": 0.05})
    with proxy.dial() as connection:
        connection.sendall(b"x")
        assert connection.recv(100) == ANSWER


def test_control_refuses_unknown_faults(proxy):
    with pytest.raises(urllib.error.HTTPError) as caught:
        proxy.faults({"type": "Earthquake"})
    assert caught.value.code == 400

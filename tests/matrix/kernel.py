"""Two real nodes, a small server and proxies in front of both ends."""

import contextlib
import http.client
import http.server
import json
import subprocess
import sys
import threading
import time
import urllib.request

from standins import cluster as clusters
from standins import ledger
from standins import presets

SERVICE = "kitview"
DEADLINE_MS = 700
BODY_BYTES = 120
_ANNOUNCE_EVERY_S = 0.3
_TRIES = 4
_CALLER_TIMEOUT_S = 2.0


class Server:
    """A backend server in this process; it writes the ledger."""

    def __init__(self, *, entries: list[ledger.Entry]):
        self.entries = entries
        server = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_GET(self):
                server.run(self)

            def do_POST(self):
                server.run(self)

            def log_message(self, *arguments):
                pass

        class QuietServer(http.server.ThreadingHTTPServer):
            daemon_threads = True

            def handle_error(self, request, client_address):
                pass  # A connection that a fault has cut.

        self.listener = QuietServer(("127.0.0.1", 0), Handler)
        self.port = self.listener.server_address[1]
        threading.Thread(
            target=self.listener.serve_forever, daemon=True
        ).start()
        self._numbers = iter(range(1, 1_000_000))
        self._lock = threading.Lock()

    def run(self, handler) -> None:
        """Runs one request."""
        length = int(handler.headers.get("content-length", 0))
        body = handler.rfile.read(length)
        if len(body) < length:
            handler.close_connection = True
            return
        label = ledger.Label.decode(handler.headers[ledger.LABEL_HEADER])
        with self._lock:
            run_id = f"run-{next(self._numbers)}"
        self.entries.append(
            ledger.RunStarted(
                at=time.monotonic(),
                label=label,
                run_id=run_id,
                host_id="callee",
                intact=ledger.key_of_body(body) == label.key,
            )
        )
        answer = ledger.make_body(label.key, size=BODY_BYTES)
        self.entries.append(
            ledger.RunEnded(at=time.monotonic(), run_id=run_id, completed=True)
        )
        handler.send_response(200)
        handler.send_header("content-length", str(len(answer)))
        handler.end_headers()
        handler.wfile.write(answer)


class Proxy:
    """A fault proxy process."""

    def __init__(self, *, address: str, port: int):
        self._process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "standins.fault_proxy",
                "--target",
                f"{address}:{port}",
            ],
            stdout=subprocess.PIPE,
            text=True,
        )
        words = self._process.stdout.readline().split()
        self.port = int(words[1])
        self._control = int(words[3])

    def faults(self, *faults: dict) -> None:
        """Replaces the proxy's faults."""
        self._ask("PUT", "/faults", json.dumps(faults).encode())

    def silence(self) -> None:
        """Silences the open connections; new ones work."""
        self._ask("POST", "/silence", b"")

    def cut(self) -> None:
        """Resets the open connections."""
        self._ask("POST", "/cut", b"")

    def stop(self) -> None:
        """Ends the process."""
        self._process.terminate()
        self._process.wait(10)
        self._process.stdout.close()

    def _ask(self, method: str, path: str, data: bytes) -> None:
        request = urllib.request.Request(
            f"http://127.0.0.1:{self._control}{path}", method=method, data=data
        )
        with urllib.request.urlopen(request, timeout=10) as answer:
            assert answer.status == 200


class Bench:
    """The processes, the server and the ledger."""

    def __init__(self, *, folder):
        self.entries: list[ledger.Entry] = []
        self._stack = contextlib.ExitStack()
        self._stopped = threading.Event()
        self.server = Server(entries=self.entries)
        self._stack.callback(self.server.listener.server_close)
        self._stack.callback(self.server.listener.shutdown)
        self.server_proxy = self._proxy("127.0.0.1", self.server.port)
        cluster = clusters.Cluster(
            folder=folder, preset=presets.with_control((SERVICE,))
        )
        self._stack.enter_context(cluster)
        self.gate = cluster.add("gate", "prai")
        self.callee = cluster.add("callee", "prai")
        cluster.start()
        self.entry_proxy = self._proxy(self.gate.address, clusters.ENTRY_PORT)
        threading.Thread(target=self._announce, daemon=True).start()
        self.wait_working("start")

    def close(self) -> None:
        """Ends everything."""
        self._stopped.set()
        self._stack.close()

    def heal(self) -> None:
        """Takes all faults away."""
        self.server_proxy.faults()
        self.entry_proxy.faults()

    def wait_working(self, name: str) -> None:
        """Waits until a new browse request completes."""
        numbers = iter(range(1000))

        def works() -> bool:
            caller = Caller(bench=self, key=f"{name}-probe-{next(numbers)}")
            return caller.send(clusters.ENTRY_PORT)

        clusters.wait_for(works, f"requests complete after {name}")

    def _proxy(self, address: str, port: int) -> Proxy:
        proxy = Proxy(address=address, port=port)
        self._stack.callback(proxy.stop)
        return proxy

    def _announce(self) -> None:
        body = {
            "service": SERVICE,
            "address": "127.0.0.1",
            "port": self.server_proxy.port,
            "slots": 20,
            "connections": 100,
            "instance": "one",
        }
        while not self._stopped.is_set():
            with contextlib.suppress(OSError):
                clusters.request(
                    self.callee.address,
                    clusters.EGRESS_PORT,
                    "PUT",
                    "/v1/server",
                    body=json.dumps(body).encode(),
                    timeout_s=1,
                )
            self._stopped.wait(_ANNOUNCE_EVERY_S)


class Caller:
    """A caller that writes the ledger.

    Args:
      bench: The bench.
      key: Key of its request.
      repeatable: Whether it may run twice.
    """

    def __init__(self, *, bench: Bench, key: str, repeatable: bool = True):
        self._bench = bench
        self._key = key
        self._repeatable = repeatable
        self._ticket = ""
        self._sendings = 0
        self._attempt = 0

    def send_until_done(self, port: int) -> bool:
        """Sends through a port first, then at the entry itself."""
        done = self.send(port)
        for _ in range(_TRIES):
            if done:
                return True
            self._attempt += 1
            done = self.send(clusters.ENTRY_PORT)
        return done

    def send(self, port: int) -> bool:
        """Sends once, twice with a ticket; returns whether it completed."""
        status = self._exchange(port)
        if status == 428:
            status = self._exchange(port)
        return status == 200

    def _exchange(self, port: int) -> int:
        label = ledger.Label.for_user(
            self._key,
            service=SERVICE,
            class_name="browse" if self._repeatable else "critical",
            repeatable=self._repeatable,
            sending=self._sendings,
        )
        self._sendings += 1
        entries = self._bench.entries
        entries.append(ledger.Sent(at=time.monotonic(), label=label))
        try:
            response, body = self._request(port, label)
        except (OSError, http.client.HTTPException):
            entries.append(ledger.GaveUp(at=time.monotonic(), label=label))
            return 0
        self._ticket = response.getheader("Bergamot-Ticket", self._ticket)
        outcome = response.getheader("Bergamot-Outcome", "")
        entries.append(
            ledger.Answered(
                at=time.monotonic(),
                label=label,
                outcome=outcome,
                error=response.getheader("Bergamot-Error", ""),
                status=response.status,
                body_key=ledger.key_of_body(body)
                if outcome == "completed"
                else None,
            )
        )
        return response.status

    def _request(self, port: int, label: ledger.Label):
        is_direct = port == clusters.ENTRY_PORT
        address = self._bench.gate.address if is_direct else "127.0.0.1"
        connection = http.client.HTTPConnection(
            address, port, timeout=_CALLER_TIMEOUT_S
        )
        headers = {
            "Bergamot-Request-Id": self._key,
            "Bergamot-Deadline-Ms": str(DEADLINE_MS),
            "Bergamot-Attempt": str(self._attempt),
            ledger.LABEL_HEADER: label.encode(),
        }
        if self._ticket:
            headers["Bergamot-Ticket"] = self._ticket
        path = "/kits/17" if self._repeatable else "/reservations"
        try:
            connection.request(
                "GET" if self._repeatable else "POST",
                f"/{SERVICE}{path}",
                ledger.make_body(self._key, size=BODY_BYTES),
                headers,
            )
            response = connection.getresponse()
            return response, response.read()
        finally:
            connection.close()

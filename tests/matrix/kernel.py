"""A testbed of two real nodes, a server and fault proxies at both ends."""

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
_ANNOUNCE_INTERVAL_S = 0.3
_MAX_RESENDS = 4
_CALLER_TIMEOUT_S = 2.0
_NEW_SERVER_KNOWN_S = 2.0
"""Time within which all nodes have to use a new server."""


class Server:
    """An HTTP backend server in this process that writes the ledger."""

    def __init__(self, *, ledger_entries: list[ledger.Entry]):
        self.ledger_entries = ledger_entries
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
                pass  # An injected fault has closed the connection.

        self.listener = QuietServer(("127.0.0.1", 0), Handler)
        self.port = self.listener.server_address[1]
        threading.Thread(
            target=self.listener.serve_forever, daemon=True
        ).start()
        self._run_numbers = iter(range(1, 1_000_000))
        self._lock = threading.Lock()

    def run(self, handler) -> None:
        """Runs a request and records it, unless its body is incomplete."""
        length = int(handler.headers.get("content-length", 0))
        body = handler.rfile.read(length)
        if len(body) < length:
            handler.close_connection = True
            return
        label = ledger.Label.decode(handler.headers[ledger.LABEL_HEADER])
        with self._lock:
            run_id = f"run-{next(self._run_numbers)}"
        self.ledger_entries.append(
            ledger.RunStarted(
                at=time.monotonic(),
                label=label,
                run_id=run_id,
                host_id="callee",
                intact=ledger.parse_body_key(body) == label.key,
            )
        )
        answer = ledger.make_body(label.key, size=BODY_BYTES)
        self.ledger_entries.append(
            ledger.RunEnded(at=time.monotonic(), run_id=run_id, completed=True)
        )
        handler.send_response(200)
        handler.send_header("content-length", str(len(answer)))
        handler.end_headers()
        handler.wfile.write(answer)


class Proxy:
    """A fault proxy process and its control interface."""

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
        output_words = self._process.stdout.readline().split()
        self.port = int(output_words[1])
        self._control_port = int(output_words[3])

    def faults(self, *faults: dict) -> None:
        """Replaces the faults that the proxy injects."""
        self._send_control_request(
            "PUT", "/faults", json.dumps(faults).encode()
        )

    def silence_connections(self) -> None:
        """Stops forwarding on open connections; new ones are not affected."""
        self._send_control_request("POST", "/silence", b"")

    def reset_connections(self) -> None:
        """Resets all open connections."""
        self._send_control_request("POST", "/cut", b"")

    def stop(self) -> None:
        """Terminates the process."""
        self._process.terminate()
        self._process.wait(10)
        self._process.stdout.close()

    def _send_control_request(
        self, method: str, path: str, data: bytes
    ) -> None:
        request = urllib.request.Request(
            f"http://127.0.0.1:{self._control_port}{path}",
            method=method,
            data=data,
        )
        with urllib.request.urlopen(request, timeout=10) as answer:
            assert answer.status == 200


class FaultTestbed:
    """The processes, the backend server and the ledger of a test run."""

    def __init__(self, *, folder):
        self.ledger_entries: list[ledger.Entry] = []
        self._stack = contextlib.ExitStack()
        self._stopped = threading.Event()
        self.server = Server(ledger_entries=self.ledger_entries)
        self._stack.callback(self.server.listener.server_close)
        self._stack.callback(self.server.listener.shutdown)
        self.server_proxy = self._start_proxy("127.0.0.1", self.server.port)
        self._cluster = clusters.Cluster(
            folder=folder, preset=presets.build_controlled_preset((SERVICE,))
        )
        self._stack.enter_context(self._cluster)
        self.entry_host = self._cluster.add_host("gate", "prai")
        self.server_host = self._cluster.add_host("callee", "prai")
        self._cluster.start()
        self.entry_proxy = self._start_proxy(
            self.entry_host.address, clusters.ENTRY_PORT
        )
        threading.Thread(target=self._announce_server, daemon=True).start()
        self.wait_until_serving("start")

    def close(self) -> None:
        """Stops the processes and the server."""
        self._stopped.set()
        self._stack.close()

    def clear_faults(self) -> None:
        """Removes all faults from both proxies."""
        self.server_proxy.faults()
        self.entry_proxy.faults()

    def wait_until_known(self) -> None:
        """Waits until both nodes know that the server is available.

        A fault may have made its node report that it stopped.
        """
        self._cluster.wait_until_known(
            self.server_host, timeout_s=_NEW_SERVER_KNOWN_S
        )

    def wait_until_serving(self, name: str) -> None:
        """Waits until a new browse request completes."""
        probe_numbers = iter(range(1000))

        def is_completing() -> bool:
            caller = Caller(
                fault_testbed=self, key=f"{name}-probe-{next(probe_numbers)}"
            )
            return caller.send(clusters.ENTRY_PORT)

        clusters.wait_for(is_completing, f"requests complete after {name}")

    def _start_proxy(self, address: str, port: int) -> Proxy:
        proxy = Proxy(address=address, port=port)
        self._stack.callback(proxy.stop)
        return proxy

    def _announce_server(self) -> None:
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
                clusters.send_request(
                    self.server_host.address,
                    clusters.EGRESS_PORT,
                    "PUT",
                    "/v1/server",
                    body=json.dumps(body).encode(),
                    timeout_s=1,
                )
            self._stopped.wait(_ANNOUNCE_INTERVAL_S)


class Caller:
    """A caller of one request that writes the ledger.

    Args:
      fault_testbed: Testbed that the request is sent to.
      key: Key of the request in the ledger.
      repeatable: Whether the request may run more than once.
    """

    def __init__(
        self, *, fault_testbed: FaultTestbed, key: str, repeatable: bool = True
    ):
        self._testbed = fault_testbed
        self._key = key
        self._repeatable = repeatable
        self._ticket = ""
        self._sendings = 0
        self._attempt = 0

    def send_until_completed(self, port: int) -> bool:
        """Sends through a port first, then again directly to the entry."""
        is_completed = self.send(port)
        for _ in range(_MAX_RESENDS):
            if is_completed:
                return True
            self._attempt += 1
            is_completed = self.send(clusters.ENTRY_PORT)
        return is_completed

    def send(self, port: int) -> bool:
        """Sends once, and again with the ticket if one is required.

        Returns:
          Whether the request completed.
        """
        status = self._send_once(port)
        if status == 428:
            status = self._send_once(port)
        return status == 200

    def _send_once(self, port: int) -> int:
        label = ledger.Label.for_user(
            self._key,
            service=SERVICE,
            class_name="browse" if self._repeatable else "critical",
            repeatable=self._repeatable,
            sending=self._sendings,
        )
        self._sendings += 1
        ledger_entries = self._testbed.ledger_entries
        ledger_entries.append(ledger.Sent(at=time.monotonic(), label=label))
        try:
            response, body = self._send_http_request(port, label)
        except (OSError, http.client.HTTPException):
            ledger_entries.append(
                ledger.GaveUp(at=time.monotonic(), label=label)
            )
            return 0
        self._ticket = response.getheader("Bergamot-Ticket", self._ticket)
        outcome = response.getheader("Bergamot-Outcome", "")
        ledger_entries.append(
            ledger.Answered(
                at=time.monotonic(),
                label=label,
                outcome=outcome,
                error=response.getheader("Bergamot-Error", ""),
                status=response.status,
                body_key=ledger.parse_body_key(body)
                if outcome == "completed"
                else None,
            )
        )
        return response.status

    def _send_http_request(self, port: int, label: ledger.Label):
        is_direct = port == clusters.ENTRY_PORT
        address = self._testbed.entry_host.address if is_direct else "127.0.0.1"
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

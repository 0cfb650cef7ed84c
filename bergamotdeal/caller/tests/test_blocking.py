import contextlib
import http.server
import random
import socketserver
import threading

import pytest

from bergamotdeal.caller import blocking
from bergamotdeal.errors import core as errors


class ScriptedEntryHandler(http.server.BaseHTTPRequestHandler):
    """Request handler that sends the server's next scripted bytes."""

    protocol_version = "HTTP/1.1"

    def do_POST(self):
        size = int(self.headers.get("content-length", 0))
        self.rfile.read(size)
        self.server.received_headers.append(dict(self.headers))
        self.wfile.write(self.server.script.pop(0))
        self.close_connection = True

    def log_message(self, *_args):
        pass


@contextlib.contextmanager
def run_server(*script):
    server = socketserver.TCPServer(("127.0.0.1", 0), ScriptedEntryHandler)
    server.script = list(script)
    server.received_headers = []
    thread = threading.Thread(target=server.serve_forever, args=(0.01,))
    thread.start()
    try:
        yield server
    finally:
        server.shutdown()
        thread.join()
        server.server_close()


def build_answer(status, body=b"", **headers):
    lines = [f"HTTP/1.1 {status} X", f"content-length: {len(body)}"]
    for name, value in headers.items():
        lines.append(f"{name.replace('_', '-')}: {value}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def build_ticket_required():
    return build_answer(
        428,
        bergamot_outcome="not-run",
        bergamot_error="ticket-required",
        bergamot_ticket="dGlja2V0",
    )


def build_completed(body=b"done"):
    return build_answer(200, body, bergamot_outcome="completed")


def call_service(server, **kwargs):
    waits = []
    client = blocking.Client(
        entries=[server.server_address],
        rng=random.Random(1),
        sleep=waits.append,
    )
    outcome = client.call(
        service="orderline",
        method="POST",
        path="/orders",
        body=b"release",
        headers=[("content-type", "text/plain")],
        **kwargs,
    )
    return outcome, waits


def test_call_gets_ticket_and_uses_it():
    with run_server(build_ticket_required(), build_completed()) as server:
        outcome, waits = call_service(server)
    assert outcome.ok_value.body == b"done"
    assert [
        headers.get("bergamot-ticket") for headers in server.received_headers
    ] == [None, "dGlja2V0"]
    assert waits == [0.0]


@pytest.mark.parametrize("size", range(len(build_completed())))
def test_truncated_answer_is_requested_again_with_ticket(size):
    truncated = build_completed()[:size]
    with run_server(
        build_ticket_required(), truncated, build_completed(b"whole")
    ) as server:
        outcome, _ = call_service(server)
    assert outcome.ok_value.body == b"whole"
    assert server.received_headers[2]["bergamot-ticket"] == "dGlja2V0"
    assert server.received_headers[2]["bergamot-attempt"] == "1"


def test_call_waits_for_retry_after():
    shed_answer = build_answer(
        503,
        bergamot_outcome="not-run",
        bergamot_error="shed",
        retry_after="3",
    )
    with run_server(shed_answer, build_completed()) as server:
        outcome, waits = call_service(server)
    assert outcome.is_ok()
    assert waits[0] >= 3


def test_unreachable_entry_ends_call_as_not_run():
    with run_server() as server:
        pass
    outcome, _ = call_service(server)
    assert outcome.err_value.outcome is errors.Outcome.NOT_RUN

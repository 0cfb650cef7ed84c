import contextlib
import http.server
import random
import socketserver
import threading

import pytest

from bergamotdeal.caller import blocking
from bergamotdeal.errors import core as errors


class ScriptedEntry(http.server.BaseHTTPRequestHandler):
    """Sends the server's next scripted bytes after each request."""

    protocol_version = "HTTP/1.1"

    def do_POST(self):
        size = int(self.headers.get("content-length", 0))
        self.rfile.read(size)
        self.server.seen.append(dict(self.headers))
        self.wfile.write(self.server.script.pop(0))
        self.close_connection = True

    def log_message(self, *_args):
        pass


@contextlib.contextmanager
def serving(*script):
    server = socketserver.TCPServer(("127.0.0.1", 0), ScriptedEntry)
    server.script = list(script)
    server.seen = []
    thread = threading.Thread(target=server.serve_forever, args=(0.01,))
    thread.start()
    try:
        yield server
    finally:
        server.shutdown()
        thread.join()
        server.server_close()


def answer(status, body=b"", **headers):
    lines = [f"HTTP/1.1 {status} X", f"content-length: {len(body)}"]
    for name, value in headers.items():
        lines.append(f"{name.replace('_', '-')}: {value}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def required():
    return answer(
        428,
        bergamot_outcome="not-run",
        bergamot_error="ticket-required",
        bergamot_ticket="dGlja2V0",
    )


def completed(body=b"done"):
    return answer(200, body, bergamot_outcome="completed")


def call(server, **kwargs):
    waits = []
    client = blocking.Client(
        entries=[server.server_address],
        rng=random.Random(1),
        sleep=waits.append,
    )
    made = client.call(
        service="orderline",
        method="POST",
        path="/orders",
        body=b"release",
        headers=[("content-type", "text/plain")],
        **kwargs,
    )
    return made, waits


def test_one_call_gets_the_ticket_and_uses_it():
    with serving(required(), completed()) as server:
        made, waits = call(server)
    assert made.ok_value.body == b"done"
    assert [h.get("bergamot-ticket") for h in server.seen] == [None, "dGlja2V0"]
    assert waits == [0.0]


@pytest.mark.parametrize("size", range(len(completed())))
def test_a_cut_answer_is_never_taken_for_complete(size):
    cut = completed()[:size]
    with serving(required(), cut, completed(b"whole")) as server:
        made, _ = call(server)
    assert made.ok_value.body == b"whole"
    assert server.seen[2]["bergamot-ticket"] == "dGlja2V0"
    assert server.seen[2]["bergamot-attempt"] == "1"


def test_retry_after_is_waited_for():
    shed = answer(
        503,
        bergamot_outcome="not-run",
        bergamot_error="shed",
        retry_after="3",
    )
    with serving(shed, completed()) as server:
        made, waits = call(server)
    assert made.is_ok()
    assert waits[0] >= 3


def test_an_unreachable_entry_leaves_the_request_not_run():
    with serving() as server:
        pass
    made, _ = call(server)
    assert made.err_value.outcome is errors.Outcome.NOT_RUN

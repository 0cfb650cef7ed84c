import http.server
import threading
import urllib.parse

from click import testing
import pytest

from bergamotdeal.cli import main
from bergamotdeal.node import status
from bergamotdeal.telemetry import timeline


class FakeNode:
    """Admin listener of a node with scripted answers."""

    def __init__(self, host_id, token=""):
        self.host_id = host_id
        self.token = token
        self.requests = []
        self.members = []
        self.timeline_entries = []
        self.status_overrides = {}
        self.on_drain = None
        self.put_in_force_answer = (200, b'{"epoch": 5}')
        node = self

        class Handler(http.server.BaseHTTPRequestHandler):
            def log_message(self, *arguments):
                pass

            def answer(self):
                length = int(self.headers.get("content-length") or 0)
                body = self.rfile.read(length)
                code, content = node.answer(
                    self.command, self.path, self.headers, body
                )
                self.send_response(code)
                self.send_header("content-length", str(len(content)))
                self.end_headers()
                self.wfile.write(content)

            do_GET = do_PUT = do_POST = answer  # noqa: N815

        self.server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.port = self.server.server_address[1]
        self.thread = threading.Thread(
            target=self.server.serve_forever, args=(0.01,), daemon=True
        )
        self.thread.start()

    def answer(self, method, target, headers, body):
        self.requests.append((method, target, body))
        authorization = headers.get("authorization")
        if self.token and authorization != f"Bearer {self.token}":
            return 401, b"{}"
        path, _, query = target.partition("?")
        if path == "/v1/status":
            return 200, status.encode(self.status())
        if path == "/v1/timeline":
            query_by_name = dict(urllib.parse.parse_qsl(query))
            request = query_by_name.get("request")
            matching = [
                entry
                for entry in self.timeline_entries
                if not request or entry.request == request
            ]
            return 200, timeline.encode(matching)
        if path == "/v1/drain":
            if self.on_drain:
                self.on_drain()
            return 202, b"{}"
        if path == "/v1/in-force":
            return self.put_in_force_answer
        return 404, b'{"error": "not-found", "message": "No such path."}'

    def status(self):
        values = {
            "host_id": self.host_id,
            "incarnation": self.host_id.encode().hex(),
            "data_centre": "prai",
            "region": "default",
            "ready": True,
            "epoch": 4,
            "preset_name": "ordinary",
            "members": self.members,
        }
        return status.NodeStatus(**(values | self.status_overrides))

    def member(self, **overrides):
        values = {
            "host_id": self.host_id,
            "incarnation": self.host_id.encode().hex(),
            "state": "alive",
            "data_centre": "prai",
            "region": "default",
            "address": "127.0.0.1",
            "admin_port": self.port,
            "service": self.host_id.split("-")[0],
        }
        return status.MemberStatus(**(values | overrides))

    def stop(self):
        self.server.shutdown()
        self.server.server_close()
        self.thread.join()


class FakeFleet:
    """Fleet of fake nodes that list one another as members."""

    def __init__(self):
        self.nodes_by_id = {}

    def add(self, host_id, **options):
        node = FakeNode(host_id, **options)
        self.nodes_by_id[host_id] = node
        members = [n.member() for n in self.nodes_by_id.values()]
        for other in self.nodes_by_id.values():
            other.members = members
        return node

    def run(self, *arguments, node=None, stdin=None, **environment):
        first_node = node or next(iter(self.nodes_by_id.values()))
        variables = {"BERGAMOTDEAL_NODE": f"127.0.0.1:{first_node.port}"}
        return testing.CliRunner().invoke(
            main.main,
            list(arguments),
            env=variables | environment,
            input=stdin,
        )


@pytest.fixture
def fleet():
    fake_fleet = FakeFleet()
    yield fake_fleet
    for node in fake_fleet.nodes_by_id.values():
        if node.thread.is_alive():
            node.stop()

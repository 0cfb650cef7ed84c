"""The examples on the callers' page give the results printed there."""

import contextlib
import http.client
import io
import re
import shlex
import textwrap
import urllib.parse

import pytest

from standins import cluster
from tools import build_binary

PAGE = (build_binary.ROOT / "docs" / "callers.md").read_text()
PRESET = build_binary.ROOT / "examples" / "lintasan" / "ordinary.ini"
ELLIPSIS = "..."
_CURL_EXAMPLE = re.compile(
    r"^    \$ (curl .*?)\n    (HTTP/.*?)\n\n", re.M | re.S
)
_CLIENT_EXAMPLE = re.compile(
    r"\n\n((?:    [^\n]*\n|\n)*?    client = .*?)\n\n\S", re.S
)
_ENTRIES_ARGUMENT = re.compile(r"entries=\[.*?\]", re.S)


@pytest.fixture(scope="module")
def entry(tmp_path_factory):
    """Yields the address and port of a running fleet's entry listener."""
    running_cluster = cluster.Cluster(
        folder=tmp_path_factory.mktemp("callers"), preset=PRESET.read_text()
    )
    hosts = [
        running_cluster.add_host(
            f"feederdesk-{number}", "prai", service="feederdesk"
        )
        for number in (1, 2)
    ]
    try:
        running_cluster.start()
        # A node can't route a call until it knows a server of the service.
        for host in hosts:
            cluster.wait_for(
                lambda host=host: (
                    _count_known_servers(running_cluster, host) == len(hosts)
                ),
                f"servers known to {host.host_id}",
            )
        yield hosts[0].address, cluster.ENTRY_PORT
    finally:
        running_cluster.stop()


def _count_known_servers(running_cluster, host):
    members = running_cluster.status(host).get("members", [])
    return sum(bool(member["service"]) for member in members)


def _send_curl_request(command, entry):
    """Sends the request of a curl command line and returns its answer."""
    words = iter(shlex.split(command.replace("\\\n", " "))[1:])
    method, headers_by_name, body, url = "GET", {}, None, ""
    for word in words:
        match word:
            case "-i":
                pass
            case "-X":
                method = next(words)
            case "-H":
                name, _, value = next(words).partition(": ")
                headers_by_name[name] = value
            case "-d":
                body = next(words).encode()
            case _:
                url = word
    address, port = entry
    target = urllib.parse.urlsplit(url.replace("$ENTRY", f"{address}:{port}"))
    connection = http.client.HTTPConnection(target.hostname, target.port)
    try:
        connection.request(method, target.path, body, headers_by_name)
        response = connection.getresponse()
        response.read()
        status = f"HTTP/1.1 {response.status} {response.reason}"
        return status, dict(response.getheaders())
    finally:
        connection.close()


def test_the_curl_examples(entry):
    examples = _CURL_EXAMPLE.findall(PAGE)
    assert len(examples) >= 2
    values_by_placeholder = {}
    for command, expected in examples:
        for placeholder, value in values_by_placeholder.items():
            command = command.replace(placeholder, value)
        status, headers = _send_curl_request(command, entry)
        headers = {name.lower(): value for name, value in headers.items()}
        status_line, *header_lines = [
            line.strip() for line in expected.split("\n")
        ]
        assert status == status_line
        for line in header_lines:
            name, _, value = line.partition(": ")
            if value.endswith(ELLIPSIS):
                values_by_placeholder[value] = headers[name.lower()]
            else:
                assert headers[name.lower()] == value
    assert values_by_placeholder


def test_library_example_prints_status_200(entry):
    (block,) = _CLIENT_EXAMPLE.findall(PAGE)
    code = textwrap.dedent(block)
    address, port = entry
    code, count = _ENTRIES_ARGUMENT.subn(
        f'entries=[("{address}", {port})]', code
    )
    assert count == 1
    printed = io.StringIO()
    with contextlib.redirect_stdout(printed):
        exec(compile(code, "docs/callers.md", "exec"), {})
    assert printed.getvalue().startswith("200 ")

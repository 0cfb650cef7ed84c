"""The examples of the callers' page do what the page says."""

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
CUT = "..."
_EXAMPLE = re.compile(r"^    \$ (curl .*?)\n    (HTTP/.*?)\n\n", re.M | re.S)
_PYTHON = re.compile(r"\n\n((?:    [^\n]*\n|\n)*?    client = .*?)\n\n\S", re.S)
_ENTRIES = re.compile(r"entries=\[.*?\]", re.S)


@pytest.fixture(scope="module")
def entry(tmp_path_factory):
    """Address and port of the entry face of a running fleet."""
    made = cluster.Cluster(
        folder=tmp_path_factory.mktemp("callers"), preset=PRESET.read_text()
    )
    hosts = [
        made.add(f"feederdesk-{number}", "prai", service="feederdesk")
        for number in (1, 2)
    ]
    try:
        made.start()
        # Until the other node knows the server its calls have nowhere to go.
        for host in hosts:
            cluster.wait_for(
                lambda host=host: _servers_known_to(made, host) == len(hosts),
                f"servers known to {host.host_id}",
            )
        yield hosts[0].address, cluster.ENTRY_PORT
    finally:
        made.stop()


def _servers_known_to(made, host):
    members = made.status(host).get("members", [])
    return sum(bool(member["service"]) for member in members)


def _run_curl(command, entry):
    """Makes the request of a curl command line without curl."""
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
    examples = _EXAMPLE.findall(PAGE)
    assert len(examples) >= 2
    values_by_cut = {}
    for command, expected in examples:
        for cut, value in values_by_cut.items():
            command = command.replace(cut, value)
        status, headers = _run_curl(command, entry)
        headers = {name.lower(): value for name, value in headers.items()}
        first, *lines = [line.strip() for line in expected.split("\n")]
        assert status == first
        for line in lines:
            name, _, value = line.partition(": ")
            if value.endswith(CUT):
                values_by_cut[value] = headers[name.lower()]
            else:
                assert headers[name.lower()] == value
    assert values_by_cut


def test_library_example_prints_status_200(entry):
    (block,) = _PYTHON.findall(PAGE)
    code = textwrap.dedent(block)
    address, port = entry
    code, count = _ENTRIES.subn(f'entries=[("{address}", {port})]', code)
    assert count == 1
    printed = io.StringIO()
    with contextlib.redirect_stdout(printed):
        exec(compile(code, "docs/callers.md", "exec"), {})
    assert printed.getvalue().startswith("200 ")

import json

import hypothesis
from hypothesis import strategies
import pytest
import result
from twisted.internet import testing

from bergamotdeal.calls import messages
from bergamotdeal.node import admin
from bergamotdeal.node import status
from bergamotdeal.telemetry import catalogue
from bergamotdeal.telemetry import ring
from bergamotdeal.telemetry import timeline

STATUS = status.NodeStatus(
    host_id="kitview-1",
    incarnation="ab" * 16,
    data_centre="prai",
    region="default",
    ready=True,
    members=[
        status.MemberStatus(
            host_id="orderline-1",
            incarnation="cd" * 16,
            state="alive",
            data_centre="prai",
            region="default",
            address="127.0.0.2",
        )
    ],
    counters_by_name={"calls.entry": 3},
)


class _Node:
    def __init__(self):
        self.drains = 0
        self.offers = []

    def status(self, *, with_members):
        if with_members is None:
            raise AssertionError
        return STATUS

    def start_drain(self):
        self.drains += 1

    def offer_in_force(self, data):
        self.offers.append(data)
        if data == b"{}":
            return result.Err("no epoch")
        if data == b"bug":
            raise RuntimeError("bug")
        return result.Ok(7)


class _Face:
    def __init__(self, token=""):
        self.node = _Node()
        self.events = ring.Ring(capacity=100)
        self.records = []
        self._factory = admin.AdminListener(
            node=self.node,
            host_id="kitview-1",
            events=self.events,
            token=token,
            record=self.records.append,
        ).factory()

    def add(self, stamp, code, request="", **fields):
        entry = messages.Record(
            code=code, user_request_id=request, fields=fields
        )
        self.events.add(stamp, entry)

    def send(self, data):
        channel = self._factory.buildProtocol(None)
        transport = testing.StringTransport()
        channel.makeConnection(transport)
        channel.dataReceived(data)
        return transport.value()

    def ask(self, method, target, body=b"", **headers):
        head = f"{method} {target} HTTP/1.1\r\nhost: a\r\n"
        for name, value in headers.items():
            head += f"{name}: {value}\r\n"
        head += f"content-length: {len(body)}\r\n\r\n"
        answer = self.send(head.encode() + body)
        top, _, content = answer.partition(b"\r\n\r\n")
        return int(top.split()[1]), content


def test_status_reads_back():
    code, body = _Face().ask("GET", "/v1/status")
    assert code == 200
    assert status.decode(body).unwrap() == STATUS


def test_metrics_are_the_counters():
    code, body = _Face().ask("GET", "/v1/metrics")
    assert (code, json.loads(body)) == (200, {"calls.entry": 3})


def test_timeline_filters_by_request_event_host_and_time():
    face = _Face()
    face.add(1, catalogue.EventCode.CALL_ARRIVED, "r1")
    face.add(2, catalogue.EventCode.CALL_SHED, "r1", place="entry")
    face.add(3, catalogue.EventCode.CALL_SHED, "r2")
    face.add(4, catalogue.EventCode.MEMBER_JOINED, host="orderline-1")

    def stamps(query):
        code, body = face.ask("GET", f"/v1/timeline?{query}")
        assert code == 200
        return [e.stamp for e in timeline.decode(body).unwrap()]

    assert stamps("") == [1, 2, 3, 4]
    assert stamps("request=r1") == [1, 2]
    assert stamps("event=call-shed") == [2, 3]
    assert stamps("event=300&request=r1") == [2]
    assert stamps("host=orderline-1") == [4]
    assert stamps("host=kitview-1&since=3") == [3, 4]
    assert stamps("limit=1") == [4]


@pytest.mark.parametrize(
    "query", ["event=nothing", "since=-1", "since=x", "limit=-", "rqeuest=a"]
)
def test_a_malformed_query_is_refused(query):
    code, body = _Face().ask("GET", f"/v1/timeline?{query}")
    assert code == 400
    assert json.loads(body)["error"] == "malformed-request"


def test_drain_is_handed_on():
    face = _Face()
    assert face.ask("POST", "/v1/drain")[0] == 202
    assert face.node.drains == 1


def test_an_accepted_epoch_is_handed_on():
    face = _Face()
    code, body = face.ask("PUT", "/v1/in-force", b"{...}")
    assert (code, json.loads(body)) == (200, {"epoch": 7})
    assert face.node.offers == [b"{...}"]
    assert face.ask("PUT", "/v1/in-force", b"{}")[0] == 400


def test_a_failure_inside_is_answered_and_recorded():
    face = _Face()
    code, body = face.ask("PUT", "/v1/in-force", b"bug")
    assert code == 500
    assert json.loads(body)["error"] == "internal"
    assert "RuntimeError" in face.records[0].fields["trace"]
    assert face.ask("GET", "/v1/status")[0] == 200


@pytest.mark.parametrize(
    ("headers", "code"),
    [
        ({}, 401),
        ({"authorization": "Bearer wrong"}, 401),
        ({"authorization": "Bearer \xff"}, 401),
        ({"authorization": "secret"}, 401),
        ({"authorization": "Bearer secret"}, 202),
        ({"authorization": "Bearer secret", "origin": "http://x"}, 401),
    ],
)
def test_a_token_is_required(headers, code):
    face = _Face(token="secret")
    assert face.ask("POST", "/v1/drain", **headers)[0] == code
    assert face.node.drains == (1 if code == 202 else 0)


def test_a_page_in_a_browser_cannot_drain_a_loopback_node():
    face = _Face()
    assert face.ask("POST", "/v1/drain", origin="http://x")[0] == 401
    assert face.node.drains == 0


@pytest.mark.parametrize(
    ("method", "target"),
    [("GET", "/v1/drain"), ("POST", "/v1/status"), ("GET", "/"), ("PUT", "*")],
)
def test_other_paths_are_not_found(method, target):
    assert _Face().ask(method, target)[0] == 404


@hypothesis.given(strategies.binary(max_size=300))
def test_no_input_is_fatal(data):
    face = _Face()
    face.send(data)
    face.send(b"GET /v1/timeline?" + data + b" HTTP/1.1\r\n\r\n")
    assert face.ask("GET", "/v1/status")[0] == 200
    assert face.node.drains == 0


@hypothesis.given(strategies.binary(max_size=200))
def test_any_bytes_decode_or_are_refused(data):
    assert isinstance(status.decode(data), result.Ok | result.Err)
    assert isinstance(timeline.decode(data), result.Ok | result.Err)

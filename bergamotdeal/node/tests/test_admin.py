"""Tests of the admin listener: routing, authorization and event queries."""

import json

import hypothesis
from hypothesis import strategies
import pytest
import result
from twisted.internet import testing

from bergamotdeal.node import admin
from bergamotdeal.node import status
from bergamotdeal.telemetry import catalogue
from bergamotdeal.telemetry import records
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


class _FakeNode:
    def __init__(self):
        self.drain_count = 0
        self.offered_objects = []

    def status(self, *, with_members):
        if with_members is None:
            raise AssertionError
        return STATUS

    def start_drain(self):
        self.drain_count += 1

    def offer_in_force(self, data):
        self.offered_objects.append(data)
        if data == b"{}":
            return result.Err("no epoch")
        if data == b"bug":
            raise RuntimeError("bug")
        return result.Ok(7)


class _Listener:
    def __init__(self, token=""):
        self.node = _FakeNode()
        self.events = ring.EventRing(capacity=100)
        self.records = []
        self._factory = admin.AdminListener(
            node=self.node,
            host_id="kitview-1",
            events=self.events,
            token=token,
            record=self.records.append,
        ).build_factory()

    def add_event(self, stamp, code, request="", **fields):
        entry = records.EventRecord(
            code=code, user_request_id=request, fields=fields
        )
        self.events.add(stamp, entry)

    def send(self, data):
        channel = self._factory.buildProtocol(None)
        transport = testing.StringTransport()
        channel.makeConnection(transport)
        channel.dataReceived(data)
        return transport.value()

    def request(self, method, target, body=b"", **headers):
        head = f"{method} {target} HTTP/1.1\r\nhost: a\r\n"
        for name, value in headers.items():
            head += f"{name}: {value}\r\n"
        head += f"content-length: {len(body)}\r\n\r\n"
        answer = self.send(head.encode() + body)
        head_lines, _, content = answer.partition(b"\r\n\r\n")
        return int(head_lines.split()[1]), content


def test_get_status_returns_a_decodable_status():
    status_code, body = _Listener().request("GET", "/v1/status")
    assert status_code == 200
    assert status.decode(body).unwrap() == STATUS


def test_get_metrics_returns_the_counters():
    status_code, body = _Listener().request("GET", "/v1/metrics")
    assert (status_code, json.loads(body)) == (200, {"calls.entry": 3})


def test_timeline_filters_by_request_event_host_and_time():
    listener = _Listener()
    listener.add_event(1, catalogue.EventCode.CALL_ARRIVED, "r1")
    listener.add_event(2, catalogue.EventCode.CALL_SHED, "r1", place="entry")
    listener.add_event(3, catalogue.EventCode.CALL_SHED, "r2")
    listener.add_event(4, catalogue.EventCode.MEMBER_JOINED, host="orderline-1")

    def stamps(query):
        status_code, body = listener.request("GET", f"/v1/timeline?{query}")
        assert status_code == 200
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
def test_timeline_with_malformed_query_returns_400(query):
    status_code, body = _Listener().request("GET", f"/v1/timeline?{query}")
    assert status_code == 400
    assert json.loads(body)["error"] == "malformed-request"


def test_post_drain_starts_the_drain():
    listener = _Listener()
    assert listener.request("POST", "/v1/drain")[0] == 202
    assert listener.node.drain_count == 1


def test_put_in_force_passes_the_object_to_the_node():
    listener = _Listener()
    status_code, body = listener.request("PUT", "/v1/in-force", b"{...}")
    assert (status_code, json.loads(body)) == (200, {"epoch": 7})
    assert listener.node.offered_objects == [b"{...}"]
    assert listener.request("PUT", "/v1/in-force", b"{}")[0] == 400


def test_unexpected_exception_returns_500_and_is_recorded():
    listener = _Listener()
    status_code, body = listener.request("PUT", "/v1/in-force", b"bug")
    assert status_code == 500
    assert json.loads(body)["error"] == "internal"
    assert "RuntimeError" in listener.records[0].fields["trace"]
    assert listener.request("GET", "/v1/status")[0] == 200


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
def test_drain_requires_the_token(headers, code):
    listener = _Listener(token="secret")
    assert listener.request("POST", "/v1/drain", **headers)[0] == code
    assert listener.node.drain_count == (1 if code == 202 else 0)


def test_drain_with_origin_header_is_unauthorized():
    listener = _Listener()
    assert listener.request("POST", "/v1/drain", origin="http://x")[0] == 401
    assert listener.node.drain_count == 0


@pytest.mark.parametrize(
    ("method", "target"),
    [("GET", "/v1/drain"), ("POST", "/v1/status"), ("GET", "/"), ("PUT", "*")],
)
def test_unknown_path_or_method_returns_404(method, target):
    assert _Listener().request(method, target)[0] == 404


@hypothesis.given(strategies.binary(max_size=300))
def test_listener_survives_arbitrary_input(data):
    listener = _Listener()
    listener.send(data)
    listener.send(b"GET /v1/timeline?" + data + b" HTTP/1.1\r\n\r\n")
    assert listener.request("GET", "/v1/status")[0] == 200
    assert listener.node.drain_count == 0


@hypothesis.given(strategies.binary(max_size=200))
def test_decoders_return_a_result_for_arbitrary_bytes(data):
    assert isinstance(status.decode(data), result.Ok | result.Err)
    assert isinstance(timeline.decode(data), result.Ok | result.Err)

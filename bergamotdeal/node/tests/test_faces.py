"""Tests of the call listeners: parsing, refusal of bad requests, draining."""

import itertools
import random

import pytest
from twisted.internet import testing

from bergamotdeal.calls import messages
from bergamotdeal.errors import core as errors
from bergamotdeal.node import faces
from bergamotdeal.organisations import keys
from bergamotdeal.presets import model
from bergamotdeal.rpc import core as rpc
from bergamotdeal.wire import codec
from bergamotdeal.wire import messages as wire


class Harness:
    def __init__(self, face=messages.Face.ENTRY, ready=True, admission=None):
        self.own_targets = []
        self.events = []
        self.listener = faces.CallListener(
            face=face,
            post=self.events.append,
            is_ready=lambda: ready,
            rng=random.Random(1),
            origin_ids=itertools.count(1),
            admission=admission,
            handle_node_request=(
                self._handle_own if face is messages.Face.EGRESS else None
            ),
        )
        self.reactor = testing.MemoryReactorClock()
        self.listener.start(
            reactor=self.reactor, address="127.0.0.1", port=7000
        )
        self.connect()

    def _handle_own(self, exchange, request):
        del exchange
        self.own_targets.append(request.target)

    def connect(self):
        factory = self.reactor.tcpServers[0][1]
        self.channel = factory.buildProtocol(None)
        self.channel.callLater = self.reactor.callLater
        self.transport = testing.StringTransport()
        self.channel.makeConnection(self.transport)

    def send(self, data):
        self.channel.dataReceived(data)
        return self.response()

    def response(self):
        head, _, body = self.transport.value().partition(b"\r\n\r\n")
        lines = head.decode().split("\r\n")
        headers_by_name = dict(line.split(": ", 1) for line in lines[1:])
        status = int(lines[0].split()[1]) if head else 0
        return status, headers_by_name, body

    def send_answer(self, origin_id, body=b"done"):
        self.listener.send_reply(
            messages.ReplyToCaller(
                origin_id=origin_id,
                user_request_id="r-1",
                answer=rpc.Answer(
                    outcome=errors.Outcome.COMPLETED, body=body, ticket=b"\xfft"
                ),
            )
        )


def request(target="/kitview/kits", *, method="GET", headers="", body=b""):
    head = f"{method} {target} HTTP/1.1\r\nHost: x\r\n{headers}\r\n"
    return head.encode() + body


def test_call_is_posted_and_answered():
    harness = Harness()
    harness.send(
        request(
            "/kitview/kits?line=3",
            method="POST",
            headers="Bergamot-Request-Id: r-1\r\nBergamot-Deadline-Ms: 800\r\n"
            "Bergamot-Attempt: 2\r\nContent-Length: 2\r\nX-Line: 3\r\n",
            body=b"{}",
        )
    )
    (event,) = harness.events
    assert event.request == rpc.Request(
        service="kitview",
        method="POST",
        path="/kits?line=3",
        headers=[("x-line", "3")],
        body=b"{}",
    )
    assert (event.user_request_id, event.attempt) == ("r-1", 2)
    assert event.deadline_ms == 800
    harness.send_answer(event.origin_id)
    status, headers_by_name, body = harness.response()
    assert (status, body) == (200, b"done")
    assert headers_by_name["bergamot-outcome"] == "completed"
    assert faces.decode_ticket(headers_by_name["bergamot-ticket"]).ok_value == (
        b"\xfft"
    )


def test_entry_ignores_internal_headers_of_callers():
    harness = Harness()
    harness.send(
        request(
            headers="Bergamot-Context: run-1\r\nBergamot-Secret: 1\r\n"
            "Idempotency-Key: k\r\n"
        )
    )
    (event,) = harness.events
    assert event.context == ""
    assert event.idempotency_key == ""
    assert event.request.headers == [("idempotency-key", "k")]


def test_egress_accepts_context_and_idempotency_key():
    harness = Harness(face=messages.Face.EGRESS)
    harness.send(
        request(headers="Bergamot-Context: run-1\r\nIdempotency-Key: k\r\n")
    )
    (event,) = harness.events
    assert (event.context, event.idempotency_key) == ("run-1", "k")


INVALID_REQUESTS = [
    (b"NONSENSE\r\n\r\n", 400, "malformed-request"),
    (b"GET  /a HTTP/1.1 x\r\n\r\n", 400, "malformed-request"),
    (request("//"), 400, "malformed-request"),
    (request("/" + "a" * 9000), 400, "malformed-request"),
    (request(headers="Content-Length: x\r\n"), 400, "malformed-request"),
    (
        request(headers="Content-Length: 1\r\nTransfer-Encoding: chunked\r\n"),
        400,
        "malformed-request",
    ),
    (
        request(headers="Transfer-Encoding: chunked\r\n", body=b"zz\r\n"),
        400,
        "malformed-request",
    ),
    (request(headers="Bergamot-Deadline-Ms: 0\r\n"), 400, "header-invalid"),
    (request(headers="Bergamot-Deadline-Ms: -1\r\n"), 400, "header-invalid"),
    (request(headers="Bergamot-Attempt: x\r\n"), 400, "header-invalid"),
    (request(headers="Bergamot-Ticket: %%\r\n"), 400, "header-invalid"),
    (
        request(headers=f"Bergamot-Request-Id: {'a' * 200}\r\n"),
        400,
        "header-invalid",
    ),
    (request(headers=f"X: {'a' * 40_000}\r\n"), 431, "headers-too-large"),
    (
        request(headers="".join(f"X{i}: {'a' * 90}\r\n" for i in range(400))),
        431,
        "headers-too-large",
    ),
    (request(headers="Content-Length: 99999999\r\n"), 413, "body-too-large"),
    (
        request(
            headers="Transfer-Encoding: chunked\r\n",
            body=b"fffff\r\n" + b"x" * 0xFFFFF + b"\r\nff\r\n" + b"x" * 255,
        ),
        413,
        "body-too-large",
    ),
]


@pytest.mark.parametrize(("data", "status", "kind"), INVALID_REQUESTS)
def test_invalid_request_is_refused_and_the_listener_continues(
    data, status, kind
):
    harness = Harness()
    received_status, headers_by_name, _ = harness.send(data)
    assert received_status == status
    assert headers_by_name["bergamot-error"] == kind
    assert harness.events == []
    harness.connect()
    harness.send(request())
    assert len(harness.events) == 1


@pytest.mark.parametrize(
    "headers",
    ["Bergamot-Attempt: 1\r\n", "Bergamot-Ticket: dA==\r\n"],
)
def test_invalid_retry_is_refused_with_outcome_unknown(headers):
    harness = Harness()
    _, headers_by_name, _ = harness.send(
        request(headers=headers + "Bergamot-Deadline-Ms: x\r\n")
    )
    assert headers_by_name["bergamot-outcome"] == "unknown"


def test_call_is_refused_while_the_node_is_not_ready():
    harness = Harness(ready=False)
    status, headers_by_name, _ = harness.send(request())
    assert status == 503
    assert headers_by_name["bergamot-error"] == "not-ready"
    assert headers_by_name["bergamot-outcome"] == "not-run"


def test_disconnected_caller_is_reported_once():
    harness = Harness()
    harness.send(request())
    harness.channel.connectionLost(None)
    harness.channel.connectionLost(None)
    assert [type(event) for event in harness.events] == [
        messages.CallArrived,
        messages.CallerDisconnected,
    ]
    harness.send_answer(1)
    assert harness.transport.value() == b""


def test_answers_follow_the_order_of_pipelined_requests():
    harness = Harness()
    harness.send(request() * 2)
    assert len(harness.events) == 1
    harness.send_answer(1, b"first")
    assert len(harness.events) == 2
    harness.send_answer(2, b"second")
    data = harness.transport.value()
    assert data.index(b"first") < data.index(b"second")


def test_draining_listener_closes_connection_after_current_response():
    harness = Harness()
    harness.send(request())
    harness.listener.start_draining()
    assert not harness.transport.disconnecting
    harness.send_answer(1)
    assert harness.response()[1]["connection"] == "close"
    assert harness.transport.disconnecting


def test_body_too_large_for_a_frame_is_refused_at_the_entry():
    harness = Harness()
    harness.listener.apply_preset(
        model.Preset(
            name="p",
            limits=model.RequestLimits(body_bytes=64 * 1024 * 1024),
        )
    )
    size = rpc.MAX_REQUEST_BODY_BYTES
    harness.send(
        request(headers=f"Content-Length: {size}\r\n", body=b"x" * size)
    )
    (event,) = harness.events
    frame = codec.encode(
        wire.CallFrame(
            call=rpc.Call(
                number=1,
                user_request_id="r",
                call_id="r",
                request=event.request,
                deadline_ms=1,
            )
        )
    )
    assert len(frame) < codec.MAX_FRAME_BYTES
    harness.connect()
    status, _, _ = harness.send(
        request(headers=f"Content-Length: {size + 1}\r\n")
    )
    assert status == 413


@pytest.mark.parametrize("face", list(messages.Face))
def test_key_is_replaced_by_its_digest_if_the_preset_has_organisations(face):
    # Guards against keys that reach a backend server, and against a loss of
    # its own credentials in fleets without organisations.
    harness = Harness(face)
    headers = (
        "Authorization: Bearer k-1\r\nBergamot-Organisation: forged\r\n"
        "Connection: keep-alive\r\n"
    )
    organisation = model.Organisation(name="kilo")
    for organisations in ((), (organisation,), ()):
        harness.listener.apply_preset(
            model.Preset(name="p", organisations=organisations)
        )
        harness.send(request(headers=headers))
        harness.send_answer(harness.events[-1].origin_id)
    before, during, after = harness.events
    assert before.request.headers == [("authorization", "Bearer k-1")]
    assert after.request.headers == before.request.headers
    assert before.key_digest is None
    assert during.request.headers == []
    assert during.key_digest == keys.digest_key("k-1")


class FullMemory:
    """Admission of a node without memory."""

    def __init__(self):
        self.arrivals = []

    def is_short(self, size_bytes):
        return True

    def has_room_for_request(self, size_bytes, arrival):
        self.arrivals.append(arrival)
        return False


# Guards against callers who are told that a request did not run although an
# earlier attempt of it may have.
@pytest.mark.parametrize(
    ("attempt", "outcome"), [("0", "not-run"), ("1", "unknown")]
)
def test_request_without_memory_is_refused_truthfully(attempt, outcome):
    admission = FullMemory()
    harness = Harness(admission=admission)
    status, headers_by_name, _ = harness.send(
        request(
            method="POST",
            headers="Bergamot-Deadline-Ms: 600\r\nContent-Length: 2\r\n"
            f"Bergamot-Attempt: {attempt}\r\n",
            body=b"{}",
        )
    )
    assert (status, headers_by_name["bergamot-outcome"]) == (503, outcome)
    assert headers_by_name["bergamot-error"] == "memory-exhausted"
    assert 0 < float(headers_by_name["retry-after"]) <= 0.2
    assert harness.events == []
    assert admission.arrivals[0].request.path == "/kits"
    assert harness.listener.held_bytes == 0


def test_malformed_request_without_memory_is_refused():
    admission = FullMemory()
    harness = Harness(admission=admission)
    status, headers_by_name, _ = harness.send(
        request(headers="Bergamot-Deadline-Ms: x\r\n")
    )
    assert status == 503
    assert 0 < float(headers_by_name["retry-after"]) <= faces.MAX_RETRY_DELAY_S
    assert admission.arrivals == [None]


# Guards against a backend server that counts as silent, since its announcements
# are refused while callers take the memory.
def test_announcement_is_accepted_without_memory():
    harness = Harness(face=messages.Face.EGRESS, admission=FullMemory())
    harness.send(
        request(
            "/v1/server",
            method="PUT",
            headers="Content-Length: 2\r\n",
            body=b"{}",
        )
    )
    assert harness.own_targets == ["/v1/server"]
    status, _, _ = harness.send(request())
    assert status == 0  # Waits behind the announcement.

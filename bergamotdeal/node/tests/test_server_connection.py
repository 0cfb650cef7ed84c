"""Tests of server connections: answers are delivered complete or not at all."""

import hypothesis
from hypothesis import strategies
import pytest
from twisted.internet import error
from twisted.internet import task
from twisted.internet import testing
from twisted.python import failure

from bergamotdeal.calls import messages
from bergamotdeal.memory import core as memory
from bergamotdeal.node import connection_buffers
from bergamotdeal.node import dialect as dialects
from bergamotdeal.node import server_connection
from bergamotdeal.rpc import core as rpc

LENGTH_DELIMITED = (
    b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Kit: 7\r\n\r\nhello"
)
CHUNKED = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n"
)
CLOSE_DELIMITED = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhello"


class Harness:
    def __init__(self, method="GET", dialect=None, buffers=None):
        self.events = []
        self.idle = []
        self.closed = []
        self.conditions = []
        self.connection = server_connection.ServerConnection(
            on_idle=self.idle.append,
            on_closed=self.closed.append,
            post=self.events.append,
            dialect=dialect,
            on_condition=lambda _, reported: self.conditions.append(reported),
            buffers=buffers,
        )
        self._method = method
        self.transport = testing.StringTransport()
        self.connection.makeConnection(self.transport)
        self.send_request()

    def send_request(self):
        self.connection.send_request(
            messages.StartRun(
                run_id=4,
                request=rpc.Request(
                    service="kitview",
                    method=self._method,
                    path="/kits",
                    headers=[("accept", "*/*")],
                    body=b"",
                ),
                user_request_id="r-1",
                context="c-1",
                deadline_ms=100,
            )
        )

    def lose_connection(self):
        self.connection.connectionLost()


@pytest.mark.parametrize(
    "answer", [LENGTH_DELIMITED, CHUNKED], ids=["length", "chunked"]
)
def test_complete_answer_is_delivered(answer):
    harness = Harness()
    for byte in answer:
        harness.connection.dataReceived(bytes([byte]))
    (event,) = harness.events
    assert isinstance(event, messages.RunAnswered)
    assert (event.run_id, event.status, event.body) == (4, 200, b"hello")
    assert harness.idle == [harness.connection]


@pytest.mark.parametrize(
    "status_line",
    [
        b"HTTP/1.1 000 None",
        b"HTTP/1.1 099 Low",
        b"HTTP/1.1 101 Switching Protocols",
        b"HTTP/1.1 600 High",
        b"HTTP/2.0 200 OK",
        b"HTTP/0.9 200 OK",
    ],
)
def test_invalid_status_line_fails_the_run_before_the_body(status_line):
    """Guards against a wrong status that is an answer or an interim one."""
    harness = Harness()
    harness.connection.dataReceived(
        status_line + b"\r\nContent-Length: 5\r\n\r\n"
    )
    (event,) = harness.events
    assert event.failure is messages.RunFailure.INVALID
    assert harness.closed == [harness.connection]
    (condition,) = harness.conditions
    assert "is not a status line" in condition.unwrap_err()


@pytest.mark.parametrize("interim", [100, 102, 103, 199])
def test_interim_answers_are_skipped(interim):
    harness = Harness()
    harness.connection.dataReceived(b"HTTP/1.1 %d Wait\r\n\r\n" % interim)
    assert harness.events == []
    harness.connection.dataReceived(LENGTH_DELIMITED)
    (event,) = harness.events
    assert (event.status, event.body) == (200, b"hello")


@pytest.mark.parametrize(
    "answer",
    [LENGTH_DELIMITED, CHUNKED, CLOSE_DELIMITED + b" "],
    ids=["length", "chunked", "no length"],
)
def test_truncated_answer_is_never_delivered(answer):
    for length in range(len(answer)):
        harness = Harness()
        harness.connection.dataReceived(answer[:length])
        harness.lose_connection()
        (event,) = harness.events
        assert isinstance(event, messages.RunFailed), length
        assert event.failure in (
            messages.RunFailure.LOST,
            messages.RunFailure.INVALID,
        )
        assert harness.closed == [harness.connection]


def test_bytes_after_the_answer_close_the_connection():
    harness = Harness()
    harness.connection.dataReceived(LENGTH_DELIMITED + LENGTH_DELIMITED)
    (event,) = harness.events
    assert event.body == b"hello"
    assert harness.idle == []
    assert harness.closed == [harness.connection]


def test_unsolicited_bytes_close_an_idle_connection():
    harness = Harness()
    harness.connection.dataReceived(LENGTH_DELIMITED)
    harness.connection.dataReceived(LENGTH_DELIMITED)
    assert len(harness.events) == 1
    assert harness.closed == [harness.connection]


def test_oversized_answer_fails_the_run():
    harness = Harness()
    head = b"HTTP/1.1 200 OK\r\nContent-Length: 2000000\r\n\r\n"
    harness.connection.dataReceived(head)
    harness.connection.dataReceived(b"x" * 1_999_999)
    (event,) = harness.events
    assert event.failure is messages.RunFailure.TOO_LARGE


def test_malformed_answer_fails_the_run():
    harness = Harness()
    harness.connection.dataReceived(b"SSH-2.0-OpenSSH\r\n")
    (event,) = harness.events
    assert event.failure is messages.RunFailure.INVALID


def test_answer_to_head_request_has_no_body():
    harness = Harness(method="HEAD")
    harness.connection.dataReceived(
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"
    )
    (event,) = harness.events
    assert (event.status, event.body) == (200, b"")


def test_interim_answer_does_not_end_the_run():
    harness = Harness()
    harness.connection.dataReceived(b"HTTP/1.1 100 Continue\r\n\r\n")
    assert harness.events == []
    harness.connection.dataReceived(LENGTH_DELIMITED)
    assert harness.events[0].status == 200


def test_aborted_run_posts_no_event():
    harness = Harness()
    harness.connection.abort()
    harness.lose_connection()
    assert harness.events == []


def test_line_breaks_in_request_headers_are_removed():
    harness = Harness()
    run = harness.connection.run
    run.request.headers = [("x", "a\r\nevil: 1")]
    head = server_connection.NativeDialect().render_request(run, "")
    assert b"\r\nevil" not in head


class OwnerHeaderDialect(server_connection.NativeDialect):
    """Dialect whose header ``own`` tells which request an answer is for."""

    accepts_close_delimited = True

    def classify_answer(self, run, status, headers):
        match dict(headers).get("own", "yes"):
            case "no":
                return dialects.Mismatched()
            case "shed":
                return dialects.NotExecuted()
            case "elsewhere":
                return dialects.Misdirected()
            case "none":
                return dialects.Complete(headers=[], is_identified=False)
            case "shed none":
                return dialects.NotExecuted(is_identified=False)
            case "elsewhere none":
                return dialects.Misdirected(is_identified=False)
        return super().classify_answer(run, status, headers)


def answer(body, own="yes"):
    head = f"HTTP/1.1 200 OK\r\nown: {own}\r\n"
    return f"{head}Content-Length: {len(body)}\r\n\r\n{body}".encode()


def test_late_answer_to_another_request_is_skipped():
    harness = Harness(dialect=OwnerHeaderDialect())
    harness.connection.dataReceived(answer("old", own="no"))
    assert harness.events == []
    harness.connection.dataReceived(answer("new"))
    (event,) = harness.events
    assert event.body == b"new"
    assert harness.idle == []


def test_late_answer_received_together_with_the_expected_one_is_skipped():
    harness = Harness(dialect=OwnerHeaderDialect())
    harness.connection.dataReceived(answer("old", own="no") + answer("new"))
    (event,) = harness.events
    assert event.body == b"new"


@pytest.mark.parametrize(
    ("own", "failure"),
    [
        ("shed", messages.RunFailure.SHED),
        ("elsewhere", messages.RunFailure.MISDIRECTED),
    ],
)
def test_refusal_by_the_server_maps_to_its_run_failure(own, failure):
    harness = Harness(dialect=OwnerHeaderDialect())
    harness.connection.dataReceived(answer("", own=own))
    (event,) = harness.events
    assert event.failure is failure


# Guards against an earlier refusal that a server sends once more on a kept
# connection and that is taken for the answer to a request which runs.
@pytest.mark.parametrize("own", ["none", "shed none", "elsewhere none"])
def test_answer_without_an_id_proves_nothing_after_earlier_answers(own):
    harness = Harness(dialect=OwnerHeaderDialect())
    harness.connection.dataReceived(answer("first"))
    harness.send_request()
    harness.connection.dataReceived(answer("", own=own))
    assert isinstance(harness.events[0], messages.RunAnswered)
    assert harness.events[1].failure is messages.RunFailure.INVALID
    assert harness.closed == [harness.connection]
    assert "names no request" in harness.conditions[-1].unwrap_err()


def test_copy_of_a_refusal_is_skipped_and_the_answer_awaited():
    harness = Harness(dialect=OwnerHeaderDialect())
    harness.connection.dataReceived(answer("", own="shed"))
    harness.send_request()
    harness.connection.dataReceived(answer("", own="shed none"))
    assert len(harness.events) == 1
    harness.connection.dataReceived(answer("new"))
    assert harness.events[1].body == b"new"
    assert harness.closed == [harness.connection]


def test_answer_without_an_id_after_a_late_answer_proves_nothing():
    harness = Harness(dialect=OwnerHeaderDialect())
    harness.connection.dataReceived(
        answer("", own="no") + answer("", own="shed none")
    )
    (event,) = harness.events
    assert event.failure is messages.RunFailure.INVALID


# Guards against a copy of a refusal of a native server, which names no request
# and comes while the next request runs.
@pytest.mark.parametrize(
    ("status", "is_kept"),
    [(200, True), (404, True), (429, False), (503, False)],
)
def test_connection_is_not_reused_after_a_possible_refusal(status, is_kept):
    harness = Harness()
    harness.connection.dataReceived(
        b"HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n" % status
    )
    assert harness.events[0].status == status
    assert bool(harness.idle) == is_kept
    assert bool(harness.closed) != is_kept


# The first answer on a connection can't be a late one.
@pytest.mark.parametrize(
    ("own", "failure"),
    [
        ("none", None),
        ("shed none", messages.RunFailure.SHED),
        ("elsewhere none", messages.RunFailure.MISDIRECTED),
    ],
)
def test_first_answer_without_an_id_counts_and_closes(own, failure):
    harness = Harness(dialect=OwnerHeaderDialect())
    harness.connection.dataReceived(answer("", own=own))
    (event,) = harness.events
    assert getattr(event, "failure", None) is failure
    assert harness.idle == []
    assert harness.closed == [harness.connection]


HEADS = {
    "length": b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n",
    "chunked": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    "no length": b"HTTP/1.1 200 OK\r\nX-Kit: 7\r\n\r\n",
    "empty": b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
    "no content": b"HTTP/1.1 204 No Content\r\nX-Kit: 7\r\n\r\n",
    "HTTP/1.0": b"HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\n",
    "HTTP/1.0, no length": b"HTTP/1.0 200 OK\r\n\r\n",
    "interim": (
        b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"
    ),
    "interim, no length": (
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-Kit: 7\r\n\r\n"
    ),
    "no colon": b"HTTP/1.1 200 OK\r\nContent-Length\r\n\r\n",
    "two lengths": (
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 5\r\n\r\n"
    ),
}


# Guards against an answer that ends in its head and reaches the caller as a
# complete one with an empty or short body.
@pytest.mark.parametrize("method", ["GET", "HEAD"])
@pytest.mark.parametrize(
    "reason", [error.ConnectionDone(), error.ConnectionLost()]
)
@pytest.mark.parametrize("head", HEADS.values(), ids=HEADS)
def test_answer_cut_in_its_head_is_never_delivered(head, reason, method):
    for length in range(len(head)):
        harness = Harness(method=method, dialect=OwnerHeaderDialect())
        harness.connection.dataReceived(head[:length])
        harness.connection.connectionLost(failure.Failure(reason))
        (event,) = harness.events
        assert isinstance(event, messages.RunFailed)


@pytest.mark.parametrize(
    "lengths",
    [
        b"Content-Length: 2\r\nContent-Length: 5",
        b"Content-Length: 2, 5",
        b"Content-Length: +5",
        b"Content-Length: 5\r\nTransfer-Encoding: chunked",
        b"Content-Length: 5\r\nTransfer-Encoding: gzip",
    ],
)
def test_answer_with_contradicting_lengths_is_never_delivered(lengths):
    harness = Harness(dialect=OwnerHeaderDialect())
    head = b"HTTP/1.1 200 OK\r\n" + lengths + b"\r\n\r\n"
    harness.connection.dataReceived(head + b"hello")
    if not harness.closed:
        harness.connection.connectionLost(
            failure.Failure(error.ConnectionDone())
        )
    (event,) = harness.events
    assert isinstance(event, messages.RunFailed)


# Guards against a header of an interim answer, such as the server's signature,
# that is taken for one of the final answer.
def test_headers_of_an_interim_answer_are_not_those_of_the_final_one():
    harness = Harness()
    harness.connection.dataReceived(
        b"HTTP/1.1 103 Early Hints\r\nX-Interim: 1\r\n\r\n" + LENGTH_DELIMITED
    )
    (event,) = harness.events
    assert event.headers == [("x-kit", "7")]


# Guards against a switch of protocols that nobody asked for, or an offer of
# one, which must not end a complete answer.
def test_switch_of_protocols_fails_the_run_and_an_offer_does_not():
    harness = Harness()
    harness.connection.dataReceived(
        b"HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\n"
        b"Upgrade: h2c\r\n\r\n" + LENGTH_DELIMITED
    )
    (event,) = harness.events
    assert isinstance(event, messages.RunFailed)
    assert harness.closed == [harness.connection]
    harness = Harness()
    harness.connection.dataReceived(
        b"HTTP/1.1 200 OK\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n"
        b"Content-Length: 5\r\n\r\nhello"
    )
    (event,) = harness.events
    assert event.body == b"hello"


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(strategies.lists(strategies.binary(), max_size=5))
@hypothesis.example([b"HTTP/1.1 ", b"200 OK\r\n\r\n"])
def test_any_bytes_of_a_server_end_its_run_once(parts):
    harness = Harness(dialect=OwnerHeaderDialect())
    for part in parts:
        if not harness.closed:
            harness.connection.dataReceived(part)
    harness.connection.connectionLost(failure.Failure(error.ConnectionDone()))
    assert len(harness.events) <= 1


def test_close_delimited_answer_ends_with_an_orderly_close():
    harness = Harness(dialect=OwnerHeaderDialect())
    harness.connection.dataReceived(CLOSE_DELIMITED)
    harness.connection.connectionLost(failure.Failure(error.ConnectionDone()))
    (event,) = harness.events
    assert event.body == b"hello"


def test_close_delimited_answer_is_invalid_after_a_reset():
    harness = Harness(dialect=OwnerHeaderDialect())
    harness.connection.dataReceived(CLOSE_DELIMITED)
    harness.connection.connectionLost(failure.Failure(error.ConnectionLost()))
    (event,) = harness.events
    assert event.failure is messages.RunFailure.INVALID


def test_connection_closed_before_any_run_raises_nothing():
    connection = server_connection.ServerConnection(
        on_idle=lambda _: None, on_closed=lambda _: None, post=lambda _: None
    )
    connection.makeConnection(testing.StringTransport())
    connection.connectionLost(failure.Failure(error.ConnectionDone()))


def test_keep_alive_timeout_of_the_server_is_parsed():
    harness = Harness()
    harness.connection.dataReceived(
        b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=7, max=9\r\n"
        b"Content-Length: 0\r\n\r\n"
    )
    assert harness.connection.keep_alive_timeout_s == 7


# Guards against answers that are dropped, or held without a bound, while a node
# has no memory for them.
def test_large_answer_is_read_in_turn_and_completes():
    clock = task.Clock()
    body_memory = memory.BodyMemory(capacity_bytes=100_000)
    buffers = connection_buffers.ConnectionBuffers(
        reactor=clock, body_memory=body_memory
    )
    harness = Harness(buffers=buffers)
    body = b"x" * 300_000
    harness.connection.dataReceived(
        b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
    )
    for start in range(0, len(body), 60_000):
        if harness.transport.producerState == "paused":
            clock.advance(connection_buffers.CHECK_INTERVAL_S)
        assert harness.transport.producerState == "producing"
        harness.connection.dataReceived(body[start : start + 60_000])
    (answered,) = harness.events
    assert answered.body == body
    assert harness.idle == [harness.connection]
    assert harness.transport.producerState == "producing"
    assert body_memory.used_bytes == 0


def test_unfinished_answer_of_an_aborted_run_is_not_held():
    body_memory = memory.BodyMemory(capacity_bytes=100_000)
    buffers = connection_buffers.ConnectionBuffers(
        reactor=task.Clock(), body_memory=body_memory
    )
    harness = Harness(buffers=buffers)
    harness.connection.dataReceived(
        b"HTTP/1.1 200 OK\r\nContent-Length: 90000\r\n\r\n" + b"x" * 50_000
    )
    assert body_memory.used_bytes == 50_000
    harness.connection.abort()
    assert body_memory.used_bytes == 0

"""An answer is delivered complete or not at all."""

import pytest
from twisted.internet import error
from twisted.internet import testing
from twisted.python import failure

from bergamotdeal.calls import core as calls
from bergamotdeal.calls import messages
from bergamotdeal.node import dialect as dialects
from bergamotdeal.node import server_connection

LENGTH = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Kit: 7\r\n\r\nhello"
CHUNKED = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n"
)
UNBOUNDED = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhello"


class Harness:
    def __init__(self, method="GET", dialect=None):
        self.events = []
        self.idle = []
        self.closed = []
        self.connection = server_connection.ServerConnection(
            on_idle=self.idle.append,
            on_closed=self.closed.append,
            post=self.events.append,
            dialect=dialect,
        )
        self.transport = testing.StringTransport()
        self.connection.makeConnection(self.transport)
        self.connection.send(
            messages.StartRun(
                run_id=4,
                request=calls.Request(
                    service="kitview",
                    method=method,
                    path="/kits",
                    headers=[("accept", "*/*")],
                    body=b"",
                ),
                user_request_id="r-1",
                context="c-1",
                deadline_ms=100,
            )
        )

    def lose(self):
        self.connection.connectionLost()


@pytest.mark.parametrize("answer", [LENGTH, CHUNKED], ids=["length", "chunked"])
def test_whole_answer_is_delivered(answer):
    harness = Harness()
    for byte in answer:
        harness.connection.dataReceived(bytes([byte]))
    (event,) = harness.events
    assert isinstance(event, messages.RunAnswered)
    assert (event.run_id, event.status, event.body) == (4, 200, b"hello")
    assert harness.idle == [harness.connection]


@pytest.mark.parametrize(
    "answer",
    [LENGTH, CHUNKED, UNBOUNDED + b" "],
    ids=["length", "chunked", "no length"],
)
def test_answer_cut_at_any_byte_is_never_delivered(answer):
    for length in range(len(answer)):
        harness = Harness()
        harness.connection.dataReceived(answer[:length])
        harness.lose()
        (event,) = harness.events
        assert isinstance(event, messages.RunFailed), length
        assert event.failure in (
            messages.RunFailure.LOST,
            messages.RunFailure.INVALID,
        )
        assert harness.closed == [harness.connection]


def test_bytes_after_the_answer_close_the_connection():
    harness = Harness()
    harness.connection.dataReceived(LENGTH + LENGTH)
    (event,) = harness.events
    assert event.body == b"hello"
    assert harness.idle == []
    assert harness.closed == [harness.connection]


def test_unsolicited_bytes_close_an_idle_connection():
    harness = Harness()
    harness.connection.dataReceived(LENGTH)
    harness.connection.dataReceived(LENGTH)
    assert len(harness.events) == 1
    assert harness.closed == [harness.connection]


def test_too_large_answer_fails():
    harness = Harness()
    head = b"HTTP/1.1 200 OK\r\nContent-Length: 2000000\r\n\r\n"
    harness.connection.dataReceived(head)
    harness.connection.dataReceived(b"x" * 1_999_999)
    (event,) = harness.events
    assert event.failure is messages.RunFailure.TOO_LARGE


def test_malformed_answer_fails():
    harness = Harness()
    harness.connection.dataReceived(b"SSH-2.0-OpenSSH\r\n")
    (event,) = harness.events
    assert event.failure is messages.RunFailure.INVALID


def test_answer_to_head_has_no_body():
    harness = Harness(method="HEAD")
    harness.connection.dataReceived(
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"
    )
    (event,) = harness.events
    assert (event.status, event.body) == (200, b"")


def test_interim_answer_is_not_final():
    harness = Harness()
    harness.connection.dataReceived(b"HTTP/1.1 100 Continue\r\n\r\n")
    assert harness.events == []
    harness.connection.dataReceived(LENGTH)
    assert harness.events[0].status == 200


def test_aborted_run_posts_nothing():
    harness = Harness()
    harness.connection.abort()
    harness.lose()
    assert harness.events == []


def test_request_has_no_line_breaks_in_its_head():
    harness = Harness()
    run = harness.connection.run
    run.request.headers = [("x", "a\r\nevil: 1")]
    head = server_connection.NativeDialect().render_request(run, "")
    assert b"\r\nevil" not in head


class Dialect(server_connection.NativeDialect):
    """Reads a header ``own`` that tells whose answer it is."""

    accepts_close_delimited = True

    def classify_answer(self, run, status, headers):
        match dict(headers).get("own", "yes"):
            case "no":
                return dialects.Mismatched()
            case "shed":
                return dialects.NotExecuted()
            case "elsewhere":
                return dialects.Misdirected()
        return super().classify_answer(run, status, headers)


def answer(body, own="yes"):
    head = f"HTTP/1.1 200 OK\r\nown: {own}\r\n"
    return f"{head}Content-Length: {len(body)}\r\n\r\n{body}".encode()


def test_late_answer_to_another_request_is_skipped():
    harness = Harness(dialect=Dialect())
    harness.connection.dataReceived(answer("old", own="no"))
    assert harness.events == []
    harness.connection.dataReceived(answer("new"))
    (event,) = harness.events
    assert event.body == b"new"
    assert harness.idle == []


def test_late_answer_in_one_piece_with_the_own_one_is_skipped():
    harness = Harness(dialect=Dialect())
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
def test_refusals_of_the_server_are_told_apart(own, failure):
    harness = Harness(dialect=Dialect())
    harness.connection.dataReceived(answer("", own=own))
    (event,) = harness.events
    assert event.failure is failure


def test_answer_without_a_length_ends_with_an_orderly_close():
    harness = Harness(dialect=Dialect())
    harness.connection.dataReceived(UNBOUNDED)
    harness.connection.connectionLost(failure.Failure(error.ConnectionDone()))
    (event,) = harness.events
    assert event.body == b"hello"


def test_answer_without_a_length_that_is_reset_is_lost():
    harness = Harness(dialect=Dialect())
    harness.connection.dataReceived(UNBOUNDED)
    harness.connection.connectionLost(failure.Failure(error.ConnectionLost()))
    (event,) = harness.events
    assert event.failure is messages.RunFailure.INVALID


def test_connection_that_closes_before_any_run_ends_quietly():
    connection = server_connection.ServerConnection(
        on_idle=lambda _: None, on_closed=lambda _: None, post=lambda _: None
    )
    connection.makeConnection(testing.StringTransport())
    connection.connectionLost(failure.Failure(error.ConnectionDone()))


def test_time_that_the_server_keeps_a_connection_is_read():
    harness = Harness()
    harness.connection.dataReceived(
        b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=7, max=9\r\n"
        b"Content-Length: 0\r\n\r\n"
    )
    assert harness.connection.idle_limit_s == 7

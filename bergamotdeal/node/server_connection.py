"""One HTTP/1.1 connection to the local backend server.

``twisted.web.client.Agent`` costs about as much as the rest of the path, so
the connection drives the ``httptools`` parser from a Twisted protocol.
"""

from collections.abc import Callable
import math

import httptools
from twisted.internet import error
from twisted.internet import protocol
from twisted.python import failure as twisted_failure

from bergamotdeal.calls import core as calls
from bergamotdeal.calls import messages
from bergamotdeal.node import dialect as dialects
from bergamotdeal.node import http_server
from bergamotdeal.utils import headers as header_names
from bergamotdeal.utils import transport

_MAX_ANSWER_HEADERS = 500
_FRAMING_HEADERS = frozenset({"content-length", "transfer-encoding"})


class ServerConnection(protocol.Protocol):
    """A connection that carries one run at a time.

    Attributes:
      run: The run in progress, or None when the connection is idle.
      runs_done: Number of runs that ended with a complete answer.
      idle_since: Time at which it last became idle, monotonic seconds.
      idle_limit_s: Idle time after which the server may close it.

    Args:
      on_idle: Called when the connection can carry the next run.
      on_closed: Called once when the connection is gone.
      post: Takes the events for the call engine.
      dialect: Headers that the server uses; the node's own if none is given.
    """

    def __init__(
        self,
        *,
        on_idle: Callable[["ServerConnection"], None],
        on_closed: Callable[["ServerConnection"], None],
        post: Callable[[messages.Event], None],
        dialect: dialects.ServerDialect | None = None,
    ) -> None:
        self.run: messages.StartRun | None = None
        self.runs_done = 0
        self.idle_since = 0.0
        self.idle_limit_s = math.inf
        self._dialect = dialect or NativeDialect()
        self._on_idle = on_idle
        self._on_closed = on_closed
        self._post = post
        self._parser: httptools.HttpResponseParser | None = None
        self._begin_answer()
        self._reusable = True
        self._failure = messages.RunFailure.LOST
        self._closed = False

    @property
    def usable(self) -> bool:
        """Whether the connection can carry a run now."""
        return not self._closed and self.run is None

    @property
    def answer_started(self) -> bool:
        """Whether a part of the run's answer has arrived."""
        return self._headers_complete

    def connectionMade(self) -> None:
        """Sets the socket options of a new connection."""
        transport.send_small_writes_at_once(self.transport)
        transport.notice_silence(self.transport)

    def send(self, run: messages.StartRun, server_id: str = "") -> None:
        """Hands a run over to the backend server.

        Args:
          run: The run; the connection must be usable.
          server_id: Id of the server that is meant, or empty.
        """
        self.run = run
        self._parser = httptools.HttpResponseParser(self)
        self._reusable = True
        self._failure = messages.RunFailure.LOST
        self._begin_answer()
        request = self._dialect.render_request(run, server_id)
        transport.write_now(self.transport, request)

    def _begin_answer(self) -> None:
        self._headers: calls.Headers = []
        self._chunks: list[bytes] = []
        self._body_bytes = 0
        self._headers_complete = False
        self._answer_complete = False
        self._unbounded = False
        self._reading: dialects.AnswerClass | None = None

    def abort(self) -> None:
        """Closes the connection; its run, if any, ends without an event."""
        self.run = None
        self._close()

    def fail(self, failure: messages.RunFailure) -> None:
        """Closes the connection and reports its run as failed.

        Args:
          failure: Why the run failed.
        """
        run = self.run
        self.run = None
        self._close()
        if run is not None:
            self._post(messages.RunFailed(run_id=run.run_id, failure=failure))

    # Called by Twisted.

    def dataReceived(self, data: bytes) -> None:
        """Parses a part of the answer.

        Args:
          data: The bytes received.
        """
        if self.run is None:
            # Bytes without a request would be taken for the next answer.
            self.abort()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            if not self._answer_complete:
                self.fail(self._parse_failure())
                return
            # What follows a complete answer only spoils the connection.
            self._reusable = False
        if self._answer_complete:
            self._finish()

    def connectionLost(
        self, reason: twisted_failure.Failure = protocol.connectionDone
    ) -> None:
        """Ends the run of a connection that closed.

        Args:
          reason: Why the connection closed.
        """
        if self._unbounded and reason.check(error.ConnectionDone):
            # The server closed the connection in order; a cut resets it.
            self._reusable = False
            self._answer_complete = True
            self._reading = self._read()
            self._finish()
            return
        started = self._headers_complete
        lost = messages.RunFailure.LOST
        self.fail(messages.RunFailure.INVALID if started else lost)
        self._close()

    # Called by the parser.

    def on_message_begin(self) -> None:
        """Refuses a second answer to the same request."""
        if not self._answer_complete:
            return
        if not isinstance(self._reading, dialects.Mismatched):
            raise ValueError("bytes after the answer")
        # Another request's late answer stood where this run's is due.
        self._begin_answer()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keeps a header of the answer.

        Args:
          name: Header name.
          value: Header value.
        """
        if len(self._headers) >= _MAX_ANSWER_HEADERS:
            self._failure = messages.RunFailure.TOO_LARGE
            raise ValueError("too many headers")
        self._headers.append(
            (header_names.decode_name(name), value.decode("latin-1"))
        )

    def on_headers_complete(self) -> None:
        """Notes that the head of the answer is complete."""
        if self._parser.get_status_code() >= 200:
            self._headers_complete = True
            self._unbounded = self._dialect.accepts_close_delimited and not any(
                name in _FRAMING_HEADERS for name, _ in self._headers
            )
            if self.run.request.method == "HEAD":
                # The parser would wait for the body that a GET has.
                self._answer_complete = True
                self._reading = self._read()
                self._reusable = False

    def on_body(self, body: bytes) -> None:
        """Keeps a part of the answer's body.

        Args:
          body: The bytes received.
        """
        self._body_bytes += len(body)
        if self._body_bytes > calls.MAX_BODY_BYTES:
            self._failure = messages.RunFailure.TOO_LARGE
            raise ValueError("body too large")
        self._chunks.append(body)

    def on_message_complete(self) -> None:
        """Notes that the answer is complete."""
        if self._headers_complete:
            if self._answer_complete:
                return
            self._answer_complete = True
            self._unbounded = False
            # The parser forgets this once the message is complete.
            keep_alive = self._parser.should_keep_alive()
            self._reusable = self._reusable and keep_alive
            self._reading = self._read()
            if isinstance(self._reading, dialects.Mismatched):
                self._reusable = False

    def _parse_failure(self) -> messages.RunFailure:
        if self._failure is messages.RunFailure.TOO_LARGE:
            return self._failure
        return messages.RunFailure.INVALID

    def _finish(self) -> None:
        if isinstance(self._reading, dialects.Mismatched):
            return
        run = self.run
        self.run = None
        self.runs_done += 1
        event = self._event(run)
        if self._reusable and not transport.has_unsent(self.transport):
            self.idle_limit_s = _idle_limit(self._headers)
            self._on_idle(self)
        else:
            self._close()
        self._post(event)

    def _read(self) -> dialects.AnswerClass:
        status = self._parser.get_status_code()
        return self._dialect.classify_answer(self.run, status, self._headers)

    def _event(self, run: messages.StartRun) -> messages.Event:
        match self._reading:
            case dialects.NotExecuted():
                failure = messages.RunFailure.SHED
            case dialects.Misdirected():
                failure = messages.RunFailure.MISDIRECTED
                self._reusable = False
            case dialects.Invalid():
                failure = messages.RunFailure.INVALID
                self._reusable = False
            case dialects.Complete(headers=headers):
                return messages.RunAnswered(
                    run_id=run.run_id,
                    status=self._parser.get_status_code(),
                    headers=headers,
                    body=b"".join(self._chunks),
                )
        return messages.RunFailed(run_id=run.run_id, failure=failure)

    def _close(self) -> None:
        if self._closed:
            return
        self._closed = True
        self.transport.abortConnection()
        self._on_closed(self)


class NativeDialect:
    """The node's own headers, as docs/callers.md describes them."""

    # Without a length, a cut can't be told from the end on every network.
    accepts_close_delimited = False

    def render_request(self, run: messages.StartRun, server_id: str) -> bytes:
        """Renders the request of a run."""
        del server_id
        return render_request(
            run,
            host=run.request.service,
            system_headers=[
                (header_names.REQUEST_ID, run.user_request_id),
                (header_names.CONTEXT, run.context),
                (header_names.DEADLINE_MS, run.deadline_ms),
            ],
        )

    def classify_answer(
        self, run: messages.StartRun, status: int, headers: calls.Headers
    ) -> dialects.AnswerClass:
        """Takes every answer for the run's own."""
        del run, status
        return dialects.Complete(headers=header_names.end_to_end(headers))


def render_request(
    run: messages.StartRun,
    *,
    host: str,
    system_headers: list[tuple[str, str | int]],
) -> bytes:
    """Renders the request of a run as one string of bytes.

    Args:
      run: The run.
      host: Value of the ``Host`` header.
      system_headers: Headers that the node sets itself.

    Returns:
      The bytes of the request.
    """
    request = run.request
    lines = [
        f"{request.method} {request.path} HTTP/1.1",
        f"host: {host}",
        f"content-length: {len(request.body)}",
    ]
    lines += [f"{name}: {value}" for name, value in system_headers]
    lines += [f"{name}: {value}" for name, value in request.headers]
    head = http_server.without_breaks(lines).encode("latin-1", "replace")
    return b"%s\r\n%s" % (head, request.body)


def _idle_limit(headers: calls.Headers) -> float:
    """Returns the idle time that a ``Keep-Alive`` header grants, seconds."""
    for name, value in headers:
        if name != "keep-alive":
            continue
        for word in value.split(","):
            key, _, number = word.strip().partition("=")
            if key.strip().lower() == "timeout" and number.strip().isdigit():
                return float(number)
    return math.inf

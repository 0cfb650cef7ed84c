"""One HTTP/1.1 connection to the local backend server.

``twisted.web.client.Agent`` costs about as much as the rest of the path, so
the connection drives the ``httptools`` parser from a Twisted protocol.
"""

from collections.abc import Callable

import httptools
from twisted.internet import protocol
from twisted.python import failure as twisted_failure

from bergamotdeal.calls import core as calls
from bergamotdeal.calls import messages
from bergamotdeal.node import transport
from bergamotdeal.utils import headers as header_names

_MAX_ANSWER_HEADERS = 500
_BODYLESS_STATUSES = frozenset({204, 304})


class ServerConnection(protocol.Protocol):
    """A connection that carries one run at a time.

    Attributes:
      run: The run in progress, or None when the connection is idle.
      runs_done: Number of runs that ended with a complete answer.

    Args:
      on_idle: Called when the connection can carry the next run.
      on_closed: Called once when the connection is gone.
      post: Takes the events for the call engine.
    """

    def __init__(
        self,
        *,
        on_idle: Callable[["ServerConnection"], None],
        on_closed: Callable[["ServerConnection"], None],
        post: Callable[[messages.Event], None],
    ) -> None:
        self.run: messages.StartRun | None = None
        self.runs_done = 0
        self._on_idle = on_idle
        self._on_closed = on_closed
        self._post = post
        self._parser: httptools.HttpResponseParser | None = None
        self._headers: calls.Headers = []
        self._chunks: list[bytes] = []
        self._body_bytes = 0
        self._headers_complete = False
        self._answer_complete = False
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

    def send(self, run: messages.StartRun) -> None:
        """Hands a run over to the backend server.

        Args:
          run: The run; the connection must be usable.
        """
        self.run = run
        self._parser = httptools.HttpResponseParser(self)
        self._headers = []
        self._chunks = []
        self._body_bytes = 0
        self._headers_complete = False
        self._answer_complete = False
        self._reusable = True
        self._failure = messages.RunFailure.LOST
        transport.write_now(self.transport, render_request(run))

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
        del reason
        # An answer without a length ends with the connection, and a cut can't
        # be told from its end, so it is never complete.
        started = self._headers_complete
        lost = messages.RunFailure.LOST
        self.fail(messages.RunFailure.INVALID if started else lost)
        self._close()

    # Called by the parser.

    def on_message_begin(self) -> None:
        """Refuses a second answer to the same request."""
        if self._answer_complete:
            raise ValueError("bytes after the answer")

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
            (name.decode("latin-1").lower(), value.decode("latin-1"))
        )

    def on_headers_complete(self) -> None:
        """Notes that the head of the answer is complete."""
        if self._parser.get_status_code() >= 200:
            self._headers_complete = True
            if self.run.request.method == "HEAD":
                # The parser would wait for the body that a GET has.
                self._answer_complete = True
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
            self._answer_complete = True
            # The parser forgets this once the message is complete.
            keep_alive = self._parser.should_keep_alive()
            self._reusable = self._reusable and keep_alive

    def _parse_failure(self) -> messages.RunFailure:
        if self._failure is messages.RunFailure.TOO_LARGE:
            return self._failure
        return messages.RunFailure.INVALID

    def _finish(self) -> None:
        run = self.run
        self.run = None
        self.runs_done += 1
        status = self._parser.get_status_code()
        answered = messages.RunAnswered(
            run_id=run.run_id,
            status=status,
            headers=header_names.end_to_end(self._headers),
            body=b"".join(self._chunks),
        )
        if self._reusable:
            self._on_idle(self)
        else:
            self._close()
        self._post(answered)

    def _close(self) -> None:
        if self._closed:
            return
        self._closed = True
        self.transport.abortConnection()
        self._on_closed(self)


def render_request(run: messages.StartRun) -> bytes:
    """Renders the request of a run as one string of bytes.

    Args:
      run: The run.

    Returns:
      The bytes of the request.
    """
    request = run.request
    lines = [
        f"{request.method} {request.path} HTTP/1.1",
        f"host: {request.service}",
        f"content-length: {len(request.body)}",
        f"{header_names.REQUEST_ID}: {run.user_request_id}",
        f"{header_names.CONTEXT}: {run.context}",
        f"{header_names.DEADLINE_MS}: {run.deadline_ms}",
    ]
    lines.extend(f"{name}: {value}" for name, value in request.headers)
    head = "\r\n".join(_without_breaks(line) for line in lines)
    return head.encode("latin-1", "replace") + b"\r\n\r\n" + request.body


_NO_LINE_BREAKS = {ord("\r"): None, ord("\n"): None, 0: None}


def _without_breaks(line: str) -> str:
    return line.translate(_NO_LINE_BREAKS)

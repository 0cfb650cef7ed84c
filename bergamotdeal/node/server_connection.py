"""One HTTP/1.1 connection to the local backend server.

The connection drives the ``httptools`` parser from a Twisted protocol, because
``twisted.web.client.Agent`` costs about as much as the rest of the request
path.
"""

from collections.abc import Callable
import http
import math

import httptools
import result
from twisted.internet import error
from twisted.internet import protocol
from twisted.python import failure as twisted_failure

from bergamotdeal.calls import messages
from bergamotdeal.node import connection_buffers
from bergamotdeal.node import dialect as dialects
from bergamotdeal.node import http_message
from bergamotdeal.rpc import core as rpc
from bergamotdeal.utils import framing
from bergamotdeal.utils import headers as header_names
from bergamotdeal.utils import transport

_MAX_ANSWER_HEADERS = 500
_MAX_LATE_ANSWERS = 8
"""Answers to earlier requests that are skipped before the connection closes."""

_FRAMING_HEADERS = frozenset({"content-length", "transfer-encoding"})
_HTTP_VERSIONS = frozenset({"1.0", "1.1"})
_INTERIM_STATUSES = range(100, 200)
_FINAL_STATUSES = range(200, 600)

ConditionResult = result.Result[dialects.ServerCondition, str]


class ServerConnection(protocol.Protocol):
    """Connection to the backend server that carries one run at a time.

    Attributes:
      run: Run in progress, or None when the connection is idle.
      completed_runs: Number of runs that ended with a complete answer.
      is_lost: Whether the server or the network closed the connection.
      connected_at: Time when it was established, in monotonic seconds.
      idle_since: Time of the last change to idle, in monotonic seconds.
      keep_alive_timeout_s: Idle time in seconds after which the server may
        close the connection.

    Args:
      on_idle: Called when the connection can carry the next run.
      on_closed: Called once when the connection has closed.
      post: Accepts events for the call engine.
      on_condition: Called with the id of the run and the condition that the
        server reports with its answer, or what is wrong with the report.
      dialect: Headers that the server uses; the node's native dialect by
        default.
      buffers: Counts the bytes that the connection buffers; None counts none.
    """

    def __init__(
        self,
        *,
        on_idle: Callable[["ServerConnection"], None],
        on_closed: Callable[["ServerConnection"], None],
        post: Callable[[messages.Event], None],
        on_condition: Callable[[int, ConditionResult], None] | None = None,
        dialect: dialects.ServerDialect | None = None,
        buffers: connection_buffers.ConnectionBuffers | None = None,
    ) -> None:
        self.run: messages.StartRun | None = None
        self._buffers = buffers
        self.completed_runs = 0
        self.connected_at = 0.0
        self.is_lost = False
        self.idle_since = 0.0
        self.keep_alive_timeout_s = math.inf
        self._dialect = dialect or NativeDialect()
        self._on_idle = on_idle
        self._on_closed = on_closed
        self._post = post
        self._on_condition = on_condition
        self._parser: httptools.HttpResponseParser | None = None
        self._late_answers = 0
        self._has_refused = False
        self._reset_answer()
        self._is_reusable = True
        self._parse_failure_kind = messages.RunFailure.LOST
        self._is_closed = False
        self._has_long_timeout = False

    @property
    def is_available(self) -> bool:
        """Whether the connection is open and idle."""
        return not self._is_closed and self.run is None

    @property
    def has_received_head(self) -> bool:
        """Whether the head of the run's answer has arrived."""
        return self._is_head_complete

    def connectionMade(self) -> None:
        """Sets the socket options of the new connection."""
        transport.disable_nagle(self.transport)
        transport.enable_dead_peer_detection(self.transport)

    def send_request(self, run: messages.StartRun, server_id: str = "") -> None:
        """Sends the request of a run to the backend server.

        Args:
          run: Run to start; the connection must be available.
          server_id: Id of the server that the request is meant for, or empty.
        """
        self.run = run
        self._parser = httptools.HttpResponseParser(self)
        self._is_reusable = True
        self._parse_failure_kind = messages.RunFailure.LOST
        self._late_answers = 0
        self._reset_answer()
        request = self._dialect.render_request(run, server_id)
        self._allow_slow_reading(len(request), run.deadline_ms)
        transport.write_now(self.transport, request)
        if self._buffers is not None:
            self._buffers.watch_output(self.transport)

    def _allow_slow_reading(self, size_bytes: int, deadline_ms: int) -> None:
        """Lets a server read a large request as slowly as its caller waits."""
        is_large = size_bytes > transport.WINDOW_BYTES
        if is_large or self._has_long_timeout:
            self._has_long_timeout = is_large
            wait_ms = deadline_ms if is_large else 0
            transport.set_unacked_timeout(self.transport, wait_ms)

    def _reset_answer(self) -> None:
        self._headers: rpc.Headers = []
        self._body_parts: list[bytes] = []
        self._body_bytes = 0
        self._received_bytes = 0
        self._is_head_complete = False
        self._is_answer_complete = False
        self._is_close_delimited = False
        self._answer_class: dialects.AnswerClass | None = None

    def abort(self) -> None:
        """Closes the connection; its run, if any, ends without an event."""
        self.run = None
        self._close()

    def fail_run(self, failure: messages.RunFailure) -> None:
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
        """Feeds received bytes to the parser.

        Args:
          data: Received bytes.
        """
        if self.run is None:
            # Unsolicited bytes would be taken for the answer to the next run.
            self.abort()
            return
        self._received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if not self._is_answer_complete:
                self.fail_run(self._get_parse_failure())
                return
            # The answer was complete; the bytes after it only make the
            # connection unusable for another run.
            self._is_reusable = False
        if self._is_answer_complete:
            self._finish_run()
        elif framing.exceeds_limit(self._received_bytes, self._body_bytes):
            self.fail_run(messages.RunFailure.TOO_LARGE)
        elif self._buffers is not None:
            self._buffers.update_input(self.transport, self._body_bytes)

    def connectionLost(
        self, reason: twisted_failure.Failure = protocol.connectionDone
    ) -> None:
        """Completes or fails the run of a closed connection.

        Args:
          reason: Why the connection closed.
        """
        if self._is_close_delimited and reason.check(error.ConnectionDone):
            # An orderly close completes the answer; an interrupted connection
            # would have been reset.
            self._is_reusable = False
            self._is_answer_complete = True
            self._answer_class = self._classify_answer()
            self._finish_run()
            return
        self.is_lost = True
        has_head = self._is_head_complete
        lost = messages.RunFailure.LOST
        self.fail_run(messages.RunFailure.INVALID if has_head else lost)
        self._close()

    # Called by the parser.

    def on_message_begin(self) -> None:
        """Rejects a second answer to the same request.

        Raises:
          ValueError: A complete answer of the run came before.
        """
        if not self._is_answer_complete:
            return
        if not isinstance(self._answer_class, dialects.Mismatched):
            raise ValueError("bytes after the answer")
        # The answer so far was a late one to an earlier request.
        self._late_answers += 1
        if self._late_answers > _MAX_LATE_ANSWERS:
            self._answer_class = None
            self._is_answer_complete = False
            raise ValueError("too many answers to earlier requests")
        self._reset_answer()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Appends a header of the answer.

        Args:
          name: Header name.
          value: Header value.

        Raises:
          ValueError: The answer has too many headers.
        """
        if len(self._headers) >= _MAX_ANSWER_HEADERS:
            self._parse_failure_kind = messages.RunFailure.TOO_LARGE
            raise ValueError("too many headers")
        self._headers.append(
            (header_names.decode_name(name), value.decode("latin-1"))
        )

    def on_headers_complete(self) -> None:
        """Determines how the answer will end, unless it is an interim one.

        Raises:
          ValueError: The status line is not that of an answer in HTTP/1.x.
        """
        status = self._parser.get_status_code()
        version = self._parser.get_http_version()
        if version not in _HTTP_VERSIONS or not _is_valid_status(status):
            self._report_invalid_status(version, status)
            raise ValueError("status line is not valid")
        if status in _FINAL_STATUSES:
            self._is_head_complete = True
            self._is_close_delimited = (
                self._dialect.accepts_close_delimited
                and _FRAMING_HEADERS.isdisjoint(dict(self._headers))
            )
            if self.run.request.method == "HEAD":
                # The parser doesn't know the method and would wait for a body.
                self._is_answer_complete = True
                self._answer_class = self._classify_answer()
                self._is_reusable = False

    def on_body(self, body: bytes) -> None:
        """Appends a part of the answer's body.

        Args:
          body: Received bytes.

        Raises:
          ValueError: The body exceeds ``MAX_BODY_BYTES``.
        """
        self._body_bytes += len(body)
        if self._body_bytes > rpc.MAX_BODY_BYTES:
            self._parse_failure_kind = messages.RunFailure.TOO_LARGE
            raise ValueError("body too large")
        self._body_parts.append(body)

    def on_message_complete(self) -> None:
        """Marks the answer as complete, unless it is an interim one."""
        if self._is_head_complete:
            if self._is_answer_complete:
                return
            self._is_answer_complete = True
            self._is_close_delimited = False
            # The parser resets this once the message is complete.
            keep_alive = self._parser.should_keep_alive()
            self._is_reusable = self._is_reusable and keep_alive
            self._answer_class = self._classify_answer()
            if isinstance(self._answer_class, dialects.Mismatched):
                self._is_reusable = False
        else:
            self._headers = []

    def _get_parse_failure(self) -> messages.RunFailure:
        if self._parse_failure_kind is messages.RunFailure.TOO_LARGE:
            return self._parse_failure_kind
        return messages.RunFailure.INVALID

    def _finish_run(self) -> None:
        if isinstance(self._answer_class, dialects.Mismatched):
            return
        run = self.run
        self.run = None
        self._discard_input()
        self.completed_runs += 1
        if isinstance(self._answer_class, dialects.NotExecuted):
            self._has_refused = True
        self._report_condition(run)
        event = self._build_event(run)
        if self._is_reusable and not transport.has_unsent_data(self.transport):
            self.keep_alive_timeout_s = _parse_keep_alive_timeout(self._headers)
            self._on_idle(self)
        else:
            self._close()
        self._post(event)

    def _report_condition(self, run: messages.StartRun) -> None:
        # Other answers come from another server or may be corrupted.
        if self._on_condition is not None and isinstance(
            self._answer_class, dialects.Complete | dialects.NotExecuted
        ):
            condition = self._dialect.read_condition(self._headers)
            self._on_condition(run.run_id, condition)

    def _classify_answer(self) -> dialects.AnswerClass:
        status = self._parser.get_status_code()
        found = self._dialect.classify_answer(self.run, status, self._headers)
        match found:
            case (
                dialects.Complete(is_identified=False)
                | dialects.NotExecuted(is_identified=False)
                | dialects.Misdirected(is_identified=False)
            ):
                # A copy that the server sends later could not be told from the
                # answer to the next request.
                self._is_reusable = False
                if self._has_refused:
                    # Likely the earlier refusal once more; the request's own
                    # answer is still to come.
                    return dialects.Mismatched()
                if self._has_earlier_answers:
                    self._report_unidentified_answer()
                    return dialects.Invalid()
            case dialects.Complete(keeps_connection=False):
                self._is_reusable = False
        return found

    @property
    def _has_earlier_answers(self) -> bool:
        return self.completed_runs > 0 or self._late_answers > 0

    def _report_invalid_status(self, version: str, status: int) -> None:
        if self._on_condition is not None:
            reason = f"HTTP/{version} {status:03} is not a status line"
            self._on_condition(self.run.run_id, result.Err(reason))

    def _report_unidentified_answer(self) -> None:
        if self._on_condition is not None:
            reason = "an answer on a connection in use names no request"
            self._on_condition(self.run.run_id, result.Err(reason))

    def _build_event(self, run: messages.StartRun) -> messages.Event:
        match self._answer_class:
            case dialects.NotExecuted():
                failure = messages.RunFailure.SHED
            case dialects.Misdirected():
                failure = messages.RunFailure.MISDIRECTED
                self._is_reusable = False
            case dialects.Invalid():
                failure = messages.RunFailure.INVALID
                self._is_reusable = False
            case dialects.Complete(headers=headers):
                return messages.RunAnswered(
                    run_id=run.run_id,
                    status=self._parser.get_status_code(),
                    headers=headers,
                    body=b"".join(self._body_parts),
                )
        return messages.RunFailed(run_id=run.run_id, failure=failure)

    def _close(self) -> None:
        if self._is_closed:
            return
        self._is_closed = True
        # The transport keeps this object until the next garbage collection.
        self._body_parts.clear()
        self._discard_input()
        self.transport.abortConnection()
        self._on_closed(self)

    def _discard_input(self) -> None:
        if self._buffers is not None:
            self._buffers.discard_input(self.transport)


class NativeDialect:
    """Native dialect for backend servers, as described in docs/callers.md."""

    # Without a length, some networks make an interrupted connection look like
    # the end of the answer.
    accepts_close_delimited = False
    reports_condition = False

    def render_request(self, run: messages.StartRun, server_id: str) -> bytes:
        """Renders the HTTP request of a run as bytes."""
        del server_id
        system_headers: list[tuple[str, str | int]] = [
            (header_names.REQUEST_ID, run.user_request_id),
            (header_names.CONTEXT, run.context),
            (header_names.DEADLINE_MS, run.deadline_ms),
        ]
        if run.organisation:
            system_headers.append((header_names.ORGANISATION, run.organisation))
        return render_request(
            run, host=run.request.service, system_headers=system_headers
        )

    def classify_answer(
        self, run: messages.StartRun, status: int, headers: rpc.Headers
    ) -> dialects.AnswerClass:
        """Classifies every answer as the complete answer to the run.

        A preset may take a status for a refusal. Native servers don't name the
        request, so that a copy which they send later would be taken for the
        refusal of another one.
        """
        del run
        return dialects.Complete(
            headers=header_names.select_end_to_end(headers),
            keeps_connection=(
                status < http.HTTPStatus.INTERNAL_SERVER_ERROR
                and status != http.HTTPStatus.TOO_MANY_REQUESTS
            ),
        )

    def read_condition(self, headers: rpc.Headers) -> ConditionResult:
        """Returns the normal condition, as native servers report none."""
        del headers
        return result.Ok(dialects.NORMAL_CONDITION)


def render_request(
    run: messages.StartRun,
    *,
    host: str,
    system_headers: list[tuple[str, str | int]],
) -> bytes:
    """Renders the HTTP request of a run as bytes.

    Args:
      run: Run to send.
      host: Value of the ``Host`` header.
      system_headers: Names and values of the headers that the node adds.

    Returns:
      The request as sent on the wire.
    """
    request = run.request
    lines = [
        f"{request.method} {request.path} HTTP/1.1",
        f"host: {host}",
        f"content-length: {len(request.body)}",
    ]
    lines += [f"{name}: {value}" for name, value in system_headers]
    lines += [f"{name}: {value}" for name, value in request.headers]
    head = http_message.join_header_lines(lines).encode("latin-1", "replace")
    return b"%s\r\n%s" % (head, request.body)


def _is_valid_status(status: int) -> bool:
    """Returns whether a server may answer a request with a status.

    No request asks for another protocol, so that none may be switched to.
    """
    is_interim = status in _INTERIM_STATUSES
    is_expected = is_interim and status != http.HTTPStatus.SWITCHING_PROTOCOLS
    return is_expected or status in _FINAL_STATUSES


def _parse_keep_alive_timeout(headers: rpc.Headers) -> float:
    """Returns the timeout of a ``Keep-Alive`` header in seconds."""
    for name, value in headers:
        if name != "keep-alive":
            continue
        for parameter in value.split(","):
            key, _, number = parameter.strip().partition("=")
            if key.strip().lower() == "timeout" and number.strip().isdigit():
                return float(number)
    return math.inf

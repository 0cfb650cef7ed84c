"""A small HTTP server on Twisted's channel, for the faces of a node.

``twisted.web.http.Request`` and ``Site`` do more per request than a node
needs: cookies, arguments, access log. ``Exchange`` takes the request's place
on the channel and keeps only what a call is made of.
"""

from collections.abc import Callable
import dataclasses
import http

from twisted.internet import protocol
from twisted.python import failure as twisted_failure
from twisted.web import http as twisted_http
from twisted.web import http_headers

from bergamotdeal.calls import core as calls
from bergamotdeal.errors import core as errors
from bergamotdeal.node import transport
from bergamotdeal.utils import headers as header_names

IDLE_TIMEOUT_S = 60
_REASONS_BY_STATUS = {
    status.value: status.phrase.encode() for status in http.HTTPStatus
}
_BODYLESS_STATUSES = frozenset({204, 304})


@dataclasses.dataclass(kw_only=True, slots=True)
class HttpRequest:
    """A complete request as it arrived.

    Attributes:
      method: HTTP method.
      target: Path with query.
      headers: Names in lower case with their values.
      body: The complete body.
    """

    method: str
    target: str
    headers: calls.Headers
    body: bytes

    def header(self, name: str, default: str = "") -> str:
        """Returns the first value of a header.

        Args:
          name: Name in lower case.
          default: Value when the header is missing.
        """
        for key, value in self.headers:
            if key == name:
                return value
        return default


class Exchange:
    """One request and its response on a channel.

    It has the methods that ``HTTPChannel`` calls on its requests.
    """

    def __init__(self, channel: "Channel", queued: int = 0) -> None:
        del queued
        self.channel = channel
        self.requestHeaders = http_headers.Headers()
        self.responseHeaders = http_headers.Headers()
        self.on_disconnect: Callable[[], None] | None = None
        self._chunks: list[bytes] = []
        self._body_bytes = 0
        self._method = b""
        self._responded = False

    # Called by HTTPChannel.

    def parseCookies(self) -> None:
        """Does nothing: cookies travel as ordinary headers."""

    def gotLength(self, length: int | None) -> None:
        """Refuses a body that is announced as too large.

        Args:
          length: Value of the Content-Length header, or None.
        """
        if length is not None and length > calls.MAX_BODY_BYTES:
            self.channel.reject(errors.ErrorKind.BODY_TOO_LARGE)

    def handleContentChunk(self, data: bytes) -> None:
        """Keeps a part of the body.

        Args:
          data: The next bytes of the body.
        """
        self._body_bytes += len(data)
        if self._body_bytes > calls.MAX_BODY_BYTES:
            self._chunks.clear()
            self.channel.reject(errors.ErrorKind.BODY_TOO_LARGE)
            return
        self._chunks.append(data)

    def requestReceived(
        self, command: bytes, path: bytes, version: bytes
    ) -> None:
        """Hands the complete request to the face.

        Args:
          command: HTTP method.
          path: Request target.
          version: HTTP version.
        """
        del version
        self._method = command
        if self.channel.rejected:
            return
        request = HttpRequest(
            method=command.decode("latin-1"),
            target=path.decode("latin-1"),
            headers=_decode_headers(self.requestHeaders),
            body=b"".join(self._chunks),
        )
        self.channel.factory.handler(self, request)

    def connectionLost(self, reason: twisted_failure.Failure) -> None:
        """Tells the face that the caller disconnected.

        Args:
          reason: Why the connection closed.
        """
        del reason
        if not self._responded and self.on_disconnect is not None:
            self._responded = True
            self.on_disconnect()

    # Called by the face.

    def respond(self, answer: calls.Answer, headers: calls.Headers) -> None:
        """Writes the response; later calls do nothing.

        Args:
          answer: Status, end-to-end headers and body.
          headers: The system's own headers.
        """
        if self._responded:
            return
        self._responded = True
        if self.channel.factory.closing:
            self.channel.persistent = False
        data = render(
            answer,
            headers,
            close=not self.channel.persistent,
            is_head=self._method == b"HEAD",
        )
        transport.write_now(self.channel.transport, data)
        self.channel.requestDone(self)


class Channel(twisted_http.HTTPChannel):
    """A server connection that answers bad input from the closed list."""

    requestFactory = Exchange
    totalHeadersSize = calls.MAX_HEADER_BYTES
    timeOut = IDLE_TIMEOUT_S
    rejected = False

    def lineReceived(self, line: bytes) -> None:
        """Checks the size of the headers before it parses a line.

        Args:
          line: One line of the request's head.
        """
        if self._receivedHeaderSize + len(line) > self.totalHeadersSize:
            self.reject(errors.ErrorKind.HEADERS_TOO_LARGE)
            return
        super().lineReceived(line)

    def lineLengthExceeded(self, line: bytes) -> None:
        """Refuses a line that is longer than the parser's buffer.

        Args:
          line: What arrived of the line.
        """
        del line
        self.reject(errors.ErrorKind.HEADERS_TOO_LARGE)

    def reject(self, kind: errors.ErrorKind) -> None:
        """Answers an unusable request and closes the connection.

        Args:
          kind: What is wrong with the request.
        """
        if self.rejected:
            return
        self.rejected = True
        answer = calls.error_answer(kind)
        self.transport.write(
            render(answer, answer_headers(answer, ""), close=True)
        )
        self.dataReceived = _ignore
        self.lineReceived = _ignore
        self.rawDataReceived = _ignore
        self.loseConnection()

    def connectionLost(self, reason: twisted_failure.Failure) -> None:
        """Forgets the connection.

        Args:
          reason: Why it closed.
        """
        self.factory.channels.discard(self)
        super().connectionLost(reason)

    def _respondToBadRequestAndDisconnect(self) -> None:
        self.reject(errors.ErrorKind.MALFORMED_REQUEST)

    def _send100Continue(self) -> None:
        if not self.rejected:
            super()._send100Continue()


class Factory(protocol.Factory):
    """Builds a channel for each connection of a face.

    Attributes:
      handler: Called with each exchange and its request.
      channels: The open connections.
      closing: Whether connections close after the response in hand.
    """

    def __init__(
        self, *, handler: Callable[[Exchange, HttpRequest], None]
    ) -> None:
        self.handler = handler
        self.channels: set[Channel] = set()
        self.closing = False

    def close_when_answered(self) -> None:
        """Closes each connection after its next response."""
        self.closing = True

    def close_idle(self) -> None:
        """Closes the connections that have no request in hand."""
        for channel in list(self.channels):
            if not channel.requests:
                channel.loseConnection()

    def buildProtocol(self, addr) -> Channel:
        """Returns the channel of a new connection.

        Args:
          addr: Address of the other end.
        """
        del addr
        channel = Channel()
        channel.factory = self
        self.channels.add(channel)
        return channel


def answer_headers(answer: calls.Answer, user_request_id: str) -> calls.Headers:
    """Returns the system's own headers for an answer.

    Args:
      answer: The answer.
      user_request_id: Id of the user request, or empty.
    """
    headers = [(header_names.OUTCOME, answer.outcome.value)]
    if user_request_id:
        headers.append((header_names.REQUEST_ID, user_request_id))
    if answer.error is not None:
        headers.append((header_names.ERROR, answer.error.value))
    if answer.retry_after_s is not None:
        headers.append((header_names.RETRY_AFTER, str(answer.retry_after_s)))
    return headers


def render(
    answer: calls.Answer,
    headers: calls.Headers,
    *,
    close: bool,
    is_head: bool = False,
) -> bytes:
    """Renders a response as one string of bytes.

    Args:
      answer: Status, end-to-end headers and body.
      headers: The system's own headers.
      close: Whether the connection closes after the response.
      is_head: Whether the request's method was HEAD.

    Returns:
      The bytes of the response.
    """
    reason = _REASONS_BY_STATUS.get(answer.status, b"Unknown")
    parts = [b"HTTP/1.1 %d %s\r\n" % (answer.status, reason)]
    for name, value in answer.headers:
        parts.append(_header_line(name, value))
    for name, value in headers:
        parts.append(_header_line(name, value))
    if close:
        parts.append(b"connection: close\r\n")
    has_body = answer.status not in _BODYLESS_STATUSES and not is_head
    if has_body:
        parts.append(b"content-length: %d\r\n" % len(answer.body))
    parts.append(b"\r\n")
    if has_body:
        parts.append(answer.body)
    return b"".join(parts)


def _header_line(name: str, value: str) -> bytes:
    line = f"{name}: {value}".translate(_NO_LINE_BREAKS)
    return line.encode("latin-1", "replace") + b"\r\n"


_NO_LINE_BREAKS = {ord("\r"): None, ord("\n"): None, 0: None}


def _decode_headers(headers: http_headers.Headers) -> calls.Headers:
    return [
        (name.decode("latin-1").lower(), value.decode("latin-1"))
        for name, values in headers.getAllRawHeaders()
        for value in values
    ]


def _ignore(data: bytes) -> None:
    del data

"""A request of an HTTP client and its response."""

from collections.abc import Callable
import typing

import msgspec

from bergamotdeal.node import http_message
from bergamotdeal.rpc import core as rpc


class Channel(typing.Protocol):
    """Connection as an exchange sees it."""

    @property
    def closes_after_response(self) -> bool:
        """Whether the connection closes after the response in progress."""

    def send_response(self, data: bytes, *, close: bool) -> None:
        """Writes the response to the current request.

        Args:
          data: Rendered response.
          close: Whether to close the connection afterwards.
        """


class HttpRequest(msgspec.Struct, kw_only=True):
    """A complete HTTP request.

    Attributes:
      method: HTTP method.
      target: Path and query string.
      headers: Pairs of lower-case name and value.
      body: Complete body.
      keep_alive: Whether the client may reuse the connection.
      is_refused: Whether the request is refused for want of memory; its body
        was skipped.
    """

    method: str
    target: str
    headers: rpc.Headers
    body: bytes
    keep_alive: bool = True
    is_refused: bool = False

    def header(self, name: str, default: str = "") -> str:
        """Returns the first value of a header.

        Args:
          name: Header name in lower case.
          default: Value to return when the header is missing.
        """
        for key, value in self.headers:
            if key == name:
                return value
        return default


class Exchange:
    """One request and its response on a channel.

    Attributes:
      on_disconnect: Called when the client disconnects before the response.

    Args:
      channel: Connection that carries the exchange.
      method: HTTP method of the request.
      keep_alive: Whether the connection stays open after the response.
    """

    __slots__ = (
        "_channel",
        "_keep_alive",
        "_method",
        "_responded",
        "on_disconnect",
    )

    def __init__(
        self, *, channel: Channel, method: str, keep_alive: bool
    ) -> None:
        self.on_disconnect: Callable[[], None] | None = None
        self._channel = channel
        self._method = method
        self._keep_alive = keep_alive
        self._responded = False

    @property
    def is_answered(self) -> bool:
        """Whether the response was written or the client disconnected."""
        return self._responded

    def respond(self, answer: rpc.Answer, headers: rpc.Headers) -> None:
        """Writes the response; later calls do nothing.

        Args:
          answer: Status, end-to-end headers and body.
          headers: Headers that the node adds.
        """
        if self._responded:
            return
        self._responded = True
        channel = self._channel
        close = channel.closes_after_response or not self._keep_alive
        data = http_message.render_response(
            answer, headers, close=close, is_head=self._method == "HEAD"
        )
        channel.send_response(data, close=close)

    def lost(self) -> None:
        """Reports that the client disconnected before the response."""
        if self._responded:
            return
        self._responded = True
        if self.on_disconnect is not None:
            self.on_disconnect()

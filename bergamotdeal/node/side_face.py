"""A face for one purpose: an HTTP port with a handler."""

from collections.abc import Callable
import http

from twisted.internet import interfaces
from twisted.internet import task

from bergamotdeal.calls import core as calls
from bergamotdeal.errors import core as errors
from bergamotdeal.node import http_server


class HttpListener:
    """Listens on a port and answers each request at once.

    Args:
      address: IP address.
      port: TCP port.
      handler: Returns the answer to a request.
      path: The only path that is answered, or empty for any.
    """

    def __init__(
        self,
        *,
        address: str,
        port: int,
        handler: Callable[[http_server.HttpRequest], calls.Answer],
        path: str = "",
    ) -> None:
        self._path = path
        self._address = address
        self._port = port
        self._handler = handler
        self._factory = http_server.Factory(
            handler=self._handle, build_error_headers=lambda _: []
        )
        self._sweep = task.LoopingCall(self._factory.enforce_idle_timeout)
        self._listener: interfaces.IListeningPort | None = None

    def start(self, reactor: interfaces.IReactorTCP) -> None:
        """Starts listening.

        Args:
          reactor: The reactor.
        """
        self._factory.seconds = reactor.seconds
        self._listener = reactor.listenTCP(
            self._port, self._factory, interface=self._address
        )
        self._sweep.clock = reactor
        self._sweep.start(http_server.IDLE_CHECK_INTERVAL_S, now=False)

    def stop(self) -> None:
        """Stops listening; open connections stay."""
        if self._sweep.running:
            self._sweep.stop()
        if self._listener is not None:
            self._listener.stopListening()

    def _handle(
        self, exchange: http_server.Exchange, request: http_server.HttpRequest
    ) -> None:
        if self._path in ("", request.target.partition("?")[0]):
            exchange.respond(self._handler(request), [])
        else:
            exchange.respond(build_plain_answer(http.HTTPStatus.NOT_FOUND), [])


def build_plain_answer(
    status: int, body: bytes = b"", content_type: str = "application/json"
) -> calls.Answer:
    """Returns an answer without any header of the system's own.

    Args:
      status: HTTP status code.
      body: The body.
      content_type: Type of the body.
    """
    return calls.Answer(
        outcome=errors.Outcome.COMPLETED,
        status=status,
        headers=[("content-type", content_type)],
        body=body,
    )

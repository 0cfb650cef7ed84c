"""HTTP listeners that a platform adapter adds to a node."""

from collections.abc import Callable
import http

from twisted.internet import interfaces
from twisted.internet import task

from bergamotdeal.errors import core as errors
from bergamotdeal.node import http_exchange
from bergamotdeal.node import http_server
from bergamotdeal.rpc import core as rpc


class HttpListener:
    """HTTP listener with a handler that answers synchronously.

    Args:
      address: IP address to bind.
      port: TCP port to bind.
      handler: Returns the answer to a request.
      path: The only path that is served, or empty for any.
    """

    def __init__(
        self,
        *,
        address: str,
        port: int,
        handler: Callable[[http_exchange.HttpRequest], rpc.Answer],
        path: str = "",
    ) -> None:
        self._path = path
        self._address = address
        self._port = port
        self._handler = handler
        self._factory = http_server.Factory(
            handler=self._handle_request, build_error_headers=lambda _: []
        )
        self._idle_checks = task.LoopingCall(self._factory.enforce_idle_timeout)
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
        self._idle_checks.clock = reactor
        self._idle_checks.start(http_server.IDLE_CHECK_INTERVAL_S, now=False)

    def stop(self) -> None:
        """Stops listening; open connections stay open."""
        if self._idle_checks.running:
            self._idle_checks.stop()
        if self._listener is not None:
            self._listener.stopListening()

    def _handle_request(
        self,
        exchange: http_exchange.Exchange,
        request: http_exchange.HttpRequest,
    ) -> None:
        if self._path in ("", request.target.partition("?")[0]):
            exchange.respond(self._handler(request), [])
        else:
            exchange.respond(build_plain_answer(http.HTTPStatus.NOT_FOUND), [])


def build_plain_answer(
    status: int, body: bytes = b"", content_type: str = "application/json"
) -> rpc.Answer:
    """Returns an answer that carries none of the node's own headers.

    Args:
      status: HTTP status code.
      body: Body of the answer.
      content_type: Media type of the body.
    """
    return rpc.Answer(
        outcome=errors.Outcome.COMPLETED,
        status=status,
        headers=[("content-type", content_type)],
        body=body,
    )

"""Single HTTP calls to a store, each made once and within a budget."""

from collections.abc import Callable
import http
import io
import time
import typing

import result
from twisted.internet import defer
from twisted.internet import endpoints
from twisted.internet import interfaces
from twisted.internet import protocol
from twisted.web import client
from twisted.web import http_headers
from twisted.web import iweb
import zope.interface

from bergamotdeal.store import budget
from bergamotdeal.store import core
from bergamotdeal.utils import transport

CALL_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 1.0
MAX_RESPONSE_BYTES = 2 * core.MAX_VALUE_BYTES
"""Longest answer; a listing may hold a little more than one value."""

FailureKind = core.FailureKind


class HttpResponse(typing.NamedTuple):
    """An answer with its complete body."""

    status: int
    headers: http_headers.Headers
    body: bytes


class _BodyReader(protocol.Protocol):
    """Collects a body of bounded length."""

    def __init__(self, *, done: defer.Deferred) -> None:
        self._done = done
        self._buffer = io.BytesIO()

    def dataReceived(self, data):  # noqa: N802
        """Takes a part of the body."""
        if self._buffer.tell() + len(data) > MAX_RESPONSE_BYTES:
            self.transport.loseConnection()
            return
        self._buffer.write(data)

    def connectionLost(self, reason):  # noqa: N802
        """Ends the body; only a complete one is passed on."""
        if reason.check(client.ResponseDone):
            self._done.callback(self._buffer.getvalue())
        else:
            self._done.errback(reason)


@zope.interface.implementer(interfaces.IStreamClientEndpoint)
class _Endpoint:
    """Makes connections that end when the other side falls silent."""

    def __init__(self, *, inner: interfaces.IStreamClientEndpoint) -> None:
        self._inner = inner

    def connect(self, factory):
        """Connects and sets the options of the connection."""
        connected = self._inner.connect(factory)
        return connected.addCallback(_with_options)


def _with_options(connected: protocol.Protocol) -> protocol.Protocol:
    transport.enable_dead_peer_detection(connected.transport)
    return connected


@zope.interface.implementer(iweb.IAgentEndpointFactory)
class _EndpointFactory:
    """Connects to IP addresses without a resolver and its threads."""

    def __init__(self, *, reactor) -> None:
        self._reactor = reactor

    def endpointForURI(self, uri):  # noqa: N802
        """Returns the endpoint of the store."""
        return _Endpoint(
            inner=endpoints.TCP4ClientEndpoint(
                self._reactor, uri.host, uri.port, timeout=CONNECT_TIMEOUT_S
            )
        )


class HttpClient:
    """Makes calls; none is repeated on its own.

    Args:
      reactor: The reactor.
      calls_per_minute: Budget of calls.
      on_call: Called once for each call that is made.
      clock: Returns monotonic seconds.
    """

    def __init__(
        self,
        *,
        reactor,
        calls_per_minute: int,
        on_call: Callable[[], None] | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._reactor = reactor
        self._on_call = on_call
        self._clock = clock
        self._budget = budget.CallRateLimiter(
            calls_per_minute=calls_per_minute, now=clock()
        )
        # A pool would send a request again on its own after a lost answer.
        self._pool = client.HTTPConnectionPool(reactor, persistent=True)
        self._pool.retryAutomatically = False
        self._agent = client.Agent.usingEndpointFactory(
            reactor, _EndpointFactory(reactor=reactor), pool=self._pool
        )

    def close(self) -> defer.Deferred:
        """Closes idle connections."""
        return self._pool.closeCachedConnections()

    def call(
        self,
        method: str,
        url: str,
        *,
        body: bytes = b"",
        headers_by_name: dict[str, str] | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> core.DeferredResult[HttpResponse]:
        """Makes a call.

        Args:
          method: HTTP method.
          url: Where to.
          body: The request's body.
          headers_by_name: Headers to send.
          timeout_s: Time for the whole answer, seconds.

        Returns:
          A 2xx answer, or the failure that any other answer stands for.
        """
        if not self._budget.try_acquire(self._clock()):
            failure = core.Failure(
                kind=FailureKind.BUDGET_SPENT,
                detail="this node's budget of store calls is spent",
            )
            return defer.succeed(result.Err(failure))
        if self._on_call is not None:
            self._on_call()
        headers = http_headers.Headers()
        for name, value in (headers_by_name or {}).items():
            headers.addRawHeader(name, value)
        producer = client.FileBodyProducer(io.BytesIO(body)) if body else None
        answered = self._agent.request(
            method.encode(), url.encode(), headers, producer
        )
        answered.addCallback(_read_answer)
        answered.addTimeout(timeout_s, self._reactor)
        is_write = method != "GET"
        answered.addCallbacks(
            lambda answer: _check(answer, is_write=is_write),
            lambda error: result.Err(_lost(error, is_write=is_write)),
        )
        return answered


def _read_answer(response) -> defer.Deferred:
    done: defer.Deferred[bytes] = defer.Deferred(
        lambda _: reader.transport.loseConnection()
    )
    reader = _BodyReader(done=done)
    response.deliverBody(reader)
    return done.addCallback(
        lambda body: HttpResponse(response.code, response.headers, body)
    )


def _check(
    answer: HttpResponse, *, is_write: bool
) -> result.Result[HttpResponse, core.Failure]:
    match answer.status:
        case (
            http.HTTPStatus.OK
            | http.HTTPStatus.CREATED
            | http.HTTPStatus.NO_CONTENT
        ):
            return result.Ok(answer)
        case http.HTTPStatus.NOT_FOUND:
            kind = FailureKind.NOT_FOUND
        case http.HTTPStatus.CONFLICT:
            kind = FailureKind.CONFLICT
        case http.HTTPStatus.GONE:
            kind = FailureKind.HISTORY_GONE
        case http.HTTPStatus.UNAUTHORIZED | http.HTTPStatus.FORBIDDEN:
            kind = FailureKind.UNAUTHORIZED
        case http.HTTPStatus.TOO_MANY_REQUESTS:
            kind = FailureKind.RATE_LIMITED
        case status if status >= http.HTTPStatus.INTERNAL_SERVER_ERROR:
            kind = FailureKind.UNAVAILABLE
        case _:
            kind = FailureKind.INVALID
    return result.Err(
        core.Failure(
            kind=kind,
            detail=f"the store answered {answer.status}",
            may_have_applied=is_write and kind is FailureKind.UNAVAILABLE,
            retry_after_s=_retry_after(answer),
        )
    )


def _retry_after(answer: HttpResponse) -> float | None:
    values = answer.headers.getRawHeaders("Retry-After", [])
    if values and values[0].isdigit():
        return float(values[0])
    return None


def _lost(error, *, is_write: bool) -> core.Failure:
    return core.Failure(
        kind=FailureKind.UNAVAILABLE,
        detail=f"no answer: {error.type.__name__}",
        may_have_applied=is_write,
    )

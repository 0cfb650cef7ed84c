"""Rate-limited HTTP client that sends each request at most once."""

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

from bergamotdeal.store import core
from bergamotdeal.store import eras
from bergamotdeal.utils import token_bucket
from bergamotdeal.utils import transport

CALL_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 1.0
MAX_RESPONSE_BYTES = 2 * core.MAX_VALUE_BYTES
"""Maximum size of a body; a listing may be slightly larger than one value."""

_SECONDS_PER_MINUTE = 60

FailureKind = core.FailureKind


class HttpResponse(typing.NamedTuple):
    """A response with its complete body."""

    status: int
    headers: http_headers.Headers
    body: bytes
    era: int = eras.NO_ERA


class _BodyReader(protocol.Protocol):
    """A collector of a response body of bounded size."""

    def __init__(self, *, done: defer.Deferred) -> None:
        self._done = done
        self._buffer = io.BytesIO()

    def dataReceived(self, data):  # noqa: N802
        """Appends a part of the body; closes the connection past the limit."""
        if self._buffer.tell() + len(data) > MAX_RESPONSE_BYTES:
            self.transport.loseConnection()
            return
        self._buffer.write(data)

    def connectionLost(self, reason):  # noqa: N802
        """Passes on a complete body; a truncated one fails."""
        if reason.check(client.ResponseDone):
            self._done.callback(self._buffer.getvalue())
        else:
            self._done.errback(reason)


@zope.interface.implementer(interfaces.IStreamClientEndpoint)
class _DeadPeerDetectingEndpoint:
    """An endpoint whose connections close when the peer stops responding."""

    def __init__(self, *, inner: interfaces.IStreamClientEndpoint) -> None:
        self._inner = inner

    def connect(self, factory):
        """Connects and enables dead peer detection on the connection."""
        connected = self._inner.connect(factory)
        return connected.addCallback(_enable_dead_peer_detection)


def _enable_dead_peer_detection(
    connected: protocol.Protocol,
) -> protocol.Protocol:
    transport.enable_dead_peer_detection(connected.transport)
    return connected


@zope.interface.implementer(iweb.IAgentEndpointFactory)
class _EndpointFactory:
    """A factory of endpoints for IP addresses, without resolver threads."""

    def __init__(self, *, reactor) -> None:
        self._reactor = reactor

    def endpointForURI(self, uri):  # noqa: N802
        """Returns the endpoint for a URI."""
        return _DeadPeerDetectingEndpoint(
            inner=endpoints.TCP4ClientEndpoint(
                self._reactor, uri.host, uri.port, timeout=CONNECT_TIMEOUT_S
            )
        )


class HttpClient:
    """An HTTP client that never retries by itself.

    Args:
      reactor: Twisted's reactor.
      calls_per_minute: Rate limit; the requests of a whole minute may be sent
        in one burst.
      on_call: Called once per request that is sent.
      clock: Returns monotonic seconds.
      era_header: Header that names the store's era, or empty for none.
      era_tracker: Tracker of the store's era.
    """

    def __init__(
        self,
        *,
        reactor,
        calls_per_minute: int,
        on_call: Callable[[], None] | None = None,
        clock: Callable[[], float] = time.monotonic,
        era_header: str = "",
        era_tracker: eras.EraTracker | None = None,
    ) -> None:
        self._reactor = reactor
        self._era_header = era_header
        self._eras = era_tracker or eras.EraTracker()
        self._on_call = on_call
        self._clock = clock
        self._call_budget = token_bucket.TokenBucket(
            rate=calls_per_minute / _SECONDS_PER_MINUTE,
            capacity=calls_per_minute,
            now=clock(),
        )
        # The pool would otherwise retry a request itself after a lost response.
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
        accepts_any_status: bool = False,
    ) -> core.DeferredResult[HttpResponse]:
        """Sends a request.

        Args:
          method: HTTP method.
          url: Target of the request.
          body: Body of the request.
          headers_by_name: Headers of the request.
          timeout_s: Timeout for the complete response, in seconds.
          accepts_any_status: Whether to return each response, whatever its
            status.

        Returns:
          The response if it is successful, or the failure that any other
          response or a lost connection stands for.
        """
        if not self._call_budget.try_acquire(self._clock()):
            failure = core.Failure(
                kind=FailureKind.BUDGET_SPENT,
                detail="the store call budget of this node is exhausted",
            )
            return defer.succeed(result.Err(failure))
        if self._on_call is not None:
            self._on_call()
        headers = http_headers.Headers()
        for name, value in (headers_by_name or {}).items():
            headers.addRawHeader(name, value)
        producer = client.FileBodyProducer(io.BytesIO(body)) if body else None
        pending_response = self._agent.request(
            method.encode(), url.encode(), headers, producer
        )
        pending_response.addCallback(_read_response)
        pending_response.addTimeout(timeout_s, self._reactor)
        is_write = method != "GET"
        pending_response.addCallbacks(
            lambda response: (
                result.Ok(response)
                if accepts_any_status
                else self._check_era(response, is_write=is_write)
            ),
            lambda error: result.Err(
                _request_failure(error, is_write=is_write)
            ),
        )
        return pending_response

    def _check_era(
        self, response: HttpResponse, *, is_write: bool
    ) -> result.Result[HttpResponse, core.Failure]:
        """Checks era and status of an answer; an older era changes nothing."""
        if not self._era_header:
            return _check_status(response, is_write=is_write)
        values = response.headers.getRawHeaders(self._era_header, [])
        if not values or not values[0].isdigit():
            return _check_status(response, is_write=is_write)
        era = int(values[0])
        if not self._eras.observe(era):
            return result.Err(
                core.Failure(
                    kind=FailureKind.UNAVAILABLE,
                    detail=(
                        f"the answer is of era {era} of the store, which is "
                        f"in era {self._eras.newest}"
                    ),
                    may_have_applied=is_write,
                )
            )
        return _check_status(response._replace(era=era), is_write=is_write)


def build_conflict() -> result.Err[core.Failure]:
    """Returns the failure of a write that expects a version of an old era."""
    return result.Err(
        core.Failure(
            kind=FailureKind.CONFLICT,
            detail="the store was restored from a copy since the read",
        )
    )


def check_write_era(
    version: int, expected_version: int
) -> result.Result[int, core.Failure]:
    """Returns the version of a write unless the store was restored meanwhile.

    The revision that the write expected may have been given out again.

    Args:
      version: Version that the write created.
      expected_version: Version that the write expected, or zero.
    """
    if not expected_version or (
        eras.get_era(version) == eras.get_era(expected_version)
    ):
        return result.Ok(version)
    return result.Err(
        core.Failure(
            kind=FailureKind.UNAVAILABLE,
            detail="the store was restored from a copy during the write",
            may_have_applied=True,
        )
    )


def _read_response(response) -> defer.Deferred:
    done: defer.Deferred[bytes] = defer.Deferred(
        lambda _: reader.transport.loseConnection()
    )
    reader = _BodyReader(done=done)
    response.deliverBody(reader)
    return done.addCallback(
        lambda body: HttpResponse(response.code, response.headers, body)
    )


def _check_status(
    response: HttpResponse, *, is_write: bool
) -> result.Result[HttpResponse, core.Failure]:
    match response.status:
        case (
            http.HTTPStatus.OK
            | http.HTTPStatus.CREATED
            | http.HTTPStatus.NO_CONTENT
        ):
            return result.Ok(response)
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
            detail=f"the store responded with status {response.status}",
            may_have_applied=is_write and kind is FailureKind.UNAVAILABLE,
            retry_after_s=_parse_retry_after(response),
        )
    )


def _parse_retry_after(response: HttpResponse) -> float | None:
    values = response.headers.getRawHeaders("Retry-After", [])
    if values and values[0].isdigit():
        return float(values[0])
    return None


def _request_failure(error, *, is_write: bool) -> core.Failure:
    return core.Failure(
        kind=FailureKind.UNAVAILABLE,
        detail=f"no answer from the store: {error.type.__name__}",
        may_have_applied=is_write,
    )

"""The object API over HTTP.

This is the one module to change when the platform's protocol differs from
the one that docs/store.md assumes.
"""

from collections.abc import Callable
import http
import io
import time
import typing
import urllib.parse

import msgspec
import result
from twisted.internet import defer
from twisted.internet import endpoints
from twisted.internet import protocol
from twisted.web import client
from twisted.web import http_headers
from twisted.web import iweb
import zope.interface

from bergamotdeal.settings import model as settings
from bergamotdeal.store import budget
from bergamotdeal.store import core

CALL_TIMEOUT_S = 2.0
WATCH_GRACE_S = 3.0
CONNECT_TIMEOUT_S = 1.0
MAX_ANSWER_BYTES = core.MAX_VALUE_BYTES + 64 * 1024

_VERSION_HEADER = "Object-Version"
_EXPECTED_HEADER = "Expected-Version"

FailureKind = core.FailureKind


class _Listing(msgspec.Struct):
    objects: list[core.Listed]


class _BodyReader(protocol.Protocol):
    """Collects a body of bounded length."""

    def __init__(self, *, done: defer.Deferred) -> None:
        self._done = done
        self._buffer = io.BytesIO()

    def dataReceived(self, data):  # noqa: N802
        """Takes a part of the body."""
        if self._buffer.tell() + len(data) > MAX_ANSWER_BYTES:
            self.transport.loseConnection()
            return
        self._buffer.write(data)

    def connectionLost(self, reason):  # noqa: N802
        """Ends the body; only a complete one is passed on."""
        if reason.check(client.ResponseDone):
            self._done.callback(self._buffer.getvalue())
        else:
            self._done.errback(reason)


@zope.interface.implementer(iweb.IAgentEndpointFactory)
class _EndpointFactory:
    """Connects to IP addresses without a resolver and its threads."""

    def __init__(self, *, reactor) -> None:
        self._reactor = reactor

    def endpointForURI(self, uri):  # noqa: N802
        """Returns the endpoint of the store."""
        return endpoints.TCP4ClientEndpoint(
            self._reactor, uri.host, uri.port, timeout=CONNECT_TIMEOUT_S
        )


class HttpStore:
    """A client of the object API.

    Args:
      settings: Address, token and budget.
      reactor: Twisted's reactor.
      count: Called once for each call that is made.
      clock: Returns monotonic seconds.
    """

    def __init__(
        self,
        *,
        settings: settings.StoreSection,
        reactor,
        count: Callable[[], None] | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._reactor = reactor
        self._token = settings.token
        self._base = f"http://{settings.address}:{settings.port}/v1"
        self._count = count
        self._clock = clock
        self._budget = budget.CallBudget(
            calls_per_minute=settings.calls_per_minute, now=clock()
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

    def get(self, key: str) -> core.Answer[core.StoredObject]:
        """Reads an object."""
        answered = self._call("GET", f"/objects/{_quote(key)}")
        return answered.addCallback(_then(lambda a: _stored(key, a)))

    def put(
        self, key: str, value: bytes, *, expected_version: int
    ) -> core.Answer[int]:
        """Writes an object if its version is still the expected one."""
        answered = self._call(
            "PUT",
            f"/objects/{_quote(key)}",
            body=value,
            headers_by_name={_EXPECTED_HEADER: str(expected_version)},
        )
        return answered.addCallback(_then(_version))

    def list(self, prefix: str) -> core.Answer[list[core.Listed]]:
        """Lists the objects whose keys start with a prefix."""
        query = urllib.parse.urlencode({"prefix": prefix})
        answered = self._call("GET", f"/objects?{query}")
        return answered.addCallback(_then(_listing))

    def watch(
        self, key: str, *, after_version: int, timeout_s: float
    ) -> core.Answer[core.StoredObject | None]:
        """Waits until an object has a higher version."""
        query = urllib.parse.urlencode(
            {"after": after_version, "timeout": f"{timeout_s:g}"}
        )
        answered = self._call(
            "GET",
            f"/watch/{_quote(key)}?{query}",
            timeout_s=timeout_s + WATCH_GRACE_S,
        )
        return answered.addCallback(_then(lambda a: _watched(key, a)))

    def _call(
        self,
        method: str,
        target: str,
        *,
        body: bytes = b"",
        headers_by_name: dict[str, str] | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> core.Answer["_HttpAnswer"]:
        if not self._budget.take(self._clock()):
            failure = core.Failure(
                kind=FailureKind.BUDGET_SPENT,
                detail="this node's budget of store calls is spent",
            )
            return defer.succeed(result.Err(failure))
        if self._count is not None:
            self._count()
        headers = http_headers.Headers()
        for name, value in (headers_by_name or {}).items():
            headers.addRawHeader(name, value)
        if self._token:
            headers.addRawHeader("Authorization", f"Bearer {self._token}")
        producer = client.FileBodyProducer(io.BytesIO(body)) if body else None
        answered = self._agent.request(
            method.encode(), (self._base + target).encode(), headers, producer
        )
        answered.addCallback(_read_answer)
        answered.addTimeout(timeout_s, self._reactor)
        is_write = method == "PUT"
        answered.addCallbacks(
            lambda answer: _check(answer, is_write=is_write),
            lambda error: result.Err(_lost(error, is_write=is_write)),
        )
        return answered


class _HttpAnswer(typing.NamedTuple):
    status: int
    headers: http_headers.Headers
    body: bytes


def _quote(key: str) -> str:
    return urllib.parse.quote(key, safe="/")


def _read_answer(response) -> defer.Deferred:
    done: defer.Deferred[bytes] = defer.Deferred(
        lambda _: reader.transport.loseConnection()
    )
    reader = _BodyReader(done=done)
    response.deliverBody(reader)
    return done.addCallback(
        lambda body: _HttpAnswer(response.code, response.headers, body)
    )


def _then(convert: Callable) -> Callable:
    """Converts the answer inside a result."""

    def apply(outcome: result.Result) -> result.Result:
        return outcome.and_then(convert)

    return apply


def _check(
    answer: _HttpAnswer, *, is_write: bool
) -> result.Result[_HttpAnswer, core.Failure]:
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


def _retry_after(answer: _HttpAnswer) -> float | None:
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


def _invalid(detail: str) -> result.Err[core.Failure]:
    return result.Err(core.Failure(kind=FailureKind.INVALID, detail=detail))


def _version(answer: _HttpAnswer) -> result.Result[int, core.Failure]:
    values = answer.headers.getRawHeaders(_VERSION_HEADER, [])
    if not values or not values[0].isdigit():
        return _invalid("the answer names no version")
    return result.Ok(int(values[0]))


def _stored(
    key: str, answer: _HttpAnswer
) -> result.Result[core.StoredObject, core.Failure]:
    return _version(answer).map(
        lambda version: core.StoredObject(
            key=key, version=version, value=answer.body
        )
    )


def _watched(
    key: str, answer: _HttpAnswer
) -> result.Result[core.StoredObject | None, core.Failure]:
    if answer.status == http.HTTPStatus.NO_CONTENT:
        return result.Ok(None)
    return _stored(key, answer)


def _listing(
    answer: _HttpAnswer,
) -> result.Result[list[core.Listed], core.Failure]:
    try:
        listing = msgspec.json.decode(answer.body, type=_Listing)
    except (msgspec.DecodeError, ValueError) as error:
        return _invalid(str(error))
    return result.Ok(listing.objects)

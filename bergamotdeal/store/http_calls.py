"""Rate-limited HTTP client that sends each request at most once."""

from collections.abc import Callable
import http
import time
import typing
import urllib.parse

import result
from twisted.internet import defer

from bergamotdeal.store import core
from bergamotdeal.store import eras
from bergamotdeal.store import http_connection
from bergamotdeal.utils import token_bucket

CALL_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 1.0
MAX_RESPONSE_BYTES = 2 * core.MAX_VALUE_BYTES
"""Maximum size of a body; a listing may be slightly larger than one value."""

_SECONDS_PER_MINUTE = 60

FailureKind = core.FailureKind


class HttpResponse(typing.NamedTuple):
    """A response with its complete body.

    Attributes:
      status: HTTP status code.
      headers_by_name: First value of each header, by its lower-case name.
      body: Complete body.
      era: Era of the store in which it answered.
    """

    status: int
    headers_by_name: dict[str, str]
    body: bytes
    era: int = eras.NO_ERA


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
        self._pool = http_connection.ConnectionPool(
            reactor=reactor,
            connect_timeout_s=CONNECT_TIMEOUT_S,
            max_response_bytes=MAX_RESPONSE_BYTES,
        )

    def close(self) -> defer.Deferred:
        """Closes idle connections."""
        return self._pool.close()

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
        parts = urllib.parse.urlsplit(url)
        pending_response = self._pool.send(
            http_connection.Request(
                address=parts.hostname,
                port=parts.port,
                method=method,
                target=parts._replace(scheme="", netloc="").geturl(),
                headers_by_name=headers_by_name or {},
                body=body,
            )
        )
        pending_response.addCallback(_build_response)
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
        value = response.headers_by_name.get(self._era_header.lower(), "")
        if not value.isdecimal():
            return _check_status(response, is_write=is_write)
        era = int(value)
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


def accept_absence(
    outcome: result.Result[HttpResponse, core.Failure],
) -> result.Result[None, core.Failure]:
    """Returns success for an answer that says that there is no such object."""
    match outcome:
        case result.Err(failure) if failure.kind is not FailureKind.NOT_FOUND:
            return outcome
    return result.Ok(None)


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


def _build_response(response: http_connection.Response) -> HttpResponse:
    return HttpResponse(
        response.status, response.headers_by_name, response.body
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
    value = response.headers_by_name.get("retry-after", "")
    return float(value) if value.isdecimal() else None


def _request_failure(error, *, is_write: bool) -> core.Failure:
    return core.Failure(
        kind=FailureKind.UNAVAILABLE,
        detail=f"no answer from the store: {error.type.__name__}",
        may_have_applied=is_write,
    )

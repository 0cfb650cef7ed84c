"""The object API over HTTP.

This is the one module to change when the platform's protocol differs from
the one that docs/store.md assumes.
"""

from collections.abc import Callable
import http
import time
import urllib.parse

import msgspec
import result
from twisted.internet import defer

from bergamotdeal.settings import model as settings
from bergamotdeal.store import core
from bergamotdeal.store import http_calls

WATCH_GRACE_S = 3.0

_VERSION_HEADER = "Object-Version"
_EXPECTED_HEADER = "Expected-Version"

FailureKind = core.FailureKind


class _ListedObject(msgspec.Struct):
    key: str
    version: int


class _Listing(msgspec.Struct):
    objects: list[_ListedObject]


class HttpStore:
    """A client of the object API.

    Args:
      settings: Address, token and budget.
      reactor: Twisted's reactor.
      on_call: Called once for each call that is made.
      clock: Returns monotonic seconds.
    """

    def __init__(
        self,
        *,
        settings: settings.StoreSection,
        reactor,
        on_call: Callable[[], None] | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._base = f"http://{settings.address}:{settings.port}/v1"
        self._headers_by_name = {}
        if settings.token:
            self._headers_by_name["Authorization"] = f"Bearer {settings.token}"
        self._client = http_calls.HttpClient(
            reactor=reactor,
            calls_per_minute=settings.calls_per_minute,
            on_call=on_call,
            clock=clock,
        )

    def close(self) -> defer.Deferred:
        """Closes idle connections."""
        return self._client.close()

    def get(self, key: str) -> core.DeferredResult[core.StoredObject]:
        """Reads an object."""
        answered = self._call("GET", f"/objects/{_quote(key)}")
        return answered.addCallback(_then(lambda a: _stored(key, a)))

    def put(
        self, key: str, value: bytes, *, expected_version: int
    ) -> core.DeferredResult[int]:
        """Writes an object if its version is still the expected one."""
        answered = self._call(
            "PUT",
            f"/objects/{_quote(key)}",
            body=value,
            headers_by_name={_EXPECTED_HEADER: str(expected_version)},
        )
        return answered.addCallback(_then(_version))

    def list(self, prefix: str) -> core.DeferredResult[list[core.ListingEntry]]:
        """Lists the objects whose keys start with a prefix."""
        query = urllib.parse.urlencode({"prefix": prefix})
        answered = self._call("GET", f"/objects?{query}")
        return answered.addCallback(_then(_listing))

    def watch(
        self, key: str, *, after_version: int, timeout_s: float
    ) -> core.DeferredResult[core.StoredObject | None]:
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
        timeout_s: float = http_calls.CALL_TIMEOUT_S,
    ) -> core.DeferredResult[http_calls.HttpResponse]:
        return self._client.call(
            method,
            self._base + target,
            body=body,
            headers_by_name=self._headers_by_name | (headers_by_name or {}),
            timeout_s=timeout_s,
        )


def _quote(key: str) -> str:
    return urllib.parse.quote(key, safe="/")


def _then(convert: Callable) -> Callable:
    """Converts the answer inside a result."""

    def apply(outcome: result.Result) -> result.Result:
        return outcome.and_then(convert)

    return apply


def _invalid(detail: str) -> result.Err[core.Failure]:
    return result.Err(core.Failure(kind=FailureKind.INVALID, detail=detail))


def _version(
    answer: http_calls.HttpResponse,
) -> result.Result[int, core.Failure]:
    values = answer.headers.getRawHeaders(_VERSION_HEADER, [])
    if not values or not values[0].isdigit():
        return _invalid("the answer names no version")
    return result.Ok(int(values[0]))


def _stored(
    key: str, answer: http_calls.HttpResponse
) -> result.Result[core.StoredObject, core.Failure]:
    return _version(answer).map(
        lambda version: core.StoredObject(
            key=key, version=version, value=answer.body
        )
    )


def _watched(
    key: str, answer: http_calls.HttpResponse
) -> result.Result[core.StoredObject | None, core.Failure]:
    if answer.status == http.HTTPStatus.NO_CONTENT:
        return result.Ok(None)
    return _stored(key, answer)


def _listing(
    answer: http_calls.HttpResponse,
) -> result.Result[list[core.ListingEntry], core.Failure]:
    try:
        listing = msgspec.json.decode(answer.body, type=_Listing)
    except (msgspec.DecodeError, ValueError) as error:
        return _invalid(str(error))
    return result.Ok(
        [
            core.ListingEntry(key=each.key, version=each.version)
            for each in listing.objects
        ]
    )

"""The object API over HTTP.

If the platform's protocol differs from the one in docs/store.md, only this
module has to change.
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
from bergamotdeal.store import eras
from bergamotdeal.store import http_calls
from bergamotdeal.utils import json_data

WATCH_GRACE_S = 3.0
"""Time for the answer to a watch to arrive after the watch has timed out."""

_VERSION_HEADER = "Object-Version"
_EXPECTED_VERSION_HEADER = "Expected-Version"
_ERA_HEADER = "Object-Store-Era"

FailureKind = core.FailureKind


class _ListedObject(msgspec.Struct, kw_only=True):
    key: str
    version: int


class _Listing(msgspec.Struct, kw_only=True):
    objects: list[_ListedObject]


class HttpStore:
    """A client of the object API.

    Args:
      settings: Address, token and rate limit.
      reactor: Twisted's reactor.
      on_call: Called once per request that is sent.
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
        self._base_url = f"http://{settings.address}:{settings.port}/v1"
        self._headers_by_name = {}
        if settings.token:
            self._headers_by_name["Authorization"] = f"Bearer {settings.token}"
        self.eras = eras.EraTracker()
        self._client = http_calls.HttpClient(
            reactor=reactor,
            calls_per_minute=settings.calls_per_minute,
            on_call=on_call,
            clock=clock,
            era_header=_ERA_HEADER,
            era_tracker=self.eras,
        )

    def close(self) -> defer.Deferred:
        """Closes idle connections."""
        return self._client.close()

    def get(self, key: str) -> core.DeferredResult[core.StoredObject]:
        """Reads an object."""
        pending_response = self._call("GET", f"/objects/{_quote(key)}")
        return pending_response.addCallback(
            _map_ok(lambda response: _parse_object(key, response))
        )

    def check(self) -> core.DeferredResult[None]:
        """Checks whether the store answers, by reading an unused key."""
        pending_response = self._call(
            "GET", f"/objects/{_quote(core.CHECK_KEY)}"
        )
        return pending_response.addCallback(http_calls.accept_absence)

    def put(
        self, key: str, value: bytes, *, expected_version: int
    ) -> core.DeferredResult[int]:
        """Writes an object if it still has the expected version."""
        if self.eras.is_outdated(expected_version):
            return defer.succeed(http_calls.build_conflict())
        revision = eras.get_revision(expected_version)
        pending_response = self._call(
            "PUT",
            f"/objects/{_quote(key)}",
            body=value,
            headers_by_name={_EXPECTED_VERSION_HEADER: str(revision)},
        )
        pending_response.addCallback(_map_ok(_parse_version))
        return pending_response.addCallback(
            _map_ok(
                lambda version: http_calls.check_write_era(
                    version, expected_version
                )
            )
        )

    def delete(
        self, key: str, *, expected_version: int
    ) -> core.DeferredResult[None]:
        """Deletes an object if it still has the expected version."""
        if self.eras.is_outdated(expected_version):
            return defer.succeed(http_calls.build_conflict())
        revision = eras.get_revision(expected_version)
        pending_response = self._call(
            "DELETE",
            f"/objects/{_quote(key)}",
            headers_by_name={_EXPECTED_VERSION_HEADER: str(revision)},
        )
        return pending_response.addCallback(_map_ok(lambda _: result.Ok(None)))

    def list(self, prefix: str) -> core.DeferredResult[list[core.ListingEntry]]:
        """Lists the objects whose keys start with a prefix."""
        query = urllib.parse.urlencode({"prefix": prefix})
        pending_response = self._call("GET", f"/objects?{query}")
        return pending_response.addCallback(_map_ok(_parse_listing))

    def watch(
        self, key: str, *, after_version: int, timeout_s: float
    ) -> core.DeferredResult[core.StoredObject | None]:
        """Waits by long poll until an object has a newer version."""
        after = 0
        if not self.eras.is_outdated(after_version):
            after = eras.get_revision(after_version)
        query = urllib.parse.urlencode(
            {"after": after, "timeout": f"{timeout_s:g}"}
        )
        pending_response = self._call(
            "GET",
            f"/watch/{_quote(key)}?{query}",
            timeout_s=timeout_s + WATCH_GRACE_S,
        )
        return pending_response.addCallback(
            _map_ok(lambda response: _parse_watched(key, response))
        )

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
            self._base_url + target,
            body=body,
            headers_by_name=self._headers_by_name | (headers_by_name or {}),
            timeout_s=timeout_s,
        )


def _quote(key: str) -> str:
    return urllib.parse.quote(key, safe="/")


def _map_ok(convert: Callable) -> Callable:
    """Returns a callback that converts the value of a successful result."""

    def convert_result(outcome: result.Result) -> result.Result:
        return outcome.and_then(convert)

    return convert_result


def _invalid_response(detail: str) -> result.Err[core.Failure]:
    return result.Err(core.Failure(kind=FailureKind.INVALID, detail=detail))


def _parse_version(
    response: http_calls.HttpResponse,
) -> result.Result[int, core.Failure]:
    version = response.headers_by_name.get(_VERSION_HEADER.lower(), "")
    if not version.isdecimal():
        return _invalid_response(
            "no valid version in the Object-Version header of the answer"
        )
    return result.Ok(eras.combine(response.era, int(version)))


def _parse_object(
    key: str, response: http_calls.HttpResponse
) -> result.Result[core.StoredObject, core.Failure]:
    return _parse_version(response).map(
        lambda version: core.StoredObject(
            key=key, version=version, value=response.body
        )
    )


def _parse_watched(
    key: str, response: http_calls.HttpResponse
) -> result.Result[core.StoredObject | None, core.Failure]:
    if response.status == http.HTTPStatus.NO_CONTENT:
        return result.Ok(None)
    return _parse_object(key, response)


def _parse_listing(
    response: http_calls.HttpResponse,
) -> result.Result[list[core.ListingEntry], core.Failure]:
    decoded = json_data.decode(response.body, _Listing)
    if isinstance(decoded, result.Err):
        return _invalid_response(decoded.err_value)
    listing = decoded.ok_value
    return result.Ok(
        [
            core.ListingEntry(
                key=entry.key,
                version=eras.combine(response.era, entry.version),
            )
            for entry in listing.objects
        ]
    )

"""Protocol-independent interface of the platform's object API."""

import enum
import typing

import msgspec
import result
from twisted.internet import defer

from bergamotdeal.store import eras

NO_VERSION = 0
"""Version that stands for an object that does not exist."""

MAX_VALUE_BYTES = 1024 * 1024
"""Maximum size of an object's content."""

CHECK_KEY = "check"
"""Key of an object that nobody writes, read to check that the store answers."""


class FailureKind(enum.Enum):
    """Reasons why a store call fails."""

    NOT_FOUND = "not-found"
    CONFLICT = "conflict"
    HISTORY_GONE = "history-gone"
    UNAVAILABLE = "unavailable"
    RATE_LIMITED = "rate-limited"
    UNAUTHORIZED = "unauthorized"
    BUDGET_SPENT = "budget-spent"
    INVALID = "invalid"


class Failure(msgspec.Struct, frozen=True, kw_only=True):
    """The failure of a store call.

    Attributes:
      kind: Reason of the failure.
      detail: One-line description for operators.
      may_have_applied: Whether a write may have taken effect despite the
        failure.
      retry_after_s: Seconds to wait before a retry as the store requested, or
        None.
    """

    kind: FailureKind
    detail: str
    may_have_applied: bool = False
    retry_after_s: float | None = None


class StoredObject(msgspec.Struct, frozen=True, kw_only=True):
    """An object of the store.

    Attributes:
      key: Key of the object.
      version: Version of the object, increased by each write and when the
        store begins a new era; see the eras module.
      value: Content of the object.
    """

    key: str
    version: int
    value: bytes


class ListingEntry(msgspec.Struct, frozen=True, kw_only=True):
    """An object in a listing.

    Attributes:
      key: Key of the object.
      version: Version of the object.
      value: Content of the object, or None if the listing omits contents.
    """

    key: str
    version: int
    value: bytes | None = None


T = typing.TypeVar("T")
DeferredResult = defer.Deferred[result.Result[T, Failure]]
"""A deferred that fires with a result and never with an errback."""


class Store(typing.Protocol):
    """The object API; calls are metered, and a watch counts as one call.

    Attributes:
      eras: Tracker of the store's era.
    """

    eras: eras.EraTracker

    def get(self, key: str) -> DeferredResult[StoredObject]:
        """Reads an object."""

    def check(self) -> DeferredResult[None]:
        """Checks whether the store answers, by the cheapest call."""

    def put(
        self, key: str, value: bytes, *, expected_version: int
    ) -> DeferredResult[int]:
        """Writes an object if it still has the expected version.

        Args:
          key: Key of the object.
          value: New content.
          expected_version: Version that it must have, ``NO_VERSION`` when it
            must not exist yet.

        Returns:
          The new version, or ``CONFLICT`` among other failures.
        """

    def delete(
        self, key: str, *, expected_version: int
    ) -> DeferredResult[None]:
        """Deletes an object if it still has the expected version.

        Args:
          key: Key of the object.
          expected_version: Version that it must have.

        Returns:
          None, or ``CONFLICT`` or ``NOT_FOUND`` among other failures.
        """

    def list(self, prefix: str) -> DeferredResult[list[ListingEntry]]:
        """Lists the objects whose keys start with a prefix.

        The listing may lag behind writes by some seconds.
        """

    def watch(
        self, key: str, *, after_version: int, timeout_s: float
    ) -> DeferredResult[StoredObject | None]:
        """Waits by long poll until an object has a newer version.

        Args:
          key: Key of the object.
          after_version: Version that the caller already has.
          timeout_s: Maximum wait in seconds.

        Returns:
          The object, or None if it did not change in that time.
        """

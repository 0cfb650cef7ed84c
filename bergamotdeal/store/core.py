"""What the platform's object API offers, whatever its protocol."""

import dataclasses
import enum
import typing

import result
from twisted.internet import defer

NO_VERSION = 0
"""Version of an object that does not exist."""

MAX_VALUE_BYTES = 1024 * 1024


class FailureKind(enum.Enum):
    """Why a store call did not succeed."""

    NOT_FOUND = "not-found"
    CONFLICT = "conflict"
    HISTORY_GONE = "history-gone"
    UNAVAILABLE = "unavailable"
    RATE_LIMITED = "rate-limited"
    UNAUTHORIZED = "unauthorized"
    BUDGET_SPENT = "budget-spent"
    INVALID = "invalid"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Failure:
    """A store call that did not succeed.

    Attributes:
      kind: Why.
      detail: One line for people.
      may_have_applied: Whether a write may have taken effect all the same.
      retry_after_s: Seconds to wait as the store asked, or None.
    """

    kind: FailureKind
    detail: str
    may_have_applied: bool = False
    retry_after_s: float | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StoredObject:
    """One object.

    Attributes:
      key: Its key.
      version: Its version; each write raises it.
      value: Its content.
    """

    key: str
    version: int
    value: bytes


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ListingEntry:
    """One object in a listing.

    Attributes:
      key: Its key.
      version: Its version.
      value: Its content, or None when the listing holds none.
    """

    key: str
    version: int
    value: bytes | None = None


T = typing.TypeVar("T")
DeferredResult = defer.Deferred[result.Result[T, Failure]]
"""Fires with a result; it never fails."""


class Store(typing.Protocol):
    """The object API; each call is metered, a waiting watch as one."""

    def get(self, key: str) -> DeferredResult[StoredObject]:
        """Reads an object."""

    def put(
        self, key: str, value: bytes, *, expected_version: int
    ) -> DeferredResult[int]:
        """Writes an object if its version is still the expected one.

        Args:
          key: Key of the object.
          value: New content.
          expected_version: Version that it must have, ``NO_VERSION`` when it
            must not exist.

        Returns:
          The new version, or ``CONFLICT`` among other failures.
        """

    def list(self, prefix: str) -> DeferredResult[list[ListingEntry]]:
        """Lists the objects whose keys start with a prefix.

        The listing may be some seconds old.
        """

    def watch(
        self, key: str, *, after_version: int, timeout_s: float
    ) -> DeferredResult[StoredObject | None]:
        """Waits until an object has a higher version.

        Args:
          key: Key of the object.
          after_version: Version that the asker knows.
          timeout_s: Longest wait in seconds.

        Returns:
          The object, or None when nothing changed in that time.
        """

"""State of one organisation at an entry."""

import collections
import heapq
import math

import msgspec

from bergamotdeal.quotas import core

MIN_RETRY_S = 0.05
MAX_RETRY_S = 1.0
"""Bounds of the time for which a host that has said that it grants no tokens
of an organisation is not asked again."""

_RATE_AVERAGE_S = 1.0


class Average(msgspec.Struct, kw_only=True):
    """Exponentially weighted rate of events per second."""

    updated_at: float
    rate: float = 0.0

    def add(self, count: float, now: float) -> None:
        """Adds events."""
        self.rate = self.read(now) + count / _RATE_AVERAGE_S
        self.updated_at = now

    def read(self, now: float) -> float:
        """Returns the rate."""
        age_s = max(0.0, now - self.updated_at)
        return self.rate * math.exp(-age_s / _RATE_AVERAGE_S)


class Fetch(msgspec.Struct, kw_only=True):
    """A request to a bucket owner for tokens of one organisation.

    Attributes:
      owner_id: Host that was asked.
      digest: Digest of the organisation's name.
      wanted: Number of tokens.
      sent_at: Time of the request.
      is_late: Whether the owner has not answered in time.
    """

    owner_id: str
    digest: int
    wanted: int
    sent_at: float
    is_late: bool = False


class OwnerView(msgspec.Struct, kw_only=True):
    """What this entry knows of one bucket of an organisation.

    Attributes:
      level: Tokens in the bucket at the last report.
      reported_at: Time of the last report.
      empty_until: Time until which the owner is not asked.
      refused_to_grant: Whether the host has said that it grants no tokens of
        this organisation.
      retry_s: Seconds to wait after the last such answer.
    """

    level: float = 1.0
    reported_at: float = 0.0
    empty_until: float = 0.0
    refused_to_grant: bool = False
    retry_s: float = 0.0

    def record_refusal_to_grant(self, now: float) -> None:
        """Records that the host grants no tokens of this organisation.

        A host that has just started grants soon, so the first retries follow
        after a short time.
        """
        self.refused_to_grant = True
        self.retry_s = min(max(MIN_RETRY_S, 2 * self.retry_s), MAX_RETRY_S)
        self.empty_until = now + self.retry_s

    def estimate_level(self, plan: core.Plan, now: float) -> float:
        """Returns the level that the bucket has if nobody else takes tokens."""
        refilled = (now - self.reported_at) * plan.rate / plan.parts
        return min(plan.capacity / plan.parts, self.level + refilled)


class Account:
    """State of one organisation at this entry."""

    def __init__(self, *, digest: int, now: float):
        self.digest = digest
        self.held: list[tuple[float, int]] = []  # Expiry and count, a heap.
        self.waiting: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )
        self.fetches_by_number: dict[int, Fetch] = {}
        self.views_by_owner: dict[str, OwnerView] = {}
        self.owners: list[str] = []
        self.standbys: list[str] = []
        self.plan: core.Plan | None = None
        self.placed_at = float("-inf")
        self.version = -1
        self.demand = Average(updated_at=now)
        self.supply = Average(updated_at=now)
        self.retry_at = 0.0
        self.requests = 0
        self.refusals = 0

    def drop_expired(self, now: float) -> int:
        """Drops expired tokens and returns their number."""
        dropped = 0
        while self.held and self.held[0][0] <= now:
            dropped += heapq.heappop(self.held)[1]
        return dropped

    def take(self) -> float:
        """Takes the token that expires first and returns its expiry."""
        expires_at, count = heapq.heappop(self.held)
        if count > 1:
            heapq.heappush(self.held, (expires_at, count - 1))
        return expires_at

    def held_count(self) -> int:
        """Returns the number of tokens held."""
        return sum(count for _, count in self.held)

    def coming_count(self, oldest_at: float) -> int:
        """Returns the number of tokens asked for and not overdue.

        Args:
          oldest_at: Time before which a request counts as lost.
        """
        return sum(
            fetch.wanted
            for fetch in self.fetches_by_number.values()
            if not fetch.is_late and fetch.sent_at > oldest_at
        )

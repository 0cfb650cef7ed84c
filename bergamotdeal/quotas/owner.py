"""The buckets that this host owns: grants of tokens to entries."""

import msgspec

from bergamotdeal.quotas import core
from bergamotdeal.quotas import hosts
from bergamotdeal.quotas import messages
from bergamotdeal.routing import rendezvous

MAX_WAIT_S = 1.0
"""Longest time for which an entry is told not to ask again. Longer times would
keep entries away from tokens that others have left."""

_ASKS_PER_TOKEN = 4.0
"""Rate at which refused entries return, as a multiple of the token rate. With
one, tokens are left when entries with an assigned time have no more demand."""

_MS_PER_S = 1000
_ROUNDING_TOLERANCE = 1e-9


class _Bucket(msgspec.Struct, kw_only=True):
    """A token bucket, which starts empty.

    Attributes:
      plan: Plan of the whole cap.
      level: Tokens in the bucket.
      filled_at: Time of the last refill.
      next_slot_at: Time at which the next refused entry should return.
    """

    plan: core.Plan
    filled_at: float
    level: float = 0.0
    next_slot_at: float = 0.0

    @property
    def rate(self) -> float:
        """Tokens per second."""
        return self.plan.rate / self.plan.parts

    def refill(self, now: float) -> None:
        """Adds the tokens since the last refill."""
        elapsed_s = max(0.0, now - self.filled_at)
        self.filled_at = max(now, self.filled_at)
        capacity = self.plan.capacity / self.plan.parts
        self.level = min(capacity, self.level + elapsed_s * self.rate)

    def set_plan(self, plan: core.Plan, now: float) -> None:
        """Changes the plan; tokens beyond the new capacity are lost."""
        self.refill(now)
        self.plan = plan
        self.level = min(self.level, plan.capacity / plan.parts)

    def take(self, wanted: int) -> int:
        """Takes up to ``wanted`` whole tokens and returns their number."""
        taken = min(wanted, int(self.level + _ROUNDING_TOLERANCE))
        self.level = max(0.0, self.level - taken)
        return taken

    def assign_wait(self, now: float) -> float:
        """Returns after how many seconds a refused entry should return.

        Each refused entry gets a time of its own.
        """
        token_at = now + max(0.0, 1.0 - self.level) / self.rate
        slot_at = min(max(token_at, self.next_slot_at), now + MAX_WAIT_S)
        self.next_slot_at = slot_at + 1.0 / (_ASKS_PER_TOKEN * self.rate)
        return slot_at - now


class BucketOwner:
    """The token buckets of the parts of caps that this host owns.

    Args:
      host_id: Name of this host.
      counted: The hosts among which the parts are divided.
    """

    def __init__(self, *, host_id: str, counted: hosts.CountedHosts):
        self._host_id = host_id
        self._counted = counted
        self._caps: core.CapTable | None = None
        self._buckets_by_digest: dict[int, _Bucket] = {}
        self._unchecked_digests: list[int] = []
        self._version = -1
        self._term = -1
        self.granted_count = 0
        self.refused_count = 0

    @property
    def bucket_count(self) -> int:
        """Number of buckets that this host owns, as far as it has checked."""
        return len(self._buckets_by_digest)

    def set_caps(self, caps: core.CapTable, now: float) -> None:
        """Applies the caps of a new preset; buckets keep their levels.

        Args:
          caps: The caps.
          now: Time in seconds on the clock that counts suspended time.
        """
        self._caps = caps
        self._check_buckets(now)
        self._unchecked_digests = list(caps.caps_by_digest)

    def advance(self, now: float, max_checks: int = 4) -> None:
        """Creates the buckets of parts that have come to this host.

        A bucket fills from the time at which it is created, and after a restart
        of all hosts from the start of the process. Buckets are created a few at
        a time, as each check ranks all hosts.

        Args:
          now: Time in seconds on the clock that counts suspended time.
          max_checks: Maximum number of organisations to check.
        """
        self._follow_counted_hosts(now)
        if not self._counted.may_grant(now):
            return
        for _ in range(min(max_checks, len(self._unchecked_digests))):
            self._find_bucket(self._unchecked_digests.pop(), now)

    def grant(self, want: messages.Want, now: float) -> messages.Grant:
        """Grants tokens of an organisation or refuses them.

        Args:
          want: The tokens that an entry asks for.
          now: Time in seconds on the clock that counts suspended time.
        """
        self._follow_counted_hosts(now)
        bucket = None
        if self._counted.may_grant(now):
            bucket = self._find_bucket(want.digest, now)
        if bucket is None:
            return messages.Grant(digest=want.digest, is_owner=False)
        bucket.refill(now)
        taken = bucket.take(want.tokens)
        wait_s = 0.0
        if taken < want.tokens:
            wait_s = bucket.assign_wait(now)
        self.granted_count += taken
        self.refused_count += not taken
        return messages.Grant(
            digest=want.digest,
            is_owner=True,
            tokens=taken,
            level=int(bucket.level),
            wait_ms=round(wait_s * _MS_PER_S),
            lifetime_ms=int(bucket.plan.lifetime_s * _MS_PER_S),
        )

    def _follow_counted_hosts(self, now: float) -> None:
        """Drops the buckets of parts that this host doesn't own any more."""
        if self._version == self._counted.version:
            return
        self._version = self._counted.version
        if self._term != self._counted.term:
            self._term = self._counted.term
            self._buckets_by_digest.clear()
        self._check_buckets(now)
        if self._caps is not None:
            self._unchecked_digests = list(self._caps.caps_by_digest)

    def _check_buckets(self, now: float) -> None:
        may_grant = self._counted.may_grant(now)
        for digest, bucket in list(self._buckets_by_digest.items()):
            plan = self._find_own_plan(digest) if may_grant else None
            if plan is None:
                # A later bucket of this part starts empty.
                del self._buckets_by_digest[digest]
            elif plan != bucket.plan:
                bucket.set_plan(plan, now)

    def _find_bucket(self, digest: int, now: float) -> _Bucket | None:
        bucket = self._buckets_by_digest.get(digest)
        if bucket is not None:
            return bucket
        plan = self._find_own_plan(digest)
        if plan is None:
            return None
        bucket = _Bucket(
            plan=plan, filled_at=self._counted.find_fill_start(now)
        )
        self._buckets_by_digest[digest] = bucket
        return bucket

    def _find_own_plan(self, digest: int) -> core.Plan | None:
        """Returns the plan of a cap if this host owns a part of it."""
        if self._caps is None:
            return None
        digests_by_host = self._counted.digests_by_host
        plan = self._caps.find_plan(digest, len(digests_by_host))
        if plan is None:
            return None
        standby_count = plan.standby.parts if plan.standby else 0
        rank = rendezvous.find_rank(
            digest, self._host_id, digests_by_host, plan.parts + standby_count
        )
        if rank is None:
            return None
        return plan if rank < plan.parts else plan.standby

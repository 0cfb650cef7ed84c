"""Times at which refused callers return, with the capacity reserved for them.

Refused callers get return times one after the other, for each scarce service
and class at a part of the rate at which the entry admits the class, so that no
surge follows a burst. A caller that returns at its time is admitted; one that
returns early keeps it.
"""

import collections
import math
import random

import msgspec

_RETURN_PART = 0.8
"""Part of the admitted rate that is promised to returning callers. The rest is
for new requests, so that they needn't all wait first."""

_MIN_DELAY_S = 0.05
"""Minimum delay of a return, a few control windows of the service's node."""

_REMAINING_PART = 1 / 3
"""Maximum delay as a part of the caller's remaining time."""

_TARGET_PART = 0.5
"""Maximum delay of a reservation as a part of the target latency; a later
answer has lost its value."""

_MIN_UNRESERVED_PART = 0.7
"""Minimum delay without a reservation, as a part of the maximum one."""

_EARLY_S = 0.02
_LATE_S = 0.3
"""Deviation from the assigned time at which a caller is still admitted, for
timers and a new connection."""

MAX_RESERVATIONS = 2048
"""Maximum reservations held at once; further callers get none."""

_MAX_LINES = 512
"""Maximum pairs of service and class."""


class Return(msgspec.Struct, frozen=True, kw_only=True):
    """When a refused caller is asked to return.

    Attributes:
      delay_s: Time until then in seconds, or None if it is too late to return.
      is_reserved: Whether it will be admitted then.
    """

    delay_s: float | None
    is_reserved: bool


class ReturnSchedule:
    """Return times of the callers that an entry has refused.

    Args:
      rng: Random source, for callers that get no reservation.
    """

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self._last_return_by_key: dict[tuple[str, int], float] = {}
        self._reserved_by_fingerprint: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )

    def assign(
        self,
        service: str,
        rank: int,
        fingerprint: int,
        now: float,
        *,
        rate: float,
        remaining_s: float,
        target_s: float,
    ) -> Return:
        """Assigns the return time of a caller that is refused.

        Args:
          service: Scarce service that its request needs most.
          rank: Rank of its priority class.
          fingerprint: Hash that identifies the request when it returns.
          now: Monotonic seconds.
          rate: Requests of its class per second that are admitted at present
            for that service.
          remaining_s: Time to the deadline of the caller in seconds.
          target_s: Target latency in seconds; zero for none.
        """
        limit_s = _REMAINING_PART * max(0.0, remaining_s)
        if limit_s < _MIN_DELAY_S:
            return Return(delay_s=None, is_reserved=False)
        reserved_at = self._reserved_by_fingerprint.get(fingerprint)
        if reserved_at is not None and now < reserved_at <= now + limit_s:
            return Return(delay_s=reserved_at - now, is_reserved=True)
        latest = now + limit_s
        if target_s > 0.0:
            latest = min(latest, now + _TARGET_PART * target_s)
        due = self._place(
            service, rank, now, rate=_RETURN_PART * rate, latest=latest
        )
        if due is None:
            part = self._rng.uniform(_MIN_UNRESERVED_PART, 1.0)
            return Return(delay_s=part * limit_s, is_reserved=False)
        self._reserved_by_fingerprint[fingerprint] = due
        self._reserved_by_fingerprint.move_to_end(fingerprint)
        return Return(delay_s=due - now, is_reserved=True)

    def claim(self, fingerprint: int, now: float) -> bool:
        """Returns whether a request has returned at its time, and uses it.

        Args:
          fingerprint: Hash that identifies the request.
          now: Monotonic seconds.
        """
        due = self._reserved_by_fingerprint.get(fingerprint)
        if due is None or now < due - _EARLY_S:
            return False
        del self._reserved_by_fingerprint[fingerprint]
        return now <= due + _LATE_S

    def _place(
        self, service: str, rank: int, now: float, *, rate: float, latest: float
    ) -> float | None:
        """Finds the next free time, or None if it is too late."""
        if rate <= 0.0 or not self._has_room(now):
            return None
        key = (service, rank)
        last_returns = self._last_return_by_key
        if key not in last_returns and len(last_returns) >= _MAX_LINES:
            return None
        due = max(
            now + _MIN_DELAY_S,
            last_returns.get(key, -math.inf) + 1.0 / rate,
            *(
                last_return
                for other, last_return in last_returns.items()
                if other[0] == service and other[1] < rank
            ),
        )
        if due > latest:
            return None
        last_returns[key] = due
        return due

    def _has_room(self, now: float) -> bool:
        reserved = self._reserved_by_fingerprint
        while len(reserved) >= MAX_RESERVATIONS:
            fingerprint, due = next(iter(reserved.items()))
            if now <= due + _LATE_S:
                return False
            del reserved[fingerprint]
        return True

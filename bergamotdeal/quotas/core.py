"""The tokens by which an organisation's cap is enforced, and their lifetime.

A token pays for one request. Each of the parts of a cap has a token bucket on
one host, its bucket owner, which starts empty. Tokens that a bucket grants are
moved to an entry and expire there. In a window of W seconds the entries use
only tokens granted in the window or in the lifetime before it, so their number
is at most ``rate * (W + lifetime) + capacity``, whatever messages or hosts are
lost. ``compute_plan`` chooses the three so that this is within the bound.
"""

import math

import msgspec

from bergamotdeal.presets import model
from bergamotdeal.routing import rendezvous

MAX_PARTS = 8
MIN_LIFETIME_S = 0.25
MAX_LIFETIME_S = 1.0

_MS_PER_S = 1000
_BURST_PER_PART = 8
_MIN_PARTS = 2
_LIFETIME_SHARE = 0.5
"""Share of the excess that a window may have which the lifetime uses. The rest
covers the time between the use of a token and the run of its request."""

_MAX_STANDBYS = 2
_STANDBY_RATE_SHARE = 0.5
"""Share of the slack that the standbys grant in one window."""

_STANDBY_BURST_SHARE = 0.25

_MIN_CAPACITY_S = 0.1
"""Seconds of the rate that the buckets hold at least, if the bound allows it.
Tokens that exceed the capacity before an entry asks for them are lost."""


class Plan(msgspec.Struct, frozen=True, kw_only=True):
    """The buckets of one organisation and the lifetime of their tokens.

    Attributes:
      rate: Tokens per second of all buckets.
      capacity: Capacity of all buckets in tokens.
      parts: Number of buckets.
      lifetime_s: Seconds from the request for a token to its expiry.
      standby: Buckets of the hosts that follow the owners in rank, from which
        entries take tokens if an owner can't be reached, or None.
    """

    rate: float
    capacity: float
    parts: int
    lifetime_s: float
    standby: "Plan | None" = None


def compute_bound(
    *, policy: model.QuotaPolicy, rate_per_s: float, burst: float
) -> float:
    """Returns the number of requests that may run in one window."""
    cap = rate_per_s * policy.window_ms / _MS_PER_S + burst
    return cap * (1.0 + policy.overshoot) + policy.slack


def compute_plan(
    *,
    policy: model.QuotaPolicy,
    rate_per_s: float,
    burst: float,
    host_count: int,
) -> Plan | None:
    """Computes the buckets of a cap.

    Without overshoot and slack, the lifetime is paid for by a smaller capacity
    and, where that isn't enough, by a smaller rate.

    Args:
      policy: Window, overshoot and slack.
      rate_per_s: Requests per second that the cap allows, above zero.
      burst: Requests that may exceed the rate at once.
      host_count: Number of hosts that can own buckets.

    Returns:
      The plan, or None if the bound is less than one request per window.
    """
    window_s = policy.window_ms / _MS_PER_S
    bound = compute_bound(policy=policy, rate_per_s=rate_per_s, burst=burst)
    standby = _compute_standby(policy)
    if standby is not None:
        longest_s = window_s + MAX_LIFETIME_S
        bound -= standby.rate * longest_s + standby.capacity
    excess = bound - rate_per_s * window_s - burst
    lifetime_s = min(
        MAX_LIFETIME_S,
        max(MIN_LIFETIME_S, _LIFETIME_SHARE * excess / rate_per_s),
    )
    span_s = window_s + lifetime_s
    wanted = max(burst, float(_MIN_PARTS), _MIN_CAPACITY_S * rate_per_s)
    capacity = min(wanted, bound - rate_per_s * span_s)
    rate = rate_per_s
    if capacity < 1.0:
        capacity = 1.0
        rate = (bound - capacity) / span_s
    if rate <= 0.0:
        return None
    parts = max(_MIN_PARTS, math.floor(burst / _BURST_PER_PART))
    # A bucket of less than one token would never grant any.
    parts = min(parts, host_count, MAX_PARTS, math.floor(capacity))
    return Plan(
        rate=rate,
        capacity=capacity,
        parts=max(1, parts),
        lifetime_s=lifetime_s,
        standby=standby
        and msgspec.structs.replace(standby, lifetime_s=lifetime_s),
    )


def _compute_standby(policy: model.QuotaPolicy) -> Plan | None:
    """Computes the buckets of the standbys, which a part of the slack pays."""
    capacity = policy.slack * _STANDBY_BURST_SHARE
    parts = min(_MAX_STANDBYS, math.floor(capacity))
    if not parts:
        return None
    window_s = policy.window_ms / _MS_PER_S
    rate = policy.slack * _STANDBY_RATE_SHARE / window_s
    return Plan(
        rate=rate, capacity=capacity, parts=parts, lifetime_s=MAX_LIFETIME_S
    )


class CapTable:
    """The capped organisations of a preset by the digest of their names.

    Args:
      preset: The preset.
    """

    def __init__(self, *, preset: model.Preset):
        self.policy = preset.quotas
        self.caps_by_digest = {
            rendezvous.digest(organisation.name): organisation
            for organisation in preset.organisations
            if organisation.name and organisation.rate_per_s > 0
        }
        self._plans: dict[tuple[int, int], Plan | None] = {}

    def find_plan(self, digest: int, host_count: int) -> Plan | None:
        """Returns the plan of an organisation, or None without a cap.

        Args:
          digest: Digest of the organisation's name.
          host_count: Number of counted hosts.
        """
        cap = self.caps_by_digest.get(digest)
        if cap is None or not host_count:
            return None
        key = (digest, min(host_count, MAX_PARTS))
        if key not in self._plans:
            self._plans[key] = compute_plan(
                policy=self.policy,
                rate_per_s=cap.rate_per_s,
                burst=cap.burst,
                host_count=host_count,
            )
        return self._plans[key]

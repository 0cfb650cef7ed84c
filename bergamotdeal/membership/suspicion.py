"""Eviction of suspect members and removal of dead ones.

If many members fail at once, the cause is more likely this node's own network
connection. Eviction and removal are therefore suspended (frozen) while too
large a share of the members is suspect or dead, or while nearly all of this
node's recent probes failed.
"""

import collections
from collections.abc import Iterable

import msgspec

from bergamotdeal.membership import core
from bergamotdeal.membership import messages
from bergamotdeal.membership import view

_RECENT_PROBES = 5
_ISOLATION_FAILED_PROBES = 4

Health = messages.Health


class Bounds(msgspec.Struct, frozen=True, kw_only=True):
    """Timeouts and thresholds of suspicion and eviction.

    Attributes:
      suspicion_timeout_s: Seconds that a suspect has to refute the suspicion.
      dead_retention_s: Seconds for which a dead member is kept in the view.
      freeze_share: Share of suspect or dead members, 0 to 1, above which
        eviction is suspended.
      freeze_min_members: Number of suspect or dead members below which
        eviction is not suspended, whatever their share.
    """

    suspicion_timeout_s: float = 5.0
    dead_retention_s: float = 600.0
    freeze_share: float = 0.3
    freeze_min_members: int = 2


class Decision(msgspec.Struct, kw_only=True):
    """The members whose timeouts have expired.

    Attributes:
      evicted: Records of suspect members that are now considered dead.
      forgotten: Host ids of dead members to remove from the view.
    """

    evicted: list[core.Member] = msgspec.field(default_factory=list)
    forgotten: list[str] = msgspec.field(default_factory=list)


class EvictionPolicy:
    """A policy that decides which members to evict and to remove.

    Args:
      bounds: Timeouts and thresholds.

    Attributes:
      is_frozen: Whether the last decision suspended eviction.
    """

    def __init__(self, *, bounds: Bounds) -> None:
        self._bounds = bounds
        self._recent_probes: collections.deque[bool] = collections.deque(
            maxlen=_RECENT_PROBES
        )
        self.is_frozen = False

    def record_probe(self, *, acked: bool) -> None:
        """Records the outcome of one of this node's probes.

        Args:
          acked: Whether the probe was acknowledged in time.
        """
        self._recent_probes.append(acked)

    def decide(self, entries: Iterable[view.Entry], now: float) -> Decision:
        """Returns the members to evict and to remove.

        Args:
          entries: Entries of all other members, including dead ones.
          now: Current time in monotonic seconds.
        """
        entries = list(entries)
        self.is_frozen = self._is_isolated() or self._is_mass_failure(entries)
        decision = Decision()
        for entry in entries:
            age = now - entry.changed_at
            match entry.health:
                case Health.SUSPECT:
                    if (
                        not self.is_frozen
                        and age >= self._bounds.suspicion_timeout_s
                    ):
                        decision.evicted.append(entry.record)
                case Health.DEAD:
                    left = entry.record.state is core.MemberState.DEAD
                    keep = self.is_frozen and not left
                    if not keep and age >= self._bounds.dead_retention_s:
                        decision.forgotten.append(entry.record.host_id)
        return decision

    def _is_isolated(self) -> bool:
        failed = self._recent_probes.count(False)
        return failed >= _ISOLATION_FAILED_PROBES

    def _is_mass_failure(self, entries: list[view.Entry]) -> bool:
        failed_count = 0
        member_count = 0
        for entry in entries:
            if entry.record.state is core.MemberState.DEAD:
                continue
            member_count += 1
            failed_count += entry.health is not Health.ALIVE
        if failed_count < self._bounds.freeze_min_members:
            return False
        return failed_count > self._bounds.freeze_share * member_count

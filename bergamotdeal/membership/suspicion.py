"""When suspect members are evicted and dead ones forgotten.

Silence of many members at once says more about this node's own connection
than about them, so nobody is evicted or forgotten while too large a share is
suspect or dead, or while nearly all of this node's own probes fail.
"""

import collections
from collections.abc import Iterable
import dataclasses

from bergamotdeal.membership import core
from bergamotdeal.membership import messages
from bergamotdeal.membership import view

_RECENT_PROBES = 5
_FAILED_PROBES_TO_FREEZE = 4

Health = messages.Health


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Bounds:
    """Bounds of suspicion; times are in seconds.

    Attributes:
      suspicion_s: Time that a suspect has to refute.
      forget_s: Time for which a dead member is remembered.
      freeze_share: Share of members suspect or dead above which nobody is
        evicted or forgotten.
      freeze_members: Suspect or dead members that a freeze takes at least.
    """

    suspicion_s: float = 5.0
    forget_s: float = 600.0
    freeze_share: float = 0.3
    freeze_members: int = 2


@dataclasses.dataclass(kw_only=True, slots=True)
class Decision:
    """What is due now."""

    evicted: list[core.Member] = dataclasses.field(default_factory=list)
    forgotten: list[str] = dataclasses.field(default_factory=list)


class Suspicion:
    """Decides evictions.

    Args:
      bounds: Times and shares.
    """

    def __init__(self, *, bounds: Bounds) -> None:
        self._bounds = bounds
        self._recent_probes: collections.deque[bool] = collections.deque(
            maxlen=_RECENT_PROBES
        )
        self.is_frozen = False

    def probed(self, *, acked: bool) -> None:
        """Notes how one of this node's own probes ended."""
        self._recent_probes.append(acked)

    def decide(self, entries: Iterable[view.Entry], now: float) -> Decision:
        """Returns the members to evict and to forget.

        Args:
          entries: All other members, dead ones too.
          now: Monotonic seconds.
        """
        entries = list(entries)
        self.is_frozen = self._is_isolated() or self._is_mass(entries)
        decision = Decision()
        for entry in entries:
            age = now - entry.changed
            match entry.health:
                case Health.SUSPECT:
                    if not self.is_frozen and age >= self._bounds.suspicion_s:
                        decision.evicted.append(entry.record)
                case Health.DEAD:
                    left = entry.record.state is core.MemberState.DEAD
                    keep = self.is_frozen and not left
                    if not keep and age >= self._bounds.forget_s:
                        decision.forgotten.append(entry.record.host_id)
        return decision

    def _is_isolated(self) -> bool:
        failed = self._recent_probes.count(False)
        return failed >= _FAILED_PROBES_TO_FREEZE

    def _is_mass(self, entries: list[view.Entry]) -> bool:
        silent = 0
        present = 0
        for entry in entries:
            if entry.record.state is core.MemberState.DEAD:
                continue
            present += 1
            silent += entry.health is not Health.ALIVE
        if silent < self._bounds.freeze_members:
            return False
        return silent > self._bounds.freeze_share * present

"""Wait of a started node for other nodes' epochs before it trusts the store.

A store that was restored from an older copy may hold a preset in which a
revoked key is still valid. Nodes that kept running advertise a newer epoch. A
node that has heard from several others, none of which has a preset, takes it
that all of them have started as well.
"""

MAX_WAIT_S = 1.5
"""Longest wait, counted from the start of the node."""

MIN_HOSTS_HEARD = 4
"""Hosts without a preset to hear from, or all the others in a smaller fleet."""

SPREAD_S = 0.3
"""Time from the first of them in which an epoch that any host has reaches this
one, directly or through them."""


class EpochWait:
    """The wait of one node after its start.

    Args:
      now: Time of the start in monotonic seconds.
    """

    def __init__(self, *, now: float) -> None:
        self._ends_at = now + MAX_WAIT_S
        self._first_heard_at = now
        self._hosts_without_preset: set[str] = set()

    def remaining_s(self, now: float) -> float:
        """Returns the seconds that are left to wait, zero if it is over.

        Args:
          now: Current time in monotonic seconds.
        """
        return max(0.0, self._ends_at - now)

    def finish(self) -> None:
        """Ends the wait, as another node has told its epoch."""
        self._ends_at = float("-inf")

    def record_host_without_preset(
        self, host_id: str, *, host_count: int, now: float
    ) -> None:
        """Records a message of a node that has no preset.

        Args:
          host_id: Host of the node.
          host_count: Number of known hosts, including this one.
          now: Current time in monotonic seconds.
        """
        if not self._hosts_without_preset:
            self._first_heard_at = now
        self._hosts_without_preset.add(host_id)
        needed = max(1, min(MIN_HOSTS_HEARD, host_count - 1))
        if len(self._hosts_without_preset) >= needed:
            spread_at = self._first_heard_at + SPREAD_S
            self._ends_at = min(self._ends_at, spread_at)

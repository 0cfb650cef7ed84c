"""Hybrid logical clock.

Source: Kulkarni et al., "Logical Physical Clocks and Consistent Snapshots in
Globally Distributed Databases", 2014. A stamp is a timestamp in one integer:
the wall time in milliseconds in the upper bits and a counter in the lower
``COUNTER_BITS``. Stamps increase along each chain of messages, so sorting by
stamp never puts an effect before its cause.
"""

from collections.abc import Callable

COUNTER_BITS = 16
MAX_DRIFT_MS = 60_000
"""Largest accepted lead of a received stamp over the local wall time."""


class HybridLogicalClock:
    """Clock whose stamps are above all stamps issued or observed before.

    Args:
      wall_ms: Returns the wall time in milliseconds since 1970.
    """

    __slots__ = ("_last_stamp", "_wall_ms")

    def __init__(self, *, wall_ms: Callable[[], int]):
        self._wall_ms = wall_ms
        self._last_stamp = 0

    def now(self) -> int:
        """Returns a stamp above every stamp issued or observed before."""
        wall_stamp = self._wall_ms() << COUNTER_BITS
        if wall_stamp > self._last_stamp:
            self._last_stamp = wall_stamp
        else:
            self._last_stamp += 1
        return self._last_stamp

    def observe(self, stamp: int) -> bool:
        """Advances the clock to a stamp that was received with a message.

        Args:
          stamp: Stamp of the sender; 0 if it sent none.

        Returns:
          False if the stamp is more than ``MAX_DRIFT_MS`` ahead of the local
          wall time. Such a stamp is ignored, so that one wrong clock can't
          advance the clocks of the other nodes.
        """
        if stamp <= self._last_stamp:
            return True
        if to_wall_ms(stamp) > self._wall_ms() + MAX_DRIFT_MS:
            return False
        self._last_stamp = stamp
        return True


def to_wall_ms(stamp: int) -> int:
    """Returns the wall time of a stamp in milliseconds since 1970."""
    return stamp >> COUNTER_BITS


def from_wall_ms(wall_ms: int) -> int:
    """Returns the lowest stamp of a wall time.

    Args:
      wall_ms: Milliseconds since 1970.
    """
    return wall_ms << COUNTER_BITS

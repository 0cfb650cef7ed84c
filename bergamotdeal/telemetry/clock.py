"""A hybrid logical clock.

Source: Kulkarni et al., "Logical Physical Clocks and Consistent Snapshots in
Globally Distributed Databases", 2014. A stamp is one integer: milliseconds of
wall time above a counter. Stamps grow along each chain of messages, so
sorting by stamp never puts an effect before its cause.
"""

from collections.abc import Callable

COUNTER_BITS = 16
MAX_DRIFT_MS = 60_000


class HybridLogicalClock:
    """Issues stamps and learns from other nodes' stamps.

    Args:
      wall_ms: Returns the wall time in milliseconds since 1970.
    """

    __slots__ = ("_last", "_wall_ms")

    def __init__(self, *, wall_ms: Callable[[], int]):
        self._wall_ms = wall_ms
        self._last = 0

    def now(self) -> int:
        """Returns a stamp above every stamp issued or observed before."""
        physical = self._wall_ms() << COUNTER_BITS
        if physical > self._last:
            self._last = physical
        else:
            self._last += 1
        return self._last

    def observe(self, stamp: int) -> bool:
        """Raises this clock above a stamp that came with a message.

        Args:
          stamp: The sender's stamp; zero means that it sent none.

        Returns:
          False when the stamp is too far ahead of this host's time. Such a
          stamp is ignored, so that one wrong clock can't carry the others
          along.
        """
        if stamp <= self._last:
            return True
        if to_wall_ms(stamp) > self._wall_ms() + MAX_DRIFT_MS:
            return False
        self._last = stamp
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

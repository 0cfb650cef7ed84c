"""Estimate of the time that a run takes at least."""

import collections

_SAMPLES = 64
_QUANTILE = 0.25
_DECAY = 0.7


class RunTimeEstimate:
    """Lower quartile of the latest run times.

    The lower quartile keeps quick requests startable beside slow ones. The
    estimate shrinks while nothing runs, so that it can't refuse all work.
    """

    def __init__(self) -> None:
        self._samples: collections.deque[float] = collections.deque(
            maxlen=_SAMPLES
        )
        self._value = 0.0
        self._has_new = False

    def count(self, run_s: float) -> None:
        """Adds the time of a completed run, in seconds."""
        self._samples.append(run_s)
        self._has_new = True

    def update(self, *, is_idle: bool) -> None:
        """Recomputes the estimate at the end of a control window.

        Args:
          is_idle: Whether nothing runs.
        """
        if self._has_new:
            ordered = sorted(self._samples)
            self._value = ordered[int(_QUANTILE * len(ordered))]
        elif is_idle:
            self._value *= _DECAY
        self._has_new = False

    def value(self) -> float:
        """Returns the estimate in seconds, zero when nothing is known."""
        return self._value

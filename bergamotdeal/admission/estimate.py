"""Estimate of the minimum time that a run takes."""

import collections

_MAX_SAMPLES = 64
_QUANTILE = 0.25
_IDLE_DECAY = 0.7


class RunTimeEstimate:
    """Lower quartile of recent run times.

    The lower quartile is used so that fast requests are still admitted when
    slow ones run on the same server. The estimate decays while the server is
    idle; otherwise a high value could reject all work indefinitely.
    """

    def __init__(self) -> None:
        self._samples: collections.deque[float] = collections.deque(
            maxlen=_MAX_SAMPLES
        )
        self._value = 0.0
        self._has_new_samples = False

    def add_sample(self, run_s: float) -> None:
        """Adds the duration of a completed run, in seconds."""
        self._samples.append(run_s)
        self._has_new_samples = True

    def update(self, *, is_idle: bool) -> None:
        """Recomputes the estimate at the end of a control window.

        Args:
          is_idle: Whether no job is running.
        """
        if self._has_new_samples:
            ordered = sorted(self._samples)
            self._value = ordered[int(_QUANTILE * len(ordered))]
        elif is_idle:
            self._value *= _IDLE_DECAY
        self._has_new_samples = False

    def value(self) -> float:
        """Returns the estimate in seconds; zero before the first run."""
        return self._value

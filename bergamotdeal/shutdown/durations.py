"""Estimates of how long requests take, to finish before an exit."""

import msgspec

_MEAN_GAIN = 1 / 8
_DEVIATION_GAIN = 1 / 4
_DEVIATIONS = 4.0
"""Gains and number of mean deviations of the retransmission timer of TCP, as in
RFC 6298."""

_MAX_ROUTES = 4096


class _Duration(msgspec.Struct, kw_only=True):
    mean_s: float
    deviation_s: float


class DurationEstimator:
    """Estimator of the time that nearly all requests of a route need."""

    def __init__(self) -> None:
        self._durations_by_route: dict[str, _Duration] = {}

    def record(self, route_name: str, duration_s: float) -> None:
        """Records the duration of a completed request.

        Args:
          route_name: Route of the request.
          duration_s: Its duration in seconds.
        """
        known = self._durations_by_route.get(route_name)
        if known is None:
            if len(self._durations_by_route) >= _MAX_ROUTES:
                self._durations_by_route.clear()
            self._durations_by_route[route_name] = _Duration(
                mean_s=duration_s, deviation_s=duration_s / 2
            )
            return
        error_s = duration_s - known.mean_s
        known.deviation_s += _DEVIATION_GAIN * (
            abs(error_s) - known.deviation_s
        )
        known.mean_s += _MEAN_GAIN * error_s

    def estimate_s(self, route_name: str) -> float | None:
        """Returns the time in seconds in which a request likely ends.

        Args:
          route_name: Route of the request.

        Returns:
          The mean and four mean deviations, or None without a completed
          request.
        """
        known = self._durations_by_route.get(route_name)
        if known is None:
            return None
        return known.mean_s + _DEVIATIONS * known.deviation_s

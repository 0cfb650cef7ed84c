"""Estimation of the downstream calls that a run of each route makes.

Backend servers do not propagate context, so a call cannot be matched to the
run that made it; it is only known to belong to one of the runs in progress.
The runs of each route are modelled as making calls at a rate of their own
while in progress, and each call is attributed to the routes in progress in
proportion to these rates (the EM algorithm of Dempster, Laird and Rubin, 1977,
for a mixture of Poisson processes). The rates are initialised as equal, which
is a reasonable estimate because runs that make calls last as long as those
calls take.
"""

import msgspec

UPDATE_INTERVAL_S = 0.5
"""Interval between updates of the rates."""

_DECAY = 0.95
"""Decay of past counts at each update; a memory of about ten seconds."""

_MIN_RATE = 1e-3
"""Minimum rate in calls per second; a rate of zero could not recover."""

_MAX_ROUTES = 64


class _RouteRuns(msgspec.Struct, kw_only=True):
    """Decaying statistics of the runs of one route.

    Attributes:
      running: Number of runs in progress.
      at: Time up to which exposure is accounted for, monotonic seconds.
      exposure_s: Decayed sum of the time that runs were in progress.
      calls_by_route: Decayed number of calls attributed to the runs.
      rates_by_route: Calls per second of one run in progress.
    """

    running: int = 0
    at: float = 0.0
    exposure_s: float = 0.0
    calls_by_route: dict[str, float] = msgspec.field(default_factory=dict)
    rates_by_route: dict[str, float] = msgspec.field(default_factory=dict)

    def advance(self, now: float) -> None:
        """Accumulates the exposure up to now."""
        self.exposure_s += self.running * (now - self.at)
        self.at = now


class CallRateEstimator:
    """Estimator of call rates by route of the run and route of the call."""

    def __init__(self) -> None:
        self._runs_by_route: dict[str, _RouteRuns] = {}
        self._updated_at = 0.0

    def record_run_start(self, route_name: str, now: float) -> None:
        """Records the start of a run."""
        if now - self._updated_at >= UPDATE_INTERVAL_S:
            self._update(now)
        route_runs = self._runs_by_route.get(route_name)
        if route_runs is None:
            if len(self._runs_by_route) >= _MAX_ROUTES:
                return
            route_runs = self._runs_by_route[route_name] = _RouteRuns(at=now)
        route_runs.advance(now)
        route_runs.running += 1

    def record_run_end(self, route_name: str, now: float) -> None:
        """Records the end of a run."""
        route_runs = self._runs_by_route.get(route_name)
        if route_runs is not None and route_runs.running:
            route_runs.advance(now)
            route_runs.running -= 1

    def attribute_call(self, route_name: str) -> None:
        """Attributes a call of an unknown run to the runs in progress.

        Args:
          route_name: Route of the call.
        """
        weights = [
            (
                route_runs,
                route_runs.running
                * route_runs.rates_by_route.get(route_name, 1.0),
            )
            for route_runs in self._runs_by_route.values()
            if route_runs.running
        ]
        total = sum(weight for _, weight in weights)
        for route_runs, weight in weights:
            calls = route_runs.calls_by_route.get(route_name, 0.0)
            route_runs.calls_by_route[route_name] = calls + weight / total

    def record_call(self, route_name: str, run_route_name: str) -> None:
        """Records a call whose run is known.

        Args:
          route_name: Route of the call.
          run_route_name: Route of the run's request.
        """
        route_runs = self._runs_by_route.get(run_route_name)
        if route_runs is not None:
            calls = route_runs.calls_by_route.get(route_name, 0.0)
            route_runs.calls_by_route[route_name] = calls + 1.0

    def expected_calls(self, route_name: str, run_s: float) -> dict[str, float]:
        """Returns the expected number of calls of one run, by called route.

        Args:
          route_name: Route of the run's request.
          run_s: Mean duration of such a run, seconds.
        """
        route_runs = self._runs_by_route.get(route_name)
        if route_runs is None or route_runs.exposure_s <= 0.0:
            return {}
        return {
            name: run_s * calls / route_runs.exposure_s
            for name, calls in route_runs.calls_by_route.items()
        }

    def _update(self, now: float) -> None:
        self._updated_at = now
        for route_runs in self._runs_by_route.values():
            route_runs.advance(now)
            if route_runs.exposure_s > 0.0:
                route_runs.rates_by_route = {
                    name: max(_MIN_RATE, calls / route_runs.exposure_s)
                    for name, calls in route_runs.calls_by_route.items()
                }
            route_runs.exposure_s *= _DECAY
            for name in route_runs.calls_by_route:
                route_runs.calls_by_route[name] *= _DECAY

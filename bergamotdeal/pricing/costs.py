"""Estimation of the slot time that a request of each route costs by service.

A run costs slot time at its own service plus, for each call that it makes, the
cost that the answer to that call reported. Costs thus accumulate along call
chains, and each node needs to measure only its own hop.
"""

import msgspec

from bergamotdeal.pricing import intensity
from bergamotdeal.pricing import origins

_MIN_RUNS = 4
"""Completed runs of a route required before its costs are reported."""

_SMOOTHING = 0.1
"""Weight of a new sample in a moving mean, about ten samples long."""

_MIN_CALLS_PER_RUN = 0.1
"""Calls per run below which an attribution is treated as noise."""

_MAX_ROUTES = 4096


class _RouteRuns(msgspec.Struct, kw_only=True):
    """Runs of one route on the local backend server.

    Attributes:
      ended: Number of runs that produced an answer.
      slot_s: Moving mean of the time for which a run holds a slot, seconds.
    """

    ended: int = 0
    slot_s: float = 0.0


class CostEstimator:
    """Estimator of request costs from runs, their calls and the answers."""

    def __init__(self) -> None:
        self._runs_by_route: dict[str, _RouteRuns] = {}
        self._call_rates = intensity.CallRateEstimator()
        self._origins_by_route: dict[str, origins.Origin] = {}
        self._slot_s_by_target: dict[tuple[str, str], dict[str, float]] = {}

    def record_run_start(self, route_name: str, now: float) -> None:
        """Records a run that was sent to the local backend server."""
        self._call_rates.record_run_start(route_name, now)

    def record_run_end(
        self, route_name: str, slot_s: float, now: float, *, completed: bool
    ) -> None:
        """Records the end of a run.

        Args:
          route_name: Route of its request.
          slot_s: Time for which it held a slot, seconds.
          now: Monotonic seconds.
          completed: Whether it produced an answer.
        """
        self._call_rates.record_run_end(route_name, now)
        if not completed:
            return
        runs = self._runs_by_route.get(route_name)
        if runs is None:
            if len(self._runs_by_route) >= _MAX_ROUTES:
                return
            runs = self._runs_by_route[route_name] = _RouteRuns()
        runs.ended += 1
        weight = max(_SMOOTHING, 1.0 / runs.ended)
        runs.slot_s += weight * (slot_s - runs.slot_s)

    def record_call(self, route_name: str, run_route_name: str) -> None:
        """Records a call made by a known run of the backend server."""
        self._call_rates.record_call(route_name, run_route_name)

    def record_outbound_call(self, route_name: str) -> None:
        """Records a request that originated on this host."""
        if self.reported_origin(route_name) is origins.Origin.SERVERS:
            self._call_rates.attribute_call(route_name)

    def reported_origin(self, route_name: str) -> origins.Origin:
        """Returns the origin of a route's requests as reported in answers."""
        return self._origins_by_route.get(route_name, origins.Origin.UNKNOWN)

    def update_from_report(
        self,
        route_name: str,
        service: str,
        origin: origins.Origin,
        slot_s_by_service: dict[str, float],
    ) -> None:
        """Updates the costs from the report of an answer.

        Args:
          route_name: Route of the request.
          service: Service that answered.
          origin: Origin of the route's requests.
          slot_s_by_service: Slot time of one such request by service, seconds.
        """
        if origin is not origins.Origin.UNKNOWN:
            self._origins_by_route[route_name] = origin
        key = (route_name, service)
        costs = self._slot_s_by_target.get(key)
        if costs is None:
            if len(self._slot_s_by_target) >= _MAX_ROUTES:
                return
            costs = self._slot_s_by_target[key] = {}
        for name in costs:
            # A service missing from the report no longer costs anything.
            slot_s = slot_s_by_service.get(name, 0.0)
            costs[name] += _SMOOTHING * (slot_s - costs[name])
        for name, slot_s in slot_s_by_service.items():
            costs.setdefault(name, slot_s)

    def request_costs(self, route_name: str, service: str) -> dict[str, float]:
        """Returns the slot seconds of a request by service, empty if unknown.

        Args:
          route_name: Its route.
          service: Service that it goes to.
        """
        return self._slot_s_by_target.get((route_name, service), {})

    def run_time_s(self, route_name: str) -> float:
        """Returns the mean run time of a route in seconds; zero if unknown."""
        runs = self._runs_by_route.get(route_name)
        if runs is None or runs.ended < _MIN_RUNS:
            return 0.0
        return runs.slot_s

    def run_costs(self, route_name: str, service: str) -> dict[str, float]:
        """Returns the slot seconds of a run and its downstream calls.

        Args:
          route_name: Route of its request.
          service: Service of the local backend server.
        """
        runs = self._runs_by_route.get(route_name)
        if runs is None or runs.ended < _MIN_RUNS:
            return {}
        slot_s_by_service = {service: runs.slot_s}
        calls_by_route = self._call_rates.expected_calls(
            route_name, runs.slot_s
        )
        for name, calls_per_run in calls_by_route.items():
            if calls_per_run < _MIN_CALLS_PER_RUN:
                continue
            for downstream_service, slot_s in self._downstream_costs(
                name
            ).items():
                total = (
                    slot_s_by_service.get(downstream_service, 0.0)
                    + calls_per_run * slot_s
                )
                slot_s_by_service[downstream_service] = total
        return slot_s_by_service

    def _downstream_costs(self, route_name: str) -> dict[str, float]:
        """Returns the cost of a call, averaged over its destinations."""
        costs_by_destination = [
            destination_costs
            for (name, _), destination_costs in self._slot_s_by_target.items()
            if name == route_name
        ]
        if len(costs_by_destination) <= 1:
            return costs_by_destination[0] if costs_by_destination else {}
        merged: dict[str, float] = {}
        for destination_costs in costs_by_destination:
            for service, slot_s in destination_costs.items():
                share = slot_s / len(costs_by_destination)
                merged[service] = merged.get(service, 0.0) + share
        return merged

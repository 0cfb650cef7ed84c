"""Request costs and service load known to a node, and its reports of them."""

import random

import result

from bergamotdeal.membership import core as membership
from bergamotdeal.pricing import core
from bergamotdeal.pricing import costs
from bergamotdeal.pricing import gate
from bergamotdeal.pricing import origins
from bergamotdeal.pricing import pressure

REPORT_INTERVAL_S = 0.05
"""Minimum interval between reports on a route over one link while a service
is overloaded: half a control window."""

IDLE_REPORT_INTERVAL_S = 0.5
"""The same interval without overload, when only costs change."""

_MAX_LINKS = 4096

_MIN_MATCHED_CALLS = 8
"""Calls matched to a run by their id after which the server is assumed to
derive the ids of all its calls that way."""


class CostModel:
    """Cost estimates, load shares and admission of requests by their cost.

    Args:
      rng: Random source.
      data_centre: Data centre of this host.
    """

    def __init__(self, *, rng: random.Random, data_centre: str) -> None:
        self._origins = origins.OriginClassifier(data_centre=data_centre)
        self._matched_calls = 0
        self._costs = costs.CostEstimator()
        self._reported_shares = pressure.BackpressureTable()
        self._entry_gate = gate.EntryGate(rng=rng)
        self._server: pressure.BackpressureController | None = None
        self._service = ""
        self._reported_at: dict[tuple[int, str], float] = {}
        self._reports_by_route: dict[str, tuple[float, bytes]] = {}

    # Calls served by the local backend server.

    def set_server(
        self, service: str, server: pressure.BackpressureController
    ) -> None:
        """Sets the backpressure controller of the local backend server.

        Args:
          service: Service of the backend server.
          server: Controller of its load share.
        """
        self._service = service
        self._server = server

    def update_members(
        self, members_by_id: dict[str, membership.Member]
    ) -> None:
        """Updates the classification of origins from the membership view."""
        self._origins.update_members(members_by_id)

    def record_inbound_call(self, route_name: str, caller_service: str) -> None:
        """Records a call to the local backend server.

        Args:
          route_name: Route of the request.
          caller_service: Service of the originating host.
        """
        self._origins.record_arrival(route_name, caller_service)

    def record_run_start(self, route_name: str, now: float) -> None:
        """Records a run that was sent to the backend server."""
        self._costs.record_run_start(route_name, now)

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
        self._costs.record_run_end(route_name, slot_s, now, completed=completed)

    def run_time_s(self, route_name: str) -> float:
        """Returns the mean run time of a route here; zero while unknown."""
        return self._costs.run_time_s(route_name)

    def report(self, link_id: int, route_name: str, now: float) -> bytes:
        """Returns the encoded report for an answer; empty if none is due.

        Args:
          link_id: Link on which the answer is sent.
          route_name: Route of the request.
          now: Monotonic seconds.
        """
        key = (link_id, route_name)
        age_s = now - self._reported_at.get(key, -IDLE_REPORT_INTERVAL_S)
        if age_s < REPORT_INTERVAL_S:
            return b""
        if age_s < IDLE_REPORT_INTERVAL_S and self._is_unloaded():
            return b""
        if len(self._reported_at) >= _MAX_LINKS:
            self._reported_at.clear()
        self._reported_at[key] = now
        built_at, report = self._reports_by_route.get(route_name, (-1.0, b""))
        if now - built_at >= REPORT_INTERVAL_S:
            report = self._build_report(route_name, now)
            if len(self._reports_by_route) >= _MAX_LINKS:
                self._reports_by_route.clear()
            self._reports_by_route[route_name] = (now, report)
        return report

    def _is_unloaded(self) -> bool:
        is_server_unloaded = self._server is None or self._server.share >= 1.0
        return is_server_unloaded and self._reported_shares.is_empty()

    def _build_report(self, route_name: str, now: float) -> bytes:
        slot_s_by_service = self._costs.run_costs(route_name, self._service)
        charges = [
            core.Charge(
                service=service,
                slot_s=slot_s,
                share=self._load_share(service, now),
            )
            for service, slot_s in slot_s_by_service.items()
        ]
        report = core.Report(
            origin=self._origins.route_origin(route_name),
            charges=charges[: core.MAX_CHARGES],
        )
        return core.encode(report)

    # Requests that originate on this host.

    def record_outbound_call(
        self, route_name: str, run_route_name: str
    ) -> None:
        """Records a call made by a known run of the local backend server.

        Args:
          route_name: Route of the call.
          run_route_name: Route of the run that made the call.
        """
        self._matched_calls += 1
        self._costs.record_call(route_name, run_route_name)

    def record_entry_request(self, route_name: str) -> origins.Origin:
        """Records a request that originates on this host.

        Args:
          route_name: Route of the request.

        Returns:
          The origin of the request as currently classified.
        """
        if self._matched_calls >= _MIN_MATCHED_CALLS:
            # The server's calls are matched by their ids; this one was not.
            return origins.Origin.CALLERS
        self._costs.record_outbound_call(route_name)
        return self._costs.reported_origin(route_name)

    def admits(
        self,
        route_name: str,
        service: str,
        *,
        rank: int,
        fingerprint: int | None,
        now: float,
        organisation: str = "",
        weight: float = 1.0,
        is_reserved: bool = False,
    ) -> bool:
        """Returns whether a user request is admitted.

        Args:
          route_name: Route of the request.
          service: Destination service.
          rank: Rank of its priority class; 0 is the most important.
          fingerprint: Hash that identifies a request sent again, or None if
            requests sent again are treated like others.
          now: Monotonic seconds.
          organisation: Organisation of the caller, with which a class is
            shared fairly; empty for none.
          weight: Weight of the organisation.
          is_reserved: Whether it returns at the time that it was assigned.
        """
        slot_s_by_service = self._costs.request_costs(route_name, service)
        is_excess = self._entry_gate.record_request(
            route_name,
            rank,
            slot_s_by_service,
            now,
            organisation=organisation,
            weight=weight,
        )
        if self._reported_shares.is_empty():
            return True
        return self._entry_gate.admits(
            route_name,
            fingerprint,
            self._reported_shares.shares_by_service(now),
            now,
            is_excess=is_excess,
            is_reserved=is_reserved,
        )

    def shares_by_service(self, now: float) -> dict[str, float]:
        """Returns the load shares of overloaded services by service name."""
        return self._reported_shares.shares_by_service(now)

    def find_bottleneck(self, route_name: str, service: str, now: float) -> str:
        """Returns the scarcest service of a request, empty if none is scarce.

        Args:
          route_name: Route of the request.
          service: Destination service.
          now: Monotonic seconds.
        """
        if self._reported_shares.is_empty():
            return ""
        slot_s_by_service = self._costs.request_costs(route_name, service)
        shares = {
            name: share
            for name, share in self._reported_shares.shares_by_service(
                now
            ).items()
            if slot_s_by_service.get(name, 0.0) > 0.0
        }
        return min(shares, key=shares.__getitem__, default="")

    def admitted_rate(self, service: str, rank: int) -> float:
        """Returns the admitted requests per second of a class for a service."""
        return self._entry_gate.admitted_rate(service, rank)

    def admitted_fraction(self, route_name: str) -> float:
        """Returns the fraction of a route's requests that is admitted."""
        return self._entry_gate.admitted_fraction(route_name)

    def apply_report(
        self, route_name: str, service: str, report: bytes, now: float
    ) -> result.Result[None, str]:
        """Applies the cost report of an answer.

        Args:
          route_name: Route of the request.
          service: Service that answered.
          report: The encoded report.
          now: Monotonic seconds.

        Returns:
          The reason if the report is invalid; it then changes nothing.
        """
        decoded = core.decode(report)
        if isinstance(decoded, result.Err):
            return decoded
        decoded_report = decoded.ok_value
        self._costs.update_from_report(
            route_name,
            service,
            decoded_report.origin,
            {
                charge.service: charge.slot_s
                for charge in decoded_report.charges
            },
        )
        for charge in decoded_report.charges:
            self._reported_shares.observe(charge.service, charge.share, now)
        return result.Ok(None)

    def _load_share(self, service: str, now: float) -> float:
        if service == self._service and self._server is not None:
            return self._server.share
        return self._reported_shares.share(service, now)

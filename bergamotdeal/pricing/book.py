"""What this node knows of costs and pressure, and what it tells of them."""

import random

import result

from bergamotdeal.membership import core as membership
from bergamotdeal.pricing import core
from bergamotdeal.pricing import costs
from bergamotdeal.pricing import gate
from bergamotdeal.pricing import origins
from bergamotdeal.pricing import pressure

REPORT_INTERVAL_S = 0.05
"""Time between two reports on a route to one link under pressure: half a
control window."""

CALM_INTERVAL_S = 0.5
"""The same without pressure, when only the costs are news."""

_MAX_LINKS = 4096

_IDS_TELL_AT = 8
"""Calls known by their ids after which the server is taken to derive all ids
of its calls so."""


class CostModel:
    """Costs of routes, shares of services and the entry's gate.

    Args:
      rng: Random source.
      data_centre: Data centre of this host.
    """

    def __init__(self, *, rng: random.Random, data_centre: str) -> None:
        self._origins = origins.OriginLearner(data_centre=data_centre)
        self._known_calls = 0
        self._costs = costs.CostLearner()
        self._pressures = pressure.BackpressureTable()
        self._gate = gate.EntryGate(rng=rng)
        self._server: pressure.BackpressureController | None = None
        self._service = ""
        self._reported_at: dict[tuple[int, str], float] = {}
        self._reports_by_route: dict[str, tuple[float, bytes]] = {}

    # The local backend server.

    def set_server(
        self, service: str, server: pressure.BackpressureController
    ) -> None:
        """Takes the pressure of the local backend server.

        Args:
          service: Its service.
          server: Its share, kept by its node.
        """
        self._service = service
        self._server = server

    def update_members(
        self, members_by_id: dict[str, membership.Member]
    ) -> None:
        """Takes the membership view."""
        self._origins.update_members(members_by_id)

    def record_inbound_call(self, route_name: str, caller_service: str) -> None:
        """Takes a call for the local backend server.

        Args:
          route_name: Route of the request.
          caller_service: Service of the host where it began.
        """
        self._origins.observe(route_name, caller_service)

    def record_run_start(self, route_name: str, now: float) -> None:
        """Takes a run that was handed over to the server."""
        self._costs.run_began(route_name, now)

    def record_run_end(
        self, route_name: str, slot_s: float, now: float, *, completed: bool
    ) -> None:
        """Takes the end of a run.

        Args:
          route_name: Route of its request.
          slot_s: Time for which it held a slot, seconds.
          now: Monotonic seconds.
          completed: Whether it ended with an answer.
        """
        self._costs.run_ended(route_name, slot_s, now, completed=completed)

    def report(self, link_id: int, route_name: str, now: float) -> bytes:
        """Returns what an answer tells of its route, often nothing.

        Args:
          link_id: Link on which the answer leaves.
          route_name: Route of the request.
          now: Monotonic seconds.
        """
        key = (link_id, route_name)
        age_s = now - self._reported_at.get(key, -CALM_INTERVAL_S)
        if age_s < REPORT_INTERVAL_S:
            return b""
        if age_s < CALM_INTERVAL_S and self._is_calm():
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

    def _is_calm(self) -> bool:
        is_server_calm = self._server is None or self._server.share >= 1.0
        return is_server_calm and self._pressures.is_calm()

    def _build_report(self, route_name: str, now: float) -> bytes:
        slot_s_by_service = self._costs.of_run(route_name, self._service)
        charges = [
            core.Charge(
                service=service,
                slot_s=slot_s,
                share=self._share(service, now),
            )
            for service, slot_s in slot_s_by_service.items()
        ]
        report = core.Report(
            origin=self._origins.of_route(route_name),
            charges=charges[: core.MAX_CHARGES],
        )
        return core.encode(report)

    # Requests that begin on this host.

    def record_outbound_call(self, route_name: str, run_route: str) -> None:
        """Takes a call of the local backend server.

        Args:
          route_name: Its route.
          run_route: Route of the run that made it.
        """
        self._known_calls += 1
        self._costs.called_by(route_name, run_route)

    def record_entry_request(self, route_name: str) -> origins.Origin:
        """Takes a request that begins on this host.

        Args:
          route_name: Its route.

        Returns:
          Who uses the route, as far as is known.
        """
        if self._known_calls >= _IDS_TELL_AT:
            # The server's calls are known by their ids; this is none of them.
            return origins.Origin.CALLERS
        self._costs.called(route_name)
        return self._costs.origin_of(route_name)

    def admits(
        self,
        route_name: str,
        service: str,
        *,
        rank: int,
        fingerprint: int,
        now: float,
    ) -> bool:
        """Decides whether a user request is let in.

        Args:
          route_name: Its route.
          service: Service that it goes to.
          rank: Rank of its class.
          fingerprint: Hash by which a returning request is known.
          now: Monotonic seconds.
        """
        slot_s_by_service = self._costs.of_request(route_name, service)
        self._gate.offer(route_name, rank, slot_s_by_service, now)
        if self._pressures.is_calm():
            return True
        return self._gate.admits(
            route_name, fingerprint, self._pressures.shares(now), now
        )

    def shares_by_service(self, now: float) -> dict[str, float]:
        """Returns the shares of the services under pressure."""
        return self._pressures.shares(now)

    def admitted_fraction(self, route_name: str) -> float:
        """Returns the part of a route's requests that is let in."""
        return self._gate.admitted_fraction(route_name)

    def apply_report(
        self, route_name: str, service: str, report: bytes, now: float
    ) -> result.Result[None, str]:
        """Takes what an answer told.

        Args:
          route_name: Route of the request.
          service: Service that answered.
          report: The encoded charges.
          now: Monotonic seconds.

        Returns:
          Why the report can't be read; what was known before then stays.
        """
        decoded = core.decode(report)
        if isinstance(decoded, result.Err):
            return decoded
        told = decoded.ok_value
        self._costs.answered(
            route_name,
            service,
            told.origin,
            {charge.service: charge.slot_s for charge in told.charges},
        )
        for charge in told.charges:
            self._pressures.observe(charge.service, charge.share, now)
        return result.Ok(None)

    def _share(self, service: str, now: float) -> float:
        if service == self._service and self._server is not None:
            return self._server.share
        return self._pressures.share(service, now)

"""State that the parts of the call engine share."""

import dataclasses
import random
import traceback

from bergamotdeal.calls import core
from bergamotdeal.calls import deadlines
from bergamotdeal.calls import messages
from bergamotdeal.membership import core as membership
from bergamotdeal.presets import hosts
from bergamotdeal.presets import model
from bergamotdeal.pricing import book
from bergamotdeal.routing import split
from bergamotdeal.telemetry import catalogue

_MAX_KEPT_SERVICES = 256
_MAX_CARRIED_ROUTES = 4096


class EngineState:
    """What the origin side and the target side both need.

    Attributes:
      identity: This node.
      preset: Preset in force.
      epoch: Its epoch.
      rng: Random source.
      members_by_id: Members by host id.
      service: Service that the local backend server announces, or empty.
      caller_service: Service of this host, for calls that begin here.
      cost_model: What requests cost and which the fleet can take.
      draining: Whether the node refuses work from other nodes.
      entry_closed: Whether it refuses new callers, too.
      now: Time of the event in hand, in monotonic seconds.
      timers: Timers of all parts.
      effects: Effects of the event in hand.
    """

    def __init__(
        self,
        *,
        identity: membership.Member,
        preset: model.Preset,
        epoch: int,
        rng: random.Random,
        caller_service: str = "",
    ):
        self.identity = identity
        self.rng = rng
        self.put_in_force(preset, epoch)
        self.caller_service = caller_service
        self.cost_model = book.CostModel(
            rng=rng, data_centre=identity.data_centre
        )
        self.members_by_id: dict[str, membership.Member] = {}
        self.service = ""
        self.draining = False
        self.entry_closed = False
        self.now = 0.0
        self.timers = deadlines.Timers()
        self.effects: list[messages.Effect] = []

    def put_in_force(self, preset: model.Preset, epoch: int) -> None:
        """Takes the preset that decides from now on, with its epoch."""
        self.preset = preset
        self.epoch = epoch
        self._presets_by_service: dict[str, model.Preset] = {}
        self._hosts = hosts.HostRouteTable(host_routes=preset.host_routes)
        self._splits_by_route: dict[str, split.WeightedSplit] = {}
        self._routes_by_destination: dict[tuple[str, str], model.Route] = {}
        self._carried_routes_by_key: dict[tuple, model.Route] = {}

    def host_route_for(self, request: core.Request) -> model.Route | None:
        """Chooses the destination of a request that names a host.

        Args:
          request: The request; the chosen service is set on it.

        Returns:
          The policy for the request, or None when no route matches.
        """
        found = self._hosts.find(request.authority, request.path)
        if found is None:
            return None
        deal = self._splits_by_route.get(found.name)
        if deal is None:
            deal = split.WeightedSplit(
                destinations=found.destinations, rng=self.rng
            )
            self._splits_by_route[found.name] = deal
        request.service = deal.next_service()
        key = (found.name, request.service)
        route = self._routes_by_destination.get(key)
        if route is None:
            route = found.build_route(request.service)
            self._routes_by_destination[key] = route
        return route

    def carried_route(self, call: core.Call) -> model.Route:
        """Returns the policy of a call whose origin chose the route.

        The origin's choice counts; this node may have another preset.

        Args:
          call: The call; it names its route.
        """
        key = (
            call.request.service,
            call.route_name,
            call.class_name,
            call.repeatable,
        )
        route = self._carried_routes_by_key.get(key)
        if route is None:
            if len(self._carried_routes_by_key) >= _MAX_CARRIED_ROUTES:
                self._carried_routes_by_key.clear()
            route = model.Route(
                service=call.request.service,
                method="*",
                prefix=call.route_name,
                class_name=call.class_name,
                repeatable=call.repeatable,
                repeatable_below=call.repeatable,
            )
            self._carried_routes_by_key[key] = route
        return route

    def route_for(self, request: core.Request) -> model.Route:
        """Returns the policy for a request.

        It looks at the routes of the request's service only, which are few
        even where a preset has hundreds.
        """
        service = request.service
        narrowed = self._presets_by_service.get(service)
        if narrowed is None:
            narrowed = self._narrow(service)
        return narrowed.find_route(service, request.method, request.path)

    def _narrow(self, service: str) -> model.Preset:
        routes = tuple(r for r in self.preset.routes if r.service == service)
        narrowed = dataclasses.replace(self.preset, routes=routes)
        # Callers may name any number of services that don't exist.
        if len(self._presets_by_service) < _MAX_KEPT_SERVICES:
            self._presets_by_service[service] = narrowed
        return narrowed

    def emit(self, effect: messages.Effect) -> None:
        """Adds an effect of the event in hand."""
        self.effects.append(effect)

    def record(
        self,
        code: catalogue.EventCode,
        user_request_id: str = "",
        **fields: str | int | float | bool,
    ) -> None:
        """Puts a numbered event on the time line."""
        self.effects.append(
            messages.EventRecord(
                code=code, user_request_id=user_request_id, fields=fields
            )
        )

    def record_failure(self) -> None:
        """Puts the exception in hand on the time line, with its trace."""
        self.record(
            catalogue.EventCode.CALL_FAILED_INTERNALLY,
            trace=traceback.format_exc(),
        )

    def needs_ticket(self, route: model.Route) -> bool:
        """Whether requests of a route run only under a ticket."""
        return self.preset.tickets.required and not route.repeatable

    def class_for(self, inherited: str, own: str) -> str:
        """Returns the more important one of two classes.

        Args:
          inherited: Class of the user request, empty when not yet known.
          own: Class of the call's own route.
        """
        if not inherited:
            return own
        get_class_rank = self.preset.get_class_rank
        return (
            inherited
            if get_class_rank(inherited) <= get_class_rank(own)
            else own
        )


def milliseconds_left(deadline: float, now: float) -> int:
    """Returns the time to a deadline in whole milliseconds, at least zero."""
    return max(0, int((deadline - now) * 1000))

"""Shared state of the parts of the call engine."""

import math
import random
import traceback

import msgspec

from bergamotdeal.admission import returns
from bergamotdeal.calls import deadlines
from bergamotdeal.calls import messages
from bergamotdeal.fairness import weights
from bergamotdeal.membership import core as membership
from bergamotdeal.organisations import keys
from bergamotdeal.presets import hosts
from bergamotdeal.presets import model
from bergamotdeal.pricing import book
from bergamotdeal.routing import split
from bergamotdeal.rpc import core as rpc
from bergamotdeal.shutdown import durations
from bergamotdeal.telemetry import catalogue
from bergamotdeal.telemetry import records

_MAX_TARGET_MS = (1 << 31) - 1
_MAX_CACHED_SERVICES = 256
_MAX_CACHED_CALL_ROUTES = 4096


class EngineState:
    """Shared state of the origin side and the target side.

    Attributes:
      identity: Membership entry of this node.
      preset: Active preset.
      epoch: Epoch of the active preset.
      key_table: Keys of the active preset.
      capped_organisations: Names of the organisations that have a cap.
      rng: Random number generator.
      members_by_id: Members by host id.
      service: Service that the local backend server announces, or empty.
      caller_service: Service of this host, for calls that originate here.
      confirmed_at: Time of the last news of the active preset, in monotonic
        seconds.
      return_schedule: Return times of the callers that were refused here.
      cost_model: Costs of requests and capacity of the fleet.
      draining: Whether the node refuses calls of other nodes.
      is_entry_closed: Whether the node also refuses new requests of callers.
      is_ending: Whether the drain is about to end, so that no call is sent
        once more.
      is_exiting: Whether the drain has ended, so that nothing can be started
        or sent any more but answers.
      exits_at: Time at which a draining node exits at the latest, in monotonic
        seconds.
      run_durations: Durations of the local backend server's runs.
      now: Time of the current event in monotonic seconds.
      timers: Timers of all parts of the engine.
      effects: Effects of the current event.
    """

    def __init__(
        self,
        *,
        identity: membership.Member,
        preset: model.Preset,
        epoch: int,
        rng: random.Random,
        caller_service: str = "",
        max_silence_s: float = math.inf,
    ):
        self.identity = identity
        self.rng = rng
        self._max_silence_s = max_silence_s
        self.confirmed_at = -math.inf
        self.activate_preset(preset, epoch)
        self.caller_service = caller_service
        self.return_schedule = returns.ReturnSchedule(rng=rng)
        self.cost_model = book.CostModel(
            rng=rng, data_centre=identity.data_centre
        )
        self.members_by_id: dict[str, membership.Member] = {}
        self.service = ""
        self.draining = False
        self.is_entry_closed = False
        self.is_ending = False
        self.is_exiting = False
        self.exits_at = math.inf
        self.run_durations = durations.DurationEstimator()
        self.now = 0.0
        self.timers = deadlines.TimerQueue()
        self.effects: list[messages.Effect] = []

    def record_drain(self, event: messages.DrainStarted) -> None:
        """Records the start or a new phase of the node's drain."""
        self.draining = True
        self.is_entry_closed = not event.entry_open
        self.exits_at = self.now + event.remaining_s

    def activate_preset(self, preset: model.Preset, epoch: int) -> None:
        """Activates a preset with its epoch."""
        self.preset = preset
        self.epoch = epoch
        self.key_table = keys.KeyTable(organisations=preset.organisations)
        self.capped_organisations = frozenset(
            organisation.name
            for organisation in preset.organisations
            if organisation.name and organisation.rate_per_s > 0
        )
        self._presets_by_service: dict[str, model.Preset] = {}
        self._hosts = hosts.HostRouteTable(host_routes=preset.host_routes)
        self._splits_by_route: dict[str, split.WeightedSplit] = {}
        self._routes_by_destination: dict[tuple[str, str], model.Route] = {}
        self._call_routes_by_key: dict[tuple, model.Route] = {}
        self._weights_by_organisation = weights.compute_weights(
            preset.organisations
        )

    def select_host_route(self, request: rpc.Request) -> model.Route | None:
        """Selects the route and destination of a request to a host name.

        Args:
          request: Request; its service is set to the selected one.

        Returns:
          The route to the selected service, or None if no route matches.
        """
        found = self._hosts.find(request.authority, request.path)
        if found is None:
            return None
        splitter = self._splits_by_route.get(found.name)
        if splitter is None:
            splitter = split.WeightedSplit(
                destinations=found.destinations, rng=self.rng
            )
            self._splits_by_route[found.name] = splitter
        request.service = splitter.next_service()
        key = (found.name, request.service)
        route = self._routes_by_destination.get(key)
        if route is None:
            route = found.build_route(request.service)
            self._routes_by_destination[key] = route
        return route

    def find_class(self, request: rpc.Request) -> str:
        """Returns the class of a request's route, or empty without a route.

        Args:
          request: Request of a caller; it is not changed.
        """
        if not request.authority:
            return self.route_for(request).class_name
        found = self._hosts.find(request.authority, request.path)
        return found.class_name if found is not None else ""

    def find_call_route(self, call: rpc.Call) -> model.Route:
        """Returns the route of a call that was selected by its origin.

        The origin's selection is used because this node may have another
        preset.

        Args:
          call: Call that names its route.
        """
        key = (
            call.request.service,
            call.route_name,
            call.class_name,
            call.repeatable,
        )
        route = self._call_routes_by_key.get(key)
        if route is None:
            if len(self._call_routes_by_key) >= _MAX_CACHED_CALL_ROUTES:
                self._call_routes_by_key.clear()
            route = model.Route(
                service=call.request.service,
                method="*",
                prefix=call.route_name,
                class_name=call.class_name,
                repeatable=call.repeatable,
                repeatable_below=call.repeatable,
            )
            self._call_routes_by_key[key] = route
        return route

    def route_for(self, request: rpc.Request) -> model.Route:
        """Returns the route of a request.

        Only the routes of the request's service are searched, which are few
        even in a preset with hundreds of routes.
        """
        service = request.service
        filtered = self._presets_by_service.get(service)
        if filtered is None:
            filtered = self._filter_routes(service)
        return filtered.find_route(service, request.method, request.path)

    def _filter_routes(self, service: str) -> model.Preset:
        routes = tuple(r for r in self.preset.routes if r.service == service)
        filtered = msgspec.structs.replace(self.preset, routes=routes)
        # Bounds the cache, as callers may name services that don't exist.
        if len(self._presets_by_service) < _MAX_CACHED_SERVICES:
            self._presets_by_service[service] = filtered
        return filtered

    def emit(self, effect: messages.Effect) -> None:
        """Adds an effect of the current event."""
        self.effects.append(effect)

    def record_event(
        self,
        code: catalogue.EventCode,
        user_request_id: str = "",
        **fields: str | int | float | bool,
    ) -> None:
        """Adds an event to the time line."""
        self.effects.append(
            records.EventRecord(
                code=code, user_request_id=user_request_id, fields=fields
            )
        )

    def record_failure(self) -> None:
        """Adds the current exception with its traceback to the time line."""
        self.record_event(
            catalogue.EventCode.CALL_FAILED_INTERNALLY,
            trace=traceback.format_exc(),
        )

    def update_key(self, call: rpc.Call) -> bool:
        """Checks the key of a call against a preset that its origin lacked.

        A key that moved to another organisation now belongs to that one.

        Args:
          call: Call that has not run; its organisation is updated.

        Returns:
          Whether the call may still run.
        """
        key_table = self.key_table
        if (
            not call.key_digest
            or call.epoch >= self.epoch
            or not key_table.is_required
        ):
            return True
        found = key_table.find(call.key_digest)
        if found is None:
            return False
        call.organisation = found.name
        return True

    def is_preset_outdated(self) -> bool:
        """Returns whether a newer preset may have revoked keys unnoticed."""
        return self.now - self.confirmed_at > self._max_silence_s

    def classify_call(self, call: rpc.Call, route: model.Route) -> str:
        """Returns the class of a call; on a host route that of its origin.

        Args:
          call: Call that arrived at its target.
          route: Route of the call.
        """
        if not call.route_name:
            return self.select_class(
                call.class_name,
                route.class_name,
                organisation=call.organisation,
            )
        self.cost_model.record_inbound_call(
            call.route_name, call.caller_service
        )
        return call.class_name

    def get_weight(self, organisation: str) -> float:
        """Returns the weight of an organisation in fair sharing."""
        return self._weights_by_organisation.get(organisation, 1.0)

    def needs_ticket(self, route: model.Route) -> bool:
        """Returns whether requests of a route require a ticket."""
        return self.preset.tickets.required and not route.repeatable

    def get_request_rank(self, class_name: str, route_class_name: str) -> int:
        """Returns the rank of a user request at an entry.

        The class of an organisation goes before the class of a route. Requests
        of one organisation's class are ordered by the classes of their routes.

        Args:
          class_name: Class of the request.
          route_class_name: Class of its route.
        """
        get_class_rank = self.preset.get_class_rank
        route_ranks = len(self.preset.classes) + 1
        return route_ranks * get_class_rank(class_name) + get_class_rank(
            route_class_name
        )

    def select_class(
        self, inherited: str, own: str, *, organisation: str = ""
    ) -> str:
        """Selects the more important one of two classes.

        Args:
          inherited: Class of the user request; empty if not yet known.
          own: Class of the call's own route.
          organisation: Organisation of the user request; if it has a class,
            that class takes precedence over the route's.
        """
        if not inherited:
            return own
        if organisation and self.key_table.get_class_name(organisation):
            return inherited
        get_class_rank = self.preset.get_class_rank
        return (
            inherited
            if get_class_rank(inherited) <= get_class_rank(own)
            else own
        )


def remaining_ms(deadline: float, now: float) -> int:
    """Returns the time to a deadline in whole milliseconds, at least zero."""
    return max(0, int((deadline - now) * 1000))


def compute_target_ms(target: float, now: float) -> int | None:
    """Returns the time to a target in milliseconds, negative once passed.

    Args:
      target: Time of the target, monotonic seconds; infinite for none.
      now: Monotonic seconds.
    """
    if math.isinf(target):
        return None
    milliseconds = round((target - now) * 1000)
    return max(-_MAX_TARGET_MS, min(_MAX_TARGET_MS, milliseconds))


def compute_target(target_ms: int | None, now: float) -> float:
    """Returns the target in monotonic seconds, infinite for none.

    Args:
      target_ms: Time to the target in milliseconds, or None.
      now: Monotonic seconds.
    """
    return math.inf if target_ms is None else now + target_ms / 1000

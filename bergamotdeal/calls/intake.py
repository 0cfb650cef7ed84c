"""Classification and admission of requests on the entry and egress faces."""

import hashlib

from bergamotdeal.admission import feedback
from bergamotdeal.calls import authentication
from bergamotdeal.calls import exchanges
from bergamotdeal.calls import messages
from bergamotdeal.calls import runs
from bergamotdeal.calls import state as engine_state
from bergamotdeal.errors import core as errors
from bergamotdeal.presets import model
from bergamotdeal.pricing import origins
from bergamotdeal.retries import allowance
from bergamotdeal.routing import known_services
from bergamotdeal.rpc import core as rpc
from bergamotdeal.telemetry import catalogue
from bergamotdeal.utils import hashing

_KINDS = errors.ErrorKind
_CALL_ID_BYTES = 16
_NO_ROUTE = model.Route(service="none", method="*", prefix="/")
_PRIOR_CALLS_UNKNOWN = 1
"""Assumed number of earlier calls if a call can't be traced to its run. It lies
between the first call, whose loss costs least, and the last."""

_TICKETLESS_RETRIES = 1
"""Maximum retries of the attempt that requests a ticket, the first of two."""


class Intake:
    """Admission of new requests at their origin.

    Args:
      state: State of the engine.
      run_table: Runs of the local backend server, the parents of its calls.
      known_services: Services that exist, with or without servers.
      thresholds: Admission thresholds reported by the services' nodes.
    """

    def __init__(
        self,
        *,
        state: engine_state.EngineState,
        run_table: runs.RunTable,
        known_services: known_services.KnownServices,
        thresholds: feedback.ThresholdTable,
    ):
        self._state = state
        self._run_table = run_table
        self._known_services = known_services
        self._thresholds = thresholds
        self._last_call = 0
        self._authenticator = authentication.Authenticator(
            state=state, run_table=run_table
        )
        self.confirm_key = self._authenticator.confirm_key

    def open(self, event: messages.CallArrived) -> exchanges.Exchange:
        """Creates the exchange of a request that arrived."""
        state = self._state
        request = event.request
        route, timeout_ms = self._select_route(event)
        arrived_at = state.now - event.held_s
        exchange = exchanges.Exchange(
            origin_id=event.origin_id,
            face=event.face,
            request=request,
            user_request_id=event.user_request_id,
            call_id=event.user_request_id,
            route=route,
            class_name=route.class_name,
            arrived_at=arrived_at,
            deadline=arrived_at + timeout_ms / 1000,
            depth=0,
            attempt=event.attempt,
            allowance=allowance.Allowance(),
            may_have_run=event.attempt > 0,
            ticket=event.ticket,
        )
        if route is not _NO_ROUTE:
            self._authenticator.authenticate(exchange, event)
        is_refused = route is _NO_ROUTE or exchange.key_refusal is not None
        if route.target_latency_ms:
            exchange.target = arrived_at + route.target_latency_ms / 1000
        if request.authority and not is_refused:
            self._classify_origin(exchange)
        match event.face:
            case messages.Face.ENTRY:
                exchange.allowance.tokens = self._compute_initial_tokens(
                    exchange
                )
            case messages.Face.EGRESS:
                self._set_up_egress(exchange, event)
        return exchange

    def _classify_origin(self, exchange: exchanges.Exchange) -> None:
        """Distinguishes calls of the backend server from user requests."""
        state = self._state
        parent = None
        if not exchange.key_digest:
            parent = self._run_table.find_parent(exchange.user_request_id)
        if parent is not None:
            # All calls of a tree have the class of the user request.
            exchange.is_internal = True
            exchange.is_matched = True
            exchange.class_name = parent.class_name
            exchange.target = parent.target
            exchange.prior_calls = parent.tree_calls
            exchange.is_repeat = parent.call.is_repeat
            parent.calls_made += 1
            state.cost_model.record_outbound_call(
                exchange.route.prefix, parent.route.prefix
            )
            return
        origin = state.cost_model.record_entry_request(exchange.route.prefix)
        if exchange.key_digest:
            # Backend servers have no key.
            exchange.is_priced = True
            return
        exchange.is_priced = origin is origins.Origin.CALLERS
        exchange.is_internal = origin is origins.Origin.SERVERS
        if exchange.is_internal:
            exchange.prior_calls = _PRIOR_CALLS_UNKNOWN
            # Any of the current runs may have made the call.
            exchange.is_repeat = (
                state.rng.random() < self._run_table.repeat_share
            )
        if exchange.is_internal and state.preset.internal_class:
            exchange.class_name = state.preset.internal_class

    def _select_route(
        self, event: messages.CallArrived
    ) -> tuple[model.Route, int]:
        """Selects the route of a request and its timeout in milliseconds."""
        state = self._state
        request = event.request
        if not request.authority:
            route = state.route_for(request)
            if event.deadline_ms is None:
                return route, route.deadline_ms
            return route, event.deadline_ms
        route = state.select_host_route(request)
        if route is None:
            return _NO_ROUTE, _NO_ROUTE.deadline_ms
        if event.deadline_ms is None:
            return route, route.deadline_ms
        return route, min(event.deadline_ms, route.deadline_ms)

    def find_refusal(self, exchange: exchanges.Exchange) -> _KINDS | None:
        """Returns the reason to refuse a request on arrival, or None."""
        state = self._state
        if state.is_exiting:
            return _KINDS.DRAINING
        if exchange.depth > rpc.MAX_CALL_DEPTH:
            return _KINDS.CALL_TOO_DEEP
        if exchange.route is _NO_ROUTE:
            return _KINDS.NO_ROUTE
        if not state.members_by_id:
            return _KINDS.NOT_READY
        if exchange.key_refusal is not None:
            return exchange.key_refusal
        service = exchange.request.service
        if not self._known_services.is_known(service, state.now):
            return _KINDS.UNKNOWN_SERVICE
        if exchange.face is messages.Face.ENTRY:
            return self._entry_refusal(exchange)
        return self._egress_refusal(exchange)

    def get_class_rank(self, event: messages.CallArrived) -> int:
        """Returns the rank of the class of a request that is arriving.

        Calls of the local backend server rank first, since the work above them
        is lost without them.

        Args:
          event: The request, which may lack its body.
        """
        state = self._state
        if self._authenticator.find_parent(event) is not None:
            return 0
        class_name = state.find_class(event.request)
        if event.key_digest:
            organisation = state.key_table.find(event.key_digest)
            if organisation is not None and organisation.class_name:
                class_name = organisation.class_name
        return state.preset.get_class_rank(class_name)

    def _may_pass_drain(self, exchange: exchanges.Exchange) -> bool:
        """Returns whether a draining node still accepts a request.

        A request whose id names no run may be a caller's, as the origin of a
        route is an estimate from shares. It is accepted only while the server
        has runs that may have made it and if its time limit ends before the
        exit: a server may need longer than it usually does.
        """
        if exchange.is_matched:
            self._record_acceptance(exchange, "its id names a run")
            return True
        is_accepted = (
            exchange.is_internal
            and self._run_table.has_running()
            and exchange.deadline <= self._state.exits_at
        )
        if is_accepted:
            self._record_acceptance(exchange, "it ends before the exit")
        return is_accepted

    def _record_acceptance(
        self, exchange: exchanges.Exchange, reason: str
    ) -> None:
        """Records why a draining node accepts a request."""
        state = self._state
        state.record_event(
            catalogue.EventCode.CALL_ACCEPTED_IN_DRAIN,
            exchange.user_request_id,
            reason=reason,
            limit_s=round(exchange.deadline - state.now, 3),
            exit_s=round(state.exits_at - state.now, 3),
        )

    def _entry_refusal(self, exchange: exchanges.Exchange) -> _KINDS | None:
        if self._state.is_entry_closed and not self._may_pass_drain(exchange):
            return _KINDS.DRAINING
        if exchange.ticket:
            # The request may be running; only the ticket's node knows.
            return None
        if exchange.request.authority:
            return self._pricing_refusal(exchange)
        threshold = self._thresholds.threshold(
            exchange.request.service,
            exchange.route.prefix,
            exchange.class_name,
            self._state.now,
        )
        if threshold >= 1.0:
            return None
        share = hashing.hash_share(exchange.user_request_id)
        return None if share < threshold else _KINDS.SHED

    def _pricing_refusal(self, exchange: exchanges.Exchange) -> _KINDS | None:
        state = self._state
        if not (exchange.is_priced and state.preset.admission.pricing):
            return None
        request = exchange.request
        policy = state.preset.admission
        organisation = exchange.organisation if policy.fair_share else ""
        rank = state.get_request_rank(
            exchange.class_name, exchange.route.class_name
        )
        exchange.fingerprint = hash(
            (request.method, request.path, exchange.organisation)
        )
        is_reserved = policy.return_times and state.return_schedule.claim(
            exchange.fingerprint, state.now
        )
        if is_reserved:
            state.record_event(
                catalogue.EventCode.RETURN_ADMITTED, exchange.user_request_id
            )
        admitted = state.cost_model.admits(
            exchange.route.prefix,
            request.service,
            rank=rank,
            fingerprint=None if policy.return_times else exchange.fingerprint,
            now=state.now,
            organisation=organisation,
            weight=state.get_weight(organisation),
            is_reserved=is_reserved,
        )
        return None if admitted else _KINDS.SHED

    def _egress_refusal(self, exchange: exchanges.Exchange) -> _KINDS | None:
        parent = exchange.parent
        if parent is None:
            return None
        if parent.is_abandoned:
            return _KINDS.CANCELLED
        if parent.call.only_repeatable and not exchange.route.repeatable:
            return _KINDS.CALL_NOT_DECLARED
        return None

    def _compute_initial_tokens(self, exchange: exchanges.Exchange) -> int:
        """Returns the number of retries that a user request may cause.

        The two attempts that a ticket requires share one allowance.
        """
        if exchange.attempt > 0:
            return 0
        state = self._state
        tokens = state.preset.retries.allowance
        if exchange.route.max_sendings:
            tokens = min(tokens, exchange.route.max_sendings - 1)
        ticketless = min(_TICKETLESS_RETRIES, tokens)
        if exchange.ticket:
            return tokens - ticketless
        if state.needs_ticket(exchange.route):
            return ticketless
        return tokens

    def _set_up_egress(
        self, exchange: exchanges.Exchange, event: messages.CallArrived
    ) -> None:
        exchange.key = event.idempotency_key
        parent = None
        if not exchange.key_digest:
            parent = self._run_table.find_by_context(event.context)
        if parent is not None:
            self._link_to_parent(exchange, parent)
        elif not exchange.route.repeatable:
            # Any run may have made this call.
            self._run_table.mark_all_not_repeatable()
        exchange.call_id = self._build_call_id(exchange)

    def _link_to_parent(
        self, exchange: exchanges.Exchange, parent: runs.Run
    ) -> None:
        """Links an exchange to the run that made the call."""
        call = parent.call
        exchange.parent = parent
        exchange.user_request_id = call.user_request_id
        exchange.class_name = self._state.select_class(
            parent.class_name,
            exchange.route.class_name,
            organisation=call.organisation,
        )
        exchange.deadline = min(exchange.deadline, parent.deadline)
        exchange.target = parent.target
        exchange.depth = call.depth + 1
        exchange.allowance = parent.allowance
        exchange.is_repeat = call.is_repeat
        parent.child_origin_ids.add(exchange.origin_id)
        exchange.prior_calls = parent.tree_calls
        parent.calls_made += 1
        if not exchange.key:
            return
        # A parent that is retried makes the same call under the same key.
        exchange.may_have_run = exchange.may_have_run or call.may_have_run
        known = parent.tickets_by_key.get(
            (exchange.request.service, exchange.key)
        )
        if known and not exchange.ticket:
            exchange.ticket = known
            exchange.may_have_run = True

    def _build_call_id(self, exchange: exchanges.Exchange) -> str:
        """Builds the id that all attempts of one call share."""
        if not exchange.key:
            self._last_call += 1
            return f"{self._state.identity.incarnation}.{self._last_call:x}"
        parent = exchange.parent
        above = parent.call.call_id if parent else exchange.user_request_id
        digest = hashlib.blake2b(digest_size=_CALL_ID_BYTES)
        for part in (above, exchange.request.service, exchange.key):
            digest.update(part.encode())
            digest.update(b"\0")
        return digest.hexdigest()

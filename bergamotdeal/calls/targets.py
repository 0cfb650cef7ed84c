"""Choice of the host to which a call is dispatched."""

import result

from bergamotdeal.calls import exchanges
from bergamotdeal.calls import state as engine_state
from bergamotdeal.errors import core as errors
from bergamotdeal.membership import core as membership
from bergamotdeal.routing import router as routing
from bergamotdeal.telemetry import catalogue
from bergamotdeal.tickets import core as tickets

_KINDS = errors.ErrorKind


class TargetChooser:
    """Chooser of the host for each dispatch.

    Args:
      state: State of the engine.
      router: Selects servers.
    """

    def __init__(
        self, *, state: engine_state.EngineState, router: routing.Router
    ) -> None:
        self._state = state
        self._router = router

    def choose_host(
        self, exchange: exchanges.Exchange
    ) -> result.Result[str, _KINDS]:
        """Selects the host for a call, or returns why there is none."""
        if exchange.ticket:
            return self._find_ticket_host(exchange.ticket)
        service = exchange.request.service
        if self._state.needs_ticket(exchange.route):
            host_id = self._router.select_server_by_hash(
                service, exchange.call_id, exclude=exchange.tried_host_ids
            )
        else:
            host_id = self._router.select_server(
                service, exclude=exchange.tried_host_ids, now=self._state.now
            )
            for outlier in self._router.pop_new_outliers():
                self._state.record_event(
                    catalogue.EventCode.OUTLIER_FOUND, host=outlier
                )
            self._record_spill_changes()
        if host_id is None:
            return result.Err(_KINDS.NO_SERVER)
        return result.Ok(host_id)

    def _record_spill_changes(self) -> None:
        for service, is_spilling in self._router.pop_spill_changes():
            self._state.record_event(
                catalogue.EventCode.SPILL_STARTED
                if is_spilling
                else catalogue.EventCode.SPILL_ENDED,
                service=service,
            )

    def _find_ticket_host(self, encoded: bytes) -> result.Result[str, _KINDS]:
        """Returns the host that issued a ticket; no other may run it."""
        match tickets.decode(encoded):
            case result.Ok(ticket):
                pass
            case _:
                return result.Err(_KINDS.TICKET_INVALID)
        member = self._state.members_by_id.get(ticket.host_id)
        if member is None or member.incarnation != ticket.incarnation:
            return result.Err(_KINDS.TICKET_LOST)
        if member.state is membership.MemberState.DEAD:
            return result.Err(_KINDS.PEER_UNREACHABLE)
        return result.Ok(ticket.host_id)

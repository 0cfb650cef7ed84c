"""Authentication of requests by the keys of organisations."""

from bergamotdeal.calls import exchanges
from bergamotdeal.calls import explanations
from bergamotdeal.calls import messages
from bergamotdeal.calls import runs
from bergamotdeal.calls import state as engine_state
from bergamotdeal.errors import core as errors

_CAUSES = explanations.KeyRefusal
_KINDS = errors.ErrorKind


class Authenticator:
    """Authentication of requests at their origin.

    A request needs a key if the active preset has organisations and its route
    isn't public. Calls of the local backend server have no key; they inherit
    the organisation of the run that makes them.

    Args:
      state: State of the engine.
      run_table: Runs of the local backend server, the parents of its calls.
    """

    def __init__(
        self, *, state: engine_state.EngineState, run_table: runs.RunTable
    ) -> None:
        self._state = state
        self._run_table = run_table

    def authenticate(
        self, exchange: exchanges.Exchange, event: messages.CallArrived
    ) -> None:
        """Sets the organisation and class of a request or why it is refused.

        Args:
          exchange: Exchange of the request.
          event: Arrival of the request.
        """
        if not self._state.key_table.is_required:
            return
        if event.key_digest is not None:
            self._apply_key(exchange, event.key_digest)
            return
        parent = self.find_parent(event)
        if parent is not None:
            exchange.organisation = parent.call.organisation
        elif exchange.route.public:
            return
        elif self._run_table.has_ended_parent(
            event.user_request_id, event.context
        ):
            exchange.key_refusal = _KINDS.CANCELLED
        elif self._run_table.may_have_forgotten_parent(
            event.user_request_id, event.context, self._state.now
        ):
            self._refuse(
                exchange, _CAUSES.PARENT_UNKNOWN, kind=_KINDS.PARENT_UNKNOWN
            )
        else:
            self._refuse(exchange, _CAUSES.MISSING)

    def confirm_key(self, exchange: exchanges.Exchange) -> bool:
        """Checks the key of a waiting request against the active preset.

        A key that moved to another organisation now belongs to that one.

        Args:
          exchange: Exchange that is about to be dispatched.

        Returns:
          Whether the request may be dispatched.
        """
        state = self._state
        if not exchange.key_digest or exchange.key_epoch == state.epoch:
            return True
        exchange.key_epoch = state.epoch
        organisation = state.key_table.find(exchange.key_digest)
        if organisation is not None:
            exchange.organisation = organisation.name
            return True
        if exchange.route.public or not state.key_table.is_required:
            return True
        self._record(exchange, _CAUSES.REVOKED, "dispatch", exchange.key_digest)
        return False

    def _apply_key(self, exchange: exchanges.Exchange, digest: str) -> None:
        organisation = self._state.key_table.find(digest)
        is_public = exchange.route.public
        if self._state.is_preset_outdated() and not is_public:
            self._refuse(
                exchange, _CAUSES.OUTDATED, digest, kind=_KINDS.KEYS_OUTDATED
            )
        elif organisation is not None:
            exchange.organisation = organisation.name
            exchange.key_digest = digest
            exchange.key_epoch = self._state.epoch
            exchange.class_name = organisation.class_name or exchange.class_name
        elif not is_public:
            cause = _CAUSES.UNKNOWN if digest else _CAUSES.MALFORMED
            self._refuse(exchange, cause, digest)

    def _refuse(
        self,
        exchange: exchanges.Exchange,
        cause: explanations.KeyRefusal,
        digest: str = "",
        *,
        kind: errors.ErrorKind = _KINDS.UNAUTHORIZED,
    ) -> None:
        exchange.key_refusal = kind
        self._record(exchange, cause, "arrival", digest)

    def _record(
        self,
        exchange: exchanges.Exchange,
        cause: explanations.KeyRefusal,
        place: str,
        digest: str,
    ) -> None:
        explanations.record_key_refusal(
            self._state,
            exchange.user_request_id,
            cause,
            place=place,
            key_digest=digest,
        )

    def find_parent(self, event: messages.CallArrived) -> runs.Run | None:
        """Finds the run that made a call, or None.

        Args:
          event: Arrival of the call.
        """
        if event.context:
            parent = self._run_table.find_by_context(event.context)
            if parent is not None:
                return parent
        return self._run_table.find_parent(event.user_request_id)

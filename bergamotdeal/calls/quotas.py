"""Tokens of organisations' caps in the life of an exchange."""

from bergamotdeal.calls import exchanges
from bergamotdeal.calls import messages
from bergamotdeal.calls import state as engine_state
from bergamotdeal.calls import truth
from bergamotdeal.errors import core as errors
from bergamotdeal.rpc import core as rpc
from bergamotdeal.telemetry import catalogue

_KINDS = errors.ErrorKind
_REFUSED_BEFORE_SERVER = truth.REFUSED_BEFORE_SERVER | {_KINDS.TICKET_REQUIRED}


class QuotaGate:
    """The step of the entry at which a user request pays its token.

    Args:
      state: State of the engine.
    """

    def __init__(self, *, state: engine_state.EngineState):
        self._state = state

    def request_token(self, exchange: exchanges.Exchange) -> bool:
        """Requests a token if the organisation of a request has a cap.

        Calls of backend servers are paid for by the user request above them.

        Returns:
          Whether the request has to wait for the token.
        """
        state = self._state
        if (
            exchange.organisation not in state.capped_organisations
            or exchange.face is not messages.Face.ENTRY
            or exchange.is_internal
        ):
            return False
        exchange.is_waiting_for_quota = True
        state.emit(
            messages.RequestQuota(
                origin_id=exchange.origin_id,
                organisation=exchange.organisation,
            )
        )
        return True

    def accept_token(
        self, exchange: exchanges.Exchange, event: messages.QuotaGranted
    ) -> None:
        """Records the token of a request."""
        exchange.is_waiting_for_quota = False
        exchange.quota_expires_at = event.expires_at

    def build_refusal(
        self, exchange: exchanges.Exchange, event: messages.QuotaRefused
    ) -> rpc.Answer:
        """Builds the answer to a request that gets no token."""
        exchange.is_waiting_for_quota = False
        kind = _KINDS.QUOTA_UNAVAILABLE
        if event.is_exceeded:
            kind = _KINDS.QUOTA_EXCEEDED
        self._state.record_event(
            catalogue.EventCode.QUOTA_REFUSED,
            exchange.user_request_id,
            organisation=exchange.organisation,
            error=kind.value,
            reason=event.reason,
        )
        answer = rpc.build_error_answer(
            kind, may_have_run=exchange.may_have_run_despite_refusal
        )
        answer.retry_after_s = round(event.retry_after_s, 3)
        return answer

    def record_answer(
        self, exchange: exchanges.Exchange, answer: rpc.Answer
    ) -> None:
        """Keeps the token from being returned if a server had the request."""
        if answer.error not in _REFUSED_BEFORE_SERVER:
            exchange.quota_expires_at = None

    def close(self, exchange: exchanges.Exchange, answer: rpc.Answer) -> None:
        """Ends the wait for a token, or returns one that was not needed."""
        if exchange.is_waiting_for_quota:
            exchange.is_waiting_for_quota = False
            self._state.emit(messages.CancelQuota(origin_id=exchange.origin_id))
        if (
            exchange.quota_expires_at is not None
            and answer.outcome is errors.Outcome.NOT_RUN
        ):
            self._state.emit(
                messages.ReturnQuota(
                    organisation=exchange.organisation,
                    expires_at=exchange.quota_expires_at,
                )
            )

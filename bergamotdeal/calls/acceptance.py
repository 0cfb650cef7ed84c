"""Checks of a call at its target's node before it waits for a slot."""

from bergamotdeal.calls import explanations
from bergamotdeal.calls import local_server
from bergamotdeal.calls import runs
from bergamotdeal.calls import state as engine_state
from bergamotdeal.errors import core as errors
from bergamotdeal.retries import server_budget
from bergamotdeal.rpc import core as rpc
from bergamotdeal.telemetry import catalogue
from bergamotdeal.tickets import core as tickets

_KINDS = errors.ErrorKind


class CallAcceptance:
    """Acceptance of calls by state, quarantine and retry budget.

    Args:
      state: State of the engine.
      server: Admission and quarantine of the local backend server.
      budget: Retry budget of the local backend server.
    """

    def __init__(
        self,
        *,
        state: engine_state.EngineState,
        server: local_server.LocalServer,
        budget: server_budget.ServerRetryBudget,
    ) -> None:
        self._state = state
        self._server = server
        self._budget = budget

    def record_arrival(self, call: rpc.Call) -> None:
        """Records a call for the retry budget."""
        if call.attempt == 0 and not call.is_repeat:
            self._budget.record_first_attempt(self._state.now)

    def find_refusal(self, run: runs.Run) -> _KINDS | None:
        """Returns the reason to refuse a call before admission, or None."""
        state = self._state
        if state.draining:
            return _KINDS.DRAINING
        if not state.service:
            return _KINDS.NOT_READY
        if run.call.request.service != state.service:
            return _KINDS.NO_SERVER
        if not run.has_room:
            return _KINDS.SHED
        if not state.update_key(run.call):
            explanations.record_key_refusal(
                state,
                run.call.user_request_id,
                explanations.KeyRefusal.REVOKED,
                place="target",
                key_digest=run.call.key_digest,
            )
            return _KINDS.UNAUTHORIZED
        if run.call.deadline_ms <= 0:
            return _KINDS.DEADLINE_EXCEEDED
        if run.call.only_repeatable and not run.route.repeatable:
            return _KINDS.CALL_NOT_DECLARED
        run.fingerprint = tickets.compute_fingerprint(run.call.request)
        if self._server.has_quarantined(run.fingerprint):
            state.record_event(
                catalogue.EventCode.REQUEST_QUARANTINED,
                run.call.user_request_id,
                fingerprint=run.fingerprint,
            )
            return _KINDS.QUARANTINED
        if run.call.is_repeat and not run.holds_retry_token:
            run.holds_retry_token = self._budget.try_acquire(
                state.now, prior_calls=run.call.prior_calls
            )
            if not run.holds_retry_token:
                return _KINDS.RETRIES_EXHAUSTED
        return None

    def can_end_before_exit(self, run: runs.Run) -> bool:
        """Returns whether a run that starts now likely ends before the exit.

        An estimate suffices: all runs arrived before the drain, and a request
        of that time may still be under way at the exit.
        """
        state = self._state
        duration_s = state.run_durations.estimate_s(run.call.route_name)
        if duration_s is None:
            return True
        return min(run.deadline, state.now + duration_s) <= state.exits_at

    def may_retry(self, call: rpc.Call) -> bool:
        """Returns whether a retry of a call is likely to be accepted."""
        return not self._budget.is_exhausted(
            self._state.now, prior_calls=call.prior_calls
        )

    def release(self, run: runs.Run) -> None:
        """Returns the retry token of a run that did not start."""
        if run.holds_retry_token:
            run.holds_retry_token = False
            self._budget.refund()

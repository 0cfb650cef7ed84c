"""Origin side of a call: dispatch to a target, retries and the reply."""

from collections.abc import Callable

import result

from bergamotdeal.admission import feedback
from bergamotdeal.calls import exchanges
from bergamotdeal.calls import explanations
from bergamotdeal.calls import frames
from bergamotdeal.calls import intake as call_intake
from bergamotdeal.calls import messages
from bergamotdeal.calls import quotas
from bergamotdeal.calls import returns
from bergamotdeal.calls import runs
from bergamotdeal.calls import state as engine_state
from bergamotdeal.calls import targets
from bergamotdeal.calls import truth
from bergamotdeal.errors import core as errors
from bergamotdeal.retries import budget as retry_budget
from bergamotdeal.routing import router as routing
from bergamotdeal.rpc import core as rpc
from bergamotdeal.telemetry import catalogue

_CODES = catalogue.EventCode
_KINDS = errors.ErrorKind
_QUOTA_KINDS = frozenset((_KINDS.QUOTA_EXCEEDED, _KINDS.QUOTA_UNAVAILABLE))


class Dispatcher:
    """Dispatcher of the calls of callers and of the local backend server.

    Attributes:
      exchange_table: Exchanges that are not answered yet.

    Args:
      state: State of the engine.
      intake: Opens the exchanges.
      router: Selects servers.
      thresholds: Table of the admission thresholds that answers report.
      budget: Retry budget of the services.
      send: Sends a call to a host, which may be this one.
      cancel: Cancels a call at a host, which may be this one.
    """

    def __init__(
        self,
        *,
        state: engine_state.EngineState,
        intake: call_intake.Intake,
        router: routing.Router,
        thresholds: feedback.ThresholdTable,
        budget: retry_budget.RetryBudget,
        send: Callable[[str, rpc.Call], None],
        cancel: Callable[[str, int], None],
    ):
        self._state = state
        self._intake = intake
        self._router = router
        self._thresholds = thresholds
        self._budget = budget
        self._send = send
        self._cancel = cancel
        self._targets = targets.TargetChooser(state=state, router=router)
        self._quota_gate = quotas.QuotaGate(state=state)
        self._last_number = 0
        self.exchange_table = exchanges.ExchangeTable()
        self._exchanges_by_number: dict[int, exchanges.Exchange] = {}

    def is_idle(self) -> bool:
        """Returns whether all callers are answered."""
        return not self.exchange_table.exchanges_by_origin_id

    def handle_arrival(self, event: messages.CallArrived) -> None:
        """Opens an exchange for a request and dispatches or refuses it."""
        state = self._state
        exchange = self._intake.open(event)
        self.exchange_table.add(exchange)
        request = exchange.request
        state.record_event(
            _CODES.CALL_ARRIVED,
            exchange.user_request_id,
            method=request.method,
            service=request.service,
            path=request.path,
            face=event.face.value,
        )
        refusal = self._intake.find_refusal(exchange)
        if refusal is not None:
            self._refuse_arrival(exchange, refusal)
            return
        exchange.timer = state.timers.add(exchange.deadline, exchange)
        if not self._quota_gate.request_token(exchange):
            self._start(exchange)

    def handle_quota(
        self, event: messages.QuotaGranted | messages.QuotaRefused
    ) -> None:
        """Dispatches or refuses a request that waited for a token."""
        exchange = self.exchange_table.find(event.origin_id)
        if exchange is None or not exchange.is_waiting_for_quota:
            return
        match event:
            case messages.QuotaGranted():
                self._quota_gate.accept_token(exchange, event)
                self._start(exchange)
            case messages.QuotaRefused():
                answer = self._quota_gate.build_refusal(exchange, event)
                self._reply(exchange, answer)

    def _start(self, exchange: exchanges.Exchange) -> None:
        """Makes the first dispatch of a request."""
        self._budget.record_first_attempt(exchange.request.service)
        self._dispatch(exchange)

    def handle_caller_disconnect(self, origin_id: int) -> None:
        """Cancels the exchange of a caller that has disconnected."""
        exchange = self.exchange_table.find(origin_id)
        if exchange is not None:
            self.end(exchange, _KINDS.CANCELLED)

    def cancel_child_calls(self, run: runs.Run) -> None:
        """Cancels the open calls of a run."""
        for origin_id in list(run.child_origin_ids):
            self.handle_caller_disconnect(origin_id)

    def end(self, exchange: exchanges.Exchange, kind: _KINDS) -> None:
        """Cancels the dispatch in flight, if any, and answers with an error."""
        is_unsent = self._cancel_dispatch(exchange)
        self._refuse(exchange, kind, is_unsent=is_unsent)

    def record_hold(self, number: int, *, is_held: bool) -> None:
        """Records whether a dispatch waits for its link to open."""
        exchange = self._exchanges_by_number.get(number)
        if exchange is not None:
            exchange.is_held = is_held

    def fail(self, exchange: exchanges.Exchange) -> None:
        """Answers a request whose handling failed internally."""
        if self.exchange_table.find(exchange.origin_id) is not exchange:
            return
        self._exchanges_by_number.pop(exchange.number, None)
        exchange.number = 0
        exchange.may_have_run = True
        exchange.repeatable = False
        self._refuse(exchange, _KINDS.INTERNAL)

    def handle_answer(self, event: messages.PeerAnswered) -> None:
        """Handles an answer from a target."""
        exchange = self._exchanges_by_number.get(event.number)
        if (
            exchange is None
            or exchange.host_id != event.host_id
            or exchange.user_request_id != event.user_request_id
        ):
            self._state.record_event(
                _CODES.LATE_ANSWER_DROPPED,
                event.user_request_id,
                number=event.number,
            )
            return
        answer = event.answer
        if answer.report:
            self._apply_cost_report(exchange, answer.report)
        exchange.allowance.return_unspent(
            answer.tokens_left, carried=exchange.delegated_tokens
        )
        exchange.repeatable = exchange.repeatable and answer.repeatable
        request = exchange.request
        self._thresholds.observe(
            request.service,
            exchange.route.prefix,
            exchange.class_name,
            answer.threshold,
            self._state.now,
        )
        self._router.record_call_size(
            request.service, len(request.body) + len(answer.body)
        )
        self._close_dispatch(
            exchange,
            succeeded=answer.error not in truth.LOST_ANSWER_KINDS,
            load=answer.load,
            has_run=answer.error is None,
        )
        self._process_answer(exchange, answer)

    def _apply_cost_report(
        self, exchange: exchanges.Exchange, report: bytes
    ) -> None:
        applied = self._state.cost_model.apply_report(
            exchange.route.prefix,
            exchange.request.service,
            report,
            self._state.now,
        )
        if isinstance(applied, result.Err):
            self._state.record_event(
                _CODES.COST_REPORT_REJECTED,
                host=exchange.host_id,
                route=exchange.route.prefix,
                reason=applied.err_value,
            )

    def failed(self, event: messages.DispatchFailed) -> None:
        """Handles the failure of a dispatch."""
        exchange = self._exchanges_by_number.get(event.number)
        if exchange is None:
            return
        self._state.record_event(
            _CODES.DISPATCH_FAILED,
            exchange.user_request_id,
            number=event.number,
            handed=event.may_have_been_sent,
        )
        if event.may_have_been_sent:
            kind = _KINDS.PEER_LOST
            self._mark_outcome_unknown(exchange)
        else:
            kind = _KINDS.PEER_UNREACHABLE
            exchange.allowance.return_unspent(
                exchange.delegated_tokens, carried=exchange.delegated_tokens
            )
        self._close_dispatch(exchange, succeeded=False, load=None)
        answer = rpc.build_error_answer(
            kind, may_have_run=exchange.may_have_run_despite_refusal
        )
        self._process_answer(exchange, answer)

    def _dispatch(self, exchange: exchanges.Exchange) -> None:
        """Sends a call to a server or refuses it."""
        if not self._intake.confirm_key(exchange):
            self._refuse(exchange, _KINDS.UNAUTHORIZED)
            return
        match self._targets.choose_host(exchange):
            case result.Ok(host_id):
                self._send_to(exchange, host_id)
            case result.Err(kind):
                self._refuse(exchange, kind)

    def _send_to(self, exchange: exchanges.Exchange, host_id: str) -> None:
        state = self._state
        remaining_ms = engine_state.remaining_ms(exchange.deadline, state.now)
        if remaining_ms <= 0:
            self._refuse(exchange, _KINDS.DEADLINE_EXCEEDED, is_unsent=True)
            return
        self._last_number += 1
        number = self._last_number
        exchange.number = exchange.last_number = number
        exchange.is_held = False
        exchange.host_id = host_id
        exchange.delegated_tokens = exchange.allowance.split_for_call()
        exchange.sent_at = state.now
        self._exchanges_by_number[number] = exchange
        state.record_event(
            _CODES.CALL_DISPATCHED,
            exchange.user_request_id,
            number=number,
            host=host_id,
            **self._router.explain_choice(host_id, state.now),
        )
        self._router.record_call_start(host_id, state.now)
        exchange.is_requesting_ticket = (
            not exchange.ticket and state.needs_ticket(exchange.route)
        )
        call = frames.build_call(state, exchange, deadline_ms=remaining_ms)
        self._send(host_id, call)

    def _close_dispatch(
        self,
        exchange: exchanges.Exchange,
        *,
        succeeded: bool,
        load: rpc.Load | None,
        has_run: bool = True,
    ) -> None:
        """Ends the dispatch in flight and reports it to the router."""
        now = self._state.now
        latency_s = now - exchange.sent_at if has_run else None
        del self._exchanges_by_number[exchange.number]
        exchange.number = 0
        self._router.record_call_end(
            exchange.host_id,
            latency_s=latency_s,
            succeeded=succeeded,
            load=load,
            now=now,
        )

    def _cancel_dispatch(self, exchange: exchanges.Exchange) -> bool:
        """Cancels the dispatch in flight; a later answer is dropped.

        Returns:
          Whether no byte of a dispatch in flight can have been sent.
        """
        if not exchange.number:
            return True
        number = exchange.number
        is_unsent = exchange.is_held
        if not is_unsent:
            self._mark_outcome_unknown(exchange)
        self._close_dispatch(
            exchange, succeeded=True, load=None, has_run=not is_unsent
        )
        self._cancel(exchange.host_id, number)
        return is_unsent

    def _mark_outcome_unknown(self, exchange: exchanges.Exchange) -> None:
        """Records that the result of the dispatch in flight is unknown."""
        if exchange.is_requesting_ticket:
            return
        exchange.may_have_run = True
        if not exchange.route.repeatable_below:
            exchange.repeatable = False

    def _process_answer(
        self, exchange: exchanges.Exchange, answer: rpc.Answer
    ) -> None:
        """Retries the call or replies to the caller."""
        self._quota_gate.record_answer(exchange, answer)
        if (
            answer.error in truth.LOST_ANSWER_KINDS
            and not exchange.is_requesting_ticket
        ):
            exchange.lost_dispatches += 1
            exchange.may_have_run = True
        if self._should_use_ticket(exchange, answer):
            self._use_ticket(exchange, answer.ticket)
            return
        if exchange.has_own_ticket and (
            answer.outcome is errors.Outcome.NOT_RUN
        ):
            self._discard_burnt_ticket(exchange)
        if self._try_retry(exchange, answer):
            return
        self._reply(exchange, answer)

    def _should_use_ticket(
        self, exchange: exchanges.Exchange, answer: rpc.Answer
    ) -> bool:
        """Returns whether this node uses an issued ticket for its caller."""
        if answer.error is not _KINDS.TICKET_REQUIRED or not answer.ticket:
            return False
        if exchange.ticket:
            return False
        # If the preset of the entry already declares the route repeatable, the
        # caller doesn't expect a ticket.
        return (
            exchange.face is messages.Face.EGRESS or exchange.route.repeatable
        )

    def _use_ticket(self, exchange: exchanges.Exchange, ticket: bytes) -> None:
        exchange.ticket = ticket
        exchange.has_own_ticket = True
        exchange.repeatable = False
        if exchange.parent is not None:
            exchange.parent.keep_ticket(
                exchange.request.service, exchange.key, ticket
            )
        self._dispatch(exchange)

    def _discard_burnt_ticket(self, exchange: exchanges.Exchange) -> None:
        if exchange.parent is not None:
            exchange.parent.discard_ticket(
                exchange.request.service, exchange.key
            )

    def _try_retry(
        self, exchange: exchanges.Exchange, answer: rpc.Answer
    ) -> bool:
        """Retries a call if that is safe and within allowance and budget.

        Returns:
          Whether the call was retried.
        """
        state = self._state
        if state.is_ending:
            return False
        max_lost_dispatches = state.preset.quarantine.deaths
        if not truth.is_retry_safe(
            exchange,
            answer,
            max_lost_dispatches=max_lost_dispatches,
            shed_elsewhere=state.preset.retries.shed_elsewhere,
        ):
            return False
        # A new ticket takes two frames: one requests it, the other uses it.
        cost = 2 if exchange.ticket else 1
        if exchange.allowance.tokens < cost or exchange.deadline <= state.now:
            return False
        if not self._intake.confirm_key(exchange):
            return False
        # A retry adds load to the service only if the last attempt reached it.
        exchange.is_repeat |= answer.error not in truth.REFUSED_BEFORE_SERVER
        if exchange.is_repeat and not answer.may_retry:
            return False
        exchange.tried_host_ids |= {exchange.host_id}
        exchange.ticket = b""
        exchange.has_own_ticket = False
        chosen = self._targets.choose_host(exchange)
        if chosen.is_err():
            return False
        if exchange.is_repeat and not self._budget.try_acquire_retry(
            exchange.request.service, prior_calls=exchange.prior_calls
        ):
            return False
        exchange.allowance.spend(cost)
        exchange.retry_count += 1
        state.record_event(
            _CODES.CALL_RETRIED,
            exchange.user_request_id,
            number=self._last_number,
            tokens=exchange.allowance.tokens,
        )
        self._send_to(exchange, chosen.ok_value)
        return True

    def _refuse_arrival(
        self, exchange: exchanges.Exchange, kind: _KINDS
    ) -> None:
        if kind is _KINDS.SHED:
            self._state.record_event(
                _CODES.CALL_SHED,
                exchange.user_request_id,
                place="entry",
                reason=explanations.explain_entry_shed(
                    state=self._state,
                    thresholds=self._thresholds,
                    exchange=exchange,
                ),
            )
        self._refuse(exchange, kind, is_unsent=True)

    def _refuse(
        self,
        exchange: exchanges.Exchange,
        kind: _KINDS,
        *,
        is_unsent: bool = False,
    ) -> None:
        answer = rpc.build_error_answer(
            kind,
            may_have_run=exchange.may_have_run_despite_refusal,
            is_unsent=is_unsent,
        )
        self._reply(exchange, answer)

    def _reply(self, exchange: exchanges.Exchange, answer: rpc.Answer) -> None:
        """Sends the final answer to the caller."""
        state = self._state
        self.exchange_table.remove(exchange)
        truth.correct_outcome(answer, may_have_run=exchange.may_have_run)
        self._quota_gate.close(exchange, answer)
        may_return = answer.retry_after_s is not None
        if answer.error in _QUOTA_KINDS:
            may_return = False  # Its time is that of the next token.
        if may_return and exchange.route.target_latency_ms:
            answer.retry_after_s = returns.choose_retry_delay(
                state=state, exchange=exchange, kind=answer.error
            )
        state.emit(
            messages.ReplyToCaller(
                origin_id=exchange.origin_id,
                user_request_id=exchange.user_request_id,
                answer=answer,
            )
        )
        if exchange.timer is not None:
            exchange.timer.cancel()
        parent = exchange.parent
        if parent is not None:
            parent.child_origin_ids.discard(exchange.origin_id)
            parent.threshold = min(parent.threshold, answer.threshold)
            parent.repeatable = parent.repeatable and exchange.repeatable
        if answer.error is not None:
            explanations.record_error_answer(
                state=state, exchange=exchange, answer=answer
            )
        state.record_event(
            _CODES.CALL_ANSWERED,
            exchange.user_request_id,
            outcome=answer.outcome.value,
            status=answer.status,
            error=answer.error.value if answer.error else "",
        )

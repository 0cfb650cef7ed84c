"""The origin's side of a call: from the caller to the target and back."""

from collections.abc import Callable

from bergamotdeal.calls import core
from bergamotdeal.calls import exchanges
from bergamotdeal.calls import messages
from bergamotdeal.calls import runs
from bergamotdeal.calls import state as engine_state
from bergamotdeal.calls import truth
from bergamotdeal.errors import core as errors
from bergamotdeal.retries import allowance
from bergamotdeal.retries import budget
from bergamotdeal.telemetry import catalogue

_CODES = catalogue.EventCode
_KINDS = errors.ErrorKind


class Dispatcher:
    """Carries the calls of callers and of the local backend server.

    Args:
      state: State shared with the target's side.
      router: Chooses servers.
      run_table: Runs of the local backend server, the parents of its calls.
      send: Sends a call to a host, this one included.
      cancel: Cancels a call at a host, this one included.
    """

    def __init__(
        self,
        *,
        state: engine_state.EngineState,
        router,
        run_table: runs.RunTable,
        send: Callable[[str, core.Call], None],
        cancel: Callable[[str, int], None],
    ):
        self._state = state
        self._router = router
        self._run_table = run_table
        self._send = send
        self._cancel = cancel
        self._last_number = 0
        self._exchanges_by_origin: dict[int, exchanges.Exchange] = {}
        self._exchanges_by_number: dict[int, exchanges.Exchange] = {}
        self.budget = budget.RetryBudget(policy=state.preset.retries)

    def idle(self) -> bool:
        """Whether every caller has its answer."""
        return not self._exchanges_by_origin

    def arrive(self, event: messages.CallArrived) -> None:
        """Takes up a request of a caller."""
        exchange = self._open(event)
        refusal = self._refusal(exchange, event)
        if refusal is not None:
            self._refuse(exchange, refusal)
            return
        exchange.timer = self._state.timers.add(exchange.deadline, exchange)
        self._dispatch(exchange)

    def caller_gone(self, origin_id: int) -> None:
        """Drops a request whose caller has disconnected."""
        exchange = self._exchanges_by_origin.get(origin_id)
        if exchange is not None:
            self.abandon(exchange)

    def abandon(self, exchange: exchanges.Exchange) -> None:
        """Ends a request whose answer nobody waits for."""
        self._withdraw(exchange)
        self._refuse(exchange, _KINDS.CANCELLED)

    def abandon_children(self, run: runs.Run) -> None:
        """Ends the open calls that a run made."""
        for origin_id in list(run.children):
            self.caller_gone(origin_id)

    def expire(self, exchange: exchanges.Exchange) -> None:
        """Answers a request whose deadline has passed."""
        self._withdraw(exchange)
        self._refuse(exchange, _KINDS.DEADLINE_EXCEEDED)

    def answered(self, event: messages.PeerAnswered) -> None:
        """Handles an answer from a target."""
        exchange = self._exchanges_by_number.get(event.number)
        if (
            exchange is None
            or exchange.host_id != event.host_id
            or exchange.user_request_id != event.user_request_id
        ):
            self._state.record(
                _CODES.LATE_ANSWER_DROPPED,
                event.user_request_id,
                number=event.number,
            )
            return
        answer = event.answer
        exchange.allowance.put_back(
            answer.tokens_left, carried=exchange.carried
        )
        self._end_dispatch(
            exchange,
            succeeded=answer.error not in truth.LOSSES_WORTH_RESENDING,
            load=answer.load,
        )
        self._take_answer(exchange, answer)

    def failed(self, event: messages.DispatchFailed) -> None:
        """Handles a dispatch that can't be answered any more."""
        exchange = self._exchanges_by_number.get(event.number)
        if exchange is None:
            return
        self._state.record(
            _CODES.DISPATCH_FAILED,
            exchange.user_request_id,
            number=event.number,
            handed=event.handed_over,
        )
        if event.handed_over:
            kind = _KINDS.PEER_LOST
        else:
            kind = _KINDS.PEER_UNREACHABLE
            exchange.allowance.put_back(
                exchange.carried, carried=exchange.carried
            )
        self._end_dispatch(exchange, succeeded=False, load=None)
        answer = core.error_answer(kind, may_have_run=exchange.may_have_run)
        self._take_answer(exchange, answer)

    def _open(self, event: messages.CallArrived) -> exchanges.Exchange:
        state = self._state
        parent = None
        if event.face is messages.Face.EGRESS and event.context:
            parent = self._run_table.find(event.context)
        request = event.request
        route = state.preset.route_for(
            request.service, request.method, request.path
        )
        granted_ms = event.deadline_ms
        if granted_ms is None:
            granted_ms = route.deadline_ms
        deadline = state.now + granted_ms / 1000
        exchange = exchanges.Exchange(
            origin_id=event.origin_id,
            face=event.face,
            request=request,
            user_request_id=event.user_request_id,
            call_id=event.user_request_id,
            route=route,
            class_name=route.class_name,
            deadline=deadline,
            depth=0,
            attempt=event.attempt,
            allowance=allowance.Allowance(),
            may_have_run=event.attempt > 0 or bool(event.ticket),
            ticket=event.ticket,
        )
        if parent is not None:
            self._adopt(exchange, parent)
        elif event.face is messages.Face.ENTRY and event.attempt == 0:
            exchange.allowance.tokens = state.preset.retries.allowance
        self._exchanges_by_origin[event.origin_id] = exchange
        state.record(
            _CODES.CALL_ARRIVED,
            exchange.user_request_id,
            method=request.method,
            service=request.service,
            path=request.path,
            face=event.face.value,
        )
        return exchange

    def _adopt(self, exchange: exchanges.Exchange, parent: runs.Run) -> None:
        """Makes an exchange a child of the run that caused it."""
        call = parent.call
        exchange.parent = parent
        exchange.user_request_id = call.user_request_id
        self._last_number += 1
        exchange.call_id = (
            f"{self._state.identity.incarnation}.{self._last_number:x}"
        )
        exchange.class_name = self._state.class_for(
            parent.class_name, exchange.route.class_name
        )
        exchange.deadline = min(exchange.deadline, parent.deadline)
        exchange.depth = call.depth + 1
        exchange.allowance = parent.allowance
        parent.children.add(exchange.origin_id)

    def _refusal(
        self, exchange: exchanges.Exchange, event: messages.CallArrived
    ) -> _KINDS | None:
        """Returns why a request is refused on arrival, or None."""
        state = self._state
        if event.face is messages.Face.ENTRY and state.draining:
            return _KINDS.DRAINING
        if exchange.depth > core.MAX_CALL_DEPTH:
            return _KINDS.CALL_TOO_DEEP
        if exchange.parent is not None and exchange.parent.answered:
            return _KINDS.CANCELLED
        if not state.members_by_id:
            return _KINDS.NOT_READY
        if not self._router.knows(exchange.request.service):
            return _KINDS.UNKNOWN_SERVICE
        return None

    def _dispatch(self, exchange: exchanges.Exchange) -> None:
        """Sends a call to a server."""
        state = self._state
        host_id = self._router.choose(
            exchange.request.service, exclude=exchange.tried, now=state.now
        )
        if host_id is None:
            self._refuse(exchange, _KINDS.NO_SERVER)
            return
        left_ms = engine_state.milliseconds_left(exchange.deadline, state.now)
        if left_ms <= 0:
            self._refuse(exchange, _KINDS.DEADLINE_EXCEEDED)
            return
        self._last_number += 1
        number = self._last_number
        exchange.number = number
        exchange.host_id = host_id
        exchange.carried = exchange.allowance.take_share()
        exchange.sent_at = state.now
        self._exchanges_by_number[number] = exchange
        self._router.started(host_id, state.now)
        state.record(
            _CODES.CALL_DISPATCHED,
            exchange.user_request_id,
            number=number,
            host=host_id,
        )
        call = core.Call(
            number=number,
            user_request_id=exchange.user_request_id,
            call_id=exchange.call_id,
            request=exchange.request,
            deadline_ms=left_ms,
            attempt=exchange.attempt + exchange.resends,
            may_have_run=exchange.may_have_run,
            tokens=exchange.carried,
            ticket=exchange.ticket,
            class_name=exchange.class_name,
            depth=exchange.depth,
            epoch=state.epoch,
        )
        self._send(host_id, call)

    def _end_dispatch(
        self,
        exchange: exchanges.Exchange,
        *,
        succeeded: bool,
        load: core.Load | None,
    ) -> None:
        """Closes the dispatch in flight."""
        now = self._state.now
        del self._exchanges_by_number[exchange.number]
        exchange.number = 0
        self._router.finished(
            exchange.host_id,
            latency_s=now - exchange.sent_at,
            succeeded=succeeded,
            load=load,
            now=now,
        )

    def _withdraw(self, exchange: exchanges.Exchange) -> None:
        """Cancels the dispatch in flight; its answer will be dropped."""
        if not exchange.number:
            return
        number = exchange.number
        exchange.may_have_run = True
        self._end_dispatch(exchange, succeeded=True, load=None)
        self._cancel(exchange.host_id, number)

    def _take_answer(
        self, exchange: exchanges.Exchange, answer: core.Answer
    ) -> None:
        """Decides between a re-send and the reply."""
        if self._may_resend(exchange, answer):
            self._resend(exchange, answer)
            return
        self._reply(exchange, answer)

    def _may_resend(
        self, exchange: exchanges.Exchange, answer: core.Answer
    ) -> bool:
        if answer.error in truth.REFUSALS_WORTH_RESENDING:
            safe = True
        elif answer.error in truth.LOSSES_WORTH_RESENDING:
            safe = exchange.route.repeatable and answer.repeatable
        else:
            safe = False
        if not safe or exchange.allowance.tokens < 1:
            return False
        return self.budget.try_resend(exchange.request.service)

    def _resend(
        self, exchange: exchanges.Exchange, answer: core.Answer
    ) -> None:
        exchange.allowance.spend()
        exchange.resends += 1
        if answer.error in truth.LOSSES_WORTH_RESENDING:
            exchange.may_have_run = True
        exchange.tried |= {exchange.host_id}
        self._state.record(
            _CODES.CALL_RETRIED,
            exchange.user_request_id,
            number=self._last_number,
            tokens=exchange.allowance.tokens,
        )
        self._dispatch(exchange)

    def _refuse(self, exchange: exchanges.Exchange, kind: _KINDS) -> None:
        answer = core.error_answer(kind, may_have_run=exchange.may_have_run)
        self._reply(exchange, answer)

    def _reply(self, exchange: exchanges.Exchange, answer: core.Answer) -> None:
        """Gives the caller its final answer."""
        state = self._state
        del self._exchanges_by_origin[exchange.origin_id]
        if exchange.timer is not None:
            exchange.timer.cancel()
        truth.correct(answer, may_have_run=exchange.may_have_run)
        parent = exchange.parent
        if parent is not None:
            parent.children.discard(exchange.origin_id)
            parent.threshold = min(parent.threshold, answer.threshold)
            parent.repeatable = parent.repeatable and answer.repeatable
        state.record(
            _CODES.CALL_ANSWERED,
            exchange.user_request_id,
            outcome=answer.outcome.value,
            status=answer.status,
            error=answer.error.value if answer.error else "",
        )
        state.emit(
            messages.ReplyToCaller(
                origin_id=exchange.origin_id,
                user_request_id=exchange.user_request_id,
                answer=answer,
            )
        )

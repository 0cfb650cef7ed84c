"""Call engine: translates events into effects."""

import collections
import math
import random

from bergamotdeal.admission import feedback
from bergamotdeal.calls import dispatch
from bergamotdeal.calls import exchanges
from bergamotdeal.calls import execution
from bergamotdeal.calls import final_answers
from bergamotdeal.calls import intake as call_intake
from bergamotdeal.calls import local_server
from bergamotdeal.calls import messages
from bergamotdeal.calls import open_work
from bergamotdeal.calls import overdue
from bergamotdeal.calls import runs
from bergamotdeal.calls import state as engine_state
from bergamotdeal.calls import ticketing as call_ticketing
from bergamotdeal.errors import core as errors
from bergamotdeal.membership import core as membership
from bergamotdeal.presets import model
from bergamotdeal.retries import budget as retry_budget
from bergamotdeal.retries import server_budget
from bergamotdeal.routing import known_services
from bergamotdeal.routing import router as routing
from bergamotdeal.rpc import core as rpc
from bergamotdeal.telemetry import catalogue

MIN_EARLIER_RUN_S = 10.0
"""Least time for which the backend server may run requests of an earlier
process; the preset that set their deadlines may have been replaced."""

LOCAL_LINK_ID = -1
"""Link id of calls from this node to its own backend server."""


class Engine:
    """State machine for all calls of a node, as their origin and target.

    Args:
      identity: Membership entry of this node.
      preset: Active preset.
      epoch: Epoch of the active preset.
      rng: Random number generator.
      caller_service: Service of this host, if known before the backend server
        announces itself.
      max_silence_s: Time without news of the active preset after which keys
        may have been revoked, in seconds.
      started_at: Time of the start of the process, in monotonic seconds. The
        backend server may still run requests of an earlier process.
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
        started_at: float = -math.inf,
    ):
        state = engine_state.EngineState(
            identity=identity,
            preset=preset,
            epoch=epoch,
            rng=rng,
            caller_service=caller_service,
            max_silence_s=max_silence_s,
        )
        self._state = state
        self._local_events: collections.deque[messages.Event] = (
            collections.deque()
        )
        self._run_table = runs.RunTable(incarnation=identity.incarnation)
        self._started_at = started_at
        self._expect_earlier_runs()
        self._thresholds = feedback.ThresholdTable(policy=preset.admission)
        self._budget = retry_budget.RetryBudget(policy=preset.retries)
        self._server_budget = server_budget.ServerRetryBudget(
            policy=preset.retries
        )
        self._server = local_server.LocalServer(state=state)
        self._ticket_manager = call_ticketing.TicketManager(state=state)
        self._router = routing.Router(
            policy=preset.routing,
            host_id=identity.host_id,
            data_centre=identity.data_centre,
            region=identity.region,
            rng=rng,
        )
        self._known_services = known_services.KnownServices()
        self._note_preset_services()
        self._intake = call_intake.Intake(
            state=state,
            run_table=self._run_table,
            known_services=self._known_services,
            thresholds=self._thresholds,
        )
        self._dispatcher = dispatch.Dispatcher(
            state=state,
            intake=self._intake,
            router=self._router,
            thresholds=self._thresholds,
            budget=self._budget,
            send=self._send,
            cancel=self._cancel,
        )
        self._executor = execution.Executor(
            state=state,
            run_table=self._run_table,
            server=self._server,
            ticket_manager=self._ticket_manager,
            budget=self._server_budget,
            send_answer=self._send_answer,
            cancel_child_calls=self._dispatcher.cancel_child_calls,
        )
        self._final_answers = final_answers.FinalAnswers(
            state=state,
            run_table=self._run_table,
            server=self._server,
            executor=self._executor,
            dispatcher=self._dispatcher,
        )

    def handle(
        self, event: messages.Event, now: float
    ) -> list[messages.Effect]:
        """Handles one event.

        An exception in the handling of one call fails that call but does not
        affect others.

        Args:
          event: Event to handle.
          now: Current time in monotonic seconds.

        Returns:
          The effects to carry out, in order.
        """
        state = self._state
        state.now = now
        state.effects = []
        self._handle_safely(event)
        self._handle_local_events()
        return state.effects

    def _handle_local_events(self) -> None:
        while self._local_events:
            self._handle_safely(self._local_events.popleft())

    def next_wakeup(self) -> float | None:
        """Returns when ``TimePassed`` is due, in monotonic seconds, or None."""
        due = self._state.timers.next_due()
        wakeup = self._server.next_wakeup()
        if due is None or (wakeup is not None and wakeup < due):
            return wakeup
        return due

    def is_idle(self) -> bool:
        """Returns whether no exchange, call or run is open."""
        return self._dispatcher.is_idle() and self._executor.is_idle()

    def count_open_by_state(self) -> dict[str, int]:
        """Counts the open exchanges and runs by what they wait for."""
        return open_work.count_by_state(
            run_table=self._run_table,
            exchange_table=self._dispatcher.exchange_table,
            own_host_id=self._state.identity.host_id,
        )

    @property
    def held_bytes(self) -> int:
        """Bytes of the bodies of all requests in progress."""
        return (
            self._dispatcher.exchange_table.held_bytes
            + self._run_table.held_bytes
        )

    @property
    def class_count(self) -> int:
        """Number of classes of requests in the active preset."""
        return len(self._state.preset.classes)

    def get_arrival_rank(self, event: messages.CallArrived) -> int:
        """Returns the rank of the class of a request that is arriving.

        Args:
          event: The request, which may lack its body.
        """
        return self._intake.get_class_rank(event)

    def get_call_rank(self, call: rpc.Call) -> int:
        """Returns the rank of the class of a call that is arriving.

        Args:
          call: Call of another node.
        """
        if call.is_internal:
            return 0
        return self._state.preset.get_class_rank(call.class_name)

    def load(self) -> rpc.Load | None:
        """Returns the backend server's load, or None before an announcement."""
        return self._server.load()

    def threshold(self, class_name: str) -> float:
        """Returns the share of request hashes that this node admits.

        Args:
          class_name: Class of the requests.
        """
        return self._server.threshold(class_name)

    def _handle_safely(self, event: messages.Event) -> None:
        try:
            self._handle(event)
        except Exception:
            self._state.record_failure()
            self._answer_failed_event(event)

    def _answer_failed_event(self, event: messages.Event) -> None:
        """Answers the call whose event raised an exception."""
        exchange = self._dispatcher.exchange_table.find_by_event(event)
        run = self._executor.find_run(event)
        if exchange is None and run is None:
            self._answer_unopened_call(event)
            return
        try:
            if exchange is not None:
                self._dispatcher.fail(exchange)
            if run is not None:
                self._executor.fail(run)
        except Exception:
            self._state.record_failure()

    def _answer_unopened_call(self, event: messages.Event) -> None:
        """Answers a call that failed before it had an exchange or a run."""
        state = self._state
        answer = rpc.build_error_answer(errors.ErrorKind.INTERNAL)
        answer.epoch = state.epoch
        match event:
            case messages.CallArrived():
                replied = any(
                    isinstance(effect, messages.ReplyToCaller)
                    and effect.origin_id == event.origin_id
                    for effect in state.effects
                )
                if not replied:
                    state.emit(
                        messages.ReplyToCaller(
                            origin_id=event.origin_id,
                            user_request_id=event.user_request_id,
                            answer=answer,
                        )
                    )
            case messages.PeerCalled():
                self._send_answer(event.link_id, event.call, answer)

    def _handle(self, event: messages.Event) -> None:
        match event:
            case messages.CallArrived():
                self._dispatcher.handle_arrival(event)
            case messages.PeerCalled():
                self._executor.handle_call(event)
            case messages.RunAnswered():
                self._executor.handle_run_answer(event)
            case messages.PeerAnswered():
                self._dispatcher.handle_answer(event)
            case messages.TimePassed():
                self._handle_time()
            case messages.DispatchFailed():
                self._dispatcher.failed(event)
            case messages.RunOverdue():
                self._handle_overdue_run(event)
            case messages.RunFailed():
                self._executor.handle_run_failure(event)
            case messages.QuotaGranted() | messages.QuotaRefused():
                self._dispatcher.handle_quota(event)
            case messages.MembersChanged():
                self._handle_members_change(event)
            case messages.PresetInForce():
                self._handle_preset(event)
            case _:
                self._handle_rare_event(event)

    def _handle_overdue_run(self, event: messages.RunOverdue) -> None:
        run = self._run_table.runs_by_id.get(event.run_id)
        if run is None or not overdue.is_hung(run):
            return
        self._state.record_event(
            catalogue.EventCode.RUN_HUNG,
            run.call.user_request_id,
            run=run.run_id,
            ran_ms=int(1000 * (self._state.now - run.started_at)),
        )
        self._state.emit(messages.CancelRun(run_id=run.run_id, is_hung=True))
        self._executor.handle_run_failure(
            messages.RunFailed(
                run_id=run.run_id, failure=messages.RunFailure.HUNG
            )
        )

    def _handle_members_change(self, event: messages.MembersChanged) -> None:
        self._state.members_by_id = event.members_by_id
        self._router.update_members(event.members_by_id)
        self._known_services.update(
            "members", self._router.list_services(), self._state.now
        )
        self._state.cost_model.update_members(event.members_by_id)
        self._update_server_count()

    def _update_server_count(self) -> None:
        self._server_budget.set_server_count(
            _count_servers(self._state.members_by_id, self._state.service)
        )

    def _handle_rare_event(self, event: messages.Event) -> None:
        """Handles infrequent events: disconnects, server changes, drain."""
        apply_decisions = self._executor.apply_decisions
        match event:
            case messages.CallerDisconnected():
                self._dispatcher.handle_caller_disconnect(event.origin_id)
            case messages.PeerCancelled(only_waiting=True):
                self._final_answers.refuse_withdrawn(event)
            case messages.PeerCancelled():
                self._executor.cancelled(event.link_id, event.number)
            case messages.PeerLinkClosed():
                self._executor.handle_link_closed(event.link_id)
            case messages.ServerAnnounced():
                apply_decisions(
                    self._server.handle_announcement(event.service, event.slots)
                )
                self._update_server_count()
            case messages.ServerStopped(later_run_ids=later_run_ids):
                apply_decisions(self._server.handle_stop(later_run_ids))
            case messages.ServerUnresponsive() | messages.ServerLeaving():
                apply_decisions(self._server.suspend())
            case messages.DispatchHeld() | messages.RunHeld():
                self._record_hold(event)
            case (
                messages.DrainStarted()
                | messages.DrainEnding()
                | messages.DrainEnded()
            ):
                self._handle_drain(event)
            case messages.PresetConfirmed():
                self._state.confirmed_at = self._state.now
            case messages.PeerCrashesReported():
                self._server.apply_crash_reports(event.reports)
            case _:
                self._handle_server_condition(event)

    def _handle_drain(self, event: messages.Event) -> None:
        match event:
            case messages.DrainStarted():
                self._state.record_drain(event)
            case messages.DrainEnding():
                self._final_answers.refuse_waiting()
            case messages.DrainEnded():
                self._final_answers.end_runs()
                # The runs' answers end the exchanges whose target is this node.
                self._handle_local_events()
                self._final_answers.end_exchanges()

    def _handle_server_condition(self, event: messages.Event) -> None:
        """Handles what the backend server reports about its condition."""
        match event:
            case messages.ServerRateLimited():
                decisions = self._server.handle_rate_limit(event)
            case messages.ServerSpeedReported():
                decisions = self._server.handle_speed(event)
            case messages.ServerCold():
                decisions = self._server.handle_cold_start(event)
            case messages.ServerConditionRejected(reason=reason):
                self._state.record_event(
                    catalogue.EventCode.SERVER_CONDITION_REJECTED, reason=reason
                )
                return
            case _:
                return
        self._executor.apply_decisions(decisions)

    def _record_hold(
        self, event: messages.DispatchHeld | messages.RunHeld
    ) -> None:
        match event:
            case messages.DispatchHeld(number=number, is_held=is_held):
                self._dispatcher.record_hold(number, is_held=is_held)
            case messages.RunHeld(run_id=run_id, is_held=is_held):
                self._run_table.record_hold(run_id, is_held=is_held)
                self._server.record_hold(run_id, is_held=is_held)

    def _note_preset_services(self) -> None:
        services = known_services.list_preset_services(self._state.preset)
        self._known_services.update("preset", services, self._state.now)

    def _handle_preset(self, event: messages.PresetInForce) -> None:
        state = self._state
        if event.epoch <= state.epoch:
            return
        state.activate_preset(event.preset, event.epoch)
        self._note_preset_services()
        self._expect_earlier_runs()
        state.confirmed_at = state.now
        self._router.set_policy(event.preset.routing)
        self._thresholds.set_policy(event.preset.admission)
        self._budget.set_policy(event.preset.retries)
        self._server_budget.set_policy(event.preset.retries)
        self._ticket_manager.apply_preset()
        self._executor.refuse_revoked_calls()
        self._executor.apply_decisions(self._server.apply_preset())

    def _expect_earlier_runs(self) -> None:
        """Expects calls of an earlier process's runs while they may last."""
        longest_run_s = self._state.preset.longest_deadline_ms() / 1000
        self._run_table.complete_from = max(
            self._run_table.complete_from,
            self._started_at + max(MIN_EARLIER_RUN_S, longest_run_s),
        )

    def _handle_time(self) -> None:
        state = self._state
        while (item := state.timers.pop_due(state.now)) is not None:
            try:
                self._expire(item)
            except Exception:
                self._state.record_failure()
                self._fail_expired(item)
        self._executor.apply_decisions(self._server.advance())

    def _expire(self, item: object) -> None:
        match item:
            case exchanges.Exchange():
                self._dispatcher.end(item, errors.ErrorKind.DEADLINE_EXCEEDED)
            case runs.Run():
                self._executor.expire(item)
            case local_server.LostRun(run_id=run_id):
                self._server.untrack_run(run_id)

    def _fail_expired(self, item: object) -> None:
        match item:
            case exchanges.Exchange():
                self._dispatcher.fail(item)
            case runs.Run():
                self._executor.fail(item)

    def _send(self, host_id: str, call: rpc.Call) -> None:
        if host_id == self._state.identity.host_id:
            self._local_events.append(
                messages.PeerCalled(link_id=LOCAL_LINK_ID, call=call)
            )
            return
        self._state.emit(messages.SendCall(host_id=host_id, call=call))

    def _cancel(self, host_id: str, number: int) -> None:
        if host_id == self._state.identity.host_id:
            self._local_events.append(
                messages.PeerCancelled(link_id=LOCAL_LINK_ID, number=number)
            )
            return
        self._state.emit(messages.SendCancel(host_id=host_id, number=number))

    def _send_answer(
        self, link_id: int, call: rpc.Call, answer: rpc.Answer
    ) -> None:
        if link_id == LOCAL_LINK_ID:
            self._local_events.append(
                messages.PeerAnswered(
                    host_id=self._state.identity.host_id,
                    number=call.number,
                    user_request_id=call.user_request_id,
                    answer=answer,
                )
            )
            return
        self._state.emit(
            messages.SendAnswer(
                link_id=link_id,
                number=call.number,
                user_request_id=call.user_request_id,
                answer=answer,
            )
        )


def _count_servers(
    members_by_id: dict[str, membership.Member], service: str
) -> int:
    """Returns the number of live servers of a service."""
    return sum(
        member.state is not membership.MemberState.DEAD
        and member.server is not None
        and member.server.service == service
        for member in members_by_id.values()
    )

"""The call engine: events in, effects out."""

import collections
import random

from bergamotdeal.calls import core
from bergamotdeal.calls import dispatch
from bergamotdeal.calls import exchanges
from bergamotdeal.calls import execution
from bergamotdeal.calls import interim
from bergamotdeal.calls import messages
from bergamotdeal.calls import runs
from bergamotdeal.calls import state as engine_state
from bergamotdeal.membership import core as membership
from bergamotdeal.presets import model

LOCAL_LINK = -1
"""Link id of calls that this node makes to its own backend server."""


class Engine:
    """Composes the origin's and the target's side of the calls of a node.

    Args:
      identity: This node.
      preset: Preset in force.
      epoch: Its epoch.
      rng: Random source.
    """

    def __init__(
        self,
        *,
        identity: membership.Member,
        preset: model.Preset,
        epoch: int,
        rng: random.Random,
    ):
        self._state = engine_state.EngineState(
            identity=identity, preset=preset, epoch=epoch, rng=rng
        )
        self._local_events = collections.deque()
        run_table = runs.RunTable(incarnation=identity.incarnation)
        self._router = interim.Router(
            policy=preset.routing,
            host_id=identity.host_id,
            data_centre=identity.data_centre,
            region=identity.region,
            rng=rng,
        )
        self._dispatcher = dispatch.Dispatcher(
            state=self._state,
            router=self._router,
            run_table=run_table,
            send=self._send,
            cancel=self._cancel,
        )
        self._executor = execution.Executor(
            state=self._state,
            run_table=run_table,
            send_answer=self._send_answer,
            abandon_children=self._dispatcher.abandon_children,
        )

    def handle(
        self, event: messages.Event, now: float
    ) -> list[messages.Effect]:
        """Handles one event.

        Args:
          event: What happened.
          now: Time in monotonic seconds.

        Returns:
          The effects to carry out, in order.
        """
        state = self._state
        state.now = now
        state.effects = []
        self._handle(event)
        while self._local_events:
            self._handle(self._local_events.popleft())
        return state.effects

    def next_wakeup(self) -> float | None:
        """Returns when ``TimePassed`` is due, in monotonic seconds."""
        wakeups = (
            self._state.timers.next_due(),
            self._executor.next_wakeup(),
        )
        return min((w for w in wakeups if w is not None), default=None)

    def idle(self) -> bool:
        """Whether no exchange, call or run is open."""
        return self._dispatcher.idle() and self._executor.idle()

    def load(self) -> core.Load | None:
        """Returns the backend server's load, None before an announcement."""
        return self._executor.load()

    def threshold(self, class_name: str) -> float:
        """Returns the share of request hashes that is admitted here.

        Args:
          class_name: Class of the requests.
        """
        return self._executor.threshold(class_name)

    def _handle(self, event: messages.Event) -> None:
        match event:
            case messages.CallArrived():
                self._dispatcher.arrive(event)
            case messages.CallerGone():
                self._dispatcher.caller_gone(event.origin_id)
            case messages.PeerAnswered():
                self._dispatcher.answered(event)
            case messages.DispatchFailed():
                self._dispatcher.failed(event)
            case messages.PeerCalled():
                self._executor.arrive(event.link_id, event.call)
            case messages.PeerCancelled():
                self._executor.cancelled(event.link_id, event.number)
            case messages.PeerLinkClosed():
                self._executor.link_closed(event.link_id)
            case messages.RunAnswered():
                self._executor.run_answered(event)
            case messages.RunFailed():
                self._executor.run_failed(event)
            case messages.TimePassed():
                self._pass_time()
            case _:
                self._handle_change(event)

    def _handle_change(self, event: messages.Event) -> None:
        """Handles what concerns the node and not one call."""
        match event:
            case messages.ServerAnnounced():
                self._executor.server_announced(event.service, event.slots)
            case messages.ServerStopped() | messages.ServerSilent():
                self._executor.server_silent()
            case messages.DrainStarted():
                self._state.draining = True
            case messages.MembersChanged():
                self._state.members_by_id = event.members_by_id
                self._router.update_members(event.members_by_id)
            case messages.PresetInForce():
                self._put_in_force(event)
            case messages.QuarantineHeard():
                pass

    def _put_in_force(self, event: messages.PresetInForce) -> None:
        state = self._state
        if event.epoch <= state.epoch:
            return
        state.epoch = event.epoch
        state.preset = event.preset
        self._router.set_policy(event.preset.routing)
        self._dispatcher.budget.set_policy(event.preset.retries)
        self._executor.preset_changed()

    def _pass_time(self) -> None:
        state = self._state
        while (item := state.timers.pop_due(state.now)) is not None:
            match item:
                case exchanges.Exchange():
                    self._dispatcher.expire(item)
                case runs.Run():
                    self._executor.expire(item)
        self._executor.advance()

    def _send(self, host_id: str, call: core.Call) -> None:
        if host_id == self._state.identity.host_id:
            self._local_events.append(
                messages.PeerCalled(link_id=LOCAL_LINK, call=call)
            )
            return
        self._state.emit(messages.SendCall(host_id=host_id, call=call))

    def _cancel(self, host_id: str, number: int) -> None:
        if host_id == self._state.identity.host_id:
            self._local_events.append(
                messages.PeerCancelled(link_id=LOCAL_LINK, number=number)
            )
            return
        self._state.emit(messages.SendCancel(host_id=host_id, number=number))

    def _send_answer(
        self, link_id: int, call: core.Call, answer: core.Answer
    ) -> None:
        if link_id == LOCAL_LINK:
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

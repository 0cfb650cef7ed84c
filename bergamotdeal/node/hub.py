"""Dispatcher of events to the call engine and of effects to the tasks."""

import collections
from collections.abc import Callable
import traceback

from twisted.internet import interfaces

from bergamotdeal.calls import engine as call_engine
from bergamotdeal.calls import messages
from bergamotdeal.node import faces
from bergamotdeal.node import peer
from bergamotdeal.node import quotas
from bergamotdeal.node import server_link
from bergamotdeal.telemetry import catalogue
from bergamotdeal.telemetry import records


class EventDispatcher:
    """Event loop around the call engine.

    Events are handled one at a time in the order of their arrival. An event
    that is posted while an effect is executed is queued until the effects of
    the current event are done.

    Args:
      reactor: The reactor, used as clock and for the wakeup timer.
      engine: The call engine.
      record: Takes events for the event log.
      share_crash_reports: Disseminates crash reports to other nodes.
    """

    def __init__(
        self,
        *,
        reactor,
        engine: call_engine.Engine,
        record: Callable[[records.EventRecord], None],
        share_crash_reports: Callable[[messages.ShareCrashReports], None],
    ) -> None:
        self._reactor = reactor
        self._engine = engine
        self._record = record
        self._share_crash_reports = share_crash_reports
        self._pending_events: collections.deque[messages.Event] = (
            collections.deque()
        )
        self._is_dispatching = False
        self._wakeup_timer: interfaces.IDelayedCall | None = None
        self._face_tasks: list[faces.CallListener] = []
        self._peer_task: peer.PeerTask | None = None
        self._server_task: server_link.ServerConnectionPool | None = None
        self._quota_task: quotas.QuotaTask | None = None

    def attach_tasks(
        self,
        *,
        face_tasks: list[faces.CallListener],
        peer_task: peer.PeerTask,
        server_task: server_link.ServerConnectionPool,
        quota_task: quotas.QuotaTask,
    ) -> None:
        """Sets the tasks that execute the effects.

        Args:
          face_tasks: The HTTP listeners for callers.
          peer_task: The links to other nodes.
          server_task: The link to the backend server.
          quota_task: The caps of organisations.
        """
        self._face_tasks = face_tasks
        self._peer_task = peer_task
        self._server_task = server_task
        self._quota_task = quota_task

    def post(self, event: messages.Event) -> None:
        """Queues an event for the call engine and handles all queued events.

        Args:
          event: The event.
        """
        self._pending_events.append(event)
        if self._is_dispatching:
            return
        self._is_dispatching = True
        try:
            while self._pending_events:
                self._handle_event(self._pending_events.popleft())
        finally:
            self._is_dispatching = False
        self._schedule_wakeup()

    def _handle_event(self, event: messages.Event) -> None:
        effects = self._engine.handle(event, self._reactor.seconds())
        for effect in effects:
            try:
                self._execute_effect(effect)
            except Exception:
                # A failing task must not prevent the other effects.
                self._record_failure()

    def _record_failure(self) -> None:
        self._record(
            records.EventRecord(
                code=catalogue.EventCode.CALL_FAILED_INTERNALLY,
                fields={"trace": traceback.format_exc()},
            )
        )

    def _execute_effect(self, effect: messages.Effect) -> None:
        match effect:
            case records.EventRecord():
                self._record(effect)
            case messages.SendCall():
                self._peer_task.outgoing.send_call(effect)
            case messages.SendAnswer():
                self._peer_task.send_answer(effect)
            case messages.StartRun():
                self._server_task.start_run(effect)
            case messages.ReplyToCaller():
                any(face.send_reply(effect) for face in self._face_tasks)
            case messages.CancelRun():
                self._server_task.cancel_run(effect)
            case (
                messages.RequestQuota()
                | messages.CancelQuota()
                | messages.ReturnQuota()
            ):
                self._quota_task.deliver(effect)
            case messages.SendCancel():
                self._peer_task.outgoing.send_cancel(effect)
            case messages.ShareCrashReports():
                self._share_crash_reports(effect)

    def _schedule_wakeup(self) -> None:
        wakeup_at = self._engine.next_wakeup()
        is_scheduled = (
            self._wakeup_timer is not None and self._wakeup_timer.active()
        )
        if wakeup_at is None:
            return
        delay_s = max(0.0, wakeup_at - self._reactor.seconds())
        if is_scheduled and self._wakeup_timer.getTime() <= wakeup_at:
            # The pending timer fires earlier and schedules the next one.
            return
        if is_scheduled:
            self._wakeup_timer.reset(delay_s)
            return
        self._wakeup_timer = self._reactor.callLater(
            delay_s, self._handle_wakeup
        )

    def _handle_wakeup(self) -> None:
        self.post(messages.TimePassed())

"""The hub: carries events to the call engine and effects to the tasks."""

import collections
from collections.abc import Callable
import traceback

from twisted.internet import interfaces

from bergamotdeal.calls import engine as call_engine
from bergamotdeal.calls import messages
from bergamotdeal.node import faces
from bergamotdeal.node import peer
from bergamotdeal.node import server_link
from bergamotdeal.telemetry import catalogue


class Hub:
    """Runs the call engine between the node's tasks.

    Events are handled one at a time in the order of their arrival. An effect
    whose task posts another event at once leaves it for the next turn.

    Args:
      reactor: The reactor, as clock and for the wake-up timer.
      engine: The call engine.
      record: Takes events for the time line.
      share_crash_reports: Spreads crash reports to other nodes.
    """

    def __init__(
        self,
        *,
        reactor,
        engine: call_engine.Engine,
        record: Callable[[messages.EventRecord], None],
        share_crash_reports: Callable[[messages.ShareCrashReports], None],
    ) -> None:
        self._reactor = reactor
        self._engine = engine
        self._record = record
        self._share_crash_reports = share_crash_reports
        self._events: collections.deque[messages.Event] = collections.deque()
        self._busy = False
        self._wakeup: interfaces.IDelayedCall | None = None
        self._faces: list[faces.CallListener] = []
        self._peer: peer.PeerTask | None = None
        self._server: server_link.ServerConnectionPool | None = None

    def connect(
        self,
        *,
        face_tasks: list[faces.CallListener],
        peer_task: peer.PeerTask,
        server_task: server_link.ServerConnectionPool,
    ) -> None:
        """Names the tasks that carry out the effects.

        Args:
          face_tasks: The HTTP faces.
          peer_task: The peer face.
          server_task: The server link.
        """
        self._faces = face_tasks
        self._peer = peer_task
        self._server = server_task

    def post(self, event: messages.Event) -> None:
        """Takes an event for the call engine.

        Args:
          event: The event.
        """
        self._events.append(event)
        if self._busy:
            return
        self._busy = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._busy = False
        self._arm()

    def _handle(self, event: messages.Event) -> None:
        effects = self._engine.handle(event, self._reactor.seconds())
        for effect in effects:
            try:
                self._carry_out(effect)
            except Exception:
                # One task's failure must not keep the other effects back.
                self._record_failure()

    def _record_failure(self) -> None:
        self._record(
            messages.EventRecord(
                code=catalogue.EventCode.CALL_FAILED_INTERNALLY,
                fields={"trace": traceback.format_exc()},
            )
        )

    def _carry_out(self, effect: messages.Effect) -> None:
        match effect:
            case messages.EventRecord():
                self._record(effect)
            case messages.SendCall():
                self._peer.outgoing.send_call(effect)
            case messages.SendAnswer():
                self._peer.send_answer(effect)
            case messages.StartRun():
                self._server.start_run(effect)
            case messages.ReplyToCaller():
                any(face.send_reply(effect) for face in self._faces)
            case messages.CancelRun():
                self._server.cancel_run(effect)
            case messages.SendCancel():
                self._peer.outgoing.send_cancel(effect)
            case messages.ShareCrashReports():
                self._share_crash_reports(effect)

    def _arm(self) -> None:
        wanted = self._engine.next_wakeup()
        armed = self._wakeup is not None and self._wakeup.active()
        if wanted is None:
            return
        delay_s = max(0.0, wanted - self._reactor.seconds())
        if armed and self._wakeup.getTime() <= wanted:
            # The earlier timer fires first and arms the next one.
            return
        if armed:
            self._wakeup.reset(delay_s)
            return
        self._wakeup = self._reactor.callLater(delay_s, self._wake)

    def _wake(self) -> None:
        self.post(messages.TimePassed())

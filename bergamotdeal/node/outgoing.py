"""Outgoing peer links: one per host that this node calls, opened on need."""

from collections.abc import Callable
import dataclasses

from bergamotdeal.calls import messages as calls
from bergamotdeal.membership import core as membership
from bergamotdeal.node import peer_link
from bergamotdeal.telemetry import catalogue
from bergamotdeal.telemetry import clock
from bergamotdeal.wire import messages

DIAL_TIMEOUT_S = 1.0
UNUSED_LINK_S = 60.0
"""Time without a call after which a link is closed."""


@dataclasses.dataclass(kw_only=True, slots=True)
class _Outgoing:
    """The outgoing link to one host.

    Attributes:
      host_id: The host.
      link: The link, or None until the connection is made.
      waiting: Calls that wait for the link to open, by number.
      sent: Numbers of the calls without an answer yet.
      last_used: Time of the last call, monotonic seconds.
    """

    host_id: str
    link: peer_link.PeerLink | None = None
    waiting: dict[int, calls.SendCall] = dataclasses.field(default_factory=dict)
    sent: set[int] = dataclasses.field(default_factory=set)
    last_used: float = 0.0

    @property
    def is_open(self) -> bool:
        """Whether calls can be sent now."""
        return (
            self.link is not None
            and self.link.state is peer_link.LinkState.OPEN
        )


class OutgoingLinks:
    """Sends calls and takes each answer only on its call's link.

    Args:
      reactor: The reactor.
      builder: Builds the links.
      post: Takes the events for the call engine.
      on_epoch: Takes the epoch of each call and answer, and its host.
      record: Takes events for the time line.
      hybrid_clock: Stamps calls and answers, for the time line.
    """

    def __init__(
        self,
        *,
        reactor,
        builder: peer_link.LinkBuilder,
        post: Callable[[calls.Event], None],
        on_epoch: Callable[[int, str], None],
        record: Callable[[calls.EventRecord], None],
        hybrid_clock: clock.HybridClock,
    ) -> None:
        self._reactor = reactor
        self._builder = builder
        self._post = post
        self._on_epoch = on_epoch
        self._record = record
        self._clock = hybrid_clock
        self._members_by_id: dict[str, membership.Member] = {}
        self._outgoing_by_host: dict[str, _Outgoing] = {}

    def __len__(self) -> int:
        """Returns the number of links."""
        return len(self._outgoing_by_host)

    def close(self) -> None:
        """Closes all links."""
        for outgoing in list(self._outgoing_by_host.values()):
            if outgoing.link is not None:
                outgoing.link.close("node stops", flush=True)

    def members_changed(
        self, members_by_id: dict[str, membership.Member]
    ) -> None:
        """Takes the membership view, from which links find addresses.

        Args:
          members_by_id: Members by host id.
        """
        self._members_by_id = members_by_id
        for outgoing in list(self._outgoing_by_host.values()):
            if self._is_replaced(outgoing):
                outgoing.link.close("host restarted")

    def send_call(self, effect: calls.SendCall) -> None:
        """Sends a call, dialling the host when there is no link.

        Args:
          effect: The call and its host.
        """
        outgoing = self._outgoing_by_host.get(effect.host_id)
        if outgoing is None:
            outgoing = self._dial(effect.host_id)
            if outgoing is None:
                self._fail(effect.call.number, may_have_been_sent=False)
                return
        outgoing.last_used = self._reactor.seconds()
        if outgoing.is_open:
            self._write_call(outgoing, effect)
            return
        outgoing.waiting[effect.call.number] = effect

    def send_cancel(self, effect: calls.SendCancel) -> None:
        """Tells a host that a call's answer is no longer wanted.

        Args:
          effect: The host and the call's number.
        """
        outgoing = self._outgoing_by_host.get(effect.host_id)
        if outgoing is None:
            return
        if outgoing.waiting.pop(effect.number, None) is not None:
            return
        if effect.number in outgoing.sent and outgoing.is_open:
            outgoing.sent.discard(effect.number)
            outgoing.link.send(messages.CancelFrame(number=effect.number))

    def check(self, now: float) -> None:
        """Sends heartbeats and closes silent and unused links.

        Args:
          now: Monotonic seconds.
        """
        for outgoing in list(self._outgoing_by_host.values()):
            self._check_outgoing(outgoing, now)

    def _check_outgoing(self, outgoing: _Outgoing, now: float) -> None:
        if outgoing.link is None:
            return
        busy = bool(outgoing.sent or outgoing.waiting)
        if not busy and now - outgoing.last_used > UNUSED_LINK_S:
            outgoing.link.close("unused")
            return
        outgoing.link.check(now, busy=busy)

    def _is_replaced(self, outgoing: _Outgoing) -> bool:
        member = self._members_by_id.get(outgoing.host_id)
        if member is None or not outgoing.is_open:
            return False
        return member.incarnation != outgoing.link.peer.incarnation

    def _dial(self, host_id: str) -> _Outgoing | None:
        member = self._members_by_id.get(host_id)
        if member is None:
            return None
        outgoing = _Outgoing(host_id=host_id)
        self._outgoing_by_host[host_id] = outgoing

        def build() -> peer_link.PeerLink:
            outgoing.link = self._builder.build(
                is_dialer=True,
                expected_host_id=host_id,
                on_open=lambda _: self._outgoing_open(outgoing),
                on_frame=lambda _, frame: self._frame_from_target(
                    outgoing, frame
                ),
                on_closed=lambda link: self._outgoing_closed(
                    outgoing, link.close_reason
                ),
            )
            return outgoing.link

        factory = peer_link.LinkFactory(
            build=build,
            on_failed=lambda: self._outgoing_closed(outgoing, "unreachable"),
        )
        self._reactor.connectTCP(
            member.address, member.peer_port, factory, DIAL_TIMEOUT_S
        )
        return outgoing

    def _outgoing_open(self, outgoing: _Outgoing) -> None:
        self._record_link(
            catalogue.EventCode.PEER_LINK_OPENED, {"host": outgoing.host_id}
        )
        waiting = list(outgoing.waiting.values())
        outgoing.waiting.clear()
        for effect in waiting:
            self._write_call(outgoing, effect)

    def _outgoing_closed(self, outgoing: _Outgoing, reason: str) -> None:
        if self._outgoing_by_host.get(outgoing.host_id) is outgoing:
            del self._outgoing_by_host[outgoing.host_id]
        self._record_link(
            catalogue.EventCode.PEER_LINK_CLOSED,
            {"host": outgoing.host_id, "reason": reason},
        )
        for number in list(outgoing.waiting):
            self._fail(number, may_have_been_sent=False)
        for number in list(outgoing.sent):
            self._fail(number, may_have_been_sent=True)

    def _write_call(self, outgoing: _Outgoing, effect: calls.SendCall) -> None:
        outgoing.sent.add(effect.call.number)
        effect.call.stamp = self._clock.now()
        outgoing.link.send(messages.CallFrame(call=effect.call))

    def _frame_from_target(
        self, outgoing: _Outgoing, frame: messages.Frame
    ) -> None:
        match frame:
            case messages.AnswerFrame():
                outgoing.sent.discard(frame.number)
                self._clock.observe(frame.answer.stamp)
                self._on_epoch(frame.answer.epoch, outgoing.host_id)
                self._post(
                    calls.PeerAnswered(
                        host_id=outgoing.host_id,
                        number=frame.number,
                        user_request_id=frame.user_request_id,
                        answer=frame.answer,
                    )
                )
            case _:
                outgoing.link.close("unexpected frame")

    def _fail(self, number: int, *, may_have_been_sent: bool) -> None:
        self._post(
            calls.DispatchFailed(
                number=number, may_have_been_sent=may_have_been_sent
            )
        )

    def _record_link(
        self, code: catalogue.EventCode, fields: dict[str, str]
    ) -> None:
        self._record(calls.EventRecord(code=code, fields=fields))

"""Outgoing peer links: one per called host, opened on demand."""

from collections.abc import Callable

import msgspec

from bergamotdeal.calls import messages as calls
from bergamotdeal.membership import core as membership
from bergamotdeal.node import peer_link
from bergamotdeal.telemetry import catalogue
from bergamotdeal.telemetry import clock
from bergamotdeal.telemetry import records
from bergamotdeal.wire import messages

CONNECT_TIMEOUT_S = 1.0
UNUSED_LINK_TIMEOUT_S = 60.0
"""Time without a call after which a link is closed, in seconds."""


class _OutgoingLink(msgspec.Struct, kw_only=True):
    """Outgoing link to one host with its pending calls.

    Attributes:
      host_id: Id of the host.
      link: The link, or None until the connection is established.
      waiting: Calls to send once the link is open, by number.
      unanswered: Numbers of the calls that were sent and not answered yet.
      last_used_at: Time of the last call in monotonic seconds.
    """

    host_id: str
    link: peer_link.PeerLink | None = None
    waiting: dict[int, calls.SendCall] = msgspec.field(default_factory=dict)
    unanswered: set[int] = msgspec.field(default_factory=set)
    last_used_at: float = 0.0

    @property
    def is_open(self) -> bool:
        """Whether calls can be sent on the link."""
        return (
            self.link is not None
            and self.link.state is peer_link.LinkState.OPEN
        )


class OutgoingLinks:
    """Pool of outgoing links, which accepts an answer only on its call's link.

    Args:
      reactor: The reactor.
      builder: Builds the links.
      post: Takes the events for the call engine.
      on_peer_epoch: Takes the epoch of each answer and the host that sent it.
      record: Takes events for the event log.
      hybrid_clock: Stamps calls and is advanced by the stamps of answers.
    """

    def __init__(
        self,
        *,
        reactor,
        builder: peer_link.LinkBuilder,
        post: Callable[[calls.Event], None],
        on_peer_epoch: Callable[[int, str], None],
        record: Callable[[records.EventRecord], None],
        hybrid_clock: clock.HybridLogicalClock,
    ) -> None:
        self._reactor = reactor
        self._builder = builder
        self._post = post
        self._on_peer_epoch = on_peer_epoch
        self._record = record
        self._clock = hybrid_clock
        self._members_by_id: dict[str, membership.Member] = {}
        self._links_by_host_id: dict[str, _OutgoingLink] = {}

    def __len__(self) -> int:
        """Returns the number of links, including those still connecting."""
        return len(self._links_by_host_id)

    def close_all(self) -> None:
        """Closes all links after sending what is buffered."""
        for outgoing in list(self._links_by_host_id.values()):
            if outgoing.link is not None:
                outgoing.link.close("node is stopping", flush=True)

    def update_members(
        self, members_by_id: dict[str, membership.Member]
    ) -> None:
        """Updates the addresses and closes links to restarted hosts.

        Args:
          members_by_id: Known members by host id.
        """
        self._members_by_id = members_by_id
        for outgoing in list(self._links_by_host_id.values()):
            if self._is_stale(outgoing):
                outgoing.link.close("host restarted")

    def send_call(self, effect: calls.SendCall) -> None:
        """Sends a call, connecting to its host if there is no link.

        Args:
          effect: The call and its host.
        """
        outgoing = self._links_by_host_id.get(effect.host_id)
        if outgoing is None:
            outgoing = self._connect(effect.host_id)
            if outgoing is None:
                self._report_dispatch_failure(
                    effect.call.number, may_have_been_sent=False
                )
                return
        outgoing.last_used_at = self._reactor.seconds()
        if outgoing.is_open:
            self._write_call(outgoing, effect)
            return
        outgoing.waiting[effect.call.number] = effect
        self._post(calls.DispatchHeld(number=effect.call.number, is_held=True))

    def send_cancel(self, effect: calls.SendCancel) -> None:
        """Tells a host that the answer to a call is no longer needed.

        A call that is cancelled only while it waits may still be answered.

        Args:
          effect: The host and the call's number.
        """
        outgoing = self._links_by_host_id.get(effect.host_id)
        if outgoing is None:
            return
        if effect.only_waiting:
            self._withdraw(outgoing, effect.number)
            return
        if outgoing.waiting.pop(effect.number, None) is not None:
            return
        if effect.number in outgoing.unanswered and outgoing.is_open:
            outgoing.unanswered.discard(effect.number)
            outgoing.link.send(messages.CancelFrame(number=effect.number))

    def check(self, now: float) -> None:
        """Sends heartbeats and closes unresponsive and unused links.

        Args:
          now: Current time in monotonic seconds.
        """
        for outgoing in list(self._links_by_host_id.values()):
            self._check_link(outgoing, now)

    def _check_link(self, outgoing: _OutgoingLink, now: float) -> None:
        if outgoing.link is None:
            return
        has_pending_calls = bool(outgoing.unanswered or outgoing.waiting)
        if (
            not has_pending_calls
            and now - outgoing.last_used_at > UNUSED_LINK_TIMEOUT_S
        ):
            outgoing.link.close("unused")
            return
        outgoing.link.check(now, has_pending_calls=has_pending_calls)

    def _withdraw(self, outgoing: _OutgoingLink, number: int) -> None:
        is_sent = outgoing.is_open and number in outgoing.unanswered
        if is_sent and outgoing.link.peer_hello.can_withdraw:
            outgoing.link.send(messages.WithdrawFrame(number=number))

    def _is_stale(self, outgoing: _OutgoingLink) -> bool:
        member = self._members_by_id.get(outgoing.host_id)
        if member is None or not outgoing.is_open:
            return False
        return member.incarnation != outgoing.link.peer_hello.incarnation

    def _connect(self, host_id: str) -> _OutgoingLink | None:
        member = self._members_by_id.get(host_id)
        if member is None:
            return None
        outgoing = _OutgoingLink(host_id=host_id)
        self._links_by_host_id[host_id] = outgoing

        def build_link() -> peer_link.PeerLink:
            outgoing.link = self._builder.build(
                is_dialer=True,
                expected_host_id=host_id,
                on_open=lambda _: self._handle_open(outgoing),
                on_frame=lambda _, frame: self._handle_frame(outgoing, frame),
                on_closed=lambda link: self._handle_closed(
                    outgoing, link.close_reason
                ),
            )
            return outgoing.link

        factory = peer_link.LinkFactory(
            build=build_link,
            on_connect_failed=lambda: self._handle_closed(
                outgoing, "unreachable"
            ),
        )
        self._reactor.connectTCP(
            member.address, member.peer_port, factory, CONNECT_TIMEOUT_S
        )
        return outgoing

    def _handle_open(self, outgoing: _OutgoingLink) -> None:
        self._record_link_event(
            catalogue.EventCode.PEER_LINK_OPENED, {"host": outgoing.host_id}
        )
        # The engine hears of each frame before it is written, and may cancel
        # other calls meanwhile.
        while outgoing.waiting:
            number = next(iter(outgoing.waiting))
            effect = outgoing.waiting.pop(number)
            self._post(calls.DispatchHeld(number=number, is_held=False))
            self._write_call(outgoing, effect)

    def _handle_closed(self, outgoing: _OutgoingLink, reason: str) -> None:
        if self._links_by_host_id.get(outgoing.host_id) is outgoing:
            del self._links_by_host_id[outgoing.host_id]
        self._record_link_event(
            catalogue.EventCode.PEER_LINK_CLOSED,
            {"host": outgoing.host_id, "reason": reason},
        )
        for number in list(outgoing.waiting):
            self._report_dispatch_failure(number, may_have_been_sent=False)
        for number in list(outgoing.unanswered):
            self._report_dispatch_failure(number, may_have_been_sent=True)

    def _write_call(
        self, outgoing: _OutgoingLink, effect: calls.SendCall
    ) -> None:
        outgoing.unanswered.add(effect.call.number)
        effect.call.stamp = self._clock.now()
        outgoing.link.send(messages.CallFrame(call=effect.call))

    def _handle_frame(
        self, outgoing: _OutgoingLink, frame: messages.Frame
    ) -> None:
        match frame:
            case messages.AnswerFrame():
                outgoing.unanswered.discard(frame.number)
                self._clock.observe(frame.answer.stamp)
                self._on_peer_epoch(frame.answer.epoch, outgoing.host_id)
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

    def _report_dispatch_failure(
        self, number: int, *, may_have_been_sent: bool
    ) -> None:
        self._post(
            calls.DispatchFailed(
                number=number, may_have_been_sent=may_have_been_sent
            )
        )

    def _record_link_event(
        self, code: catalogue.EventCode, fields: dict[str, str]
    ) -> None:
        self._record(records.EventRecord(code=code, fields=fields))

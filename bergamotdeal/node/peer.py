"""The peer face: links to and from other nodes.

The task keeps one outgoing link per host that it calls, opened on need, and
any number of incoming links. An answer is taken only on the link on which its
call was sent.
"""

from collections.abc import Callable
import itertools
import random

from twisted.internet import defer
from twisted.internet import interfaces
from twisted.internet import task

from bergamotdeal.calls import messages as calls
from bergamotdeal.node import bulk
from bergamotdeal.node import outgoing
from bergamotdeal.node import peer_link
from bergamotdeal.telemetry import catalogue
from bergamotdeal.telemetry import clock
from bergamotdeal.wire import messages

CHECK_INTERVAL_S = 0.25


class PeerTask:
    """Owns the peer face's listening port and all links.

    Args:
      reactor: The reactor.
      host_id: This node's host.
      incarnation: This node's incarnation.
      key: The key that all nodes share.
      rng: Source of nonces.
      post: Takes the events for the call engine.
      on_epoch: Takes the epoch of each call and answer, and its host.
      record: Takes events for the time line.
      serve_bulk: Answers a bulk request's payload.
      hybrid_clock: Stamps calls and answers, for the time line.

    Attributes:
      outgoing: The links on which this node calls others.
    """

    def __init__(
        self,
        *,
        reactor,
        host_id: str,
        incarnation: str,
        key: bytes,
        rng: random.Random,
        post: Callable[[calls.Event], None],
        on_epoch: Callable[[int, str], None],
        record: Callable[[calls.EventRecord], None],
        serve_bulk: Callable[[bytes], bytes],
        hybrid_clock: clock.HybridClock,
    ) -> None:
        self._reactor = reactor
        self._post = post
        self._on_epoch = on_epoch
        self._record = record
        self._serve_bulk = serve_bulk
        self._clock = hybrid_clock
        self._builder = peer_link.LinkBuilder(
            host_id=host_id,
            incarnation=incarnation,
            key=key,
            rng=rng,
            seconds=reactor.seconds,
        )
        self.outgoing = outgoing.OutgoingLinks(
            reactor=reactor,
            builder=self._builder,
            post=post,
            on_epoch=on_epoch,
            record=record,
            hybrid_clock=hybrid_clock,
        )
        self._incoming_by_id: dict[int, peer_link.PeerLink] = {}
        self._link_ids = itertools.count(1)
        self._listener: interfaces.IListeningPort | None = None
        self._checks = task.LoopingCall(self._check_links)
        self._checks.clock = reactor

    @property
    def port(self) -> int:
        """Port that the face listens on."""
        return self._listener.getHost().port

    @property
    def link_count(self) -> int:
        """Number of links in both directions."""
        return len(self.outgoing) + len(self._incoming_by_id)

    def start(self, *, address: str, port: int) -> None:
        """Starts listening and the heartbeat.

        Args:
          address: IP address.
          port: TCP port; zero lets the kernel choose one.
        """
        factory = peer_link.LinkFactory(build=self._build_incoming)
        self._listener = self._reactor.listenTCP(
            port, factory, interface=address, backlog=1024
        )
        self._checks.start(CHECK_INTERVAL_S, now=False)

    def stop(self) -> None:
        """Closes the listening port and all links."""
        if self._checks.running:
            self._checks.stop()
        if self._listener is not None:
            self._listener.stopListening()
        self.outgoing.close()
        for link in list(self._incoming_by_id.values()):
            link.close("node stops", flush=True)

    def send_answer(self, effect: calls.SendAnswer) -> None:
        """Answers a call on the link on which it arrived.

        Args:
          effect: The answer and its link.
        """
        link = self._incoming_by_id.get(effect.link_id)
        if link is None:
            return
        effect.answer.stamp = self._clock.now()
        link.send(
            messages.AnswerFrame(
                number=effect.number,
                user_request_id=effect.user_request_id,
                answer=effect.answer,
            )
        )

    def request_bulk(
        self, *, address: str, port: int, payload: bytes
    ) -> "defer.Deferred[bytes]":
        """Makes one bulk exchange over a connection of its own.

        Args:
          address: IP address of the other node's peer face.
          port: Its TCP port.
          payload: The request.

        Returns:
          Fires with the response's payload, or fails with ``BulkError``.
        """
        return bulk.request_bulk(
            reactor=self._reactor,
            builder=self._builder,
            address=address,
            port=port,
            payload=payload,
        )

    # Incoming links.

    def _build_incoming(self) -> peer_link.PeerLink:
        link_id = next(self._link_ids)

        def opened(link: peer_link.PeerLink) -> None:
            self._incoming_by_id[link_id] = link

        link = self._builder.build(
            is_dialer=False,
            expected_host_id=None,
            on_open=opened,
            on_frame=lambda link, frame: self._frame_from_origin(
                link_id, link, frame
            ),
            on_closed=lambda link: self._incoming_closed(link_id, link),
        )
        # A connection that never greets must not stay for good.
        self._reactor.callLater(
            peer_link.HANDSHAKE_TIMEOUT_S, _close_unless_open, link
        )
        return link

    def _incoming_closed(self, link_id: int, link: peer_link.PeerLink) -> None:
        if link.is_malformed and link.transport is not None:
            self._record(
                calls.EventRecord(
                    code=catalogue.EventCode.FRAME_MALFORMED,
                    fields={"address": link.transport.getPeer().host},
                )
            )
        if self._incoming_by_id.pop(link_id, None) is None:
            self._record_rejected(link)
            return
        self._post(calls.PeerLinkClosed(link_id=link_id))

    def _frame_from_origin(
        self, link_id: int, link: peer_link.PeerLink, frame: messages.Frame
    ) -> None:
        match frame:
            case messages.CallFrame():
                self._clock.observe(frame.call.stamp)
                self._on_epoch(frame.call.epoch, link.peer.host_id)
                self._post(calls.PeerCalled(link_id=link_id, call=frame.call))
            case messages.CancelFrame():
                self._post(
                    calls.PeerCancelled(link_id=link_id, number=frame.number)
                )
            case messages.BulkRequest():
                self._answer_bulk(link, frame)
            case _:
                link.close("unexpected frame")

    def _answer_bulk(
        self, link: peer_link.PeerLink, frame: messages.BulkRequest
    ) -> None:
        try:
            response = self._serve_bulk(frame.payload)
        except Exception as e:
            # The link serves this exchange alone; other links go on.
            link.close(f"bulk request failed: {e}")
            return
        link.send(messages.BulkResponse(payload=response))

    def _check_links(self) -> None:
        now = self._reactor.seconds()
        self.outgoing.check(now)
        for link in list(self._incoming_by_id.values()):
            link.check(now, busy=False)

    def _record_rejected(self, link: peer_link.PeerLink) -> None:
        if link.transport is None:
            return
        fields = {
            "address": link.transport.getPeer().host,
            "reason": link.close_reason,
        }
        self._record(
            calls.EventRecord(
                code=catalogue.EventCode.PEER_REJECTED, fields=fields
            )
        )


def _close_unless_open(link: peer_link.PeerLink) -> None:
    if link.state is not peer_link.LinkState.OPEN:
        link.close("handshake timed out")

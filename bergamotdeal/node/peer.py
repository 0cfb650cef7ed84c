"""Links to and from other nodes.

The task keeps one outgoing link per called host, opened on demand, and any
number of incoming links. An answer is accepted only on the link on which its
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
from bergamotdeal.node import connection_buffers
from bergamotdeal.node import outgoing
from bergamotdeal.node import peer_link
from bergamotdeal.rpc import core as rpc
from bergamotdeal.telemetry import catalogue
from bergamotdeal.telemetry import clock
from bergamotdeal.telemetry import records
from bergamotdeal.wire import messages

LIVENESS_CHECK_INTERVAL_S = 0.25


class PeerTask:
    """Peer listener of a node and owner of all its links.

    Args:
      reactor: The reactor.
      host_id: Host id of this node.
      data_centre: Data centre of this node.
      incarnation: Incarnation of this node.
      key: Key that all nodes share.
      rng: Source of nonces.
      post: Takes the events for the call engine.
      on_peer_epoch: Takes the epoch of each call or answer and its sender's
        host id.
      record: Takes events for the event log.
      on_bulk_request: Returns the response to a bulk request's payload.
      hybrid_clock: Stamps calls and answers and is advanced by received stamps.
      has_room: Returns whether there is memory for the body of a call; without
        it there always is.
      buffers: Counts the bytes that the links buffer; None counts none.

    Attributes:
      outgoing: Links on which this node calls others.
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
        on_peer_epoch: Callable[[int, str], None],
        record: Callable[[records.EventRecord], None],
        on_bulk_request: Callable[[bytes], bytes],
        hybrid_clock: clock.HybridLogicalClock,
        data_centre: str = "",
        has_room: Callable[[rpc.Call], bool] | None = None,
        buffers: connection_buffers.ConnectionBuffers | None = None,
    ) -> None:
        self._reactor = reactor
        self._post = post
        self._on_peer_epoch = on_peer_epoch
        self._record = record
        self._on_bulk_request = on_bulk_request
        self._clock = hybrid_clock
        self._builder = peer_link.LinkBuilder(
            host_id=host_id,
            incarnation=incarnation,
            key=key,
            rng=rng,
            clock=reactor.seconds,
            data_centre=data_centre,
            buffers=buffers,
        )
        self._has_room = has_room or (lambda _: True)
        self.outgoing = outgoing.OutgoingLinks(
            reactor=reactor,
            builder=self._builder,
            post=post,
            on_peer_epoch=on_peer_epoch,
            record=record,
            hybrid_clock=hybrid_clock,
        )
        self._incoming_links_by_id: dict[int, peer_link.PeerLink] = {}
        self._link_ids = itertools.count(1)
        self._listener: interfaces.IListeningPort | None = None
        self._liveness_checks = task.LoopingCall(self._check_links)
        self._liveness_checks.clock = reactor

    @property
    def port(self) -> int:
        """TCP port of the peer listener."""
        return self._listener.getHost().port

    @property
    def link_count(self) -> int:
        """Number of links in both directions."""
        return len(self.outgoing) + len(self._incoming_links_by_id)

    def start(self, *, address: str, port: int) -> None:
        """Starts listening and sending heartbeats.

        Args:
          address: IP address.
          port: TCP port; zero lets the kernel choose one.
        """
        factory = peer_link.LinkFactory(build=self._build_incoming_link)
        self._listener = self._reactor.listenTCP(
            port, factory, interface=address, backlog=1024
        )
        self._liveness_checks.start(LIVENESS_CHECK_INTERVAL_S, now=False)

    def stop(self) -> None:
        """Closes the listening port and all links."""
        if self._liveness_checks.running:
            self._liveness_checks.stop()
        if self._listener is not None:
            self._listener.stopListening()
        self.outgoing.close_all()
        for link in list(self._incoming_links_by_id.values()):
            link.close("node is stopping", flush=True)

    def send_answer(self, effect: calls.SendAnswer) -> None:
        """Answers a call on the link on which it arrived.

        Args:
          effect: The answer and its link.
        """
        link = self._incoming_links_by_id.get(effect.link_id)
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

    def send_bulk_request(
        self, *, address: str, port: int, payload: bytes
    ) -> "defer.Deferred[bytes]":
        """Sends one bulk request over a connection of its own.

        Args:
          address: IP address of the other node's peer listener.
          port: TCP port of the other node's peer listener.
          payload: The encoded request.

        Returns:
          A deferred that fires with the response's payload, or fails with
          ``BulkError``.
        """
        return bulk.send_bulk_request(
            reactor=self._reactor,
            builder=self._builder,
            address=address,
            port=port,
            payload=payload,
        )

    # Incoming links.

    def _build_incoming_link(self) -> peer_link.PeerLink:
        link_id = next(self._link_ids)

        def handle_open(link: peer_link.PeerLink) -> None:
            self._incoming_links_by_id[link_id] = link

        link = self._builder.build(
            is_dialer=False,
            expected_host_id=None,
            on_open=handle_open,
            on_frame=lambda link, frame: self._handle_incoming_frame(
                link_id, link, frame
            ),
            on_closed=lambda link: self._handle_incoming_closed(link_id, link),
        )
        # Connections that don't complete the handshake must not accumulate.
        self._reactor.callLater(
            peer_link.HANDSHAKE_TIMEOUT_S, _close_unless_open, link
        )
        return link

    def _handle_incoming_closed(
        self, link_id: int, link: peer_link.PeerLink
    ) -> None:
        if link.has_malformed_input and link.transport is not None:
            self._record(
                records.EventRecord(
                    code=catalogue.EventCode.FRAME_MALFORMED,
                    fields={"address": link.transport.getPeer().host},
                )
            )
        if self._incoming_links_by_id.pop(link_id, None) is None:
            self._record_rejected_link(link)
            return
        self._post(calls.PeerLinkClosed(link_id=link_id))

    def _handle_incoming_frame(
        self, link_id: int, link: peer_link.PeerLink, frame: messages.Frame
    ) -> None:
        match frame:
            case messages.CallFrame():
                self._clock.observe(frame.call.stamp)
                self._on_peer_epoch(frame.call.epoch, link.peer_hello.host_id)
                self._post(
                    calls.PeerCalled(
                        link_id=link_id,
                        call=frame.call,
                        has_room=self._has_room(frame.call),
                    )
                )
            case messages.CancelFrame():
                self._post(
                    calls.PeerCancelled(link_id=link_id, number=frame.number)
                )
            case messages.WithdrawFrame():
                self._post(
                    calls.PeerCancelled(
                        link_id=link_id,
                        number=frame.number,
                        only_waiting=True,
                    )
                )
            case messages.BulkRequest():
                self._answer_bulk(link, frame)
            case _:
                link.close("unexpected frame")

    def _answer_bulk(
        self, link: peer_link.PeerLink, frame: messages.BulkRequest
    ) -> None:
        try:
            response = self._on_bulk_request(frame.payload)
        except Exception as e:
            # Only this link is affected; others keep working.
            link.close(f"bulk request failed: {e}")
            return
        link.send(messages.BulkResponse(payload=response))

    def _check_links(self) -> None:
        now = self._reactor.seconds()
        self.outgoing.check(now)
        for link in list(self._incoming_links_by_id.values()):
            link.check(now, has_pending_calls=False)

    def _record_rejected_link(self, link: peer_link.PeerLink) -> None:
        if link.transport is None:
            return
        fields = {
            "address": link.transport.getPeer().host,
            "reason": link.close_reason,
        }
        self._record(
            records.EventRecord(
                code=catalogue.EventCode.PEER_REJECTED, fields=fields
            )
        )


def _close_unless_open(link: peer_link.PeerLink) -> None:
    if link.state is not peer_link.LinkState.OPEN:
        link.close("handshake timed out")

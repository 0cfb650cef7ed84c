"""Bulk exchanges between nodes, each over a connection of its own."""

from twisted.internet import defer

from bergamotdeal.node import outgoing
from bergamotdeal.node import peer_link
from bergamotdeal.wire import messages

BULK_TIMEOUT_S = 5.0


class BulkError(Exception):
    """A bulk exchange ended without a response."""


def request_bulk(
    *,
    reactor,
    builder: peer_link.LinkBuilder,
    address: str,
    port: int,
    payload: bytes,
) -> "defer.Deferred[bytes]":
    """Makes one bulk exchange.

    Args:
      reactor: The reactor.
      builder: Builds the link.
      address: IP address of the other node's peer face.
      port: Its TCP port.
      payload: The request.

    Returns:
      Fires with the response's payload, or fails with ``BulkError``.
    """
    done: defer.Deferred[bytes] = defer.Deferred()

    def fail(reason: str) -> None:
        if not done.called:
            done.errback(BulkError(reason))

    def opened(link: peer_link.PeerLink) -> None:
        link.send(messages.BulkRequest(payload=payload))

    def received(link: peer_link.PeerLink, frame: messages.Frame) -> None:
        if isinstance(frame, messages.BulkResponse) and not done.called:
            done.callback(frame.payload)
        link.close("bulk exchange done")

    def build() -> peer_link.PeerLink:
        link = builder.build(
            is_dialer=True,
            expected_host_id=None,
            on_open=opened,
            on_frame=received,
            on_closed=lambda closed: fail(closed.close_reason),
        )
        timer = reactor.callLater(
            BULK_TIMEOUT_S, link.close, "bulk exchange timed out"
        )
        done.addBoth(_cancel_timer, timer)
        return link

    factory = peer_link.LinkFactory(
        build=build, on_failed=lambda: fail("connection failed")
    )
    reactor.connectTCP(address, port, factory, outgoing.DIAL_TIMEOUT_S)
    return done


def _cancel_timer(outcome, timer):
    if timer.active():
        timer.cancel()
    return outcome

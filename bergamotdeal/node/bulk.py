"""Client side of bulk requests between nodes.

Each request uses a connection of its own.
"""

from twisted.internet import defer

from bergamotdeal.node import outgoing
from bergamotdeal.node import peer_link
from bergamotdeal.wire import messages

BULK_TIMEOUT_S = 5.0


class BulkError(Exception):
    """A bulk request ended without a response."""


def send_bulk_request(
    *,
    reactor,
    builder: peer_link.LinkBuilder,
    address: str,
    port: int,
    payload: bytes,
) -> "defer.Deferred[bytes]":
    """Connects to another node, sends one request and reads the response.

    Args:
      reactor: The reactor.
      builder: Builds the link.
      address: IP address of the other node's peer listener.
      port: TCP port of the other node's peer listener.
      payload: The encoded request.

    Returns:
      A deferred that fires with the response's payload, or fails with
      ``BulkError``.
    """
    done: defer.Deferred[bytes] = defer.Deferred()

    def fail(reason: str) -> None:
        if not done.called:
            done.errback(BulkError(reason))

    def send_request(link: peer_link.PeerLink) -> None:
        link.send(messages.BulkRequest(payload=payload))

    def handle_frame(link: peer_link.PeerLink, frame: messages.Frame) -> None:
        if isinstance(frame, messages.BulkResponse) and not done.called:
            done.callback(frame.payload)
        link.close("bulk request done")

    def build_link() -> peer_link.PeerLink:
        link = builder.build(
            is_dialer=True,
            expected_host_id=None,
            on_open=send_request,
            on_frame=handle_frame,
            on_closed=lambda closed: fail(closed.close_reason),
        )
        timer = reactor.callLater(
            BULK_TIMEOUT_S, link.close, "bulk request timed out"
        )
        done.addBoth(_cancel_timer, timer)
        return link

    factory = peer_link.LinkFactory(
        build=build_link, on_connect_failed=lambda: fail("connection failed")
    )
    reactor.connectTCP(address, port, factory, outgoing.CONNECT_TIMEOUT_S)
    return done


def _cancel_timer(outcome, timer):
    if timer.active():
        timer.cancel()
    return outcome

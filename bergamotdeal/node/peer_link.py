"""TCP link between two nodes: framing, handshake and heartbeats."""

from collections.abc import Callable
import enum
import random

import result
from twisted.internet import protocol
from twisted.protocols import basic
from twisted.python import failure as twisted_failure

from bergamotdeal.node import connection_buffers
from bergamotdeal.node import handshake
from bergamotdeal.utils import transport
from bergamotdeal.wire import codec
from bergamotdeal.wire import compression
from bergamotdeal.wire import messages

IDLE_PING_INTERVAL_S = 5.0
"""Heartbeat interval of a link without pending calls."""

BUSY_PING_INTERVAL_S = 0.5
"""Heartbeat interval of a link with pending calls."""

MAX_UNANSWERED_PINGS = 2
HANDSHAKE_TIMEOUT_S = 2.0
MAX_HANDSHAKE_FRAME_BYTES = 4096
"""Maximum frame of a peer that has not proved the key."""

INCOMING_TIMEOUT_S = IDLE_PING_INTERVAL_S * (MAX_UNANSWERED_PINGS + 1)


class LinkState(enum.Enum):
    """Stage of a link between handshake and close."""

    AWAITING_HELLO = "greeting"
    AWAITING_PROOF = "proving"
    OPEN = "open"
    CLOSED = "closed"


class PeerLink(basic.Int32StringReceiver):
    """Authenticated connection to another node, in either direction.

    Attributes:
      state: Stage of the link.
      peer_hello: The peer's hello message, or None before it arrived.
      last_received_at: Time of the last frame in monotonic seconds.
      close_reason: Why the link closed, for the event log.
      has_malformed_input: Whether the peer sent bytes that are not a frame.

    Args:
      hello: This side's hello message, with a fresh nonce.
      key: Key that all nodes share.
      is_dialer: Whether this side opened the connection.
      expected_host_id: Host id that the peer must have, or None for any.
      clock: Returns monotonic seconds.
      on_open: Called once when the link is open.
      on_frame: Called with each frame of an open link.
      on_closed: Called once when the link is closed.
      buffers: Counts the bytes that the link buffers; None counts none.
    """

    MAX_LENGTH = MAX_HANDSHAKE_FRAME_BYTES

    def __init__(
        self,
        *,
        hello: messages.Hello,
        key: bytes,
        is_dialer: bool,
        expected_host_id: str | None,
        clock: Callable[[], float],
        on_open: Callable[["PeerLink"], None],
        on_frame: Callable[["PeerLink", messages.Frame], None],
        on_closed: Callable[["PeerLink"], None],
        buffers: connection_buffers.ConnectionBuffers | None = None,
    ) -> None:
        self.state = LinkState.AWAITING_HELLO
        self._buffers = buffers
        # Parts of a frame after the one in the base class's buffer.
        self._frame_parts: list[bytes] = []
        self._frame_parts_bytes = 0
        self._missing_bytes = 0
        self.peer_hello: messages.Hello | None = None
        self.last_received_at = clock()
        self.close_reason = "closed by the other side"
        self.has_malformed_input = False
        self._hello = hello
        self._key = key
        self._is_dialer = is_dialer
        self._expected_host_id = expected_host_id
        self._clock = clock
        self._on_open = on_open
        self._on_frame = on_frame
        self._on_closed = on_closed
        self._last_ping_at = 0.0
        self._last_unsent_bytes = 0
        self._last_ping_number = 0
        self._unanswered_pings = 0
        self._compressor: compression.FrameCompressor | None = None
        self._decompressor: compression.FrameDecompressor | None = None

    def connectionMade(self) -> None:
        """Starts the handshake."""
        transport.disable_nagle(self.transport)
        self.last_received_at = self._clock()
        self.send(self._hello)

    def send(self, frame: messages.Frame) -> None:
        """Writes a frame.

        Args:
          frame: The frame.
        """
        data = codec.encode(frame)
        if self._compressor is not None:
            data = self._compressor.compress(data)
        prefix = len(data).to_bytes(self.prefixLength, "big")
        transport.write_now(self.transport, prefix + data)
        if self._buffers is not None:
            self._buffers.watch_output(self.transport)

    def close(self, reason: str, *, flush: bool = False) -> None:
        """Closes the link.

        Args:
          reason: Why, for the event log.
          flush: Whether buffered frames are sent first.
        """
        if self.state is LinkState.CLOSED:
            return
        self.state = LinkState.CLOSED
        self.close_reason = reason
        if self.transport is not None and flush:
            self.transport.loseConnection()
        elif self.transport is not None:
            self.transport.abortConnection()
        self._on_closed(self)

    def check(self, now: float, *, has_pending_calls: bool) -> None:
        """Sends heartbeats and closes an unresponsive link.

        Args:
          now: Current time in monotonic seconds.
          has_pending_calls: Whether calls on the link await answers.
        """
        if self._is_paused():
            # The other side can't be heard but must not take this for silence.
            self.last_received_at = now
            self.send(messages.Pong(number=0))
            return
        if self._has_sent_backlog():
            self.last_received_at = now
        silent_s = now - self.last_received_at
        if self.state is not LinkState.OPEN:
            if silent_s > HANDSHAKE_TIMEOUT_S:
                self.close("handshake timed out")
            return
        if not self._is_dialer:
            if silent_s > INCOMING_TIMEOUT_S:
                self.close("silent")
            return
        interval_s = (
            BUSY_PING_INTERVAL_S if has_pending_calls else IDLE_PING_INTERVAL_S
        )
        if silent_s < interval_s or now - self._last_ping_at < interval_s:
            return
        if self._unanswered_pings >= MAX_UNANSWERED_PINGS:
            self.close("silent")
            return
        self._unanswered_pings += 1
        self._last_ping_number += 1
        self._last_ping_at = now
        self.send(messages.Ping(number=self._last_ping_number))

    def _is_paused(self) -> bool:
        """Returns whether the link isn't read for want of memory."""
        return (
            self.state is LinkState.OPEN
            and self._buffers is not None
            and self._buffers.is_input_paused(self.transport)
        )

    def _has_sent_backlog(self) -> bool:
        """Returns whether buffered bytes were sent since the last check.

        A heartbeat waits behind a large frame, so that its answer is late.
        """
        unsent_bytes = transport.get_unsent_bytes(self.transport)
        has_sent = unsent_bytes < self._last_unsent_bytes
        self._last_unsent_bytes = unsent_bytes
        return has_sent

    # Called by Twisted.

    def dataReceived(self, data: bytes) -> None:
        """Collects the parts of a large frame and parses complete ones.

        The base class would copy what it has of a frame with each part.

        Args:
          data: Received bytes.
        """
        if self.state is LinkState.OPEN:
            # A part of a large frame, too, shows that the peer is there.
            self.last_received_at = self._clock()
            self._unanswered_pings = 0
        self._missing_bytes -= len(data)
        if self._missing_bytes > 0:
            self._frame_parts.append(data)
            self._frame_parts_bytes += len(data)
        else:
            received = b"".join((*self._frame_parts, data))
            self._clear_frame_parts()
            super().dataReceived(received)
            self._missing_bytes = self._count_missing_bytes()
        if self._buffers is not None and self.state is LinkState.OPEN:
            self._buffers.update_input(
                self.transport, len(self._unprocessed) + self._frame_parts_bytes
            )

    def _clear_frame_parts(self) -> None:
        self._frame_parts.clear()
        self._frame_parts_bytes = 0

    def _count_missing_bytes(self) -> int:
        """Returns how many bytes the frame in the base class's buffer lacks."""
        start = self._unprocessed[: self.prefixLength]
        if len(start) < self.prefixLength:
            return 0
        length = int.from_bytes(start, "big")
        return self.prefixLength + length - len(self._unprocessed)

    def stringReceived(self, string: bytes) -> None:
        """Decodes and handles a frame.

        Args:
          string: The encoded frame.
        """
        if self.state is LinkState.CLOSED:
            return
        self.last_received_at = self._clock()
        self._unanswered_pings = 0
        if self._decompressor is None:
            decoded = codec.decode(string)
        else:
            decompressed = self._decompressor.decompress(string)
            decoded = decompressed.and_then(codec.decode)
        if isinstance(decoded, result.Err):
            self.has_malformed_input = True
            self.close(f"malformed frame: {decoded.err_value}")
            return
        self._handle_frame(decoded.ok_value)

    def lengthLimitExceeded(self, length: int) -> None:
        """Closes the link after a frame that exceeds the length limit.

        Args:
          length: Length in the frame's prefix, in bytes.
        """
        self.has_malformed_input = True
        self.close(f"frame of {length} bytes exceeds the limit")

    def connectionLost(
        self, reason: twisted_failure.Failure = protocol.connectionDone
    ) -> None:
        """Reports that the connection ended.

        Args:
          reason: Why it ended.
        """
        del reason
        self._clear_frame_parts()
        self._unprocessed = b""
        if self._buffers is not None:
            self._buffers.discard_input(self.transport)
        self.close(self.close_reason)

    def _handle_frame(self, frame: messages.Frame) -> None:
        match frame, self.state:
            case messages.Ping(), LinkState.OPEN:
                self.send(messages.Pong(number=frame.number))
            case messages.Pong(), LinkState.OPEN:
                pass
            case messages.Hello(), LinkState.AWAITING_HELLO:
                self._handle_hello(frame)
            case messages.Proof(), LinkState.AWAITING_PROOF:
                self._handle_proof(frame)
            case ((messages.Hello() | messages.Proof()), _):
                self.close("unexpected handshake frame")
            case _, LinkState.OPEN:
                self._on_frame(self, frame)
            case _:
                self.close("frame received before the handshake completed")

    def _handle_hello(self, hello: messages.Hello) -> None:
        expected = self._expected_host_id
        if expected is not None and hello.host_id != expected:
            self.close(f"host {hello.host_id} answered instead of {expected}")
            return
        if len(hello.nonce) != handshake.NONCE_BYTES:
            self.close("invalid nonce length")
            return
        self.peer_hello = hello
        self.state = LinkState.AWAITING_PROOF
        digest = handshake.compute_proof(
            key=self._key,
            role=self._own_role(),
            sender=self._hello,
            receiver=hello,
        )
        self.send(messages.Proof(digest=digest))

    def _handle_proof(self, frame: messages.Proof) -> None:
        is_valid = handshake.is_proof_valid(
            key=self._key,
            role=self._peer_role(),
            sender=self.peer_hello,
            receiver=self._hello,
            digest=frame.digest,
        )
        if not is_valid:
            self.close("invalid proof of the shared key")
            return
        self.state = LinkState.OPEN
        self.MAX_LENGTH = codec.MAX_FRAME_BYTES
        if _crosses_data_centres(self._hello, self.peer_hello):
            self._compressor = compression.FrameCompressor()
            self._decompressor = compression.FrameDecompressor()
        self._on_open(self)

    def _own_role(self) -> bytes:
        return handshake.DIALER if self._is_dialer else handshake.LISTENER

    def _peer_role(self) -> bytes:
        return handshake.LISTENER if self._is_dialer else handshake.DIALER


def _crosses_data_centres(own: messages.Hello, peer: messages.Hello) -> bool:
    """Returns whether the frames of a link are worth compressing.

    Within a data centre bytes are cheap and processor time is not.
    """
    if not (own.can_inflate and peer.can_inflate):
        return False
    return own.data_centre != peer.data_centre


class LinkBuilder:
    """Factory of the links of one node.

    Args:
      host_id: Host id of this node.
      data_centre: Data centre of this node.
      incarnation: Incarnation of this node.
      key: Key that all nodes share.
      rng: Source of nonces, which must be a system source outside of tests.
      clock: Returns monotonic seconds.
      buffers: Counts the bytes that the links buffer; None counts none.
    """

    def __init__(
        self,
        *,
        host_id: str,
        incarnation: str,
        key: bytes,
        rng: random.Random,
        clock: Callable[[], float],
        data_centre: str = "",
        buffers: connection_buffers.ConnectionBuffers | None = None,
    ) -> None:
        self._buffers = buffers
        self._host_id = host_id
        self._data_centre = data_centre
        self._incarnation = incarnation
        self._key = key
        self._rng = rng
        self._clock = clock

    def build(
        self,
        *,
        is_dialer: bool,
        expected_host_id: str | None,
        on_open: Callable[[PeerLink], None],
        on_frame: Callable[[PeerLink, messages.Frame], None],
        on_closed: Callable[[PeerLink], None],
    ) -> PeerLink:
        """Builds a link with a fresh nonce.

        Args:
          is_dialer: Whether this side opens the connection.
          expected_host_id: Host id that the peer must have, or None for any.
          on_open: Called once when the link is open.
          on_frame: Called with each frame of an open link.
          on_closed: Called once when the link is closed.
        """
        hello = messages.Hello(
            host_id=self._host_id,
            incarnation=self._incarnation,
            nonce=self._rng.randbytes(handshake.NONCE_BYTES),
            data_centre=self._data_centre,
            can_inflate=True,
            can_withdraw=True,
        )
        return PeerLink(
            hello=hello,
            key=self._key,
            is_dialer=is_dialer,
            expected_host_id=expected_host_id,
            clock=self._clock,
            on_open=on_open,
            on_frame=on_frame,
            on_closed=on_closed,
            buffers=self._buffers,
        )


class LinkFactory(protocol.ClientFactory):
    """Twisted factory of links, which also reports failed connection attempts.

    Args:
      build: Builds a link for a new connection.
      on_connect_failed: Called when a connection attempt fails.
    """

    noisy = False

    def __init__(
        self,
        *,
        build: Callable[[], PeerLink],
        on_connect_failed: Callable[[], None] | None = None,
    ) -> None:
        self._build = build
        self._on_connect_failed = on_connect_failed

    def buildProtocol(self, addr) -> PeerLink:
        """Builds the link of a new connection.

        Args:
          addr: Address of the other side.
        """
        del addr
        return self._build()

    def clientConnectionFailed(self, connector, reason) -> None:
        """Reports a failed connection attempt.

        Args:
          connector: The connector that failed.
          reason: Why it failed.
        """
        del connector, reason
        if self._on_connect_failed is not None:
            self._on_connect_failed()

"""Bytes buffered for the connections of a node, and back-pressure on them."""

from twisted.internet import interfaces
from twisted.internet import task

from bergamotdeal.memory import core as memory
from bergamotdeal.utils import transport as transports

CHECK_INTERVAL_S = 0.05

MIN_TRACKED_BYTES = 16 * 1024
"""Unfinished messages below this size aren't tracked."""

STALL_TIMEOUT_S = 30.0
"""Time after which a connection is aborted whose other side reads nothing of
the bytes that wait for it."""


class _Output:
    """Bytes that wait to be sent on one connection.

    Attributes:
      held_bytes: Number of buffered bytes at the last check, sent ones that are
        still held included.
      unsent_bytes: Number of unsent bytes at the last check.
      progressed_at: Time of the last progress, in monotonic seconds.
    """

    __slots__ = ("held_bytes", "progressed_at", "unsent_bytes")

    def __init__(self, *, progressed_at: float) -> None:
        self.held_bytes = 0
        self.unsent_bytes = 0
        self.progressed_at = progressed_at


class ConnectionBuffers:
    """Counter of the bytes that connections buffer.

    While the node's memory for bodies is full, connections on which a large
    message is arriving aren't read, so that the other side keeps the rest. The
    one that has waited longest is read on, since a message that is never
    complete would hold its memory for ever.

    Args:
      reactor: The reactor, used as clock.
      body_memory: Memory that the buffers are part of.
    """

    def __init__(self, *, reactor, body_memory: memory.BodyMemory) -> None:
        self._reactor = reactor
        self._memory = body_memory
        self._outputs_by_transport: dict[interfaces.ITransport, _Output] = {}
        self._input_bytes_by_transport: dict[interfaces.ITransport, int] = {}
        # Ordered by the time of the pause; the values are not used.
        self._paused: dict[interfaces.ITransport, None] = {}
        self._output_bytes = 0
        self._input_bytes = 0
        self._checks = task.LoopingCall(self._check)
        self._checks.clock = reactor
        body_memory.add_holder(lambda: self._output_bytes + self._input_bytes)

    def has_unsent_data(self) -> bool:
        """Returns whether bytes wait to be sent on any connection."""
        return any(map(transports.get_unsent_bytes, self._outputs_by_transport))

    # Bytes that wait to be sent.

    def watch_output(self, transport: interfaces.ITransport) -> None:
        """Counts what a write has left in the buffer of a connection.

        Args:
          transport: Transport that was written to.
        """
        if not transports.has_unsent_data(transport):
            return
        output = self._outputs_by_transport.get(transport)
        if output is None:
            output = _Output(progressed_at=self._reactor.seconds())
            self._outputs_by_transport[transport] = output
        self._measure(transport, output)
        self._start_checks()

    def _measure(
        self, transport: interfaces.ITransport, output: _Output
    ) -> None:
        held_bytes = transports.get_buffered_bytes(transport)
        self._output_bytes += held_bytes - output.held_bytes
        output.held_bytes = held_bytes
        output.unsent_bytes = transports.get_unsent_bytes(transport)

    # Messages that are arriving.

    def update_input(
        self, transport: interfaces.ITransport, size_bytes: int
    ) -> None:
        """Records the size of the unfinished message on a connection.

        Args:
          transport: Transport on which the message is arriving.
          size_bytes: Number of its bytes so far, zero without a message.
        """
        known_bytes = self._input_bytes_by_transport.get(transport, 0)
        if size_bytes < MIN_TRACKED_BYTES:
            if known_bytes:
                self.discard_input(transport)
            return
        self._input_bytes_by_transport[transport] = size_bytes
        self._input_bytes += size_bytes - known_bytes
        if self._memory.is_full and transport not in self._paused:
            self._paused[transport] = None
            transport.pauseProducing()
            self._start_checks()

    def discard_input(self, transport: interfaces.ITransport) -> None:
        """Forgets a connection on which no message is arriving any more.

        Args:
          transport: Transport of the connection.
        """
        self._input_bytes -= self._input_bytes_by_transport.pop(transport, 0)
        if transport in self._paused:
            self._resume(transport)

    def is_input_paused(self, transport: interfaces.ITransport) -> bool:
        """Returns whether a connection isn't read for want of memory.

        Args:
          transport: Transport of the connection.
        """
        return transport in self._paused

    def _resume(self, transport: interfaces.ITransport) -> None:
        del self._paused[transport]
        transport.resumeProducing()

    def _start_checks(self) -> None:
        if not self._checks.running:
            self._checks.start(CHECK_INTERVAL_S, now=False)

    def _check(self) -> None:
        now = self._reactor.seconds()
        for transport, output in list(self._outputs_by_transport.items()):
            self._check_output(transport, output, now)
        if self._paused:
            self._resume(next(iter(self._paused)))
        while self._paused and not self._memory.is_full:
            self._resume(next(iter(self._paused)))
        if not (self._outputs_by_transport or self._paused):
            self._checks.stop()

    def _check_output(
        self, transport: interfaces.ITransport, output: _Output, now: float
    ) -> None:
        last_unsent_bytes = output.unsent_bytes
        self._measure(transport, output)
        if output.unsent_bytes < last_unsent_bytes:
            output.progressed_at = now
        if not output.unsent_bytes:
            del self._outputs_by_transport[transport]
        elif now - output.progressed_at > STALL_TIMEOUT_S:
            transport.abortConnection()

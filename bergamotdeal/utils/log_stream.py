"""A log stream that never holds up the process."""

import os
import stat
from typing import TextIO


class NonBlockingLogStream:
    """Writes lines to a pipe or socket and drops those that don't fit.

    A supervisor that stops reading would otherwise stop the node: a write to
    a full pipe waits. The file descriptor is set to non-blocking.

    Args:
      descriptor: File descriptor of a pipe or socket.

    Attributes:
      dropped: Lines that did not fit.
    """

    def __init__(self, *, descriptor: int):
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._unsent = b""
        self.dropped = 0

    def write(self, text: str) -> int:
        """Writes a line, or drops it while the other end doesn't read.

        Args:
          text: One or more complete lines.

        Returns:
          The length of the text, written or not.
        """
        # What is left of a line goes first, so that no line is cut.
        self._send(self._unsent)
        if self._unsent:
            self.dropped += 1
        else:
            self._send(text.encode("utf-8", "backslashreplace"))
        return len(text)

    def flush(self) -> None:
        """Does nothing: each write goes out at once or not at all."""

    def _send(self, data: bytes) -> None:
        self._unsent = data
        if not data:
            return
        try:
            sent = os.write(self._descriptor, data)
        except BlockingIOError:
            sent = 0
        except OSError:
            # Nobody can read this stream any more.
            sent = len(data)
        self._unsent = data[sent:]


def make_non_blocking(stream: TextIO) -> TextIO | NonBlockingLogStream:
    """Returns a stream for logs that can't hold up the process.

    Args:
      stream: The process's standard error.

    Returns:
      A ``NonBlockingLogStream`` for a pipe or socket; the stream itself for a terminal
      or a file.
    """
    try:
        descriptor = stream.fileno()
    except (OSError, ValueError):
        return stream
    mode = os.fstat(descriptor).st_mode
    if stat.S_ISFIFO(mode) or stat.S_ISSOCK(mode):
        return NonBlockingLogStream(descriptor=descriptor)
    return stream

"""A log stream that never blocks the process."""

import os
import stat
from typing import TextIO


class NonBlockingLogStream:
    """A text stream to a pipe or socket that drops lines instead of blocking.

    A write to a full pipe blocks, so that a supervisor that stops reading would
    stop the node. The file descriptor is therefore set to non-blocking.

    Args:
      descriptor: File descriptor of a pipe or socket.

    Attributes:
      dropped_lines: Number of lines dropped because the pipe was full; each
        write counts as one.
    """

    def __init__(self, *, descriptor: int):
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._unsent_data = b""
        self.dropped_lines = 0

    def write(self, text: str) -> int:
        """Writes a line, or drops it while the pipe is full.

        Args:
          text: One or more complete lines.

        Returns:
          The length of the text, whether or not it was written.
        """
        # The rest of a partly written line goes first, so that no line is cut.
        self._send(self._unsent_data)
        if self._unsent_data:
            self.dropped_lines += 1
        else:
            self._send(text.encode("utf-8", "backslashreplace"))
        return len(text)

    def flush(self) -> None:
        """Does nothing; the next write sends unsent data first."""

    def _send(self, data: bytes) -> None:
        self._unsent_data = data
        if not data:
            return
        try:
            sent = os.write(self._descriptor, data)
        except BlockingIOError:
            sent = 0
        except OSError:
            # The reader has closed its end; the data is discarded.
            sent = len(data)
        self._unsent_data = data[sent:]


def make_non_blocking(stream: TextIO) -> TextIO | NonBlockingLogStream:
    """Returns a log stream that can't block the process.

    Args:
      stream: Standard output or standard error of the process.

    Returns:
      A ``NonBlockingLogStream`` for a pipe or socket; the stream itself for a
      terminal or a file.
    """
    try:
        descriptor = stream.fileno()
    except (OSError, ValueError):
        return stream
    mode = os.fstat(descriptor).st_mode
    if stat.S_ISFIFO(mode) or stat.S_ISSOCK(mode):
        return NonBlockingLogStream(descriptor=descriptor)
    return stream

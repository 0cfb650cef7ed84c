"""Event loop of a node: Twisted's epoll reactor without its log context."""

import sys

from twisted.internet import epollreactor
from twisted.internet import main


class NodeReactor(epollreactor.EPollReactor):
    """Reactor that handles ready sockets without a log context.

    Twisted copies and sets a context with the name of the protocol for each
    event, for its own log, which a node doesn't write. ``_doReadOrWrite``
    logs what a protocol raises.
    """

    def doPoll(self, timeout: float | None) -> None:
        """Waits for ready sockets and handles them.

        Args:
          timeout: Longest wait in seconds, or None to wait without limit.
        """
        wait_s = -1 if timeout is None else timeout
        try:
            ready = self._poller.poll(wait_s, len(self._selectables))
        except InterruptedError:
            return
        selectables_by_fd = self._selectables
        handle = self._doReadOrWrite
        for fd, events in ready:
            # A handler of this turn may have closed the socket.
            selectable = selectables_by_fd.get(fd)
            if selectable is not None:
                handle(selectable, fd, events)

    doIteration = doPoll


def install() -> None:
    """Installs the reactor, unless the process has one already."""
    if "twisted.internet.reactor" not in sys.modules:
        main.installReactor(NodeReactor())

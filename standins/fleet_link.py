"""Simulated links between nodes, with fault injection."""

from collections.abc import Callable
import copy
import dataclasses
import itertools

from bergamotdeal.calls import messages
from bergamotdeal.rpc import core as rpc


@dataclasses.dataclass(kw_only=True, slots=True)
class Frame:
    """A frame in flight.

    Attributes:
      source: Host that sent the frame.
      target: Host to which the frame is sent.
      content: A call, a ``SendAnswer`` or the number of a cancelled call.
    """

    source: str
    target: str
    content: rpc.Call | messages.SendAnswer | int


DeliveryRule = Callable[[Frame], list[float]]
"""Maps a frame to the delays of its copies in seconds; no delay drops it."""

LATENCY_S = 0.0005


def deliver_all(_frame: Frame) -> list[float]:
    """Delivers each frame once after the default latency."""
    return [LATENCY_S]


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class Link:
    """A connection between two nodes.

    Attributes:
      link_id: Id of the link at its target.
      origin: Host that opened the connection.
      target: Host that accepted the connection.
      pending: Numbers of the calls that wait for an answer.
      open: Whether the connection is open.
    """

    link_id: int
    origin: str
    target: str
    pending: set[int] = dataclasses.field(default_factory=set)
    open: bool = True


class Links:
    """A set of all links of a simulated fleet.

    Args:
      fleet: Fleet that owns the clock and the nodes.
      deliver: Delivery rule of the frames.

    Attributes:
      deliver: Delivery rule of the frames; may be replaced at any time.
    """

    def __init__(self, *, fleet, deliver: DeliveryRule):
        self.deliver = deliver
        self._fleet = fleet
        self._links_by_endpoints: dict[tuple[str, str], Link] = {}
        self._links_by_id: dict[int, Link] = {}
        self._link_ids = itertools.count(1)
        self._partitioned_pairs: set[frozenset[str]] = set()

    def partition(self, one: str, other: str) -> None:
        """Closes the links between two hosts and prevents new ones."""
        self._partitioned_pairs.add(frozenset({one, other}))
        self._close(one, other)
        self._close(other, one)

    def heal(self, one: str, other: str) -> None:
        """Allows new links between two partitioned hosts."""
        self._partitioned_pairs.discard(frozenset({one, other}))

    def reset(self, origin: str, target: str) -> None:
        """Closes a link; the next call opens a new one."""
        self._close(origin, target)

    def close_all(self, host_id: str) -> None:
        """Closes all links of a host."""
        for origin, target in list(self._links_by_endpoints):
            if host_id in (origin, target):
                self._close(origin, target)

    def send_call(self, origin: str, target: str, call: rpc.Call) -> None:
        """Sends a call frame and opens a link if there is none."""
        link = self._open_link(origin, target)
        if link is None:
            event = messages.DispatchFailed(
                number=call.number, may_have_been_sent=False
            )
            self._fleet.send_event_after(LATENCY_S, origin, event)
            return
        link.pending.add(call.number)
        call = copy.deepcopy(call)
        event = messages.PeerCalled(link_id=link.link_id, call=call)
        frame = Frame(source=origin, target=target, content=call)
        self._transmit(link, frame, target, event)

    def send_cancel(self, origin: str, cancel: messages.SendCancel) -> None:
        """Sends a cancel or withdraw frame."""
        target, number = cancel.host_id, cancel.number
        link = self._links_by_endpoints.get((origin, target))
        if link is None:
            return
        if not cancel.only_waiting:
            link.pending.discard(number)
        event = messages.PeerCancelled(
            link_id=link.link_id,
            number=number,
            only_waiting=cancel.only_waiting,
        )
        frame = Frame(source=origin, target=target, content=number)
        self._transmit(link, frame, target, event)

    def send_answer(self, source: str, answer: messages.SendAnswer) -> None:
        """Sends an answer frame on the link on which its call arrived."""
        link = self._links_by_id.get(answer.link_id)
        if link is None or not link.open:
            return
        frame = Frame(source=source, target=link.origin, content=answer)
        event = messages.PeerAnswered(
            host_id=source,
            number=answer.number,
            user_request_id=answer.user_request_id,
            answer=copy.deepcopy(answer.answer),
        )
        self._transmit(link, frame, link.origin, event)

    def _transmit(
        self, link: Link, frame: Frame, receiver: str, event: messages.Event
    ) -> None:
        for delay_s in self.deliver(frame):
            self._fleet.after(
                delay_s, lambda: self._receive(link, receiver, event)
            )

    def _receive(
        self, link: Link, receiver: str, event: messages.Event
    ) -> None:
        if not link.open:
            return
        if isinstance(event, messages.PeerAnswered):
            link.pending.discard(event.number)
        self._fleet.send_event(receiver, event)

    def _open_link(self, origin: str, target: str) -> Link | None:
        link = self._links_by_endpoints.get((origin, target))
        if link is not None:
            return link
        node = self._fleet.nodes_by_id.get(target)
        if node is None or node.engine is None:
            return None
        if frozenset({origin, target}) in self._partitioned_pairs:
            return None
        link = Link(link_id=next(self._link_ids), origin=origin, target=target)
        self._links_by_endpoints[origin, target] = link
        self._links_by_id[link.link_id] = link
        return link

    def _close(self, origin: str, target: str) -> None:
        """Closes a link and notifies both ends."""
        link = self._links_by_endpoints.pop((origin, target), None)
        if link is None:
            return
        link.open = False
        del self._links_by_id[link.link_id]
        for number in sorted(link.pending):
            event = messages.DispatchFailed(
                number=number, may_have_been_sent=True
            )
            self._fleet.send_event_after(LATENCY_S, origin, event)
        closed = messages.PeerLinkClosed(link_id=link.link_id)
        self._fleet.send_event_after(LATENCY_S, target, closed)

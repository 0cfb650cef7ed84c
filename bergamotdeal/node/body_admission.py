"""Decision for which requests a node has memory."""

from collections.abc import Callable

from bergamotdeal.calls import engine as call_engine
from bergamotdeal.calls import messages
from bergamotdeal.memory import core as memory
from bergamotdeal.node import connection_buffers
from bergamotdeal.rpc import core as rpc
from bergamotdeal.settings import model as settings_model
from bergamotdeal.telemetry import catalogue
from bergamotdeal.telemetry import records

_BYTES_PER_MB = 1024 * 1024


class BodyAdmission:
    """Admission of requests by the memory that their bodies need.

    Attributes:
      memory: Memory of the node for bodies.
      buffers: Counter of the bytes that connections buffer.

    Args:
      body_memory: See the attribute.
      buffers: See the attribute.
      engine: Call engine, which knows the classes of requests.
      record: Takes events for the event log.
    """

    def __init__(
        self,
        *,
        body_memory: memory.BodyMemory,
        buffers: connection_buffers.ConnectionBuffers,
        engine: call_engine.Engine,
        record: Callable[[records.EventRecord], None],
    ) -> None:
        self.memory = body_memory
        self.buffers = buffers
        self._engine = engine
        self._record = record

    def is_short(self, size_bytes: int) -> bool:
        """Returns whether the class of a request decides if it is taken in.

        Args:
          size_bytes: Bytes of the body or of a part of it.
        """
        return not self.memory.has_room(size_bytes, share=memory.LEAST_SHARE)

    def has_room_for_request(
        self, size_bytes: int, arrival: messages.CallArrived | None
    ) -> bool:
        """Returns whether a part of a request's body may be taken in.

        Args:
          size_bytes: Bytes of the part.
          arrival: What is known of the request, or None if it is malformed.
        """
        if not self.is_short(size_bytes):
            return True
        if arrival is None:
            return False
        rank = self._engine.get_arrival_rank(arrival)
        return self._decide(
            size_bytes,
            rank=rank,
            place="arrival",
            user_request_id=arrival.user_request_id,
        )

    def has_room_for_call(self, call: rpc.Call) -> bool:
        """Returns whether the body of another node's call may be held.

        Args:
          call: The call.
        """
        size_bytes = len(call.request.body)
        if not self.is_short(size_bytes):
            return True
        return self._decide(
            size_bytes,
            rank=self._engine.get_call_rank(call),
            place="target",
            user_request_id=call.user_request_id,
        )

    def _decide(
        self, size_bytes: int, *, rank: int, place: str, user_request_id: str
    ) -> bool:
        share = memory.compute_share(rank, self._engine.class_count)
        has_room = self.memory.has_room(size_bytes, share=share)
        if not has_room:
            self._record(
                records.EventRecord(
                    code=catalogue.EventCode.BODY_REFUSED,
                    user_request_id=user_request_id,
                    fields={
                        "place": place,
                        "size": size_bytes,
                        "used": self.memory.used_bytes,
                        "limit": int(share * self.memory.capacity_bytes),
                    },
                )
            )
        return has_room


def build(
    *,
    settings: settings_model.Settings,
    engine: call_engine.Engine,
    reactor,
    record: Callable[[records.EventRecord], None],
) -> BodyAdmission:
    """Builds the admission of a node, which counts the engine's requests.

    Args:
      settings: The node's settings.
      engine: Call engine of the node.
      reactor: The reactor.
      record: Takes events for the event log.
    """
    limit_bytes = settings.memory.limit_mb * _BYTES_PER_MB
    body_memory = memory.BodyMemory(
        capacity_bytes=memory.compute_capacity(limit_bytes)
    )
    body_memory.add_holder(lambda: engine.held_bytes)
    return BodyAdmission(
        body_memory=body_memory,
        buffers=connection_buffers.ConnectionBuffers(
            reactor=reactor, body_memory=body_memory
        ),
        engine=engine,
        record=record,
    )

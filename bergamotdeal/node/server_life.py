"""Which start of the backend server the node hears of.

Heartbeats may be held up and overtake one another, and a server may start
again under the id that it had. So a start is known by its id and time, and
the heartbeats of one start by their numbers.
"""

import dataclasses


@dataclasses.dataclass(kw_only=True, slots=True)
class _Heard:
    """The newest word of a server.

    Attributes:
      server_id: Its id.
      instance: Name of this start.
      born: Time of the start in Unix milliseconds, -1 while unknown.
      sequence: Number of the heartbeat, -1 while there was none.
    """

    server_id: str
    instance: str
    born: int = -1
    sequence: int = -1


class ServerInstanceTracker:
    """The start of the server that was heard of last."""

    def __init__(self) -> None:
        self._heard: _Heard | None = None

    def record_heartbeat(
        self, server_id: str, *, born: int, sequence: int
    ) -> str | None:
        """Takes a heartbeat.

        Args:
          server_id: Id of the server.
          born: Time of its start, Unix milliseconds.
          sequence: Number of the heartbeat since that start.

        Returns:
          Name of the start, or None when something newer was heard.
        """
        known = self._heard
        if known is not None and (born, sequence) <= (
            known.born,
            known.sequence,
        ):
            return None
        instance = f"{server_id}/{born}"
        is_same = known is not None and known.server_id == server_id
        if is_same and known.born in (-1, born):
            instance = known.instance
        self._heard = _Heard(
            server_id=server_id,
            instance=instance,
            born=born,
            sequence=sequence,
        )
        return instance

    def record_health_check(self, server_id: str) -> str | None:
        """Takes the server's answer to a question of the node.

        Args:
          server_id: Id of the server that answered.

        Returns:
          Name of the start, or None when a heartbeat has told more.
        """
        if self._heard is not None:
            return None
        self._heard = _Heard(server_id=server_id, instance=server_id)
        return server_id

    def find_instance(self, server_id: str) -> str | None:
        """Returns the name of the start that leaves, None if it is unknown."""
        known = self._heard
        if known is None or known.server_id != server_id:
            return None
        return known.instance

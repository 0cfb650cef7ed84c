"""Tracking of the instances of the backend server.

Heartbeats may be delayed and reordered, and a server may restart under the
same id. Therefore an instance, one start of a server, is identified by server
id and start time, and the heartbeats of an instance are ordered by sequence
number.
"""

import msgspec


class _TrackedInstance(msgspec.Struct, kw_only=True):
    """Instance that the latest information is about.

    Attributes:
      server_id: Id of the server.
      instance: Name of the instance.
      born: Start time in Unix milliseconds, -1 while unknown.
      sequence: Sequence number of the latest heartbeat, -1 before the first.
    """

    server_id: str
    instance: str
    born: int = -1
    sequence: int = -1


class ServerInstanceTracker:
    """Tracker of the backend server's latest known instance."""

    def __init__(self) -> None:
        self._tracked: _TrackedInstance | None = None

    def record_heartbeat(
        self, server_id: str, *, born: int, sequence: int
    ) -> str | None:
        """Records a heartbeat.

        Args:
          server_id: Id of the server.
          born: Start time of the server in Unix milliseconds.
          sequence: Sequence number of the heartbeat since that start.

        Returns:
          The name of the instance, or None if the heartbeat is outdated.
        """
        known = self._tracked
        if known is not None and (born, sequence) <= (
            known.born,
            known.sequence,
        ):
            return None
        instance = f"{server_id}/{born}"
        is_same_server = known is not None and known.server_id == server_id
        if is_same_server and known.born in (-1, born):
            instance = known.instance
        self._tracked = _TrackedInstance(
            server_id=server_id,
            instance=instance,
            born=born,
            sequence=sequence,
        )
        return instance

    def record_health_check(self, server_id: str) -> str | None:
        """Records the server's answer to a health check by the node.

        Args:
          server_id: Id of the server that answered.

        Returns:
          The name of the instance, or None if an instance is already known.
        """
        if self._tracked is not None:
            return None
        self._tracked = _TrackedInstance(
            server_id=server_id, instance=server_id
        )
        return server_id

    def find_instance(self, server_id: str) -> str | None:
        """Returns the name of the tracked instance of a server.

        Args:
          server_id: Id of the server.

        Returns:
          The name, or None if another server or none is tracked.
        """
        known = self._tracked
        if known is None or known.server_id != server_id:
            return None
        return known.instance

"""Tracking of the instances of the backend server.

Heartbeats may be delayed and reordered, and a server may restart under the
same id. Therefore an instance, one start of a server, is identified by server
id and start time, and the heartbeats of an instance are ordered by sequence
number.

A heartbeat alone doesn't prove that its sender still runs: it may be a delayed
one of a server that has left, or come from another writer. An instance is
therefore a candidate until it is confirmed, and candidates don't affect the
confirmed instance.
"""

import collections

import msgspec

MAX_CANDIDATES = 8
MAX_DEPARTED = 32

_UNKNOWN = -1


class _TrackedInstance(msgspec.Struct, kw_only=True):
    """Instance and the latest information about it.

    Attributes:
      server_id: Id of the server.
      instance: Name of the instance.
      born: Start time in Unix milliseconds, -1 while unknown.
      sequence: Sequence number of the latest heartbeat, -1 before the first.
    """

    server_id: str
    instance: str
    born: int = _UNKNOWN
    sequence: int = _UNKNOWN

    def record_heartbeat(self, *, born: int, sequence: int) -> str | None:
        """Returns the instance's name, or None for an outdated heartbeat."""
        if self.born == born and sequence <= self.sequence:
            return None
        self.born, self.sequence = born, sequence
        return self.instance


class ServerInstanceTracker:
    """Tracker of the instances of the backend server."""

    def __init__(self) -> None:
        self._confirmed: _TrackedInstance | None = None
        self._forgotten: _TrackedInstance | None = None
        self._candidates_by_id: collections.OrderedDict[
            str, _TrackedInstance
        ] = collections.OrderedDict()
        self._departed_instances: collections.deque[str] = collections.deque(
            maxlen=MAX_DEPARTED
        )

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
        confirmed = self._confirmed
        if confirmed is not None and born < confirmed.born:
            return None
        tracked = confirmed
        if confirmed is None or not self._is_same_start(
            confirmed, server_id, born
        ):
            tracked = self._find_candidate(server_id, born)
        if tracked is None:
            return None
        return tracked.record_heartbeat(born=born, sequence=sequence)

    def record_health_check(self, server_id: str) -> str | None:
        """Records that a health check found a server that is available.

        Args:
          server_id: Id of the server that answered.

        Returns:
          The name of the instance, or None if another one is confirmed.
        """
        if self._confirmed is not None:
            return None
        self._confirmed = _TrackedInstance(
            server_id=server_id, instance=server_id
        )
        return server_id

    def record_departure(
        self, server_id: str, *, born: int | None = None
    ) -> str | None:
        """Records that a server says it leaves.

        Args:
          server_id: Id of the server.
          born: Start time of the server in Unix milliseconds, or None if the
            server did not say it.

        Returns:
          The name of the instance that leaves, or None if it is not known.
        """
        instances = self._find_departing_instances(server_id, born)
        for instance in instances:
            if instance not in self._departed_instances:
                self._departed_instances.append(instance)
        return instances[0] if instances else None

    def has_departed(self, instance: str) -> bool:
        """Returns whether an instance has said that it leaves.

        Args:
          instance: Name of the instance.
        """
        return instance in self._departed_instances

    def is_confirmed(self, instance: str) -> bool:
        """Returns whether an instance is the confirmed one.

        Args:
          instance: Name of the instance.
        """
        confirmed = self._confirmed
        return confirmed is not None and confirmed.instance == instance

    def confirm(self, instance: str) -> None:
        """Replaces the confirmed instance by a candidate.

        Args:
          instance: Name of the candidate; another name has no effect.
        """
        for candidate in self._candidates_by_id.values():
            if candidate.instance == instance:
                self._confirmed = candidate
                del self._candidates_by_id[candidate.server_id]
                return

    def forget_confirmed(self) -> None:
        """Forgets the confirmed instance, which has fallen silent.

        It keeps its name if it is heard again.
        """
        if self._confirmed is not None:
            self._forgotten = self._confirmed
        self._confirmed = None

    def find_instance(self, server_id: str) -> str | None:
        """Returns the name of the latest known instance of a server.

        Args:
          server_id: Id of the server.

        Returns:
          The name, or None if the server is not known.
        """
        known = self._candidates_by_id.get(server_id)
        if known is None and self._confirmed is not None:
            known = self._confirmed
        if known is None or known.server_id != server_id:
            return None
        return known.instance

    def _is_same_start(
        self, confirmed: _TrackedInstance, server_id: str, born: int
    ) -> bool:
        if confirmed.server_id != server_id:
            return False
        if confirmed.born == _UNKNOWN:
            # A start after the departure can't be told from the departed one.
            return not self.has_departed(confirmed.instance)
        return confirmed.born == born

    def _find_candidate(
        self, server_id: str, born: int
    ) -> _TrackedInstance | None:
        """Returns the candidate of a start, or None for an outdated start."""
        known = self._candidates_by_id.get(server_id)
        if known is not None and born <= known.born:
            return known if born == known.born else None
        candidate = _TrackedInstance(
            server_id=server_id, instance=self._name_candidate(server_id, born)
        )
        self._candidates_by_id[server_id] = candidate
        self._candidates_by_id.move_to_end(server_id)
        if len(self._candidates_by_id) > MAX_CANDIDATES:
            self._candidates_by_id.popitem(last=False)
        return candidate

    def _name_candidate(self, server_id: str, born: int) -> str:
        forgotten = self._forgotten
        if forgotten is not None and (forgotten.server_id, forgotten.born) == (
            server_id,
            born,
        ):
            return forgotten.instance
        return _name_instance(server_id, born)

    def _find_departing_instances(
        self, server_id: str, born: int | None
    ) -> list[str]:
        """Returns the instances that leave, the confirmed one first."""
        confirmed = self._confirmed
        if born is None:
            candidate = self._candidates_by_id.get(server_id)
            return [
                known.instance
                for known in (confirmed, candidate)
                if known is not None and known.server_id == server_id
            ]
        # Also one whose heartbeats are still to come, delayed.
        leaving = _name_instance(server_id, born)
        if confirmed is None or confirmed.server_id != server_id:
            return [leaving]
        if confirmed.born in (born, _UNKNOWN):
            confirmed.born = born
            return [confirmed.instance]
        if confirmed.born < born:
            # The later start has ended the confirmed one. A delayed heartbeat
            # may have told its start time as that of the server that answered
            # the health check.
            return [confirmed.instance, leaving]
        return [leaving]


def _name_instance(server_id: str, born: int) -> str:
    return f"{server_id}/{born}"

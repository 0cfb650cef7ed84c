"""Search for live hosts among those that the registry lists.

A registry may list many hosts that are gone. The hosts of a first small batch
are contacted at once; while fewer than half of a batch become known, the next
batch is twice as large. In a fleet whose hosts live, a few contacts are enough
at any size.
"""

import random

import msgspec

from bergamotdeal.membership import registry

FIRST_LOCAL_CONTACTS = 5
"""Hosts of this data centre in the first batch. Each one introduces all the
members that it knows."""

FIRST_REMOTE_CONTACTS = 3
"""Hosts of other data centres in the first batch."""

_GROWTH = 2
_RECENT_INTERVAL = 4
"""One host in so many is drawn among those with recent entries."""


class Candidate(msgspec.Struct, frozen=True, kw_only=True):
    """Listed host that is not a known member.

    Attributes:
      entry: Its registry entry.
      version: Version of the entry.
    """

    entry: registry.Entry
    version: int


class ContactSearch:
    """Choice of the hosts to contact after one listing.

    Args:
      candidates_by_host: Unknown hosts that may be contacted, by host id.
      data_centre: Data centre of this node.
      rng: Random source.
    """

    def __init__(
        self,
        *,
        candidates_by_host: dict[str, Candidate],
        data_centre: str,
        rng: random.Random,
    ) -> None:
        self._rng = rng
        newest_first = sorted(
            candidates_by_host,
            key=lambda host_id: candidates_by_host[host_id].version,
            reverse=True,
        )
        self._local: list[str] = []
        self._remote: list[str] = []
        for host_id in newest_first:
            entry = candidates_by_host[host_id].entry
            is_local = entry.data_centre == data_centre
            (self._local if is_local else self._remote).append(host_id)
        self._batch: list[str] = []
        self._factor = 1

    def next_batch(self, known_ids: set[str]) -> list[str]:
        """Returns the hosts to contact now, none if the search is over.

        Args:
          known_ids: Host ids of the known members.
        """
        unanswered = [host for host in self._batch if host not in known_ids]
        if self._batch and 2 * len(unanswered) <= len(self._batch):
            return []
        self._local = [host for host in self._local if host not in known_ids]
        self._remote = [host for host in self._remote if host not in known_ids]
        factor = self._factor
        self._factor *= _GROWTH
        self._batch = self._take(self._local, FIRST_LOCAL_CONTACTS * factor)
        self._batch += self._take(self._remote, FIRST_REMOTE_CONTACTS * factor)
        return self._batch

    def _take(self, newest_first: list[str], count: int) -> list[str]:
        """Removes some hosts, a part of which has recent entries.

        Entries of hosts that are gone are older than those of hosts that came
        after them. The recent ones are drawn evenly over the logarithm of their
        rank, so that the newest are not contacted by the whole fleet.
        """
        taken: list[str] = []
        for index in range(min(count, len(newest_first))):
            length = len(newest_first)
            if index % _RECENT_INTERVAL:
                rank = self._rng.randrange(length)
            else:
                rank = min(int(length ** self._rng.random()), length) - 1
            taken.append(newest_first.pop(rank))
        return taken

"""Choice of gossip partners that keeps most traffic within a data centre.

Links between data centres are slower and cost more than those inside one. A
rumour spreads within a data centre through its own nodes and needs only a few
transmissions to reach the others.
"""

from collections.abc import Iterable
import random
import typing

from bergamotdeal.membership import view

REMOTE_GOSSIP_SHARE = 0.12
"""Share of the rumours that are sent to other data centres. With 40 nodes in a
data centre, some five of them pass a rumour on within one gossip round."""

REMOTE_PROBE_SHARE = 0.25
"""Share of the probes that go to other data centres, whose members are probed
mostly by their neighbours."""

REMOTE_SYNC_SHARE = 0.12
"""Share of the syncs with members in other data centres."""

T = typing.TypeVar("T")


class PartnerChooser:
    """Chooser of random partners by data centre.

    Args:
      rng: Random source.
      data_centre: Data centre of this node.
    """

    def __init__(self, *, rng: random.Random, data_centre: str) -> None:
        self._rng = rng
        self._data_centre = data_centre

    def split(
        self, entries: Iterable[view.Entry]
    ) -> tuple[list[view.Entry], list[view.Entry]]:
        """Returns the entries in this data centre and those in others.

        Args:
          entries: Entries of other members.
        """
        local: list[view.Entry] = []
        remote: list[view.Entry] = []
        for entry in entries:
            is_local = entry.record.data_centre == self._data_centre
            (local if is_local else remote).append(entry)
        return local, remote

    def sample(
        self, entries: Iterable[view.Entry], count: int, remote_share: float
    ) -> list[view.Entry]:
        """Chooses distinct partners.

        Args:
          entries: Entries of other members.
          count: Maximum number of partners.
          remote_share: Average share of partners in other data centres; it is
            higher if this data centre has too few members.
        """
        local, remote = self.split(entries)
        remote_count = sum(
            self._rng.random() < remote_share for _ in range(count)
        )
        remote_count = max(remote_count, count - len(local))
        remote_count = min(remote_count, len(remote))
        local_count = min(len(local), count - remote_count)
        return self._rng.sample(remote, remote_count) + self._rng.sample(
            local, local_count
        )

    def prefers_remote(
        self, local: list[T], remote: list[T], remote_share: float
    ) -> bool:
        """Returns whether the next partner is in another data centre.

        Args:
          local: Candidates in this data centre.
          remote: Candidates in other data centres.
          remote_share: Share of remote partners if there are both.
        """
        if not local or not remote:
            return bool(remote)
        return self._rng.random() < remote_share

"""Whom to contact first, and with whom to compare views."""

import random

from bergamotdeal.membership import core
from bergamotdeal.membership import messages
from bergamotdeal.membership import view

SYNC_INTERVAL_S = 15.0
SYNC_RETRY_S = 1.0
SEED_INTERVAL_S = 1.0
MAX_SEEDS = 64
"""Addresses kept; the registry lists every node, and the newest suffice."""
_SHARE_OF_SYNCS_BEYOND_LIVE = 0.1

Health = messages.Health


class Contacts:
    """Seeds and the times of first contact and anti-entropy.

    Args:
      rng: Random source.
      now: Monotonic seconds.
    """

    def __init__(self, *, rng: random.Random, now: float) -> None:
        self._rng = rng
        self._seeds: tuple[messages.Endpoint, ...] = ()
        self._next_seed = now
        self._sync_interval_s = SYNC_RETRY_S
        self.next_sync = now + SYNC_RETRY_S

    def add_seeds(
        self, seeds: tuple[messages.Endpoint, ...], now: float
    ) -> None:
        """Adds addresses, which are to be contacted at once."""
        merged = tuple(dict.fromkeys(self._seeds + seeds))
        self._seeds = merged[-MAX_SEEDS:]
        self._next_seed = now

    def due_seeds(
        self, own_record: core.Member, now: float
    ) -> tuple[messages.Endpoint, ...]:
        """Returns the seeds to contact now.

        Args:
          own_record: This node's record.
          now: Monotonic seconds.
        """
        if now < self._next_seed:
            return ()
        self._next_seed = now + SEED_INTERVAL_S
        return self._other_seeds(own_record)

    def sync_due(self, now: float) -> bool:
        """Returns whether to compare views now, and sets the next time."""
        if now < self.next_sync:
            return False
        self._set_next_sync(now)
        return True

    def sync_answered(self, now: float) -> None:
        """Makes comparisons rarer step by step, after a join."""
        self._sync_interval_s = min(2 * self._sync_interval_s, SYNC_INTERVAL_S)
        self._set_next_sync(now)

    def sync_again(self, now: float) -> None:
        """Makes comparisons frequent again; the last was not enough."""
        self._sync_interval_s = SYNC_RETRY_S
        self._set_next_sync(now)

    def _set_next_sync(self, now: float) -> None:
        jitter = 0.5 + self._rng.random()
        self.next_sync = now + jitter * self._sync_interval_s

    def sync_soon(self, now: float) -> None:
        """Makes the next comparison due at once."""
        self.next_sync = now

    def sync_partner(self, known: view.View) -> messages.Endpoint | None:
        """Chooses whom to compare views with.

        Mostly a live member; at times a suspect or dead one or a seed, so
        that parts of the fleet that evicted each other meet again.

        Args:
          known: This node's view.
        """
        live = [e.record for e in known.others(worst=Health.ALIVE)]
        silent = [
            e.record
            for e in known.others(worst=Health.DEAD)
            if e.health is not Health.ALIVE
        ]
        beyond = list(self._other_seeds(known.own_record))
        beyond.extend(endpoint_of(record) for record in silent)
        seldom = self._rng.random() < _SHARE_OF_SYNCS_BEYOND_LIVE
        if beyond and (seldom or not live):
            return self._rng.choice(beyond)
        return endpoint_of(self._rng.choice(live)) if live else None

    def _other_seeds(
        self, own_record: core.Member
    ) -> tuple[messages.Endpoint, ...]:
        own_endpoint = endpoint_of(own_record)
        return tuple(seed for seed in self._seeds if seed != own_endpoint)


def endpoint_of(member: core.Member) -> messages.Endpoint:
    """Returns the address of a member's peer face."""
    return messages.Endpoint(address=member.address, port=member.peer_port)

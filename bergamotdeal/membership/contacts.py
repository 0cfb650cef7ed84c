"""Schedule of seed contacts and anti-entropy, and choice of the partners."""

import random

from bergamotdeal.membership import core
from bergamotdeal.membership import messages
from bergamotdeal.membership import partners
from bergamotdeal.membership import view

SYNC_INTERVAL_MAX_S = 15.0
SYNC_INTERVAL_MIN_S = 0.15
"""Interval while views differ much, as when the whole fleet starts. Each sync
merges two views, so that all nodes know the fleet after a few intervals."""

FAILED_SYNC_INTERVAL_S = 1.0
SEED_INTERVAL_S = 1.0
MAX_SEEDS = 64
"""Maximum number of seed addresses to keep.

The registry lists every node of the fleet; the most recently added addresses
are enough to join.
"""
_NON_LIVE_SYNC_SHARE = 0.1

Health = messages.Health


class ContactSchedule:
    """Seed addresses and the times of the next seed contact and sync.

    A sync is one anti-entropy exchange with another node.

    Args:
      rng: Random source of jitter and partner choice.
      now: Current time in monotonic seconds.
      partner_chooser: Chooser between this data centre and the others.

    Attributes:
      next_sync_at: Time of the next sync in monotonic seconds.
    """

    def __init__(
        self,
        *,
        rng: random.Random,
        now: float,
        partner_chooser: partners.PartnerChooser,
    ) -> None:
        self._rng = rng
        self._partners = partner_chooser
        self._seeds: tuple[messages.Endpoint, ...] = ()
        self._next_seed_contact_at = now
        self._sync_interval_s = SYNC_INTERVAL_MIN_S
        self.next_sync_at = now + SYNC_INTERVAL_MIN_S

    def add_seeds(
        self,
        seeds: tuple[messages.Endpoint, ...],
        own_record: core.Member,
        now: float,
    ) -> tuple[messages.Endpoint, ...]:
        """Adds seed addresses, which are to be contacted immediately.

        Args:
          seeds: Addresses to add.
          own_record: This node's record.
          now: Current time in monotonic seconds.

        Returns:
          The addresses to contact, which are those of other nodes.
        """
        own_endpoint = get_peer_endpoint(own_record)
        others = tuple(seed for seed in seeds if seed != own_endpoint)
        merged = tuple(dict.fromkeys(self._seeds + others))
        self._seeds = merged[-MAX_SEEDS:]
        self._next_seed_contact_at = now + SEED_INTERVAL_S
        return others

    def take_due_seeds(self, now: float) -> tuple[messages.Endpoint, ...]:
        """Returns the seeds to contact now and schedules the next contact.

        Args:
          now: Current time in monotonic seconds.

        Returns:
          All seeds, or nothing before the contact is due.
        """
        if now < self._next_seed_contact_at:
            return ()
        self._next_seed_contact_at = now + SEED_INTERVAL_S
        return self._seeds

    def take_due_sync(self, now: float) -> bool:
        """Returns whether a sync is due and, if so, schedules the next one.

        Args:
          now: Current time in monotonic seconds.
        """
        if now < self.next_sync_at:
            return False
        self._schedule_next_sync(now)
        return True

    def lengthen_sync_interval(self, now: float) -> None:
        """Doubles the sync interval up to its maximum after a sync.

        Args:
          now: Current time in monotonic seconds.
        """
        self._sync_interval_s = min(
            2 * self._sync_interval_s, SYNC_INTERVAL_MAX_S
        )
        self._schedule_next_sync(now)

    def reset_sync_interval(self, now: float) -> None:
        """Resets the sync interval to its minimum, as the views differ much.

        Args:
          now: Current time in monotonic seconds.
        """
        self._sync_interval_s = SYNC_INTERVAL_MIN_S
        self._schedule_next_sync(now)

    def handle_sync_failure(self, now: float) -> None:
        """Schedules the sync after one whose partner has not answered.

        Args:
          now: Current time in monotonic seconds.
        """
        self._sync_interval_s = FAILED_SYNC_INTERVAL_S
        self._schedule_next_sync(now)

    def _schedule_next_sync(self, now: float) -> None:
        jitter = 0.5 + self._rng.random()
        self.next_sync_at = now + jitter * self._sync_interval_s

    def schedule_sync_now(self, now: float) -> None:
        """Makes the next sync due immediately.

        Args:
          now: Current time in monotonic seconds.
        """
        self.next_sync_at = now

    def choose_sync_partner(
        self, own_view: view.View
    ) -> messages.Endpoint | None:
        """Chooses the partner of the next sync.

        The partner is usually a live member. A share of the syncs goes to a
        suspect or dead member or to a seed, so that parts of the fleet that
        evicted each other during a partition merge again.

        Args:
          own_view: This node's view.

        Returns:
          The partner's address, or None if there is no candidate.
        """
        local, remote = self._partners.split(
            own_view.list_others(worst=Health.ALIVE)
        )
        suspect_or_dead = [
            e.record
            for e in own_view.list_others(worst=Health.DEAD)
            if e.health is not Health.ALIVE
        ]
        non_live = list(self._seeds)
        non_live.extend(get_peer_endpoint(record) for record in suspect_or_dead)
        picks_non_live = self._rng.random() < _NON_LIVE_SYNC_SHARE
        if non_live and (picks_non_live or not (local or remote)):
            return self._rng.choice(non_live)
        is_remote = self._partners.prefers_remote(
            local, remote, partners.REMOTE_SYNC_SHARE
        )
        live = remote if is_remote else local
        return (
            get_peer_endpoint(self._rng.choice(live).record) if live else None
        )


def get_peer_endpoint(member: core.Member) -> messages.Endpoint:
    """Returns the address of a member's peer interface."""
    return messages.Endpoint(address=member.address, port=member.peer_port)

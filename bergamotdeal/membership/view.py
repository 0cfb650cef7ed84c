"""A node's view of the fleet and the merge rules of its entries.

Competing entries of a member are ordered by (state number, health,
incarnation). A member raises its state number with each change of its record,
so records that are merged in any order and any number of times result in the
same view. A new incarnation takes its first state number from the wall clock
in milliseconds. If that is lower than the number of an older incarnation, the
member raises it above that number as soon as it receives the older record.
"""

import hashlib

import msgspec

from bergamotdeal.membership import core
from bergamotdeal.membership import messages

BUCKET_COUNT = 64
"""Number of buckets whose digests are compared in anti-entropy."""

Health = messages.Health


class Entry(msgspec.Struct, kw_only=True):
    """The view's entry of one member.

    Attributes:
      record: The member's record with the highest state number.
      health: Health of the member as detected by other nodes.
      changed_at: Time of the last change of health, in monotonic seconds.
    """

    record: core.Member
    health: Health
    changed_at: float

    def precedence(self) -> tuple[int, Health, str]:
        """Returns the sort key of competing entries; the highest wins."""
        record = self.record
        return (record.state_number, self.health, record.incarnation)


class View:
    """The members that a node knows, including itself.

    Args:
      own_record: This node's record.
      now: Current time in monotonic seconds.
    """

    def __init__(self, *, own_record: core.Member, now: float) -> None:
        self._entries_by_id: dict[str, Entry] = {}
        self._digests = [0] * BUCKET_COUNT
        self._own_id = own_record.host_id
        self._put(own_record, Health.ALIVE, now)

    def __len__(self) -> int:
        return len(self._entries_by_id)

    @property
    def own_record(self) -> core.Member:
        """This node's record."""
        return self._entries_by_id[self._own_id].record

    @property
    def digests(self) -> tuple[int, ...]:
        """Digest of each bucket over its members that are not dead."""
        return tuple(self._digests)

    def entry(self, host_id: str) -> Entry | None:
        """Returns the entry of a member, or None."""
        return self._entries_by_id.get(host_id)

    def list_others(self, *, worst: Health = Health.SUSPECT) -> list[Entry]:
        """Returns the entries of other members.

        Args:
          worst: Worst health to include.
        """
        return [
            entry
            for host_id, entry in self._entries_by_id.items()
            if host_id != self._own_id and entry.health <= worst
        ]

    def list_dead_since(self, since: float) -> list[core.Member]:
        """Returns the records of the members that died after a time.

        Args:
          since: The time in monotonic seconds.
        """
        return [
            entry.record
            for entry in self.list_others(worst=Health.DEAD)
            if entry.health is Health.DEAD and entry.changed_at > since
        ]

    def member(self, host_id: str) -> core.Member:
        """Returns a known member with its state in this view."""
        return _apply_health(self._entries_by_id[host_id])

    def members_by_id(self) -> dict[str, core.Member]:
        """Returns every known member with its state in this view."""
        return {
            host_id: _apply_health(entry)
            for host_id, entry in self._entries_by_id.items()
        }

    def set_own_record(self, own_record: core.Member, now: float) -> None:
        """Replaces this node's record."""
        self._put(own_record, Health.ALIVE, now)

    def merge_record(
        self, record: core.Member, health: Health, now: float
    ) -> bool:
        """Merges another member's record.

        Args:
          record: The record as the member announced it.
          health: Health in the view of the node that sent the record.
          now: Current time in monotonic seconds.

        Returns:
          Whether the view changed.
        """
        if record.host_id == self._own_id:
            return False
        if record.state is core.MemberState.DEAD:
            health = Health.DEAD
        known = self._entries_by_id.get(record.host_id)
        if known is None:
            if health is Health.DEAD:
                return False
            self._put(record, health, now)
            return True
        offered = Entry(record=record, health=health, changed_at=now)
        if offered.precedence() <= known.precedence():
            return False
        self._put(record, health, now)
        return True

    def merge_verdict(
        self, verdict: messages.VerdictRumour, now: float
    ) -> bool:
        """Merges a verdict on another member.

        Args:
          verdict: The verdict.
          now: Current time in monotonic seconds.

        Returns:
          Whether the view changed.
        """
        known = self._entries_by_id.get(verdict.host_id)
        if known is None or verdict.host_id == self._own_id:
            return False
        record = known.record
        if record.incarnation != verdict.incarnation:
            return False
        if verdict.state_number < record.state_number:
            return False
        if verdict.health <= known.health:
            return False
        self._put(record, verdict.health, now)
        return True

    def forget(self, host_id: str) -> None:
        """Removes a member."""
        entry = self._entries_by_id.pop(host_id)
        self._toggle_digest(entry)

    def list_entries_in(
        self, buckets: tuple[int, ...]
    ) -> tuple[messages.KnownMember, ...]:
        """Returns all entries in the given buckets, including dead members.

        Args:
          buckets: Numbers of the buckets.
        """
        wanted = set(buckets)
        return tuple(
            messages.KnownMember(member=entry.record, health=entry.health)
            for host_id, entry in self._entries_by_id.items()
            if compute_bucket(host_id) in wanted
        )

    def find_differing_buckets(
        self, digests: tuple[int, ...]
    ) -> tuple[int, ...]:
        """Returns the numbers of the buckets whose digests differ.

        Args:
          digests: Digests of all buckets of another view.
        """
        return tuple(
            bucket
            for bucket, own in enumerate(self._digests)
            if bucket >= len(digests) or digests[bucket] != own
        )

    def _put(self, record: core.Member, health: Health, now: float) -> None:
        old = self._entries_by_id.get(record.host_id)
        if old is not None:
            self._toggle_digest(old)
        entry = Entry(record=record, health=health, changed_at=now)
        if old is not None and old.health is health:
            entry.changed_at = old.changed_at
        self._entries_by_id[record.host_id] = entry
        self._toggle_digest(entry)

    def _toggle_digest(self, entry: Entry) -> None:
        """Adds an entry to its bucket's digest, or removes it, by XOR."""
        if entry.health is Health.DEAD:
            return
        record = entry.record
        text = f"{record.host_id} {record.incarnation} {record.state_number}"
        digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
        bucket = compute_bucket(record.host_id)
        self._digests[bucket] ^= int.from_bytes(digest)


def compute_bucket(host_id: str) -> int:
    """Returns the number of the bucket that a member belongs to."""
    return hashlib.blake2b(host_id.encode(), digest_size=1).digest()[0] % (
        BUCKET_COUNT
    )


def _apply_health(entry: Entry) -> core.Member:
    record = entry.record
    match entry.health:
        case Health.DEAD:
            state = core.MemberState.DEAD
        case Health.SUSPECT if record.state is core.MemberState.ALIVE:
            state = core.MemberState.SUSPECT
        case _:
            return record
    return msgspec.structs.replace(record, state=state)

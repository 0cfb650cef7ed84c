"""One node's view of the fleet and the rules by which it changes.

Each entry is ordered by (state number, health, incarnation). A member raises
its state number with each change of its own record, so that records merged in
any order and any number of times end in the same view. A new incarnation
starts from the wall clock in milliseconds; should that lie behind an older
incarnation's number, the member raises its number above it as soon as it hears
of it.
"""

import dataclasses
import hashlib

from bergamotdeal.membership import core
from bergamotdeal.membership import messages

BUCKETS = 64
"""Parts of the view that are compared by digest in anti-entropy."""

Health = messages.Health


@dataclasses.dataclass(kw_only=True, slots=True)
class Entry:
    """What this node knows about one member.

    Attributes:
      record: The member's own record with the highest state number.
      health: Health by the judgement of other nodes.
      changed: Monotonic seconds of the last change of health.
    """

    record: core.Member
    health: Health
    changed: float

    def order(self) -> tuple[int, Health, str]:
        """Returns the key by which competing entries are compared."""
        record = self.record
        return (record.state_number, self.health, record.incarnation)


class View:
    """The members that a node knows, itself included.

    Args:
      own_record: This node's record.
      now: Monotonic seconds.
    """

    def __init__(self, *, own_record: core.Member, now: float) -> None:
        self._entries_by_id: dict[str, Entry] = {}
        self._digests = [0] * BUCKETS
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
        """Digests of the buckets over all members that are not dead."""
        return tuple(self._digests)

    def entry(self, host_id: str) -> Entry | None:
        """Returns the entry of a member, or None."""
        return self._entries_by_id.get(host_id)

    def others(self, *, worst: Health = Health.SUSPECT) -> list[Entry]:
        """Returns the entries of other members.

        Args:
          worst: Worst health to include.
        """
        return [
            entry
            for host_id, entry in self._entries_by_id.items()
            if host_id != self._own_id and entry.health <= worst
        ]

    def member(self, host_id: str) -> core.Member:
        """Returns a known member with its state in this view."""
        return _with_state(self._entries_by_id[host_id])

    def members_by_id(self) -> dict[str, core.Member]:
        """Returns every known member with its state in this view."""
        return {
            host_id: _with_state(entry)
            for host_id, entry in self._entries_by_id.items()
        }

    def set_own_record(self, own_record: core.Member, now: float) -> None:
        """Replaces this node's record."""
        self._put(own_record, Health.ALIVE, now)

    def merge_record(
        self, record: core.Member, health: Health, now: float
    ) -> bool:
        """Takes in another member's record.

        Args:
          record: The record as the member announced it.
          health: Health in the view of the node that sent the record.
          now: Monotonic seconds.

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
        offered = Entry(record=record, health=health, changed=now)
        if offered.order() <= known.order():
            return False
        self._put(record, health, now)
        return True

    def merge_verdict(
        self, verdict: messages.VerdictRumour, now: float
    ) -> bool:
        """Takes in a judgement of another member.

        Args:
          verdict: The judgement.
          now: Monotonic seconds.

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
        self._toggle(entry)

    def entries_in(
        self, buckets: tuple[int, ...]
    ) -> tuple[messages.KnownMember, ...]:
        """Returns all entries, dead ones too, of some buckets.

        Args:
          buckets: Numbers of the buckets.
        """
        wanted = set(buckets)
        return tuple(
            messages.KnownMember(member=entry.record, health=entry.health)
            for host_id, entry in self._entries_by_id.items()
            if bucket_of(host_id) in wanted
        )

    def differing(self, digests: tuple[int, ...]) -> tuple[int, ...]:
        """Returns the numbers of the buckets whose digests differ.

        Args:
          digests: Digests of another view.
        """
        return tuple(
            bucket
            for bucket, own in enumerate(self._digests)
            if bucket >= len(digests) or digests[bucket] != own
        )

    def _put(self, record: core.Member, health: Health, now: float) -> None:
        old = self._entries_by_id.get(record.host_id)
        if old is not None:
            self._toggle(old)
        entry = Entry(record=record, health=health, changed=now)
        if old is not None and old.health is health:
            entry.changed = old.changed
        self._entries_by_id[record.host_id] = entry
        self._toggle(entry)

    def _toggle(self, entry: Entry) -> None:
        """Adds an entry to its bucket's digest, or takes it out again."""
        if entry.health is Health.DEAD:
            return
        record = entry.record
        text = f"{record.host_id} {record.incarnation} {record.state_number}"
        digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
        bucket = bucket_of(record.host_id)
        self._digests[bucket] ^= int.from_bytes(digest)


def bucket_of(host_id: str) -> int:
    """Returns the number of the bucket that a member belongs to."""
    return hashlib.blake2b(host_id.encode(), digest_size=1).digest()[0] % (
        BUCKETS
    )


def _with_state(entry: Entry) -> core.Member:
    record = entry.record
    match entry.health:
        case Health.DEAD:
            state = core.MemberState.DEAD
        case Health.SUSPECT if record.state is core.MemberState.ALIVE:
            state = core.MemberState.SUSPECT
        case _:
            return record
    return dataclasses.replace(record, state=state)

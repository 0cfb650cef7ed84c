"""The rumours that a node still passes on, and the bytes they may take.

Each rumour is sent a number of times that grows with the logarithm of the
fleet, as in SWIM (Das, Gupta, Motivala, 2002): least often sent ones first,
and the newest first among those.
"""

import dataclasses
import math

from bergamotdeal.membership import core
from bergamotdeal.membership import messages

MAX_DATAGRAM_BYTES = 1200
MAX_QUEUED_RUMOURS = 4096
SPREAD_BYTES_PER_S = 8_000.0
SPREAD_BURST_BYTES = 24_000.0

_SENDS_PER_LOG = 2
_SENDS_BASE = 6
_WORD_BYTES = 8
_MAC_BYTES = 16
_ENVELOPE_BYTES = 112
_RUMOUR_BYTES = 16
_MEMBER_FIXED_BYTES = 88
_VERDICT_FIXED_BYTES = 40
_CRASH_FIXED_BYTES = 24


def _text_bytes(text: str) -> int:
    length = len(text.encode()) + 1
    return -(-length // _WORD_BYTES) * _WORD_BYTES


def member_bytes(member: core.Member) -> int:
    """Returns an upper bound for the encoded bytes of a member's record."""
    texts = [
        member.host_id,
        member.incarnation,
        member.data_centre,
        member.region,
        member.address,
    ]
    if member.server is not None:
        texts.append(member.server.service)
    return _MEMBER_FIXED_BYTES + sum(_text_bytes(text) for text in texts)


def rumour_bytes(rumour: messages.Rumour) -> int:
    """Returns an upper bound for the encoded bytes of a rumour."""
    match rumour:
        case messages.RecordRumour(member=member):
            size = member_bytes(member)
        case messages.VerdictRumour():
            texts = (rumour.host_id, rumour.incarnation)
            size = _VERDICT_FIXED_BYTES + sum(_text_bytes(t) for t in texts)
        case messages.CrashRumour(report=report):
            texts = (report.fingerprint, report.host_id, report.death_id)
            size = _CRASH_FIXED_BYTES + sum(_text_bytes(t) for t in texts)
    return _RUMOUR_BYTES + size


def compute_rumour_budget(sender: core.Member, body: messages.Body) -> int:
    """Returns the bytes that a datagram has left for rumours.

    Args:
      sender: The sender's record, which every datagram carries.
      body: The datagram's body.
    """
    used = _MAC_BYTES + _ENVELOPE_BYTES + member_bytes(sender)
    match body:
        case messages.Ping(host_id=host_id):
            used += _text_bytes(host_id)
        case messages.PingRequest(host_id=host_id):
            used += _text_bytes(host_id)
    return MAX_DATAGRAM_BYTES - used


def estimate_datagram_bytes(datagram: messages.Datagram) -> int:
    """Returns an upper bound for the encoded bytes of a datagram."""
    room = compute_rumour_budget(datagram.sender, datagram.body)
    used = MAX_DATAGRAM_BYTES - room
    return used + sum(rumour_bytes(rumour) for rumour in datagram.rumours)


def sends_for(fleet_size: int) -> int:
    """Returns how often each node sends a rumour.

    With k sends a node, a given member misses a rumour with probability
    exp(-k), so that any of n misses it with about exp(-6) / n.

    Args:
      fleet_size: Number of members.
    """
    return math.ceil(_SENDS_PER_LOG * math.log(fleet_size + 1)) + _SENDS_BASE


class Pacer:
    """Bounds the bytes that rounds of rumours may send.

    Args:
      now: Monotonic seconds.
    """

    def __init__(self, *, now: float) -> None:
        self._bytes = SPREAD_BURST_BYTES
        self._updated = now

    def allows(self, now: float) -> bool:
        """Returns whether a datagram of full length may be sent now."""
        elapsed = max(0.0, now - self._updated)
        self._updated = now
        self._bytes = min(
            SPREAD_BURST_BYTES, self._bytes + elapsed * SPREAD_BYTES_PER_S
        )
        return self._bytes >= MAX_DATAGRAM_BYTES

    def sent(self, size: int) -> None:
        """Counts bytes that were sent."""
        self._bytes -= size


@dataclasses.dataclass(kw_only=True, slots=True)
class _Queued:
    rumour: messages.Rumour | None
    size: int
    sends: int = 0


class RumourQueue:
    """Rumours by subject; a newer one about a subject replaces the older.

    The epoch travels in each datagram's header, so its rumour has no bytes;
    while it is queued, datagrams are sent on its account.
    """

    def __init__(self) -> None:
        self._queued_by_subject: dict[tuple[str, str], _Queued] = {}

    def __len__(self) -> int:
        return len(self._queued_by_subject)

    def add(self, rumour: messages.Rumour) -> None:
        """Queues a rumour.

        Args:
          rumour: The rumour; the oldest one leaves when the queue is full.
        """
        subject = _subject(rumour)
        self._queued_by_subject.pop(subject, None)
        if len(self._queued_by_subject) >= MAX_QUEUED_RUMOURS:
            del self._queued_by_subject[next(iter(self._queued_by_subject))]
        self._queued_by_subject[subject] = _Queued(
            rumour=rumour, size=rumour_bytes(rumour)
        )

    def add_epoch(self) -> None:
        """Queues the sending of the epoch in the datagrams' headers."""
        self._queued_by_subject["epoch", ""] = _Queued(rumour=None, size=0)

    def take(
        self,
        *,
        room: int,
        fleet_size: int,
        first: tuple[messages.Rumour, ...] = (),
    ) -> tuple[messages.Rumour, ...]:
        """Chooses rumours for one datagram and counts them as sent.

        Args:
          room: Bytes that they may take.
          fleet_size: Number of members.
          first: Rumours that are sent in any case, without being queued.

        Returns:
          The rumours, which fit into ``room``.
        """
        chosen = list(first)
        room -= sum(rumour_bytes(rumour) for rumour in first)
        max_sends = sends_for(fleet_size)
        newest_first = reversed(list(self._queued_by_subject.items()))
        candidates = sorted(newest_first, key=lambda item: item[1].sends)
        for subject, queued in candidates:
            if queued.size > room:
                continue
            room -= queued.size
            queued.sends += 1
            if queued.rumour is not None:
                chosen.append(queued.rumour)
            if queued.sends >= max_sends:
                del self._queued_by_subject[subject]
        return tuple(chosen)


def _subject(rumour: messages.Rumour) -> tuple[str, str]:
    match rumour:
        case messages.RecordRumour(member=member):
            return ("member", member.host_id)
        case messages.VerdictRumour(host_id=host_id):
            return ("member", host_id)
        case messages.CrashRumour(report=report):
            return ("crash", f"{report.death_id} {report.fingerprint}")

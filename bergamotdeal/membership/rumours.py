"""Queue of rumours to send, their encoded sizes and the gossip byte rate.

Each rumour is sent a number of times that grows with the logarithm of the
fleet size, as in SWIM (Das, Gupta, Motivala, 2002). Rumours with the fewest
transmissions go first, the newest first among these.
"""

import functools
import math

import msgspec

from bergamotdeal.membership import core
from bergamotdeal.membership import messages

MAX_DATAGRAM_BYTES = 1200
MAX_QUEUED_RUMOURS = 4096
GOSSIP_BYTES_PER_S = 8_000.0
GOSSIP_BURST_BYTES = 24_000.0

_TRANSMISSIONS_PER_DUPLICATE = 1
"""Transmissions that a rumour received again counts for: the sender's partners
are likely to know it as well (feedback, Demers et al., 1987, section 1.4)."""

_LONG_QUEUE = 32
"""Rumours above which the byte rate, and not the interval of the rounds, bounds
how fast they spread, as when the whole fleet starts."""

_TRANSMISSIONS_PER_DUPLICATE_IN_LONG_QUEUE = 3
"""The same for a long queue. Members that this misses learn of the changes by
the syncs, which are frequent while many entries differ."""

_TRANSMISSIONS_PER_LOG = 2
_TRANSMISSIONS_BASE = 6
_ESTIMATE_CACHE_SIZE = 4096
_WORD_BYTES = 8
_MAC_BYTES = 16
_ENVELOPE_BYTES = 120
_RUMOUR_BYTES = 16
_MEMBER_FIXED_BYTES = 88
_VERDICT_FIXED_BYTES = 40
_CRASH_FIXED_BYTES = 32


def _text_bytes(text: str) -> int:
    length = len(text.encode()) + 1
    return -(-length // _WORD_BYTES) * _WORD_BYTES


@functools.lru_cache(maxsize=_ESTIMATE_CACHE_SIZE)
def estimate_member_bytes(member: core.Member) -> int:
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


def estimate_rumour_bytes(rumour: messages.Rumour) -> int:
    """Returns an upper bound for the encoded bytes of a rumour."""
    match rumour:
        case messages.RecordRumour(member=member):
            size = estimate_member_bytes(member)
        case messages.VerdictRumour():
            texts = (rumour.host_id, rumour.incarnation)
            size = _VERDICT_FIXED_BYTES + sum(_text_bytes(t) for t in texts)
        case messages.CrashRumour(report=report):
            texts = (report.fingerprint, report.host_id, report.death_id)
            size = _CRASH_FIXED_BYTES + sum(_text_bytes(t) for t in texts)
    return _RUMOUR_BYTES + size


def compute_rumour_budget(sender: core.Member, body: messages.Body) -> int:
    """Returns the bytes that a datagram has available for rumours.

    Args:
      sender: The sender's record, which every datagram carries.
      body: The datagram's body.
    """
    used = _MAC_BYTES + _ENVELOPE_BYTES + estimate_member_bytes(sender)
    match body:
        case messages.Ping(host_id=host_id):
            used += _text_bytes(host_id)
        case messages.PingRequest(host_id=host_id):
            used += _text_bytes(host_id)
    return MAX_DATAGRAM_BYTES - used


def estimate_datagram_bytes(datagram: messages.Datagram) -> int:
    """Returns an upper bound for the encoded bytes of a datagram."""
    budget = compute_rumour_budget(datagram.sender, datagram.body)
    used = MAX_DATAGRAM_BYTES - budget
    return used + sum(
        estimate_rumour_bytes(rumour) for rumour in datagram.rumours
    )


def compute_transmission_limit(fleet_size: int) -> int:
    """Returns the number of times that each node sends a rumour.

    If every node sends a rumour k times, a given member misses it with
    probability exp(-k). With the constants above, the probability that any of
    n members misses it is about exp(-6) / n.

    Args:
      fleet_size: Number of members.
    """
    return (
        math.ceil(_TRANSMISSIONS_PER_LOG * math.log(fleet_size + 1))
        + _TRANSMISSIONS_BASE
    )


class ByteRateLimiter:
    """A token bucket that bounds the bytes sent in gossip rounds.

    Args:
      now: Current time in monotonic seconds.
    """

    def __init__(self, *, now: float) -> None:
        self._available_bytes = GOSSIP_BURST_BYTES
        self._refilled_at = now

    def allows_datagram(self, now: float) -> bool:
        """Refills the bucket and returns whether a full datagram fits.

        Args:
          now: Current time in monotonic seconds.
        """
        elapsed = max(0.0, now - self._refilled_at)
        self._refilled_at = now
        self._available_bytes = min(
            GOSSIP_BURST_BYTES,
            self._available_bytes + elapsed * GOSSIP_BYTES_PER_S,
        )
        return self._available_bytes >= MAX_DATAGRAM_BYTES

    def consume(self, size: int) -> None:
        """Deducts sent bytes from the bucket.

        Args:
          size: Number of bytes sent.
        """
        self._available_bytes -= size


class _QueuedRumour(msgspec.Struct, kw_only=True):
    rumour: messages.Rumour | None
    size: int
    transmissions: int = 0


class RumourQueue:
    """Rumours to send; a newer rumour replaces an older one on its subject.

    The epoch and the store's era are part of every datagram, so their rumour
    takes no bytes. While it is queued, gossip rounds continue even if there is
    no other one.
    """

    def __init__(self) -> None:
        self._queued_by_subject: dict[tuple[str, str], _QueuedRumour] = {}

    def __len__(self) -> int:
        return len(self._queued_by_subject)

    def add(self, rumour: messages.Rumour) -> None:
        """Queues a rumour and drops the oldest one if the queue is full.

        Args:
          rumour: The rumour.
        """
        subject = _get_subject(rumour)
        self._queued_by_subject.pop(subject, None)
        if len(self._queued_by_subject) >= MAX_QUEUED_RUMOURS:
            del self._queued_by_subject[next(iter(self._queued_by_subject))]
        self._queued_by_subject[subject] = _QueuedRumour(
            rumour=rumour, size=estimate_rumour_bytes(rumour)
        )

    def record_duplicate(self, rumour: messages.Rumour) -> None:
        """Shortens the spreading of a rumour that another node knows too.

        Args:
          rumour: Rumour received again.
        """
        queued = self._queued_by_subject.get(_get_subject(rumour))
        if queued is None or queued.rumour != rumour:
            return
        queued.transmissions += (
            _TRANSMISSIONS_PER_DUPLICATE_IN_LONG_QUEUE
            if len(self._queued_by_subject) > _LONG_QUEUE
            else _TRANSMISSIONS_PER_DUPLICATE
        )

    def add_header_change(self) -> None:
        """Makes datagrams be sent that advertise a new epoch or store era."""
        self._queued_by_subject["header", ""] = _QueuedRumour(
            rumour=None, size=0
        )

    def take(
        self,
        *,
        max_bytes: int,
        fleet_size: int,
        required: tuple[messages.Rumour, ...] = (),
    ) -> tuple[messages.Rumour, ...]:
        """Selects rumours for one datagram and counts them as sent.

        Args:
          max_bytes: Maximum encoded bytes of the rumours.
          fleet_size: Number of members.
          required: Rumours to include in any case, ahead of the queued ones.

        Returns:
          The selected rumours.
        """
        chosen = list(required)
        max_bytes -= sum(estimate_rumour_bytes(rumour) for rumour in required)
        max_transmissions = compute_transmission_limit(fleet_size)
        newest_first = reversed(list(self._queued_by_subject.items()))
        candidates = sorted(
            newest_first, key=lambda item: item[1].transmissions
        )
        for subject, queued in candidates:
            if queued.transmissions >= max_transmissions:
                del self._queued_by_subject[subject]
                continue
            if queued.size > max_bytes:
                continue
            max_bytes -= queued.size
            queued.transmissions += 1
            if queued.rumour is not None:
                chosen.append(queued.rumour)
            if queued.transmissions >= max_transmissions:
                del self._queued_by_subject[subject]
        return tuple(chosen)


def _get_subject(rumour: messages.Rumour) -> tuple[str, str]:
    match rumour:
        case messages.RecordRumour(member=member):
            return ("member", member.host_id)
        case messages.VerdictRumour(host_id=host_id):
            return ("member", host_id)
        case messages.CrashRumour(report=report):
            return ("crash", f"{report.death_id} {report.fingerprint}")

"""Response times and reachability of bucket owners, as an entry sees them."""

import msgspec

TIMEOUT_S = 0.03
MAX_TIMEOUT_S = 0.08
RETRY_S = 1.0
"""Time for which an owner that has not answered is not asked again."""

_TIMEOUT_FACTOR = 1.5
_ANSWER_WEIGHT = 0.2


class _Peer(msgspec.Struct, kw_only=True):
    """A bucket owner.

    Attributes:
      answer_s: Average time of its answers in seconds.
      silent_until: Time until which it is not asked.
    """

    answer_s: float = 0.0
    silent_until: float = 0.0


class OwnerPeers:
    """The bucket owners that an entry has asked."""

    def __init__(self) -> None:
        self._peers_by_id: dict[str, _Peer] = {}

    def is_reachable(self, host_id: str, now: float) -> bool:
        """Returns whether a host may be asked.

        Args:
          host_id: Name of the host.
          now: Time in seconds.
        """
        peer = self._peers_by_id.get(host_id)
        return peer is None or now >= peer.silent_until

    def timeout_s(self, host_id: str) -> float:
        """Returns the time in which a host should answer, in seconds.

        It is longer for hosts of other regions, whose answers take longer
        than the usual time-out.
        """
        peer = self._peers_by_id.get(host_id)
        answer_s = peer.answer_s if peer is not None else 0.0
        return min(max(TIMEOUT_S, answer_s * _TIMEOUT_FACTOR), MAX_TIMEOUT_S)

    def record_answer(self, host_id: str, answer_s: float, now: float) -> None:
        """Records an answer, which may be late.

        Args:
          host_id: Name of the host.
          answer_s: Seconds from the request to the answer.
          now: Time in seconds.
        """
        peer = self._peers_by_id.setdefault(host_id, _Peer())
        weight = _ANSWER_WEIGHT if peer.answer_s else 1.0
        peer.answer_s += weight * (answer_s - peer.answer_s)
        peer.silent_until = min(peer.silent_until, now)

    def record_timeout(self, host_id: str, now: float) -> None:
        """Records that a host has not answered in time.

        Args:
          host_id: Name of the host.
          now: Time in seconds.
        """
        peer = self._peers_by_id.setdefault(host_id, _Peer())
        peer.silent_until = now + RETRY_S

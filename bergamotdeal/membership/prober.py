"""Choice of the members to probe, and the probes under way.

Members are probed in rounds of random order, so that each is probed once in
every round and the time to the first probe of a dead one is bounded (SWIM,
Das, Gupta, Motivala, 2002, section 4.3).
"""

import dataclasses
import random

from bergamotdeal.membership import messages

MAX_RELAYS = 256
RELAY_LIFETIME_S = 2.0


@dataclasses.dataclass(kw_only=True, slots=True)
class Probe:
    """A probe that waits for its ack.

    Attributes:
      number: Number of the ping.
      host_id: Member that is probed.
      incarnation: Its incarnation; a later one is not to be blamed.
      indirect_at: Monotonic seconds of the indirect probes, or None once they
        were sent.
      ends_at: Monotonic seconds at which the member becomes suspect.
    """

    number: int
    host_id: str
    incarnation: str
    indirect_at: float | None
    ends_at: float


@dataclasses.dataclass(kw_only=True, slots=True)
class Relay:
    """A ping sent on another node's behalf."""

    requester: messages.Endpoint
    number: int
    expires_at: float


class Prober:
    """Keeps the round of probes and the relays for other nodes.

    Args:
      rng: Random source.
    """

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self._round: list[str] = []
        self._relays_by_number: dict[int, Relay] = {}
        self.probe: Probe | None = None

    def number(self) -> int:
        """Returns a number that an old ack can't match."""
        return self._rng.getrandbits(63)

    def next_target(self, host_ids: list[str]) -> str | None:
        """Returns the next member of the round.

        Args:
          host_ids: Members that can be probed now.

        Returns:
          A host id, or None when there is none to probe.
        """
        available = set(host_ids)
        while self._round:
            host_id = self._round.pop()
            if host_id in available:
                return host_id
        self._round = sorted(available)
        self._rng.shuffle(self._round)
        return self._round.pop() if self._round else None

    def add_relay(self, relay: Relay, now: float) -> int | None:
        """Notes a ping on another node's behalf.

        Args:
          relay: Who asked, and until when the ack is of use.
          now: Monotonic seconds.

        Returns:
          The number for the ping, or None when too many are under way.
        """
        expired = [
            number
            for number, known in self._relays_by_number.items()
            if known.expires_at <= now
        ]
        for number in expired:
            del self._relays_by_number[number]
        if len(self._relays_by_number) >= MAX_RELAYS:
            return None
        number = self.number()
        self._relays_by_number[number] = relay
        return number

    def relay_for(self, number: int, now: float) -> Relay | None:
        """Takes an ack for another node.

        Args:
          number: Number that the ack repeats.
          now: Monotonic seconds.

        Returns:
          The relay that the ack is for, if there is one.
        """
        relay = self._relays_by_number.pop(number, None)
        if relay is None or relay.expires_at <= now:
            return None
        return relay

"""Choice of probe targets, and state of the pending probe and relays.

Members are probed round-robin in an order that is shuffled for every round.
Each member is probed once per round, which bounds the time to the first probe
of a dead member (SWIM, Das, Gupta, Motivala, 2002, section 4.3).
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
      number: Sequence number of the ping.
      host_id: Member that is probed.
      incarnation: Incarnation that is probed. A newer incarnation does not
        become suspect when the probe times out.
      indirect_at: When to request indirect probes, in monotonic seconds;
        None once they were requested.
      timeout_at: When the member becomes suspect, in monotonic seconds.
    """

    number: int
    host_id: str
    incarnation: str
    indirect_at: float | None
    timeout_at: float


@dataclasses.dataclass(kw_only=True, slots=True)
class Relay:
    """A ping that this node sent for another node's indirect probe.

    Attributes:
      requester: Address of the node that requested the indirect probe.
      number: Sequence number that the requester's ack must repeat.
      expires_at: When the ack is no longer forwarded, in monotonic seconds.
    """

    requester: messages.Endpoint
    number: int
    expires_at: float


class Prober:
    """State of this node's probes and of its relays for other nodes.

    Args:
      rng: Random source of the target order and sequence numbers.

    Attributes:
      current_probe: Probe that waits for its ack, or None.
    """

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self._remaining_targets: list[str] = []
        self._relays_by_number: dict[int, Relay] = {}
        self.current_probe: Probe | None = None

    def number(self) -> int:
        """Returns a random sequence number that no earlier ack matches."""
        return self._rng.getrandbits(63)

    def pop_target(self, host_ids: list[str]) -> str | None:
        """Removes the next probe target from the current round.

        Args:
          host_ids: Members that can be probed now.

        Returns:
          A host id, or None if there is no member to probe.
        """
        available = set(host_ids)
        while self._remaining_targets:
            host_id = self._remaining_targets.pop()
            if host_id in available:
                return host_id
        self._remaining_targets = sorted(available)
        self._rng.shuffle(self._remaining_targets)
        return (
            self._remaining_targets.pop() if self._remaining_targets else None
        )

    def add_relay(self, relay: Relay, now: float) -> int | None:
        """Registers a relay.

        Args:
          relay: The relay to register.
          now: Current time in monotonic seconds.

        Returns:
          The sequence number of the ping to send, or None if too many relays
          are pending.
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

    def take_relay(self, number: int, now: float) -> Relay | None:
        """Removes the relay that an ack answers.

        Args:
          number: Sequence number of the ack.
          now: Current time in monotonic seconds.

        Returns:
          The relay, or None if there is none or it has expired.
        """
        relay = self._relays_by_number.pop(number, None)
        if relay is None or relay.expires_at <= now:
            return None
        return relay

"""Choice of probe targets, and state of the pending probe and relays.

Members are probed round-robin in an order that is shuffled for every round,
with one round for this data centre and a slower one for the others. Each member
is probed once per round, which bounds the time to the first probe of a dead
member (SWIM, Das, Gupta, Motivala, 2002, section 4.3).
"""

import random

import msgspec

from bergamotdeal.membership import messages
from bergamotdeal.membership import partners
from bergamotdeal.membership import view

MAX_RELAYS = 256
RELAY_LIFETIME_S = 2.0


class Probe(msgspec.Struct, kw_only=True):
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


class Relay(msgspec.Struct, kw_only=True):
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
      partner_chooser: Chooser between this data centre and the others.

    Attributes:
      current_probe: Probe that waits for its ack, or None.
    """

    def __init__(
        self,
        *,
        rng: random.Random,
        partner_chooser: partners.PartnerChooser,
    ) -> None:
        self._rng = rng
        self._partners = partner_chooser
        self._local_round: list[str] = []
        self._remote_round: list[str] = []
        self._relays_by_number: dict[int, Relay] = {}
        self.current_probe: Probe | None = None

    def number(self) -> int:
        """Returns a random sequence number that no earlier ack matches."""
        return self._rng.getrandbits(63)

    def pop_target(self, entries: list[view.Entry]) -> str | None:
        """Removes the next probe target from the current round.

        Args:
          entries: Members that can be probed now.

        Returns:
          A host id, or None if there is no member to probe.
        """
        local, remote = self._partners.split(entries)
        if self._partners.prefers_remote(
            local, remote, partners.REMOTE_PROBE_SHARE
        ):
            return self._pop_from_round(self._remote_round, remote)
        return self._pop_from_round(self._local_round, local)

    def _pop_from_round(
        self, remaining: list[str], entries: list[view.Entry]
    ) -> str | None:
        available = {entry.record.host_id for entry in entries}
        while remaining:
            host_id = remaining.pop()
            if host_id in available:
                return host_id
        remaining.extend(sorted(available))
        self._rng.shuffle(remaining)
        return remaining.pop() if remaining else None

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

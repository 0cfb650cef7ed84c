"""The gossip core: events in, effects out.

It follows SWIM (Das, Gupta, Motivala, 2002): probes, indirect probes,
suspicion with refutation, and rumours on top of the probes. Besides, rumours
are sent in quick rounds while there are any, and pairs of nodes compare
digests of their views at long intervals.
"""

import dataclasses
import random

from bergamotdeal.membership import contacts
from bergamotdeal.membership import core
from bergamotdeal.membership import knowledge
from bergamotdeal.membership import messages
from bergamotdeal.membership import prober
from bergamotdeal.membership import rumours
from bergamotdeal.membership import suspicion
from bergamotdeal.membership import view

Health = messages.Health


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Timing:
    """Intervals and bounds of the protocol; times are in seconds.

    Attributes:
      probe_interval_s: Time between probes of one node.
      indirect_after_s: Time without an ack before others are asked to probe.
      indirect_helpers: Members that are asked.
      spread_interval_s: Time between rounds of rumours while there are any.
      spread_fanout: Members that hear each round.
      pause_s: Time without any event that counts as a pause of the process.
      bounds: Bounds of suspicion.
    """

    probe_interval_s: float = 1.0
    indirect_after_s: float = 0.4
    indirect_helpers: int = 3
    spread_interval_s: float = 0.2
    spread_fanout: int = 3
    pause_s: float = 2.5
    bounds: suspicion.Bounds = dataclasses.field(
        default_factory=suspicion.Bounds
    )


DEFAULT_TIMING = Timing()
_CONTACTS_AT_LEAVE = 6

_RETURN_S = 60.0
"""Time in which a member that went is expected back; a restart takes less."""


class Gossip:
    """Membership of one node.

    Args:
      own_record: This node's record; its state number orders incarnations.
      rng: Random source.
      now: Monotonic seconds.
      timing: Intervals and bounds.
    """

    def __init__(
        self,
        *,
        own_record: core.Member,
        rng: random.Random,
        now: float,
        timing: Timing = DEFAULT_TIMING,
    ) -> None:
        self._rng = rng
        self._timing = timing
        self._effects: list[messages.Effect] = []
        self._knowledge = knowledge.Knowledge(
            own_record=own_record, now=now, effects=self._effects
        )
        self._prober = prober.Prober(rng=rng)
        self._pacer = rumours.Pacer(now=now)
        self._suspicion = suspicion.Suspicion(bounds=timing.bounds)
        self._contacts = contacts.Contacts(rng=rng, now=now)
        self._epoch = 0
        self._left = False
        self._last_handled = now
        self._next_probe = now
        self._next_spread = now

    # --- What others ask ---------------------------------------------------

    @property
    def own_record(self) -> core.Member:
        """This node's record."""
        return self._knowledge.view.own_record

    @property
    def is_eviction_frozen(self) -> bool:
        """Whether so many members are suspect that none is evicted."""
        return self._suspicion.is_frozen

    def members_by_id(self) -> dict[str, core.Member]:
        """Returns every known member with its state in this node's view."""
        return self._knowledge.view.members_by_id()

    def member(self, host_id: str) -> core.Member | None:
        """Returns one member with its state in this node's view, or None."""
        if self._knowledge.view.entry(host_id) is None:
            return None
        return self._knowledge.view.member(host_id)

    def joined(self) -> bool:
        """Returns whether this node knows any other live member."""
        return bool(self._knowledge.view.others(worst=Health.ALIVE))

    def next_wakeup(self) -> float:
        """Returns the monotonic seconds of the next ``TimePassed``."""
        times = [self._next_probe, self._contacts.next_sync]
        if len(self._knowledge.queue):
            times.append(self._next_spread)
        probe = self._prober.probe
        if probe is not None:
            times.append(probe.indirect_at or probe.ends_at)
        return min(times)

    # --- Events ------------------------------------------------------------

    def handle(
        self, event: messages.Event, now: float
    ) -> list[messages.Effect]:
        """Takes one event.

        Args:
          event: What happened.
          now: Monotonic seconds.

        Returns:
          What is to be done, in order.
        """
        self._effects.clear()
        if self._left:
            return []
        self._notice_pause(now)
        match event:
            case messages.DatagramArrived():
                self._on_datagram(event.datagram, event.source, now)
            case messages.SyncAnswered():
                self._on_sync_answer(event.endpoint, event.answer, now)
            case messages.SyncFailed():
                self._contacts.sync_again(now)
            case messages.SeedsFound(seeds=seeds):
                self._contacts.add_seeds(seeds, now)
                self._introduce(now)
            case messages.TimePassed():
                self._advance(now)
            case _:
                self._on_local_change(event, now)
        return list(self._effects)

    def _on_local_change(self, event: messages.LocalChange, now: float) -> None:
        match event:
            case messages.ServerChanged(server=server):
                if server != self.own_record.server:
                    self._knowledge.announce(now, server=server)
            case messages.NodeDraining():
                if self.own_record.state is core.MemberState.ALIVE:
                    self._knowledge.announce(
                        now, state=core.MemberState.DRAINING
                    )
            case messages.LeaveRequested():
                self._leave(now)
            case messages.CrashReportsCreated(reports=reports):
                self._knowledge.learn_crashes(reports)
            case messages.EpochChanged(epoch=epoch):
                if epoch > self._epoch:
                    self._epoch = epoch
                    self._knowledge.queue.add_epoch()

    def answer_sync(
        self, request: messages.SyncRequest | messages.SyncPush, now: float
    ) -> tuple[messages.SyncResponse | messages.SyncDone, list]:
        """Answers an anti-entropy message of another node.

        Args:
          request: The message.
          now: Monotonic seconds.

        Returns:
          The answer, and the effects as from ``handle``.
        """
        self._effects.clear()
        self._notice_pause(now)
        if isinstance(request, messages.SyncPush):
            self._merge_entries(request.entries, now)
            return messages.SyncDone(), list(self._effects)
        buckets = self._knowledge.view.differing(request.digests)
        answer = messages.SyncResponse(
            buckets=buckets,
            entries=self._knowledge.view.entries_in(buckets),
        )
        self._hear_epoch(request.epoch, request.sender.host_id)
        self._knowledge.merge_record(request.sender, Health.ALIVE, now)
        return answer, list(self._effects)

    # --- Time --------------------------------------------------------------

    def _notice_pause(self, now: float) -> None:
        """Judges nobody by silence that this process slept through."""
        gap = now - self._last_handled
        self._last_handled = now
        if gap < self._timing.pause_s:
            return
        self._prober.probe = None
        for entry in self._knowledge.view.others():
            if entry.health is Health.SUSPECT:
                entry.changed = now
        self._contacts.sync_soon(now)

    def _advance(self, now: float) -> None:
        self._advance_probe(now)
        self._advance_suspicions(now)
        if now >= self._next_probe:
            self._next_probe = now + self._timing.probe_interval_s
            self._start_probe(now)
            self._greet_departed(now)
            self._contact_seeds(now)
        if self._contacts.sync_due(now):
            self._start_sync()
        if len(self._knowledge.queue) and now >= self._next_spread:
            self._spread(now)

    def _advance_probe(self, now: float) -> None:
        probe = self._prober.probe
        if probe is None:
            return
        if probe.indirect_at is not None and now >= probe.indirect_at:
            probe.indirect_at = None
            self._probe_indirectly(probe)
        if now >= probe.ends_at:
            self._prober.probe = None
            self._suspect(probe, now)

    def _advance_suspicions(self, now: float) -> None:
        entries = self._knowledge.view.others(worst=Health.DEAD)
        decision = self._suspicion.decide(entries, now)
        for record in decision.evicted:
            self._judge(record, Health.DEAD, now)
        for host_id in decision.forgotten:
            self._knowledge.view.forget(host_id)
            self._effects.append(messages.ViewChanged())

    # --- Probes ------------------------------------------------------------

    def _start_probe(self, now: float) -> None:
        entries = self._knowledge.view.others()
        target = self._prober.next_target([e.record.host_id for e in entries])
        if target is None:
            return
        number = self._prober.number()
        self._prober.probe = prober.Probe(
            number=number,
            host_id=target,
            incarnation=self._knowledge.view.entry(target).record.incarnation,
            indirect_at=now + self._timing.indirect_after_s,
            ends_at=now + self._timing.probe_interval_s,
        )
        self._ping(target, number)

    def _greet_departed(self, now: float) -> None:
        """Pings one member that went not long ago; most come back there."""
        departed = [
            entry.record
            for entry in self._knowledge.view.others(worst=Health.DEAD)
            if entry.health is Health.DEAD and now - entry.changed < _RETURN_S
        ]
        if departed:
            greeted = self._rng.choice(departed)
            ping = messages.Ping(number=self._prober.number(), host_id="")
            self._send(_endpoint(greeted), ping)

    def _ping(self, host_id: str, number: int) -> None:
        entry = self._knowledge.view.entry(host_id)
        self._send(
            _endpoint(entry.record),
            messages.Ping(number=number, host_id=host_id),
            first=_judgement(entry, entry.record),
        )

    def _probe_indirectly(self, probe: prober.Probe) -> None:
        if self._knowledge.view.entry(probe.host_id) is None:
            return
        self._ping(probe.host_id, probe.number)
        helpers = [
            entry
            for entry in self._knowledge.view.others(worst=Health.ALIVE)
            if entry.record.host_id != probe.host_id
        ]
        count = min(len(helpers), self._timing.indirect_helpers)
        request = messages.PingRequest(
            number=probe.number, host_id=probe.host_id
        )
        for helper in self._rng.sample(helpers, count):
            self._send(_endpoint(helper.record), request)

    def _suspect(self, probe: prober.Probe, now: float) -> None:
        entry = self._knowledge.view.entry(probe.host_id)
        if entry is None or entry.record.incarnation != probe.incarnation:
            return
        self._suspicion.probed(acked=False)
        if entry.health is Health.ALIVE:
            self._judge(entry.record, Health.SUSPECT, now)
            self._ping(probe.host_id, self._prober.number())

    def _judge(self, record: core.Member, health: Health, now: float) -> None:
        self._knowledge.merge_verdict(knowledge.verdict_on(record, health), now)

    # --- Datagrams ---------------------------------------------------------

    def _on_datagram(
        self,
        datagram: messages.Datagram,
        source: messages.Endpoint,
        now: float,
    ) -> None:
        sender = datagram.sender
        if sender.host_id == self.own_record.host_id:
            self._knowledge.refute_record(sender, now)
            return
        self._knowledge.merge_record(sender, Health.ALIVE, now)
        for rumour in datagram.rumours:
            self._knowledge.hear(rumour, now)
        self._hear_epoch(datagram.epoch, sender.host_id)
        entry = self._knowledge.view.entry(sender.host_id)
        reply_to = source if entry is None else _endpoint(entry.record)
        match datagram.body:
            case messages.Ping(number=number, host_id=host_id):
                if host_id in ("", self.own_record.host_id):
                    ack = messages.Ack(number=number)
                    self._send(reply_to, ack, first=_judgement(entry, sender))
            case messages.PingRequest():
                self._relay(datagram.body, reply_to, now)
            case messages.Ack(number=number):
                self._on_ack(number, now)
            case messages.EmptyBody():
                pass

    def _relay(
        self,
        request: messages.PingRequest,
        requester: messages.Endpoint,
        now: float,
    ) -> None:
        if self._knowledge.view.entry(request.host_id) is None:
            return
        if request.host_id == self.own_record.host_id:
            return
        relay = prober.Relay(
            requester=requester,
            number=request.number,
            expires_at=now + prober.RELAY_LIFETIME_S,
        )
        number = self._prober.add_relay(relay, now)
        if number is not None:
            self._ping(request.host_id, number)

    def _on_ack(self, number: int, now: float) -> None:
        probe = self._prober.probe
        if probe is not None and probe.number == number:
            self._prober.probe = None
            self._suspicion.probed(acked=True)
            return
        relay = self._prober.relay_for(number, now)
        if relay is not None:
            self._send(relay.requester, messages.Ack(number=relay.number))

    def _send(
        self,
        endpoint: messages.Endpoint,
        body: messages.Body,
        *,
        first: tuple[messages.Rumour, ...] = (),
    ) -> None:
        chosen = self._knowledge.queue.take(
            room=rumours.compute_rumour_budget(self.own_record, body),
            fleet_size=len(self._knowledge.view),
            first=first,
        )
        self._send_exactly(endpoint, body, chosen)

    def _send_exactly(
        self,
        endpoint: messages.Endpoint,
        body: messages.Body,
        chosen: tuple[messages.Rumour, ...],
    ) -> None:
        datagram = messages.Datagram(
            sender=self.own_record, epoch=self._epoch, body=body, rumours=chosen
        )
        self._effects.append(
            messages.SendDatagram(endpoint=endpoint, datagram=datagram)
        )

    def _spread(self, now: float) -> None:
        """Sends queued rumours to a few random members, within a rate."""
        self._next_spread = now + self._timing.spread_interval_s
        targets = self._knowledge.view.others()
        count = min(len(targets), self._timing.spread_fanout)
        for entry in self._rng.sample(targets, count):
            if not self._pacer.allows(now):
                return
            self._send(_endpoint(entry.record), messages.EmptyBody())
            self._pacer.sent(
                rumours.estimate_datagram_bytes(self._effects[-1].datagram)
            )

    def _hear_epoch(self, epoch: int, host_id: str) -> None:
        if epoch > self._epoch:
            self._effects.append(
                messages.EpochAdvertised(epoch=epoch, host_id=host_id)
            )

    def _leave(self, now: float) -> None:
        self._knowledge.announce(now, state=core.MemberState.DEAD)
        targets = self._knowledge.view.others(worst=Health.ALIVE)
        count = min(len(targets), _CONTACTS_AT_LEAVE)
        first = (messages.RecordRumour(member=self.own_record),)
        for entry in self._rng.sample(targets, count):
            self._send_exactly(
                _endpoint(entry.record), messages.EmptyBody(), first
            )
        self._left = True

    # --- First contact and anti-entropy ------------------------------------

    def _contact_seeds(self, now: float) -> None:
        if not self.joined():
            self._introduce(now)

    def _introduce(self, now: float) -> None:
        """Contacts the seeds that are due, whoever is known already.

        Two groups of nodes meet only if a member of one contacts the other.
        """
        seeds = self._contacts.due_seeds(self.own_record, now)
        for seed in seeds:
            number = self._prober.number()
            self._send(seed, messages.Ping(number=number, host_id=""))
        if seeds:
            self._start_sync()

    def _start_sync(self) -> None:
        endpoint = self._contacts.sync_partner(self._knowledge.view)
        if endpoint is None:
            return
        request = messages.SyncRequest(
            sender=self.own_record,
            epoch=self._epoch,
            digests=self._knowledge.view.digests,
        )
        self._effects.append(messages.SendBulk(endpoint=endpoint, bulk=request))

    def _merge_entries(
        self, entries: tuple[messages.KnownMember, ...], now: float
    ) -> None:
        """Compares again soon while views are far apart."""
        if not self._knowledge.merge_entries(entries, now):
            self._contacts.sync_again(now)

    def _on_sync_answer(
        self,
        endpoint: messages.Endpoint,
        answer: messages.SyncResponse | messages.SyncDone,
        now: float,
    ) -> None:
        if isinstance(answer, messages.SyncDone):
            return
        self._contacts.sync_answered(now)
        if not answer.buckets:
            return
        self._merge_entries(answer.entries, now)
        push = messages.SyncPush(
            entries=self._knowledge.view.entries_in(answer.buckets)
        )
        self._effects.append(messages.SendBulk(endpoint=endpoint, bulk=push))


_endpoint = contacts.endpoint_of


def _judgement(
    entry: view.Entry | None, sender: core.Member
) -> tuple[messages.Rumour, ...]:
    """Returns what a member must hear of itself in order to refute it."""
    if entry is None:
        return ()
    if entry.record.incarnation != sender.incarnation:
        return (messages.RecordRumour(member=entry.record),)
    if entry.health is Health.ALIVE:
        return ()
    return (knowledge.verdict_on(entry.record, entry.health),)

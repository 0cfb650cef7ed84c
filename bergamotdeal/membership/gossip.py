"""The gossip protocol as a state machine without input or output.

It takes events and returns effects. The protocol is SWIM (Das, Gupta,
Motivala, 2002): probes, indirect probes, suspicion with refutation, and
rumours piggybacked on the probes. In addition, queued rumours are sent in
frequent gossip rounds, and pairs of nodes compare digests of their views at
long intervals (anti-entropy).
"""

import random

from bergamotdeal.membership import contacts
from bergamotdeal.membership import core
from bergamotdeal.membership import knowledge
from bergamotdeal.membership import messages
from bergamotdeal.membership import partners
from bergamotdeal.membership import prober
from bergamotdeal.membership import rumours
from bergamotdeal.membership import suspicion
from bergamotdeal.membership import timing as timings

Health = messages.Health
_LEAVE_FANOUT = 6

_REJOIN_WINDOW_S = 60.0
"""Seconds for which a dead member is still pinged; a restart takes less."""


class Gossip:
    """The membership protocol of one node.

    Args:
      own_record: This node's initial record. Its state number must be higher
        than those of earlier incarnations to take precedence at once.
      rng: Random source.
      now: Current time in monotonic seconds.
      timing: Intervals and fan-outs.
    """

    def __init__(
        self,
        *,
        own_record: core.Member,
        rng: random.Random,
        now: float,
        timing: timings.Timing = timings.DEFAULT_TIMING,
    ) -> None:
        self._rng = rng
        self._timing = timing
        self._effects: list[messages.Effect] = []
        self._replica = knowledge.ViewReplica(
            own_record=own_record, now=now, effects=self._effects
        )
        self._partners = partners.PartnerChooser(
            rng=rng, data_centre=own_record.data_centre
        )
        self._prober = prober.Prober(rng=rng, partner_chooser=self._partners)
        self._rate_limiter = rumours.ByteRateLimiter(now=now)
        self._eviction_policy = suspicion.EvictionPolicy(bounds=timing.bounds)
        self._contacts = contacts.ContactSchedule(
            rng=rng, now=now, partner_chooser=self._partners
        )
        self._epoch = 0
        self._store_era = 0
        self._has_left = False
        self._last_event_at = now
        self._next_probe_at = now
        self._next_gossip_at = now
        self._next_suspicion_check_at = now

    @property
    def own_record(self) -> core.Member:
        """This node's record."""
        return self._replica.view.own_record

    @property
    def is_eviction_frozen(self) -> bool:
        """Whether eviction is suspended because of mass suspicion."""
        return self._eviction_policy.is_frozen

    @property
    def member_count(self) -> int:
        """Number of known members, including this node."""
        return len(self._replica.view)

    def members_by_id(self) -> dict[str, core.Member]:
        """Returns every known member with its state in this node's view."""
        return self._replica.view.members_by_id()

    def member(self, host_id: str) -> core.Member | None:
        """Returns one member with its state in this node's view, or None."""
        if self._replica.view.entry(host_id) is None:
            return None
        return self._replica.view.member(host_id)

    def list_confirmed_crashes(self, now: float) -> tuple:
        """Returns this node's crash reports that another crash confirms."""
        return self._replica.list_confirmed_crashes(now)

    def joined(self) -> bool:
        """Returns whether this node knows any other live member."""
        return bool(self._replica.view.list_others(worst=Health.ALIVE))

    def next_wakeup(self) -> float:
        """Returns when ``TimePassed`` is due next, in monotonic seconds."""
        times = [self._next_probe_at, self._contacts.next_sync_at]
        if len(self._replica.rumour_queue):
            times.append(self._next_gossip_at)
        probe = self._prober.current_probe
        if probe is not None:
            times.append(probe.indirect_at or probe.timeout_at)
        return min(times)

    def handle(
        self, event: messages.Event, now: float
    ) -> list[messages.Effect]:
        """Handles one event.

        Args:
          event: The event.
          now: Current time in monotonic seconds.

        Returns:
          The effects to carry out, in order.
        """
        self._effects.clear()
        if self._has_left:
            return []
        self._handle_pause(now)
        match event:
            case messages.DatagramArrived():
                self._on_datagram(event.datagram, event.source, now)
            case messages.SyncAnswered():
                self._on_sync_answer(event.endpoint, event.answer, now)
            case messages.SyncFailed():
                self._contacts.handle_sync_failure(now)
            case messages.SeedsFound(seeds=seeds):
                self._add_seeds(seeds, now)
            case messages.TimePassed():
                self._advance(now)
            case _:
                self._on_local_change(event, now)
        return list(self._effects)

    def _on_local_change(self, event: messages.LocalChange, now: float) -> None:
        own_record = self.own_record
        match event:
            case messages.ServerChanged(server=server):
                if server != self.own_record.server:
                    self._replica.update_own_record(now, server=server)
            case messages.NodeDraining():
                if self.own_record.state is core.MemberState.ALIVE:
                    self._replica.update_own_record(
                        now, state=core.MemberState.DRAINING
                    )
            case messages.LeaveRequested():
                self._leave(now)
            case messages.CrashReportsCreated(reports=reports):
                self._replica.add_own_crash_reports(reports, now)
            case messages.CrashReportsFound(reports=reports):
                self._replica.merge_crash_reports(reports, now, "the registry")
            case messages.EpochChanged(epoch=epoch):
                if epoch > self._epoch:
                    self._epoch = epoch
                    self._replica.rumour_queue.add_header_change()
            case messages.StoreEraChanged(era=era):
                self._adopt_store_era(era)
        if self.own_record is not own_record:
            self._next_gossip_at = now

    def answer_sync(
        self, request: messages.SyncMessage, now: float
    ) -> tuple[messages.SyncResponse | messages.SyncDone, list]:
        """Answers an anti-entropy message of another node.

        Args:
          request: The message.
          now: Current time in monotonic seconds.

        Returns:
          The answer and the effects to carry out, in order.
        """
        self._effects.clear()
        self._handle_pause(now)
        match request:
            case messages.SyncPush(entries=entries):
                self._merge_entries(entries, now)
            case messages.CrashPush(reports=reports):
                self._replica.merge_crash_reports(reports, now)
            case messages.SyncRequest(sender=sender):
                answer = self._replica.build_sync_response(request, now)
                self._report_epoch(request.epoch, sender.host_id)
                self._replica.merge_record(sender, Health.ALIVE, now)
                return answer, list(self._effects)
        return messages.SyncDone(), list(self._effects)

    def _handle_pause(self, now: float) -> None:
        """Drops the probe and restarts suspicion timeouts after a pause.

        Acks that were missed during the pause say nothing about the peers.
        """
        gap = now - self._last_event_at
        self._last_event_at = now
        if gap < self._timing.pause_threshold_s:
            return
        self._prober.current_probe = None
        for entry in self._replica.view.list_others():
            if entry.health is Health.SUSPECT:
                entry.changed_at = now
        self._contacts.schedule_sync_now(now)

    def _advance(self, now: float) -> None:
        self._advance_probe(now)
        if now >= self._next_suspicion_check_at:
            self._next_suspicion_check_at = (
                now + self._timing.suspicion_check_interval_s
            )
            self._advance_suspicions(now)
        if now >= self._next_probe_at:
            self._next_probe_at = now + self._timing.probe_interval_s
            self._start_probe(now)
            self._ping_recently_dead(now)
            if not self.joined():
                self._contact(self._contacts.take_due_seeds(now))
        if self._contacts.take_due_sync(now):
            self._start_sync()
        if len(self._replica.rumour_queue) and now >= self._next_gossip_at:
            self._send_gossip_round(now)

    def _advance_probe(self, now: float) -> None:
        probe = self._prober.current_probe
        if probe is None:
            return
        if probe.indirect_at is not None and now >= probe.indirect_at:
            probe.indirect_at = None
            self._request_indirect_probes(probe)
        if now >= probe.timeout_at:
            self._prober.current_probe = None
            self._fail_probe(probe, now)

    def _advance_suspicions(self, now: float) -> None:
        entries = self._replica.view.list_others(worst=Health.DEAD)
        decision = self._eviction_policy.decide(entries, now)
        for record in decision.evicted:
            self._replica.mark(record, Health.DEAD, now)
        for host_id in decision.forgotten:
            self._replica.view.forget(host_id)
            self._effects.append(messages.ViewChanged())

    def _start_probe(self, now: float) -> None:
        target = self._prober.pop_target(self._replica.view.list_others())
        if target is None:
            return
        number = self._prober.number()
        self._prober.current_probe = prober.Probe(
            number=number,
            host_id=target,
            incarnation=self._replica.view.entry(target).record.incarnation,
            indirect_at=now + self._timing.indirect_probe_delay_s,
            timeout_at=now + self._timing.probe_interval_s,
        )
        self._ping(target, number)

    def _ping_recently_dead(self, now: float) -> None:
        """Pings one recently dead member, which may have restarted there."""
        since = now - _REJOIN_WINDOW_S
        recently_dead = self._replica.view.list_dead_since(since)
        if recently_dead:
            target = self._rng.choice(recently_dead)
            ping = messages.Ping(number=self._prober.number(), host_id="")
            self._send(_get_endpoint(target), ping)

    def _ping(self, host_id: str, number: int) -> None:
        entry = self._replica.view.entry(host_id)
        self._send(
            _get_endpoint(entry.record),
            messages.Ping(number=number, host_id=host_id),
            required=knowledge.list_refutable_rumours(entry, entry.record),
        )

    def _request_indirect_probes(self, probe: prober.Probe) -> None:
        if self._replica.view.entry(probe.host_id) is None:
            return
        self._ping(probe.host_id, probe.number)
        members = [
            entry
            for entry in self._replica.view.list_others(worst=Health.ALIVE)
            if entry.record.host_id != probe.host_id
        ]
        count = min(len(members), self._timing.indirect_probe_fanout)
        request = messages.PingRequest(
            number=probe.number, host_id=probe.host_id
        )
        for member in self._rng.sample(members, count):
            self._send(_get_endpoint(member.record), request)

    def _fail_probe(self, probe: prober.Probe, now: float) -> None:
        entry = self._replica.view.entry(probe.host_id)
        if entry is None or entry.record.incarnation != probe.incarnation:
            return
        self._eviction_policy.record_probe(acked=False)
        if entry.health is Health.ALIVE:
            self._replica.mark(entry.record, Health.SUSPECT, now)
            self._ping(probe.host_id, self._prober.number())

    def _on_datagram(
        self,
        datagram: messages.Datagram,
        source: messages.Endpoint,
        now: float,
    ) -> None:
        sender = datagram.sender
        if sender.host_id == self.own_record.host_id:
            self._replica.refute_record(sender, now)
            return
        self._replica.merge_record(sender, Health.ALIVE, now)
        for rumour in datagram.rumours:
            self._replica.merge_rumour(rumour, now)
        self._report_epoch(datagram.epoch, sender.host_id)
        if self._adopt_store_era(datagram.store_era):
            self._effects.append(
                messages.StoreEraAdvertised(era=datagram.store_era)
            )
        entry = self._replica.view.entry(sender.host_id)
        reply_to = source if entry is None else _get_endpoint(entry.record)
        match datagram.body:
            case messages.Ping(number=number, host_id=host_id):
                if host_id in ("", self.own_record.host_id):
                    ack = messages.Ack(number=number)
                    self._send(
                        reply_to,
                        ack,
                        required=knowledge.list_refutable_rumours(
                            entry, sender
                        ),
                    )
            case messages.PingRequest():
                self._relay_ping(datagram.body, reply_to, now)
            case messages.Ack(number=number):
                self._on_ack(number, now)
            case messages.EmptyBody():
                pass

    def _relay_ping(
        self,
        request: messages.PingRequest,
        requester: messages.Endpoint,
        now: float,
    ) -> None:
        if self._replica.view.entry(request.host_id) is None:
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
        probe = self._prober.current_probe
        if probe is not None and probe.number == number:
            self._prober.current_probe = None
            self._eviction_policy.record_probe(acked=True)
            return
        relay = self._prober.take_relay(number, now)
        if relay is not None:
            self._send(relay.requester, messages.Ack(number=relay.number))

    def _send(
        self,
        endpoint: messages.Endpoint,
        body: messages.Body,
        *,
        required: tuple[messages.Rumour, ...] = (),
    ) -> None:
        chosen = self._replica.take_rumours(body, required, self._last_event_at)
        self._send_with_rumours(endpoint, body, chosen)

    def _send_with_rumours(
        self,
        endpoint: messages.Endpoint,
        body: messages.Body,
        chosen: tuple[messages.Rumour, ...],
    ) -> None:
        datagram = messages.Datagram(
            sender=self.own_record,
            epoch=self._epoch,
            store_era=self._store_era,
            body=body,
            rumours=chosen,
        )
        self._effects.append(
            messages.SendDatagram(endpoint=endpoint, datagram=datagram)
        )

    def _send_gossip_round(self, now: float) -> None:
        """Sends queued rumours to random members within the byte rate."""
        self._next_gossip_at = now + self._timing.gossip_interval_s
        targets = self._partners.sample(
            self._replica.view.list_others(),
            self._timing.gossip_fanout,
            partners.REMOTE_GOSSIP_SHARE,
        )
        for entry in targets:
            if not self._rate_limiter.allows_datagram(now):
                return
            self._send(_get_endpoint(entry.record), messages.EmptyBody())
            self._rate_limiter.consume(
                rumours.estimate_datagram_bytes(self._effects[-1].datagram)
            )

    def _report_epoch(self, epoch: int, host_id: str) -> None:
        if epoch == 0 and self._epoch == 0:
            self._effects.append(messages.NoEpochAdvertised(host_id=host_id))
        elif epoch >= max(1, self._epoch):
            self._effects.append(
                messages.EpochAdvertised(epoch=epoch, host_id=host_id)
            )

    def _adopt_store_era(self, era: int) -> bool:
        """Passes on a newer era of the store; returns whether it is newer."""
        if era <= self._store_era:
            return False
        self._store_era = era
        self._replica.rumour_queue.add_header_change()
        return True

    def _leave(self, now: float) -> None:
        self._replica.update_own_record(now, state=core.MemberState.DEAD)
        targets = self._partners.sample(
            self._replica.view.list_others(worst=Health.ALIVE),
            _LEAVE_FANOUT,
            partners.REMOTE_GOSSIP_SHARE,
        )
        required = (messages.RecordRumour(member=self.own_record),)
        for entry in targets:
            self._send_with_rumours(
                _get_endpoint(entry.record), messages.EmptyBody(), required
            )
        self._has_left = True

    def _add_seeds(
        self, seeds: tuple[messages.Endpoint, ...], now: float
    ) -> None:
        """Contacts seeds, also to merge with a separate group of members."""
        self._contact(self._contacts.add_seeds(seeds, self.own_record, now))

    def _contact(self, seeds: tuple[messages.Endpoint, ...]) -> None:
        for seed in seeds:
            ping = messages.Ping(number=self._prober.number(), host_id="")
            self._send(seed, ping)
        if seeds:
            self._start_sync()

    def _start_sync(self) -> None:
        endpoint = self._contacts.choose_sync_partner(self._replica.view)
        if endpoint is None:
            return
        now = self._last_event_at
        request = self._replica.build_sync_request(self._epoch, now)
        self._send_bulk(endpoint, request)

    def _merge_entries(
        self, entries: tuple[messages.KnownMember, ...], now: float
    ) -> None:
        """Merges entries and keeps the sync interval short if many changed."""
        if not self._replica.merge_entries(entries, now):
            self._contacts.reset_sync_interval(now)

    def _on_sync_answer(
        self,
        endpoint: messages.Endpoint,
        answer: messages.SyncResponse | messages.SyncDone,
        now: float,
    ) -> None:
        if isinstance(answer, messages.SyncDone):
            return
        self._contacts.lengthen_sync_interval(now)
        crash_push = self._replica.merge_crash_reports_of_sync(answer, now)
        if crash_push is not None:
            self._send_bulk(endpoint, crash_push)
        if not answer.buckets:
            return
        self._merge_entries(answer.entries, now)
        push = messages.SyncPush(
            entries=self._replica.view.list_entries_in(answer.buckets)
        )
        self._send_bulk(endpoint, push)

    def _send_bulk(
        self, endpoint: messages.Endpoint, bulk: messages.SyncMessage
    ) -> None:
        self._effects.append(messages.SendBulk(endpoint=endpoint, bulk=bulk))


_get_endpoint = contacts.get_peer_endpoint

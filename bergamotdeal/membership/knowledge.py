"""What a node knows and passes on: its view, and rumours of its changes."""

import dataclasses

from bergamotdeal.membership import core
from bergamotdeal.membership import crashes
from bergamotdeal.membership import messages
from bergamotdeal.membership import rumours
from bergamotdeal.membership import view
from bergamotdeal.telemetry import catalogue

Health = messages.Health

DISPUTE_INTERVAL_S = 5.0
"""Time between raises above another process with the same host id."""

MAX_RUMOURS_FROM_SYNC = 16
"""Entries of one comparison of views that are passed on as rumours."""


class Knowledge:
    """A view whose changes are queued as rumours.

    Args:
      own_record: This node's record.
      now: Monotonic seconds.
      effects: List to which the effects of changes are appended.

    Attributes:
      view: The members.
      queue: Rumours that are still to be passed on.
    """

    def __init__(
        self,
        *,
        own_record: core.Member,
        now: float,
        effects: list[messages.Effect],
    ) -> None:
        self.view = view.View(own_record=own_record, now=now)
        self.queue = rumours.RumourQueue()
        self._crashes = crashes.KnownReports()
        self._effects = effects
        self._next_dispute = now

    @property
    def own_record(self) -> core.Member:
        """This node's record."""
        return self.view.own_record

    def hear(self, rumour: messages.Rumour, now: float) -> None:
        """Takes in one rumour.

        Args:
          rumour: What another node passed on.
          now: Monotonic seconds.
        """
        match rumour:
            case messages.RecordRumour(member=member):
                if member.host_id == self.own_record.host_id:
                    self.refute_record(member, now)
                else:
                    self.merge_record(member, Health.ALIVE, now)
            case messages.VerdictRumour():
                if rumour.host_id == self.own_record.host_id:
                    self.refute(rumour.state_number, now)
                else:
                    self.merge_verdict(rumour, now)
            case messages.CrashRumour(report=report):
                fresh = self.learn_crashes((report,))
                if fresh:
                    self._effects.append(
                        messages.CrashReportsReceived(reports=fresh)
                    )

    def merge_record(
        self, record: core.Member, health: Health, now: float
    ) -> None:
        """Takes in a member's record, and passes it on when it is news.

        Args:
          record: The record as the member announced it.
          health: Health in the view of the node that sent the record.
          now: Monotonic seconds.
        """
        if self._take_in(record, health, now):
            self._pass_on(record, health)

    def _take_in(self, record: core.Member, health: Health, now: float) -> bool:
        is_new = self.view.entry(record.host_id) is None
        if not self.view.merge_record(record, health, now):
            return False
        self._note_change(record.host_id, is_new=is_new)
        return True

    def _pass_on(self, record: core.Member, health: Health) -> None:
        self.queue.add(messages.RecordRumour(member=record))
        if health is not Health.ALIVE:
            self.queue.add(verdict_on(record, health))

    def merge_verdict(
        self, verdict: messages.VerdictRumour, now: float
    ) -> None:
        """Takes in a judgement, and passes it on when it is news.

        Args:
          verdict: The judgement, of this node or of another one.
          now: Monotonic seconds.
        """
        if self.view.merge_verdict(verdict, now):
            self.queue.add(verdict)
            self._note_change(verdict.host_id, is_new=False)

    def _note_change(self, host_id: str, *, is_new: bool) -> None:
        self._effects.append(messages.ViewChanged())
        if is_new:
            code = catalogue.EventCode.MEMBER_JOINED
            fields = {"host": host_id}
        else:
            code = catalogue.EventCode.MEMBER_STATE_CHANGED
            state = self.view.member(host_id).state.value
            fields = {"host": host_id, "state": state}
        self._effects.append(messages.RecordEvent(code=code, fields=fields))

    def learn_crashes(
        self, reports: tuple[core.CrashReport, ...]
    ) -> tuple[core.CrashReport, ...]:
        """Passes on crash reports and returns those that are news."""
        fresh = self._crashes.learn(reports)
        for report in fresh:
            self.queue.add(messages.CrashRumour(report=report))
        return fresh

    def announce(self, now: float, **changes) -> None:
        """Changes fields of this node's own record.

        Args:
          now: Monotonic seconds.
          **changes: Values by field name.
        """
        self._raise_above(self.own_record.state_number, now, **changes)

    def _raise_above(self, state_number: int, now: float, **changes) -> None:
        own = dataclasses.replace(
            self.own_record, state_number=state_number + 1, **changes
        )
        self.view.set_own_record(own, now)
        self.queue.add(messages.RecordRumour(member=own))
        self._effects.append(messages.ViewChanged())

    def refute(self, state_number: int, now: float) -> None:
        """Overrides what others hold against this node.

        Args:
          state_number: State number up to which they hold it.
          now: Monotonic seconds.
        """
        if state_number >= self.own_record.state_number:
            self._raise_above(state_number, now)

    def refute_record(self, record: core.Member, now: float) -> None:
        """Overrides the record of another incarnation of this host.

        One of an earlier process is overridden once. Should another process
        run under the same host id, the two override each other, at a bounded
        rate and with an event on the time line.

        Args:
          record: A record with this node's host id.
          now: Monotonic seconds.
        """
        if record.incarnation == self.own_record.incarnation:
            return
        if record.state_number < self.own_record.state_number:
            return
        if now < self._next_dispute:
            return
        self._next_dispute = now + DISPUTE_INTERVAL_S
        self._raise_above(record.state_number, now)
        address = f"{record.address}:{record.peer_port}"
        fields = {"address": address, "reason": "it has this node's host id"}
        code = catalogue.EventCode.PEER_REJECTED
        self._effects.append(messages.RecordEvent(code=code, fields=fields))

    def merge_entries(
        self, entries: tuple[messages.KnownMember, ...], now: float
    ) -> bool:
        """Takes in entries of another node's view.

        Args:
          entries: The entries; one about this node itself is refuted.
          now: Monotonic seconds.

        Returns:
          Whether the news were few, so that they are passed on as rumours.
        """
        news: list[messages.KnownMember] = []
        for entry in entries:
            member = entry.member
            if member.host_id != self.own_record.host_id:
                if self._take_in(member, entry.health, now):
                    news.append(entry)
                continue
            if entry.health is not Health.ALIVE:
                self.refute(member.state_number, now)
            self.refute_record(member, now)
        # A newcomer learns the whole fleet at once; to it alone that is news.
        if len(news) > MAX_RUMOURS_FROM_SYNC:
            return False
        for entry in news:
            self._pass_on(entry.member, entry.health)
        return True


def verdict_on(record: core.Member, health: Health) -> messages.VerdictRumour:
    """Returns a judgement of a member as its record stands."""
    return messages.VerdictRumour(
        host_id=record.host_id,
        incarnation=record.incarnation,
        state_number=record.state_number,
        health=health,
    )

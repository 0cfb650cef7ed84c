"""A node's replica of the membership view and the rumours about changes."""

import msgspec

from bergamotdeal.membership import core
from bergamotdeal.membership import crashes
from bergamotdeal.membership import messages
from bergamotdeal.membership import rumours
from bergamotdeal.membership import view
from bergamotdeal.telemetry import catalogue

Health = messages.Health

HOST_ID_CONFLICT_INTERVAL_S = 5.0
"""Minimum seconds between refutations of a process with the same host id."""

MAX_RUMOURS_FROM_SYNC = 16
"""Maximum number of changed entries of one sync to forward as rumours."""


class ViewReplica:
    """A membership view whose changes are queued as rumours.

    Args:
      own_record: This node's record.
      now: Current time in monotonic seconds.
      effects: List to which the effects of changes are appended.

    Attributes:
      view: The membership view.
      rumour_queue: Rumours that remain to be sent.
    """

    def __init__(
        self,
        *,
        own_record: core.Member,
        now: float,
        effects: list[messages.Effect],
    ) -> None:
        self.view = view.View(own_record=own_record, now=now)
        self.rumour_queue = rumours.RumourQueue()
        self._crash_reports = crashes.CrashReportLog()
        self._effects = effects
        self._next_refutation_at = now

    @property
    def own_record(self) -> core.Member:
        """This node's record."""
        return self.view.own_record

    def merge_rumour(self, rumour: messages.Rumour, now: float) -> None:
        """Merges one rumour into the view.

        Args:
          rumour: Rumour received from another node.
          now: Current time in monotonic seconds.
        """
        match rumour:
            case messages.RecordRumour(member=member):
                if member.host_id == self.own_record.host_id:
                    self.refute_record(member, now)
                else:
                    self.merge_record(member, Health.ALIVE, now)
            case messages.VerdictRumour():
                if rumour.host_id == self.own_record.host_id:
                    self.refute_verdict(rumour.state_number, now)
                else:
                    self.merge_verdict(rumour, now)
            case messages.CrashRumour(report=report):
                self._add_crash_reports((report,), now)

    def merge_record(
        self, record: core.Member, health: Health, now: float
    ) -> None:
        """Merges a member's record and queues it as a rumour if it is newer.

        Args:
          record: The record as the member announced it.
          health: Health in the view of the node that sent the record.
          now: Current time in monotonic seconds.
        """
        if self._merge_into_view(record, health, now):
            self._queue_rumours(record, health)
        else:
            self.rumour_queue.record_duplicate(
                messages.RecordRumour(member=record)
            )

    def _merge_into_view(
        self, record: core.Member, health: Health, now: float
    ) -> bool:
        is_new = self.view.entry(record.host_id) is None
        if not self.view.merge_record(record, health, now):
            return False
        self._emit_change(record.host_id, is_new=is_new)
        return True

    def _queue_rumours(self, record: core.Member, health: Health) -> None:
        self.rumour_queue.add(messages.RecordRumour(member=record))
        if health is not Health.ALIVE:
            self.rumour_queue.add(make_verdict(record, health))

    def mark(self, record: core.Member, health: Health, now: float) -> None:
        """Applies and passes on this node's own verdict on a member.

        Args:
          record: The member's record.
          health: Health to assert.
          now: Current time in monotonic seconds.
        """
        self.merge_verdict(make_verdict(record, health), now)

    def merge_verdict(
        self, verdict: messages.VerdictRumour, now: float
    ) -> None:
        """Merges a verdict and queues it as a rumour if it changes the view.

        Args:
          verdict: Verdict of this node or of another one.
          now: Current time in monotonic seconds.
        """
        if self.view.merge_verdict(verdict, now):
            self.rumour_queue.add(verdict)
            self._emit_change(verdict.host_id, is_new=False)
        else:
            self.rumour_queue.record_duplicate(verdict)

    def _emit_change(self, host_id: str, *, is_new: bool) -> None:
        self._effects.append(messages.ViewChanged())
        if is_new:
            code = catalogue.EventCode.MEMBER_JOINED
            fields = {"host": host_id}
        else:
            code = catalogue.EventCode.MEMBER_STATE_CHANGED
            state = self.view.member(host_id).state.value
            fields = {"host": host_id, "state": state}
        self._effects.append(messages.EmitEvent(code=code, fields=fields))

    def add_own_crash_reports(
        self, reports: tuple[core.CrashReport, ...], now: float
    ) -> None:
        """Queues crash reports of this node as rumours.

        Args:
          reports: The reports.
          now: Current time in monotonic seconds.
        """
        for report in self._crash_reports.add_new(reports, now):
            self.rumour_queue.add(messages.CrashRumour(report=report))

    def list_confirmed_crashes(
        self, now: float
    ) -> tuple[core.CrashReport, ...]:
        """Returns this node's crash reports that another crash confirms.

        Args:
          now: Current time in monotonic seconds.
        """
        host_id = self.own_record.host_id
        return self._crash_reports.list_confirmed(host_id, now)

    def merge_crash_reports(
        self,
        reports: tuple[core.CrashReport, ...],
        now: float,
        source: str = "another node",
    ) -> None:
        """Adds crash reports that this node missed as rumours.

        Args:
          reports: The reports; known and expired ones are ignored.
          now: Current time in monotonic seconds.
          source: Where the reports come from, for the event log.
        """
        new_reports = self._add_crash_reports(reports, now)
        if not new_reports:
            return
        age_s = min(report.age_s for report in new_reports)
        self._effects.append(
            messages.EmitEvent(
                code=catalogue.EventCode.CRASH_REPORTS_SYNCED,
                fields={
                    "count": len(new_reports),
                    "source": source,
                    "age_s": round(age_s, 1),
                },
            )
        )

    def _add_crash_reports(
        self, reports: tuple[core.CrashReport, ...], now: float
    ) -> tuple[core.CrashReport, ...]:
        """Adds reports, forwards a few as rumours and returns the new ones."""
        new_reports = self._crash_reports.add_new(reports, now)
        if new_reports:
            if len(new_reports) <= MAX_RUMOURS_FROM_SYNC:
                for report in new_reports:
                    self.rumour_queue.add(messages.CrashRumour(report=report))
            self._effects.append(
                messages.CrashReportsReceived(reports=new_reports)
            )
        return new_reports

    def build_sync_request(
        self, epoch: int, now: float
    ) -> messages.SyncRequest:
        """Builds the request that starts a sync.

        Args:
          epoch: Epoch of the preset in force.
          now: Current time in monotonic seconds.
        """
        return messages.SyncRequest(
            sender=self.own_record,
            epoch=epoch,
            digests=self.view.digests,
            crash_digest=self._crash_reports.compute_digest(now),
        )

    def build_sync_response(
        self, request: messages.SyncRequest, now: float
    ) -> messages.SyncResponse:
        """Builds the answer with all that may be new to the requester.

        Args:
          request: The request.
          now: Current time in monotonic seconds.
        """
        buckets = self.view.find_differing_buckets(request.digests)
        crash_digest = self._crash_reports.compute_digest(now)
        return messages.SyncResponse(
            buckets=buckets,
            entries=self.view.list_entries_in(buckets),
            crash_digest=crash_digest,
            crash_reports=(
                self._crash_reports.list_current(now)
                if request.crash_digest not in (0, crash_digest)
                else ()
            ),
        )

    def merge_crash_reports_of_sync(
        self, response: messages.SyncResponse, now: float
    ) -> messages.CrashPush | None:
        """Merges the crash reports of a sync.

        Args:
          response: The answer to this node's request.
          now: Current time in monotonic seconds.

        Returns:
          The reports that the responder lacks, or None.
        """
        own_digest = self._crash_reports.compute_digest(now)
        if response.crash_digest in (0, own_digest):
            return None
        missing = self._crash_reports.list_missing(response.crash_reports, now)
        self.merge_crash_reports(response.crash_reports, now)
        return messages.CrashPush(reports=missing) if missing else None

    def take_rumours(
        self,
        body: messages.Body,
        required: tuple[messages.Rumour, ...],
        now: float,
    ) -> tuple[messages.Rumour, ...]:
        """Selects the rumours for one datagram and counts them as sent.

        Args:
          body: The datagram's body.
          required: Rumours to include in any case, ahead of the queued ones.
          now: Current time in monotonic seconds.
        """
        chosen = self.rumour_queue.take(
            max_bytes=rumours.compute_rumour_budget(self.own_record, body),
            fleet_size=len(self.view),
            required=required,
        )
        # A report may have been queued for long, as while this node was cut
        # off.
        updated = []
        for rumour in chosen:
            if isinstance(rumour, messages.CrashRumour):
                report = self._crash_reports.update_age(rumour.report, now)
                if report is None:
                    continue
                rumour = messages.CrashRumour(report=report)
            updated.append(rumour)
        return tuple(updated)

    def update_own_record(self, now: float, **changes) -> None:
        """Changes fields of this node's record and announces the change.

        Args:
          now: Current time in monotonic seconds.
          **changes: New values by field name.
        """
        self._supersede(self.own_record.state_number, now, **changes)

    def _supersede(self, state_number: int, now: float, **changes) -> None:
        own = msgspec.structs.replace(
            self.own_record, state_number=state_number + 1, **changes
        )
        self.view.set_own_record(own, now)
        self.rumour_queue.add(messages.RecordRumour(member=own))
        self._effects.append(messages.ViewChanged())

    def refute_verdict(self, state_number: int, now: float) -> None:
        """Refutes a verdict of other nodes on this node.

        Args:
          state_number: State number up to which the verdict holds.
          now: Current time in monotonic seconds.
        """
        if state_number >= self.own_record.state_number:
            self._supersede(state_number, now)

    def refute_record(self, record: core.Member, now: float) -> None:
        """Supersedes the record of another incarnation of this host.

        The record of an earlier process has to be superseded only once. If a
        second process runs with the same host id, the two keep superseding
        each other; the rate is bounded and each time is an event on the
        timeline.

        Args:
          record: A record with this node's host id.
          now: Current time in monotonic seconds.
        """
        if record.incarnation == self.own_record.incarnation:
            return
        if record.state_number < self.own_record.state_number:
            return
        if now < self._next_refutation_at:
            return
        self._next_refutation_at = now + HOST_ID_CONFLICT_INTERVAL_S
        self._supersede(record.state_number, now)
        address = f"{record.address}:{record.peer_port}"
        fields = {"address": address, "reason": "it has this node's host id"}
        code = catalogue.EventCode.PEER_REJECTED
        self._effects.append(messages.EmitEvent(code=code, fields=fields))

    def merge_entries(
        self, entries: tuple[messages.KnownMember, ...], now: float
    ) -> bool:
        """Merges entries of another node's view.

        Args:
          entries: The entries. A suspect or dead entry of this node itself and
            one of another incarnation are refuted.
          now: Current time in monotonic seconds.

        Returns:
          Whether few enough entries changed to forward them as rumours.
        """
        changed_entries: list[messages.KnownMember] = []
        for entry in entries:
            member = entry.member
            if member.host_id != self.own_record.host_id:
                if self._merge_into_view(member, entry.health, now):
                    changed_entries.append(entry)
                continue
            if entry.health is not Health.ALIVE:
                self.refute_verdict(member.state_number, now)
            self.refute_record(member, now)
        # A joining node learns the whole fleet at once; the others know it.
        if len(changed_entries) > MAX_RUMOURS_FROM_SYNC:
            return False
        for entry in changed_entries:
            self._queue_rumours(entry.member, entry.health)
        return True


def make_verdict(record: core.Member, health: Health) -> messages.VerdictRumour:
    """Builds a verdict on a member's current incarnation and state number.

    Args:
      record: The member's record.
      health: Health to assert.
    """
    return messages.VerdictRumour(
        host_id=record.host_id,
        incarnation=record.incarnation,
        state_number=record.state_number,
        health=health,
    )


def list_refutable_rumours(
    entry: view.Entry | None, sender: core.Member
) -> tuple[messages.Rumour, ...]:
    """Returns the rumours about a member that it has to refute.

    Args:
      entry: Entry of the member, or None if it is unknown.
      sender: Record that the member sent.
    """
    if entry is None:
        return ()
    if entry.record.incarnation != sender.incarnation:
        return (messages.RecordRumour(member=entry.record),)
    if entry.health is Health.ALIVE:
        return ()
    return (make_verdict(entry.record, entry.health),)

"""The counted hosts: those among which the parts of caps are divided.

Two hosts may grant tokens at the same time only if each counts the other;
otherwise both could grant the same part. A process therefore introduces itself
to all reachable hosts before it grants anything, in three stages. A host that
committed is counted by the others at once, and is active only when all of them
have confirmed. While a counted host can't be reached, a process becomes active
only if all the others already knew its host as active, and with them the one
that is missing; a new host waits until the missing one is no longer counted.

A host that sees fewer than half of the counted hosts for ``LAPSE_S`` grants
nothing and has to introduce itself again. Only a host that has seen more than
half of them for the longer ``REMOVAL_S`` stops counting those that it has not
seen in all that time.
"""

from collections.abc import Collection
import random

import msgspec

from bergamotdeal.quotas import messages
from bergamotdeal.quotas import replies
from bergamotdeal.routing import rendezvous

LAPSE_S = 480.0
REMOVAL_S = 600.0
SETTLE_S = 1.0
"""Time for which all reachable hosts must have replied before the next stage,
in which the membership learns of hosts that started at the same time. It is
skipped by a host that most of the listed hosts have replied to."""

FIRST_PARTS_S = 0.5
"""Time after its first activation in which the parts of a host are those that
it had when all hosts started."""

RETRY_S = 0.3
SILENT_S = 1.2
"""Time without a reply to introductions from which a host counts as missing.
The membership takes longer to suspect a host that has left, whose entry a
restarted process reads from the store."""

MAX_INTRODUCTIONS = 40
"""Maximum introductions per call of ``advance``, which limits the traffic of a
start in a large fleet."""

_Stage = messages.Stage


class _Host(msgspec.Struct, kw_only=True):
    """A counted host.

    Attributes:
      is_active: Whether the host has told that it grants tokens.
      absent_since: Time since when it is not seen by a majority, or None.
    """

    is_active: bool = False
    absent_since: float | None = None


class CountedHosts:
    """The counted hosts as this host knows them, and its right to grant.

    Args:
      host_id: Name of this host.
      rng: Random number generator.
      now: Time in seconds on the clock that counts suspended time.
      may_be_alone: Whether this host may be the whole fleet.

    Attributes:
      digests_by_host: Digests of the counted hosts by name.
      version: Number that changes with the counted hosts and with the right to
        grant.
      stage: Stage of this process.
      term: Number of the attempt to become active.
    """

    def __init__(
        self,
        *,
        host_id: str,
        rng: random.Random,
        now: float,
        may_be_alone: bool = False,
    ):
        self._host_id = host_id
        self._rng = rng
        self._may_be_alone = may_be_alone
        self._listed_count: int | None = None
        self._has_resigned = False
        self._hosts: dict[str, _Host] = {}
        self._names_by_digest: dict[int, str] = {}
        self._present: dict[str, None] = {}
        self._present_by_digest: dict[int, str] = {}
        self.digests_by_host: dict[str, int] = {}
        self.version = 0
        self.term = 0
        self._half_seen_at = now
        self._active_since = now
        self._started_at = now
        self._restart_introductions()

    def may_grant(self, now: float) -> bool:
        """Returns whether this host may grant tokens.

        Args:
          now: Time in seconds on the clock that counts suspended time.
        """
        return (
            self.stage is _Stage.ACTIVE and now - self._half_seen_at < LAPSE_S
        )

    def find_fill_start(self, now: float) -> float:
        """Returns the time from which a new bucket counts as filled.

        It is the start of this process if all hosts have restarted, as nobody
        has granted tokens since then. A part that comes to this host later was
        another host's.

        Args:
          now: Time in seconds on the clock that counts suspended time.
        """
        if self._unused_since is None:
            return now
        is_first_part = now - self._active_since < FIRST_PARTS_S
        return self._unused_since if is_first_part else now

    @property
    def present_count(self) -> int:
        """Number of counted hosts that are reachable."""
        return sum(map(self.is_present, self._hosts))

    def has_granting_hosts(self, now: float) -> bool:
        """Returns whether this host or half of the reachable ones grant.

        Args:
          now: Time in seconds on the clock that counts suspended time.
        """
        granting = sum(
            host.is_active and self.is_present(host_id)
            for host_id, host in self._hosts.items()
        )
        return self.may_grant(now) or (
            granting > 0 and 2 * granting >= len(self._present)
        )

    def apply_listing(self, host_ids: Collection[str]) -> None:
        """Applies the store's list of the fleet's hosts.

        Args:
          host_ids: Names of the hosts, some of which may have left. This host
            is missing if it has never run before.
        """
        # Of hosts that start together, at most one is listed alone.
        self._may_be_alone = set(host_ids) == {self._host_id}
        # While a fleet starts for the first time, the list is incomplete.
        is_complete = self._host_id in host_ids
        self._listed_count = len(host_ids) if is_complete else None

    def resign(self) -> None:
        """Stops granting for the rest of the process.

        Other hosts stop counting this one when they learn that it drains.
        """
        self._has_resigned = True
        self._remove(self._host_id)
        self._restart_introductions()

    def is_present(self, host_id: str) -> bool:
        """Returns whether the membership regards a host as reachable."""
        return host_id == self._host_id or host_id in self._present

    def update_members(
        self,
        *,
        present: Collection[str],
        left: Collection[str],
        now: float,
    ) -> None:
        """Applies the membership's view.

        Args:
          present: Names of the hosts that are reachable.
          left: Names of the hosts that announced that they stop.
          now: Time in seconds on the clock that counts suspended time.
        """
        # Replies that were given before a host became unreachable still hold,
        # but a host that is new to the view has to be asked first.
        if set(present) - self._present.keys() - {self._host_id}:
            self._settled_since = None
        self._present = dict.fromkeys(sorted(present))
        self._present.pop(self._host_id, None)
        for host_id in left:
            if host_id != self._host_id:
                self._remove(host_id)
        known = {name: key for key, name in self._present_by_digest.items()}
        self._present_by_digest = {
            known.get(host_id) or rendezvous.digest(host_id): host_id
            for host_id in self._present
        }
        for host_id in self._present:
            self._name(host_id)
        self._progress(now)

    def advance(self, now: float) -> list[tuple[str, messages.Introduction]]:
        """Applies the passage of time.

        Args:
          now: Time in seconds on the clock that counts suspended time.

        Returns:
          Introductions to send, with the names of the hosts.
        """
        self._progress(now)
        return self._list_introductions(now)

    def handle_introduction(
        self, message: messages.Introduction, now: float
    ) -> messages.IntroductionReply:
        """Handles the introduction of another host.

        Args:
          message: The introduction.
          now: Time in seconds on the clock that counts suspended time.

        Returns:
          The reply to send.
        """
        sender = message.host_id
        known = self._hosts.get(sender)
        was_active = known is not None and known.is_active
        if message.stage is not _Stage.ANNOUNCED:
            self._count(sender, is_active=message.stage is _Stage.ACTIVE)
        active: list[int] = []
        if message.stage is not _Stage.ACTIVE:
            active = [
                self.digests_by_host[host_id]
                for host_id, host in self._hosts.items()
                if host.is_active and host_id != sender
            ]
        if len(active) > messages.MAX_ACTIVE:
            active = self._rng.sample(active, messages.MAX_ACTIVE)
        return messages.IntroductionReply(
            host_id=self._host_id,
            nonce=message.nonce,
            stage=message.stage,
            was_active=was_active,
            may_have_removed=(
                self.stage is _Stage.ACTIVE
                and now - self._active_since >= REMOVAL_S
            ),
            is_counted=sender in self._hosts,
            own_stage=self.stage,
            active_count=self._count_active(except_id=sender),
            active=tuple(active),
        )

    def handle_reply(
        self, message: messages.IntroductionReply, now: float
    ) -> None:
        """Handles the reply to an introduction of this host.

        Args:
          message: The reply.
          now: Time in seconds on the clock that counts suspended time.
        """
        if message.nonce != self._nonce or message.stage > self.stage:
            return
        replier = message.host_id
        if message.own_stage is not _Stage.ANNOUNCED:
            is_active = message.own_stage is _Stage.ACTIVE
            self._count(replier, is_active=is_active)
        is_counted = message.is_counted and not self._has_resigned
        if is_counted and self.stage is _Stage.ANNOUNCED:
            self._count(self._host_id)
        if self.stage is not _Stage.ACTIVE:
            for digest in message.active:
                self._count_active_digest(digest)
        self._replies.record(message)
        self._try_next_stage(now)

    # Counting.

    def _name(self, host_id: str) -> None:
        """Replaces the placeholder of a host whose name was not known."""
        digest = rendezvous.digest(host_id)
        placeholder = self._names_by_digest.get(digest)
        if placeholder is None or placeholder == host_id:
            return
        host = self._hosts.pop(placeholder)
        del self.digests_by_host[placeholder]
        self._insert(host_id, host, digest)

    def _insert(self, host_id: str, host: _Host, digest: int) -> None:
        self._hosts[host_id] = host
        self.digests_by_host[host_id] = digest
        self._names_by_digest[digest] = host_id
        self.version += 1

    def _count(self, host_id: str, *, is_active: bool = False) -> None:
        self._name(host_id)
        host = self._hosts.get(host_id)
        if host is None:
            host = _Host()
            self._insert(host_id, host, rendezvous.digest(host_id))
        host.is_active = host.is_active or is_active

    def _count_active_digest(self, digest: int) -> None:
        """Counts a host that another host counts as active."""
        host_id = self._names_by_digest.get(digest)
        if host_id is None:
            host_id = self._present_by_digest.get(digest)
        if host_id is not None:
            self._count(host_id, is_active=True)
        else:
            self._insert(f"#{digest:x}", _Host(is_active=True), digest)

    def _remove(self, host_id: str) -> None:
        self._replies.by_host.pop(host_id, None)
        if self._hosts.pop(host_id, None) is None:
            return
        del self._names_by_digest[self.digests_by_host.pop(host_id)]
        self.version += 1

    def _count_active(self, *, except_id: str) -> int:
        return sum(
            host.is_active and host_id != except_id
            for host_id, host in self._hosts.items()
        )

    # Presence.

    def _progress(self, now: float) -> None:
        has_lapsed = now - self._half_seen_at >= LAPSE_S
        if has_lapsed and self.stage is not _Stage.ANNOUNCED:
            self._restart_introductions()
        self._update_presence(now)
        self._try_next_stage(now)

    def _update_presence(self, now: float) -> None:
        """Updates which counted hosts are seen, and removes dead ones."""
        present_count = sum(map(self.is_present, self._hosts))
        if 2 * present_count >= len(self._hosts):
            self._half_seen_at = now
        for host_id, host in list(self._hosts.items()):
            if self.is_present(host_id):
                host.absent_since = None
            elif 2 * present_count <= len(self._hosts):
                # Only a majority that lasts for the whole time removes hosts.
                host.absent_since = None
            elif host.absent_since is None:
                host.absent_since = now
            elif now - host.absent_since >= REMOVAL_S:
                self._remove(host_id)

    # Stages.

    def _restart_introductions(self) -> None:
        self.stage = _Stage.ANNOUNCED
        self._unused_since: float | None = None
        self.term += 1
        self._nonce = self._rng.getrandbits(31)
        self._replies = replies.ReplyTable()
        self._sent_at_by_host: dict[str, float] = {}
        self._introduced_at_by_host: dict[str, float] = {}
        self._settled_since: float | None = None
        self.version += 1

    def _is_silent(self, host_id: str, now: float) -> bool:
        """Returns whether a host has never replied in this term."""
        if host_id in self._replies.by_host:
            return False
        introduced_at = self._introduced_at_by_host.get(host_id, now)
        return now - introduced_at >= SILENT_S

    def _list_responsive(self, now: float) -> list[str]:
        """Returns the reachable hosts that reply or still have time to."""
        return [
            host_id
            for host_id in self._present
            if not self._is_silent(host_id, now)
        ]

    def _is_confirmed(self, responsive: list[str]) -> bool:
        """Returns whether all responsive hosts have confirmed the stage."""
        active_count = self._count_active(except_id=self._host_id)
        for host_id in responsive:
            reply = self._replies.by_host.get(host_id)
            if reply is None or reply.stage < self.stage:
                return False
            # A reply names only some of the active hosts of a large fleet.
            if reply.active_count > active_count:
                return False
        if responsive:
            return True
        return self._may_be_alone and not self._present

    def _try_next_stage(self, now: float) -> None:
        if self._has_resigned or self.stage is _Stage.ACTIVE:
            return
        responsive = self._list_responsive(now)
        if not self._is_confirmed(responsive):
            return
        if self.stage is _Stage.ANNOUNCED and not self._replies.show_restart(
            self._listed_count
        ):
            if self._settled_since is None:
                self._settled_since = now
            if now - self._settled_since < SETTLE_S:
                return
        elif self._has_all_restarted():
            self._unused_since = self._started_at
        if not self._may_advance(responsive):
            return
        self._count(self._host_id)
        self.stage = _Stage(self.stage + 1)
        if self.stage is _Stage.ACTIVE:
            self._hosts[self._host_id].is_active = True
            self._half_seen_at = now
            self._active_since = now
        self.version += 1
        self._try_next_stage(now)

    def _has_all_restarted(self) -> bool:
        """Returns whether no host has granted tokens since this one started."""
        is_first = self.stage is _Stage.ANNOUNCED and self.term == 1
        return is_first and not self._replies.has_active_replier

    def _may_advance(self, responsive: list[str]) -> bool:
        """Returns whether no host that is missing could be in the way."""
        others = [name for name in self._hosts if name != self._host_id]
        seen = {*responsive, self._host_id}
        present_count = 1 + sum(name in seen for name in others)
        if 2 * present_count < 1 + len(others):
            return False
        absent = any(
            self._hosts[name].is_active and name not in seen for name in others
        )
        if not absent:
            return True
        # A host that has just started knows few others as active, which is no
        # sign that this one is no longer counted.
        given = [self._replies.by_host[name] for name in responsive]
        return any(reply.was_active for reply in given) and not any(
            reply.may_have_removed and not reply.was_active for reply in given
        )

    def _list_introductions(
        self, now: float
    ) -> list[tuple[str, messages.Introduction]]:
        introduction = messages.Introduction(
            host_id=self._host_id, nonce=self._nonce, stage=self.stage
        )
        due: list[tuple[str, messages.Introduction]] = []
        is_active = self.stage is _Stage.ACTIVE
        active_count = self._count_active(except_id=self._host_id)
        for host_id in self._present:
            reply = self._replies.by_host.get(host_id)
            if (
                reply is not None
                and reply.stage >= self.stage
                and (is_active or reply.active_count <= active_count)
            ):
                continue
            if now - self._sent_at_by_host.get(host_id, -RETRY_S) < RETRY_S:
                continue
            self._sent_at_by_host[host_id] = now
            self._introduced_at_by_host.setdefault(host_id, now)
            due.append((host_id, introduction))
            if len(due) >= MAX_INTRODUCTIONS:
                break
        return due

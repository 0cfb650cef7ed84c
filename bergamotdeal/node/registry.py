"""Registry task: node discovery through entries in the store."""

from collections.abc import Callable
from collections.abc import Collection
import random
import time

import result
from twisted.internet import defer
from twisted.internet import task
from twisted.python import failure as twisted_failure
from twisted.python import log

from bergamotdeal.membership import contact_search
from bergamotdeal.membership import core
from bergamotdeal.membership import registry
from bergamotdeal.node import membership as membership_task
from bergamotdeal.routing import rendezvous
from bergamotdeal.settings import model as settings_model
from bergamotdeal.store import backoff
from bergamotdeal.store import core as store_core
from bergamotdeal.telemetry import catalogue
from bergamotdeal.telemetry import records
from bergamotdeal.utils import clocks

START_JITTER_S = 0.2
"""Upper bound of the random delay before the first poll, which spreads the
first store calls of nodes that start together."""

MIN_POLL_INTERVAL_S = 1.0
"""Delay before the second poll. By then the nodes that start together have
written their entries."""

MAX_POLL_INTERVAL_S = 600.0
"""Poll interval after the first minutes. With it a fleet of 1,300 nodes sends
about two list requests a second."""

RESTORE_JITTER_S = 2.0
"""Upper bound of the delay that spreads the polls after a restore."""

RESTORE_DEPTH_S = 60.0
"""Age above which an entry is in the copy from which the store was restored,
which is some seconds old."""

SEARCH_INTERVAL_S = 0.15
"""Time for contacted hosts to become known before more are contacted."""

CHOICES_PER_TURN = 20
"""Entries of gone hosts for which a remover is chosen in one turn of the event
loop; each choice takes time in proportion to the fleet."""

MAX_REMOVALS_PER_POLL = 20
"""Entries of hosts that are gone which one node removes after one listing."""

ISOLATION_CHECK_INTERVAL_S = 0.5
LONG_ISOLATION_S = 600.0
"""Isolation after which others may have removed this node's entry."""

RETURN_JITTER_S = 1.0
"""Upper bound of the delay that spreads the polls after an isolation."""

CRASH_WRITE_DELAY_S = 0.2
"""Upper bound of the delay before a crash is written to the registry, which
spreads the writes of nodes that hear of it at the same time."""

MAX_ENTRY_READS_PER_POLL = 3
"""Entries read in one poll of a store that lists keys without values. Few are
needed, as each contacted node introduces all the members that it knows."""

_MS_PER_S = 1000
_KINDS = store_core.FailureKind
_REMOVED_KINDS = frozenset((_KINDS.CONFLICT, _KINDS.NOT_FOUND))


class IsolationDetector:
    """Detector of the end of a long isolation or pause of this node.

    Args:
      is_isolated: Returns whether this node seems to be cut off.
      now: Seconds on a clock that counts suspended time.
    """

    def __init__(self, *, is_isolated: Callable[[], bool], now: float) -> None:
        self._is_isolated = is_isolated
        self._connected_at = now

    def has_ended(self, now: float) -> bool:
        """Returns whether a long isolation has ended since the last call.

        Args:
          now: Seconds on a clock that counts suspended time.
        """
        if self._is_isolated():
            return False
        isolated_s = now - self._connected_at
        self._connected_at = now
        return isolated_s >= LONG_ISOLATION_S


class RegistryTask:
    """Task that maintains this node's entry and contacts unknown nodes.

    Args:
      settings: The node's settings.
      reactor: The reactor.
      rng: Random number generator.
      store: The platform's object store.
      membership: The membership task.
      record: Takes events for the event log.
      on_listed: Called after each listing with the ids of the listed hosts.
      suspend_clock: Returns seconds on a clock that counts suspended time.
      wall_clock: Returns Unix seconds.
    """

    def __init__(
        self,
        *,
        settings: settings_model.Settings,
        reactor,
        rng: random.Random,
        store: store_core.Store,
        membership: membership_task.MembershipTask,
        record: Callable[[records.EventRecord], None],
        on_listed: Callable[[Collection[str]], None] | None = None,
        suspend_clock: Callable[[], float] = clocks.read_suspend_clock,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self._host_id = settings.node.host_id
        self._data_centre = settings.node.data_centre
        self._key = registry.build_key(self._host_id)
        self._reactor = reactor
        self._rng = rng
        self._store = store
        self._membership = membership
        self._record = record
        self._on_listed = on_listed
        self._wall_clock = wall_clock
        self._introductions = registry.ContactTracker()
        self._crash_archive = registry.CrashArchive(host_id=self._host_id)
        self._confirmed_ids: set[str] = set()
        self._crash_timer = None
        self._search_timer = None
        self._backoff = backoff.ExponentialBackoff(
            rng=rng,
            initial_s=MIN_POLL_INTERVAL_S,
            max_s=MAX_POLL_INTERVAL_S,
        )
        self._poll_timer = None
        self._written_at: float | None = None
        self._running = False
        self._isolation = IsolationDetector(
            is_isolated=membership.is_eviction_frozen, now=suspend_clock()
        )
        self._suspend_clock = suspend_clock
        self._isolation_checks = task.LoopingCall(self._check_isolation)
        self._isolation_checks.clock = reactor

    def start(self) -> None:
        """Starts polling the registry."""
        self._running = True
        self._schedule_poll(START_JITTER_S * self._rng.random())
        self._isolation_checks.start(ISOLATION_CHECK_INTERVAL_S, now=False)

    def stop(self) -> None:
        """Stops polling; the entry stays for the next start of the node."""
        self._running = False
        if self._isolation_checks.running:
            self._isolation_checks.stop()
        for timer in (self._poll_timer, self._search_timer, self._crash_timer):
            if timer is not None and timer.active():
                timer.cancel()

    def handle_store_restored(self) -> None:
        """Polls again soon if the restored copy may lack this node's entry."""
        if self._written_at is None:
            return
        if self._reactor.seconds() - self._written_at < RESTORE_DEPTH_S:
            self._backoff.reset()
            self._schedule_poll(RESTORE_JITTER_S * self._rng.random())

    def handle_crash_reports(self) -> None:
        """Writes the entry soon if a crash of the own server is confirmed."""
        # The reports of one crash arrive one after the other.
        if self._running and self._crash_timer is None:
            self._crash_timer = self._reactor.callLater(
                CRASH_WRITE_DELAY_S * self._rng.random(), self._write_crashes
            )

    def _write_crashes(self) -> None:
        self._crash_timer = None
        confirmed_ids = {
            f"{report.death_id} {report.fingerprint}"
            for report in self._membership.list_confirmed_crashes()
        }
        if confirmed_ids <= self._confirmed_ids:
            return
        self._confirmed_ids = confirmed_ids
        self._schedule_poll(0.0)

    def _check_isolation(self) -> None:
        """Polls soon after an isolation in which the entry may have gone."""
        if self._isolation.has_ended(self._suspend_clock()):
            self._backoff.reset()
            self._schedule_poll(RETURN_JITTER_S * self._rng.random())

    def _schedule_poll(self, delay_s: float) -> None:
        if self._poll_timer is not None and self._poll_timer.active():
            self._poll_timer.cancel()
        if self._running:
            self._poll_timer = self._reactor.callLater(delay_s, self._poll)

    def _poll(self) -> None:
        """Polls once and schedules the next poll, whatever happens."""
        pending = self._synchronize()
        pending.addErrback(self._handle_poll_failure)
        pending.addCallback(self._schedule_next_poll)

    def _schedule_next_poll(self, has_entry: bool | None) -> None:
        if has_entry is False:
            self._backoff.reset()
        self._schedule_poll(self._backoff.next_delay())

    def _handle_poll_failure(self, failure: twisted_failure.Failure) -> None:
        """Logs an error that an entry of another writer may have caused."""
        log.err(failure, "poll of the registry failed")

    @defer.inlineCallbacks
    def _synchronize(self):
        """Writes this node's entry and contacts unknown nodes, once.

        Returns:
          Whether this node's entry is up to date, or None if the store could
          not be read.
        """
        outcome = yield self._store.list(registry.ENTRY_PREFIX)
        if not self._running:
            return None
        if isinstance(outcome, result.Err):
            self._record_store_failure("read", outcome.err_value)
            return None
        listed_by_host_id = {
            registry.parse_host_id(listed.key): listed
            for listed in outcome.ok_value
        }
        if self._on_listed is not None:
            self._on_listed(listed_by_host_id.keys())
        own_version, own_value = yield self._find_own_entry(
            listed_by_host_id.get(self._host_id)
        )
        values_by_host_id = {
            host_id: listed.value
            for host_id, listed in listed_by_host_id.items()
        }
        self._recover_crashes(values_by_host_id | {self._host_id: own_value})
        has_entry = yield self._write_own_entry(own_version, own_value)
        yield self._contact_unknown_hosts(listed_by_host_id)
        yield self._remove_gone_hosts()
        return has_entry

    def _recover_crashes(
        self, values_by_host_id: dict[str, bytes | None]
    ) -> None:
        """Adds the crashes in the listed entries to the known ones."""
        reports: list[core.CrashReport] = []
        for host_id, value in values_by_host_id.items():
            if value is None or registry.CRASHES_FIELD not in value:
                continue
            match registry.decode(value):
                case result.Ok(entry):
                    reports += self._crash_archive.read(
                        host_id, entry, self._read_wall_ms()
                    )
                case result.Err(reason):
                    self._record_failure("entry of " + host_id, reason)
        if reports:
            self._membership.add_crash_reports(tuple(reports))

    def _read_wall_ms(self) -> int:
        return int(self._wall_clock() * _MS_PER_S)

    @defer.inlineCallbacks
    def _find_own_entry(self, listed: store_core.ListingEntry | None):
        """Returns the version and value of this node's entry."""
        if listed is None:
            return store_core.NO_VERSION, None
        if listed.value is None:
            found = yield self._read_own_entry()
            return found
        return listed.version, listed.value

    @defer.inlineCallbacks
    def _write_own_entry(self, version: int, value: bytes | None):
        """Writes this node's entry if needed; returns True on success."""
        own = self._membership.members_by_id()[self._host_id]
        crashes = self._crash_archive.build(
            self._membership.list_confirmed_crashes(), self._read_wall_ms()
        )
        expected = registry.encode(registry.build_entry(own, crashes))
        if value == expected:
            return True
        outcome = yield self._store.put(
            self._key, expected, expected_version=version
        )
        match outcome:
            case result.Ok(_):
                self._written_at = self._reactor.seconds()
                return True
            case result.Err(failure) if failure.kind is _KINDS.CONFLICT:
                # The listing may have been stale; if the entry still differs,
                # the next poll lists and writes again.
                version, value = yield self._read_own_entry()
                return value == expected
            case result.Err(failure):
                self._record_store_failure("write", failure)
        return False

    @defer.inlineCallbacks
    def _read_own_entry(self):
        outcome = yield self._store.get(self._key)
        match outcome:
            case result.Ok(stored):
                return stored.version, stored.value
            case result.Err(failure):
                self._record_store_failure("read of the own entry", failure)
        return store_core.NO_VERSION, None

    @defer.inlineCallbacks
    def _contact_unknown_hosts(
        self, listed_by_host_id: dict[str, store_core.ListingEntry]
    ):
        """Contacts some of the listed nodes that are not known members."""
        versions_by_host = {
            listed_id: listed.version
            for listed_id, listed in listed_by_host_id.items()
        }
        unknown_host_ids = self._introductions.list_unknown_hosts(
            versions_by_host, self._membership.members_by_id(), self._host_id
        )
        self._rng.shuffle(unknown_host_ids)
        candidates_by_host: dict[str, contact_search.Candidate] = {}
        read_count = 0
        for host_id in unknown_host_ids:
            value = listed_by_host_id[host_id].value
            if value is None:
                if read_count >= MAX_ENTRY_READS_PER_POLL:
                    continue
                read_count += 1
                value = yield self._read_entry(host_id)
                if value is None:
                    continue
            version = versions_by_host[host_id]
            match registry.decode(value):
                case result.Ok(entry):
                    candidates_by_host[host_id] = contact_search.Candidate(
                        entry=entry, version=version
                    )
                case result.Err(reason):
                    self._introductions.record_attempt(
                        host_id, version, self._reactor.seconds()
                    )
                    self._record_failure("entry of " + host_id, reason)
        self._start_search(candidates_by_host)

    def _start_search(
        self, candidates_by_host: dict[str, contact_search.Candidate]
    ) -> None:
        search = contact_search.ContactSearch(
            candidates_by_host=candidates_by_host,
            data_centre=self._data_centre,
            rng=self._rng,
        )
        if self._search_timer is not None and self._search_timer.active():
            self._search_timer.cancel()
        self._continue_search(search, candidates_by_host)

    def _continue_search(
        self,
        search: contact_search.ContactSearch,
        candidates_by_host: dict[str, contact_search.Candidate],
    ) -> None:
        """Contacts the next hosts, and more later if few of them answer."""
        host_ids = search.next_batch(set(self._membership.members_by_id()))
        if not host_ids or not self._running:
            return
        now = self._reactor.seconds()
        chosen = [candidates_by_host[host_id] for host_id in host_ids]
        for host_id, candidate in zip(host_ids, chosen, strict=True):
            self._introductions.record_attempt(host_id, candidate.version, now)
        self._membership.add_seeds(
            tuple(candidate.entry.endpoint() for candidate in chosen)
        )
        self._search_timer = self._reactor.callLater(
            SEARCH_INTERVAL_S, self._continue_search, search, candidates_by_host
        )

    @defer.inlineCallbacks
    def _remove_gone_hosts(self):
        """Removes entries of hosts that are gone for which this node is chosen.

        The members agree on the node that removes an entry as far as their
        views agree; a second removal changes nothing.
        """
        if self._membership.is_eviction_frozen():
            # Hosts that don't answer may only be cut off from this node.
            return
        gone_by_host = self._introductions.list_gone_hosts(
            self._reactor.seconds()
        )
        if not gone_by_host:
            return
        digests_by_member = {
            host_id: rendezvous.digest(host_id)
            for host_id, member in self._membership.members_by_id().items()
            if member.state is core.MemberState.ALIVE
        }
        removal_count = 0
        for number, (host_id, version) in enumerate(gone_by_host.items(), 1):
            if number % CHOICES_PER_TURN == 0:
                yield task.deferLater(self._reactor, 0.0)
                if not self._running:
                    return
            remover = rendezvous.select_name(host_id, digests_by_member)
            if remover != self._host_id:
                continue
            if not self._running or removal_count >= MAX_REMOVALS_PER_POLL:
                return
            removal_count += 1
            outcome = yield self._store.delete(
                registry.build_key(host_id), expected_version=version
            )
            match outcome:
                case result.Ok(_):
                    self._emit_removal(host_id)
                case result.Err(failure) if failure.kind in _REMOVED_KINDS:
                    # Another node removed it, or its host has come back.
                    continue
                case result.Err(failure):
                    self._record_store_failure(
                        "removal of the entry of " + host_id, failure
                    )
                    return

    def _emit_removal(self, host_id: str) -> None:
        self._record(
            records.EventRecord(
                code=catalogue.EventCode.REGISTRY_ENTRY_REMOVED,
                fields={"host": host_id},
            )
        )

    @defer.inlineCallbacks
    def _read_entry(self, host_id: str):
        """Reads the entry of a host; returns None if that fails."""
        outcome = yield self._store.get(registry.build_key(host_id))
        match outcome:
            case result.Ok(stored):
                return stored.value
            case result.Err(failure):
                self._record_store_failure(
                    "read of the entry of " + host_id, failure
                )
        return None

    def _record_store_failure(
        self, step: str, failure: store_core.Failure
    ) -> None:
        self._record_failure(step, failure.detail)

    def _record_failure(self, step: str, reason: str) -> None:
        self._record(
            records.EventRecord(
                code=catalogue.EventCode.REGISTRY_FAILED,
                fields={"step": step, "reason": reason},
            )
        )

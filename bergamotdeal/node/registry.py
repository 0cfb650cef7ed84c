"""The registry task: enters this node in the store and meets the others."""

from collections.abc import Callable
import random

import result
from twisted.internet import defer

from bergamotdeal.calls import messages as calls
from bergamotdeal.membership import registry
from bergamotdeal.node import membership as membership_task
from bergamotdeal.settings import model as settings_model
from bergamotdeal.store import backoff
from bergamotdeal.store import core as store_core
from bergamotdeal.telemetry import catalogue

START_SPREAD_S = 0.5
"""Time over which the nodes of a fleet spread their first calls."""

FIRST_LOOK_S = 1.0
"""Time to the second look; the others have made their entries by then."""

LONGEST_LOOK_S = 600.0
"""Time between looks once the node has long met everybody who is listed; a
fleet of 1,300 then lists twice a second."""

MAX_READS = 3
"""Entries read in one look from a store whose listing holds no values; each
contact introduces its whole group."""

_KINDS = store_core.FailureKind


class RegistryTask:
    """Keeps this node's entry in the store and contacts unknown nodes.

    Args:
      settings: The node's settings.
      reactor: Twisted's reactor.
      rng: Random source.
      store: The platform's object API.
      membership: The membership task.
      record: Takes events for the time line.
    """

    def __init__(
        self,
        *,
        settings: settings_model.Settings,
        reactor,
        rng: random.Random,
        store: store_core.Store,
        membership: membership_task.MembershipTask,
        record: Callable[[calls.EventRecord], None],
    ) -> None:
        self._host_id = settings.node.host_id
        self._key = registry.build_key(self._host_id)
        self._reactor = reactor
        self._rng = rng
        self._store = store
        self._membership = membership
        self._record = record
        self._introductions = registry.ContactTracker()
        self._backoff = backoff.Backoff(
            rng=rng, shortest_s=FIRST_LOOK_S, longest_s=LONGEST_LOOK_S
        )
        self._timer = None
        self._running = False

    def start(self) -> None:
        """Begins to look at the registry."""
        self._running = True
        self._later(START_SPREAD_S * self._rng.random())

    def stop(self) -> None:
        """Ends the task; the entry stays for the next start."""
        self._running = False
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def _later(self, delay_s: float) -> None:
        if self._running:
            self._timer = self._reactor.callLater(delay_s, self._look)

    @defer.inlineCallbacks
    def _look(self):
        """Compares the listed entries with the known members."""
        outcome = yield self._store.list(registry.ENTRY_PREFIX)
        if not self._running:
            return
        if isinstance(outcome, result.Err):
            self._note_failure("read", outcome.err_value)
            self._later(self._backoff.next_wait())
            return
        listed_by_host = {
            registry.parse_host_id(each.key): each for each in outcome.ok_value
        }
        is_entered = yield self._enter(listed_by_host.get(self._host_id))
        met_all = yield self._meet(listed_by_host)
        if not (is_entered and met_all):
            self._backoff.reset()
        self._later(self._backoff.next_wait())

    @defer.inlineCallbacks
    def _enter(self, listed: store_core.Listed | None):
        """Writes this node's entry unless the store holds it."""
        own = self._membership.members_by_id()[self._host_id]
        wanted = registry.encode(registry.build_entry(own))
        version, value = store_core.NO_VERSION, None
        if listed is not None:
            version, value = listed.version, listed.value
            if value is None:
                version, value = yield self._read_own()
        if value == wanted:
            return True
        written = yield self._store.put(
            self._key, wanted, expected_version=version
        )
        match written:
            case result.Ok(_):
                return True
            case result.Err(failure) if failure.kind is _KINDS.CONFLICT:
                # A listing may lag behind; the next look reads it again.
                version, value = yield self._read_own()
                return value == wanted
            case result.Err(failure):
                self._note_failure("write", failure)
        return False

    @defer.inlineCallbacks
    def _read_own(self):
        answer = yield self._store.get(self._key)
        match answer:
            case result.Ok(stored):
                return stored.version, stored.value
            case result.Err(failure):
                self._note_failure("read of the own entry", failure)
        return store_core.NO_VERSION, None

    @defer.inlineCallbacks
    def _meet(self, listed_by_host: dict[str, store_core.Listed]):
        """Contacts the listed nodes that the membership lacks."""
        unmet = self._introductions.take_unknown_hosts(
            {host: each.version for host, each in listed_by_host.items()},
            self._membership.members_by_id(),
            self._host_id,
        )
        self._rng.shuffle(unmet)
        found = []
        reads = 0
        for host_id in unmet:
            value = listed_by_host[host_id].value
            if value is None:
                if reads >= MAX_READS:
                    continue
                reads += 1
                answer = yield self._store.get(registry.build_key(host_id))
                if isinstance(answer, result.Err):
                    self._note_failure(
                        "read of the entry of " + host_id, answer.err_value
                    )
                    continue
                value = answer.ok_value.value
            match registry.decode(value):
                case result.Ok(entry):
                    found.append(entry.endpoint())
                case result.Err(reason):
                    self._note("entry of " + host_id, reason)
        if found and self._running:
            self._membership.add_seeds(tuple(found))
        return not unmet

    def _note_failure(self, step: str, failure: store_core.Failure) -> None:
        self._note(step, failure.detail)

    def _note(self, step: str, reason: str) -> None:
        self._record(
            calls.EventRecord(
                code=catalogue.EventCode.REGISTRY_FAILED,
                fields={"step": step, "reason": reason},
            )
        )

"""The roster task: first contact through the store, and its upkeep."""

from collections.abc import Callable
import random
import time

import result
from twisted.internet import defer

from bergamotdeal.membership import roster
from bergamotdeal.node import membership as membership_task
from bergamotdeal.settings import model as settings_model
from bergamotdeal.store import backoff
from bergamotdeal.store import core as store_core

JOIN_WAIT_S = 2.0
CHECK_INTERVAL_S = 30.0
VERIFY_INTERVAL_S = 600.0
MAX_OTHER_ROSTERS = 3
EARLY_CHECKS = 2
EARLY_CHECK_INTERVAL_S = 4.0
LOOKS_BEYOND = 2
"""Times that a writer looks for data centres that its view lacks."""

_NOT_FOUND = store_core.FailureKind.NOT_FOUND


class RosterTask:
    """Reads the rosters while alone, and writes its data centre's if chosen.

    Args:
      settings: The node's settings.
      reactor: Twisted's reactor.
      rng: Random source.
      store: The platform's object API.
      membership: The membership task.
      clock: Returns monotonic seconds.
    """

    def __init__(
        self,
        *,
        settings: settings_model.Settings,
        reactor,
        rng: random.Random,
        store: store_core.Store,
        membership: membership_task.MembershipTask,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._clock = clock
        self._node = settings.node
        self._reactor = reactor
        self._rng = rng
        self._store = store
        self._membership = membership
        self._backoff = backoff.Backoff(rng=rng, shortest_s=JOIN_WAIT_S)
        self._key = roster.key_for(settings.node.data_centre)
        self._known: roster.Roster | None = None
        self._verified = 0.0
        self._checks = 0
        self._looks = 0
        self._timers: list = []
        self._running = False

    def start(self) -> None:
        """Begins to look after first contact."""
        self._running = True
        self._later(self._backoff.next_wait(), self._join)
        self._later(JOIN_WAIT_S * (0.5 + self._rng.random()), self._check)

    def stop(self) -> None:
        """Ends the task."""
        self._running = False
        for timer in self._timers:
            if timer.active():
                timer.cancel()

    def _later(self, delay_s: float, step) -> None:
        if not self._running:
            return
        self._timers = [timer for timer in self._timers if timer.active()]
        self._timers.append(self._reactor.callLater(delay_s, step))

    def _check_interval(self) -> float:
        is_early = self._checks <= EARLY_CHECKS
        interval_s = EARLY_CHECK_INTERVAL_S if is_early else CHECK_INTERVAL_S
        return interval_s * (0.5 + self._rng.random())

    # --- First contact -----------------------------------------------------

    def _join(self) -> None:
        if self._membership.joined():
            # Alone again after a long outage, the node is to look again.
            self._backoff.reset()
            self._later(CHECK_INTERVAL_S, self._join)
            return
        self._later(self._backoff.next_wait(), self._join)
        self._read_rosters()

    @defer.inlineCallbacks
    def _read_rosters(self):
        """Adds the contacts of the own data centre, else of some others."""
        found = yield self._contacts(self._key)
        if not found:
            listed = yield self._store.list(roster.ROSTER_PREFIX)
            keys = [entry.key for entry in listed.unwrap_or([])]
            keys = [key for key in keys if key != self._key]
            self._rng.shuffle(keys)
            for key in keys[:MAX_OTHER_ROSTERS]:
                found += yield self._contacts(key)
        if found and self._running:
            self._membership.add_seeds(found)

    @defer.inlineCallbacks
    def _look_beyond(self):
        """Adds contacts of the data centres that the view lacks.

        Nodes that all start at once find their own data centre's roster
        first, and would stay apart from the other data centres for good.
        """
        listed = yield self._store.list(roster.ROSTER_PREFIX)
        known = {
            roster.key_for(member.data_centre)
            for member in self._membership.members_by_id().values()
        }
        for entry in listed.unwrap_or([]):
            if entry.key in known:
                continue
            found = yield self._contacts(entry.key)
            if found and self._running:
                self._membership.add_seeds(found)

    @defer.inlineCallbacks
    def _contacts(self, key: str):
        answer = yield self._store.get(key)
        decoded = answer.map_err(lambda failure: failure.detail).and_then(
            lambda stored: roster.decode(stored.value)
        )
        if isinstance(decoded, result.Err):
            return ()
        own = self._membership.members_by_id().get(self._node.host_id)
        return tuple(
            endpoint
            for endpoint in decoded.ok_value.endpoints()
            if own is None
            or (endpoint.address, endpoint.port) != (own.address, own.peer_port)
        )

    # --- Upkeep ------------------------------------------------------------

    def _check(self) -> None:
        self._checks += 1
        self._later(self._check_interval(), self._check)
        members_by_id = self._membership.members_by_id()
        if not roster.is_writer(
            members_by_id, self._node.data_centre, self._node.host_id
        ):
            return
        wanted = None
        if self._membership.joined():
            wanted = roster.wanted(members_by_id, self._node.data_centre)
            if self._looks < LOOKS_BEYOND:
                self._looks += 1
                self._look_beyond()
        age = self._clock() - self._verified
        fresh = age < VERIFY_INTERVAL_S
        if wanted is not None and wanted == self._known and fresh:
            return
        self._update(wanted)

    @defer.inlineCallbacks
    def _update(self, wanted: roster.Roster | None):
        """Writes the roster if the store holds another one.

        Args:
          wanted: What it is to hold, or None while this node is alone: then
            it only adds itself.
        """
        answer = yield self._store.get(self._key)
        match answer:
            case result.Ok(stored):
                version = stored.version
                held = roster.decode(stored.value).unwrap_or(roster.Roster())
            case result.Err(failure) if failure.kind is _NOT_FOUND:
                version, held = store_core.NO_VERSION, roster.Roster()
            case _:
                return
        if wanted is None:
            own = self._membership.members_by_id()[self._node.host_id]
            wanted = roster.with_newcomer(held, own)
        if held != wanted:
            written = yield self._store.put(
                self._key, roster.encode(wanted), expected_version=version
            )
            if written.is_err():
                return  # Another writer was first, or the next check retries.
        self._known = wanted
        self._verified = self._clock()

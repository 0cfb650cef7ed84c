"""Distribution of the preset in force as a state machine without I/O.

It takes events and returns effects. A preset is applied only if its epoch is
higher than the current one, whether it was pulled from another node, read from
the store or pushed by an operator's command.
"""

import random

import result

from bergamotdeal.membership import core as membership
from bergamotdeal.membership import messages as gossip
from bergamotdeal.presets import in_force
from bergamotdeal.presets import messages
from bergamotdeal.presets import model
from bergamotdeal.presets import sections as preset_sections
from bergamotdeal.presets import watchers

MAX_PULL_SOURCES = 16
PULL_HEDGE_DELAY_S = 0.7
STORE_READ_DELAY_S = 0.4
"""Mean seconds to wait for epochs of other nodes before reading the store."""

PEER_DELAY_S = 0.7
"""Seconds that most nodes wait longer if they know other nodes, of which one
reads the store and advertises the epoch."""

EARLY_READERS = 8
"""Mean number of nodes in a fleet that read the store without this delay."""

INITIAL_PRESET_DELAY_S = 10.0
WATCH_DELAY_S = 2.0
PULL_BACKOFF_MIN_S = 0.25
PULL_BACKOFF_MAX_S = 30.0
READ_BACKOFF_MIN_S = 0.5
READ_BACKOFF_MAX_S = 30.0

NO_EPOCH = -1
INITIAL_EPOCH = 0


class Follower:
    """A state machine that keeps a node at the preset in force.

    Args:
      host_id: This node's host id.
      data_centre: This node's data centre.
      has_store: Whether a store is configured.
      has_seeds: Whether seed nodes are configured.
      initial: Preset from the settings, for a fleet without any switch yet.
      watcher_count: Number of nodes per data centre that watch the store.
      checker_count: Number of these that also check whether it answers.
      read_retry_max_s: Maximum seconds between two attempts to read the store.
      rng: Random source of jitter and of the choice of pull sources.
      now: Current time in monotonic seconds.

    Attributes:
      epoch: Epoch of the preset in force at this node, or ``NO_EPOCH``.
      preset: Preset in force at this node, or None.
      behind_since: Time since when a newer preset is known that this node
        hasn't applied, in monotonic seconds, or None.
    """

    def __init__(
        self,
        *,
        host_id: str,
        data_centre: str,
        has_store: bool,
        has_seeds: bool = False,
        initial: model.Preset | None = None,
        watcher_count: int = 2,
        checker_count: int = 1,
        read_retry_max_s: float = READ_BACKOFF_MAX_S,
        rng: random.Random,
        now: float,
    ) -> None:
        self._watcher_count = watcher_count
        self._checker_count = checker_count
        self._is_checker = False
        self._read_retry_max_s = read_retry_max_s
        self._host_id = host_id
        self._data_centre = data_centre
        self._has_store = has_store
        self._initial = initial
        self._rng = rng
        self._members_by_id: dict[str, membership.Member] = {}
        self._epochs_by_source: dict[str, int] = {}
        self._pull_times_by_host: dict[str, float] = {}
        self._next_pull_at = now
        self._pull_backoff_s = PULL_BACKOFF_MIN_S
        self._sections: tuple[gossip.Section, ...] = ()
        self._operation_id = ""
        self._is_watching = False
        self._watch_at: float | None = None
        self._is_reading = False
        self._has_waited_for_peers = False
        self._read_backoff_s = READ_BACKOFF_MIN_S
        self._next_read_at = now + STORE_READ_DELAY_S * (0.5 + rng.random())
        # The fleet may have switched while this node was down. Until it can
        # reach the others, a restarted node must not use its initial preset.
        self._initial_allowed_at = now + (
            INITIAL_PRESET_DELAY_S if has_seeds else 0.0
        )
        self._now = now
        self._store_problem = ""
        self._effects: list[messages.Effect] = []
        self._newest_heard = NO_EPOCH
        self.epoch = NO_EPOCH
        self.preset: model.Preset | None = None
        self.behind_since: float | None = None

    @property
    def is_watching(self) -> bool:
        """Whether this node watches the store."""
        return self._is_watching

    @property
    def is_checking(self) -> bool:
        """Whether this node also checks whether the store answers."""
        return self._is_watching and self._is_checker

    def explain_missing_preset(self) -> str | None:
        """Returns why this node has no preset, or None if it has one."""
        if self.epoch > NO_EPOCH:
            return None
        if not self._has_store:
            return "no preset: no other node has one, and no store is set"
        if self._store_problem:
            return (
                "no preset: no other node has one, and the store "
                f"{self._store_problem}"
            )
        return "no preset: waiting for other nodes and the store"

    def next_wakeup(self) -> float | None:
        """Returns when ``TimePassed`` is due next, in monotonic seconds."""
        times = [
            sent + PULL_HEDGE_DELAY_S
            for sent in self._pull_times_by_host.values()
            if sent + PULL_HEDGE_DELAY_S > self._now
        ]
        if self._epochs_by_source and self._next_pull_at > self._now:
            times.append(self._next_pull_at)
        if self.epoch == NO_EPOCH and not self._is_reading:
            times.append(self._next_read_at)
        if self._watch_at is not None:
            times.append(self._watch_at)
        return min(times, default=None)

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
        self._effects = []
        self._now = now
        match event:
            case messages.EpochAdvertised():
                self._record_epoch(event)
            case messages.MembershipUpdated(members_by_id=members_by_id):
                self._members_by_id = members_by_id
                self._update_watch(now)
            case messages.PullAnswered():
                self._pull_times_by_host.pop(event.host_id, None)
                self._on_pull_response(event.host_id, event.response, now)
            case messages.PullFailed(host_id=host_id):
                self._pull_times_by_host.pop(host_id, None)
                self._epochs_by_source.pop(host_id, None)
            case messages.PresetPushed(document=document):
                self._on_document(document)
            case messages.StoreRead(document=document):
                self._on_store_read(document, now)
            case messages.StoreFailed(reason=reason):
                self._on_store_failed(f"is not available: {reason}", now)
            case messages.TimePassed():
                self._advance(now)
        self._start_pull_if_behind(now)
        return self._effects

    def answer_pull(
        self, request: gossip.PresetRequest
    ) -> gossip.PresetResponse:
        """Answers another node's pull.

        Args:
          request: The pull, with the digests of the requester's sections.
        """
        known = frozenset(request.known_digests)
        sections = self._sections
        if self.preset is not None and preset_sections.CHUNKS_MARK not in known:
            sections = preset_sections.split(self.preset, in_chunks=False)
        return gossip.PresetResponse(
            epoch=max(self.epoch, INITIAL_EPOCH),
            operation_id=self._operation_id,
            sections=preset_sections.omit_known_content(sections, known),
        )

    def _record_epoch(self, event: messages.EpochAdvertised) -> None:
        if event.epoch <= max(self.epoch, INITIAL_EPOCH):
            return
        self._newest_heard = max(self._newest_heard, event.epoch)
        self._record_behind()
        self._epochs_by_source.pop(event.host_id, None)
        self._epochs_by_source[event.host_id] = event.epoch
        while len(self._epochs_by_source) > MAX_PULL_SOURCES:
            del self._epochs_by_source[next(iter(self._epochs_by_source))]

    def _record_behind(self) -> None:
        if self.behind_since is None:
            self.behind_since = self._now

    def _record_caught_up(self, epoch: int) -> None:
        if epoch >= self._newest_heard:
            self.behind_since = None

    def _start_pull_if_behind(self, now: float) -> None:
        """Pulls from one source, and from another one if the first is slow."""
        if now < self._next_pull_at:
            return
        recent_since = now - PULL_HEDGE_DELAY_S
        pull_times = self._pull_times_by_host.values()
        if max(pull_times, default=recent_since) > recent_since:
            return
        candidates = [
            host_id
            for host_id, epoch in self._epochs_by_source.items()
            if epoch > self.epoch and host_id not in self._pull_times_by_host
        ]
        if not candidates:
            return
        newest = max(self._epochs_by_source[host] for host in candidates)
        best = [h for h in candidates if self._epochs_by_source[h] == newest]
        host_id = self._rng.choice(best)
        self._pull_times_by_host[host_id] = now
        digests = [section.digest for section in self._sections]
        digests.append(preset_sections.CHUNKS_MARK)
        self._effects.append(
            messages.Pull(host_id=host_id, known_digests=tuple(digests))
        )

    def _on_pull_response(
        self, host_id: str, response: gossip.PresetResponse, now: float
    ) -> None:
        advertised = self._epochs_by_source.pop(host_id, None)
        if response.epoch <= max(self.epoch, INITIAL_EPOCH):
            return
        match preset_sections.join(response.sections, self._sections):
            case result.Ok(preset):
                self._apply(response.epoch, preset, response.operation_id)
            case result.Err(reason):
                epoch = response.epoch if advertised is None else advertised
                self._reject(epoch, reason)
                self._back_off_pulls(now)

    def _back_off_pulls(self, now: float) -> None:
        """Delays the next pull exponentially after an invalid preset."""
        jitter = 0.5 + self._rng.random()
        self._next_pull_at = now + jitter * self._pull_backoff_s
        self._pull_backoff_s = min(2 * self._pull_backoff_s, PULL_BACKOFF_MAX_S)

    def _on_document(self, document: bytes) -> None:
        match in_force.decode(document):
            case result.Err(reason):
                self._reject(self.epoch, reason)
            case result.Ok(offered):
                newest = max(self._epochs_by_source.values(), default=0)
                if offered.epoch < newest:
                    return  # A store restored from an older copy; pull instead.
                if offered.epoch > self.epoch:
                    self._apply(
                        offered.epoch, offered.preset, offered.operation_id
                    )
                elif self._is_conflicting(offered):
                    reason = "another preset is in force under this epoch"
                    self._reject(offered.epoch, reason)
                else:
                    self._record_caught_up(offered.epoch)

    def _reject(self, epoch: int, reason: str) -> None:
        self._record_behind()
        self._effects.append(messages.Reject(epoch=epoch, reason=reason))

    def _is_conflicting(self, offered: in_force.ActivePreset) -> bool:
        same_epoch = offered.epoch == self.epoch
        return same_epoch and offered.operation_id != self._operation_id

    def _on_store_read(self, document: bytes | None, now: float) -> None:
        self._is_reading = False
        if document is not None:
            self._store_problem = ""
            self._on_document(document)
            if self.epoch == NO_EPOCH:
                self._on_store_failed(
                    "holds no valid preset of the newest epoch", now
                )
            return
        self._on_store_failed("holds no preset yet", now)
        self._apply_initial()

    def _on_store_failed(self, problem: str, now: float) -> None:
        self._is_reading = False
        self._store_problem = problem
        jitter = 0.5 + self._rng.random()
        self._next_read_at = now + jitter * self._read_backoff_s
        self._read_backoff_s = min(
            2 * self._read_backoff_s, self._read_retry_max_s
        )

    def _advance(self, now: float) -> None:
        if self._watch_at is not None and now >= self._watch_at:
            self._watch_at = None
            self._is_watching = True
            self._effects.append(messages.WatchStore(watch=True))
        if (
            self.epoch > NO_EPOCH
            or self._is_reading
            or now < self._next_read_at
        ):
            return
        if self._has_store and self._leaves_read_to_others(now):
            return
        if self._has_store:
            self._is_reading = True
            self._effects.append(messages.ReadStore())
            return
        self._next_read_at = now + STORE_READ_DELAY_S
        is_alone = len(self._members_by_id) <= 1
        if not is_alone or now >= self._initial_allowed_at:
            self._apply_initial()

    def _leaves_read_to_others(self, now: float) -> bool:
        """Returns whether to wait for another node to read the store first."""
        if self._has_waited_for_peers or len(self._members_by_id) <= 1:
            return False
        self._has_waited_for_peers = True
        if self._rng.random() * len(self._members_by_id) < EARLY_READERS:
            return False
        self._next_read_at = now + PEER_DELAY_S
        return True

    def _apply_initial(self) -> None:
        """Applies the initial preset if no switch is known in the fleet."""
        if self._epochs_by_source or self._initial is None:
            return
        if self.epoch == NO_EPOCH:
            self._apply(INITIAL_EPOCH, self._initial, "")

    def _update_watch(self, now: float) -> None:
        """Starts or stops watching the store after a membership change.

        The start is delayed: a joining node knows few members at first and may
        wrongly find itself selected.
        """
        is_chosen = self._has_store and self._is_among(self._watcher_count)
        self._is_checker = is_chosen and self._is_among(self._checker_count)
        if is_chosen:
            if not self._is_watching and self._watch_at is None:
                self._watch_at = now + WATCH_DELAY_S
            return
        self._watch_at = None
        if self._is_watching:
            self._is_watching = False
            self._effects.append(messages.WatchStore(watch=False))

    def _is_among(self, count: int) -> bool:
        """Returns whether this node is one of the first watchers."""
        return self._host_id in watchers.choose_watchers(
            self._members_by_id, self._data_centre, count
        )

    def _apply(
        self, epoch: int, preset: model.Preset, operation_id: str
    ) -> None:
        self.epoch = epoch
        self.preset = preset
        self._record_caught_up(epoch)
        self._operation_id = operation_id
        self._sections = preset_sections.split(preset)
        self._pull_backoff_s = PULL_BACKOFF_MIN_S
        self._epochs_by_source = {
            host_id: advertised
            for host_id, advertised in self._epochs_by_source.items()
            if advertised > epoch
        }
        self._effects.append(messages.Apply(epoch=epoch, preset=preset))

"""How a node comes to the preset in force: events in, effects out.

Only a higher epoch is ever applied, whatever its way: by rumour and pull from
another node, from the store, or handed over by an operator's command.
"""

import dataclasses
import random

import result

from bergamotdeal.membership import choice
from bergamotdeal.membership import core as membership
from bergamotdeal.membership import messages as gossip
from bergamotdeal.presets import in_force
from bergamotdeal.presets import model
from bergamotdeal.presets import sections as preset_sections

MAX_SOURCES = 16
PULL_PATIENCE_S = 0.7
PEER_WAIT_S = 0.3
"""Mean time that other nodes get to tell the epoch before the store is read."""
SEED_WAIT_S = 10.0
WATCH_DELAY_S = 2.0
REJECTED_WAIT_MIN_S = 0.25
REJECTED_WAIT_MAX_S = 30.0
READ_RETRY_MIN_S = 0.5
READ_RETRY_MAX_S = 30.0

NO_EPOCH = -1
INITIAL_EPOCH = 0


# --- Events ---------------------------------------------------------------


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EpochAdvertised:
    """Another node has a preset of this epoch in force."""

    epoch: int
    host_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MembershipUpdated:
    """The membership view changed."""

    members_by_id: dict[str, membership.Member]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PullAnswered:
    """A node answered a pull."""

    host_id: str
    response: gossip.PresetResponse


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PullFailed:
    """A pull got no usable answer."""

    host_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PresetPushed:
    """An operator's command handed over an accepted switch.

    Attributes:
      document: The object in force as the store accepted it.
    """

    document: bytes


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StoreRead:
    """The store answered.

    Attributes:
      document: The object in force, or None when there is none yet.
    """

    document: bytes | None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StoreFailed:
    """The store could not be read."""

    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TimePassed:
    """The wake-up time that the core asked for has come."""


Event = (
    EpochAdvertised
    | MembershipUpdated
    | PullAnswered
    | PullFailed
    | PresetPushed
    | StoreRead
    | StoreFailed
    | TimePassed
)


# --- Effects --------------------------------------------------------------


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Pull:
    """Ask a node for the preset in force."""

    host_id: str
    known_digests: tuple[bytes, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReadStore:
    """Read the object in force once."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WatchStore:
    """Start or stop watching the object in force."""

    watch: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Apply:
    """Put a preset in force at this node."""

    epoch: int
    preset: model.Preset


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Reject:
    """A preset was offered that can't be applied."""

    epoch: int
    reason: str


Effect = Pull | ReadStore | WatchStore | Apply | Reject


class Follower:
    """Follows the preset in force.

    Args:
      host_id: This node's host.
      data_centre: Its data centre.
      has_store: Whether the settings name a store.
      has_seeds: Whether the settings name other nodes.
      initial: Preset of the settings, for a fleet without any switch yet.
      watcher_count: Nodes of a data centre that watch the store.
      read_retry_max_s: Longest wait before the store is read again.
      rng: Random source.
      now: Monotonic seconds.
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
        read_retry_max_s: float = READ_RETRY_MAX_S,
        rng: random.Random,
        now: float,
    ) -> None:
        self._watcher_count = watcher_count
        self._read_retry_max_s = read_retry_max_s
        self._host_id = host_id
        self._data_centre = data_centre
        self._has_store = has_store
        self._initial = initial
        self._rng = rng
        self._members_by_id: dict[str, membership.Member] = {}
        self._epochs_by_source: dict[str, int] = {}
        self._pulls_by_host: dict[str, float] = {}
        self._pull_not_before = now
        self._rejected_wait_s = REJECTED_WAIT_MIN_S
        self._sections: tuple[gossip.Section, ...] = ()
        self._operation_id = ""
        self._watching = False
        self._watch_at: float | None = None
        self._reading = False
        self._read_delay_s = READ_RETRY_MIN_S
        self._next_read = now + PEER_WAIT_S * (0.5 + rng.random())
        # A restarted node must not fall back on its settings' preset while
        # the others, who may have switched since, are still out of reach.
        self._initial_not_before = now + (SEED_WAIT_S if has_seeds else 0.0)
        self._now = now
        self._store_problem = ""
        self._effects: list[Effect] = []
        self.epoch = NO_EPOCH
        self.preset: model.Preset | None = None

    @property
    def is_watching(self) -> bool:
        """Whether this node watches the store."""
        return self._watching

    def explain_missing_preset(self) -> str | None:
        """Returns why this node has no preset, or None when it has one."""
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
        """Returns the monotonic seconds of the next ``TimePassed``."""
        times = [
            sent + PULL_PATIENCE_S
            for sent in self._pulls_by_host.values()
            if sent + PULL_PATIENCE_S > self._now
        ]
        if self._epochs_by_source and self._pull_not_before > self._now:
            times.append(self._pull_not_before)
        if self.epoch == NO_EPOCH and not self._reading:
            times.append(self._next_read)
        if self._watch_at is not None:
            times.append(self._watch_at)
        return min(times, default=None)

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Takes one event.

        Args:
          event: What happened.
          now: Monotonic seconds.

        Returns:
          What is to be done, in order.
        """
        self._effects = []
        self._now = now
        match event:
            case EpochAdvertised():
                self._hear(event)
            case MembershipUpdated(members_by_id=members_by_id):
                self._members_by_id = members_by_id
                self._choose_watchers(now)
            case PullAnswered():
                self._pulls_by_host.pop(event.host_id, None)
                self._on_pulled(event.host_id, event.response, now)
            case PullFailed(host_id=host_id):
                self._pulls_by_host.pop(host_id, None)
                self._epochs_by_source.pop(host_id, None)
            case PresetPushed(document=document):
                self._on_document(document)
            case StoreRead(document=document):
                self._on_store_read(document, now)
            case StoreFailed(reason=reason):
                self._on_store_failed(f"is not available: {reason}", now)
            case TimePassed():
                self._advance(now)
        self._pull_if_behind(now)
        return self._effects

    def answer_pull(
        self, request: gossip.PresetRequest
    ) -> gossip.PresetResponse:
        """Answers another node's pull.

        Args:
          request: What the other node has.
        """
        known = frozenset(request.known_digests)
        return gossip.PresetResponse(
            epoch=max(self.epoch, INITIAL_EPOCH),
            operation_id=self._operation_id,
            sections=preset_sections.omit_known_content(self._sections, known),
        )

    # --- Other nodes -------------------------------------------------------

    def _hear(self, event: EpochAdvertised) -> None:
        if event.epoch <= max(self.epoch, INITIAL_EPOCH):
            return
        self._epochs_by_source.pop(event.host_id, None)
        self._epochs_by_source[event.host_id] = event.epoch
        while len(self._epochs_by_source) > MAX_SOURCES:
            del self._epochs_by_source[next(iter(self._epochs_by_source))]

    def _pull_if_behind(self, now: float) -> None:
        """Pulls from one source at a time, and from a second if it is slow."""
        if now < self._pull_not_before:
            return
        late = now - PULL_PATIENCE_S
        if any(sent > late for sent in self._pulls_by_host.values()):
            return
        candidates = [
            host_id
            for host_id, epoch in self._epochs_by_source.items()
            if epoch > self.epoch and host_id not in self._pulls_by_host
        ]
        if not candidates:
            return
        newest = max(self._epochs_by_source[host] for host in candidates)
        best = [h for h in candidates if self._epochs_by_source[h] == newest]
        host_id = self._rng.choice(best)
        self._pulls_by_host[host_id] = now
        digests = tuple(section.digest for section in self._sections)
        self._effects.append(Pull(host_id=host_id, known_digests=digests))

    def _on_pulled(
        self, host_id: str, response: gossip.PresetResponse, now: float
    ) -> None:
        told = self._epochs_by_source.pop(host_id, None)
        if response.epoch <= max(self.epoch, INITIAL_EPOCH):
            return
        match preset_sections.join(response.sections, self._sections):
            case result.Ok(preset):
                self._apply(response.epoch, preset, response.operation_id)
            case result.Err(reason):
                epoch = response.epoch if told is None else told
                self._effects.append(Reject(epoch=epoch, reason=reason))
                self._wait_after_rejection(now)

    def _wait_after_rejection(self, now: float) -> None:
        """Keeps a preset that can't be read from being pulled all the time."""
        jitter = 0.5 + self._rng.random()
        self._pull_not_before = now + jitter * self._rejected_wait_s
        self._rejected_wait_s = min(
            2 * self._rejected_wait_s, REJECTED_WAIT_MAX_S
        )

    # --- The store and operators -------------------------------------------

    def _on_document(self, document: bytes) -> None:
        match in_force.decode(document):
            case result.Err(reason):
                self._effects.append(Reject(epoch=self.epoch, reason=reason))
            case result.Ok(offered):
                if offered.epoch > self.epoch:
                    self._apply(
                        offered.epoch, offered.preset, offered.operation_id
                    )
                elif self._contradicts(offered):
                    reason = "another preset is in force under this epoch"
                    self._effects.append(
                        Reject(epoch=offered.epoch, reason=reason)
                    )

    def _contradicts(self, offered: in_force.ActivePreset) -> bool:
        same_epoch = offered.epoch == self.epoch
        return same_epoch and offered.operation_id != self._operation_id

    def _on_store_read(self, document: bytes | None, now: float) -> None:
        self._reading = False
        if document is not None:
            self._store_problem = ""
            self._on_document(document)
            if self.epoch == NO_EPOCH:
                self._on_store_failed("holds a malformed preset", now)
            return
        self._on_store_failed("holds no preset yet", now)
        self._apply_initial()

    def _on_store_failed(self, problem: str, now: float) -> None:
        self._reading = False
        self._store_problem = problem
        jitter = 0.5 + self._rng.random()
        self._next_read = now + jitter * self._read_delay_s
        self._read_delay_s = min(2 * self._read_delay_s, self._read_retry_max_s)

    def _advance(self, now: float) -> None:
        if self._watch_at is not None and now >= self._watch_at:
            self._watch_at = None
            self._watching = True
            self._effects.append(WatchStore(watch=True))
        if self.epoch > NO_EPOCH or self._reading or now < self._next_read:
            return
        if self._has_store:
            self._reading = True
            self._effects.append(ReadStore())
            return
        self._next_read = now + PEER_WAIT_S
        alone = len(self._members_by_id) <= 1
        if not alone or now >= self._initial_not_before:
            self._apply_initial()

    def _apply_initial(self) -> None:
        """Falls back on the settings' preset when there was no switch yet."""
        if self._epochs_by_source or self._initial is None:
            return
        if self.epoch == NO_EPOCH:
            self._apply(INITIAL_EPOCH, self._initial, "")

    def _choose_watchers(self, now: float) -> None:
        """Watches once chosen for a while: a newcomer's view is still small."""
        chosen = self._has_store and self._host_id in choose_watchers(
            self._members_by_id, self._data_centre, self._watcher_count
        )
        if chosen:
            if not self._watching and self._watch_at is None:
                self._watch_at = now + WATCH_DELAY_S
            return
        self._watch_at = None
        if self._watching:
            self._watching = False
            self._effects.append(WatchStore(watch=False))

    def _apply(
        self, epoch: int, preset: model.Preset, operation_id: str
    ) -> None:
        self.epoch = epoch
        self.preset = preset
        self._operation_id = operation_id
        self._sections = preset_sections.split(preset)
        self._rejected_wait_s = REJECTED_WAIT_MIN_S
        self._epochs_by_source = {
            host_id: told
            for host_id, told in self._epochs_by_source.items()
            if told > epoch
        }
        self._effects.append(Apply(epoch=epoch, preset=preset))


def choose_watchers(
    members_by_id: dict[str, membership.Member],
    data_centre: str,
    count: int = 2,
) -> frozenset[str]:
    """Chooses the nodes that watch the store on behalf of a data centre.

    Args:
      members_by_id: Members as this node sees them.
      data_centre: The data centre.
      count: Number of nodes.

    Returns:
      Their host ids.
    """
    members = choice.select_by_hash(
        members_by_id,
        data_centre,
        purpose="watch",
        count=count,
    )
    return frozenset(member.host_id for member in members)

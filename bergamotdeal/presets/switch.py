"""Switching the preset in force.

A switch is one conditional write. When its answer is lost, the object is read
again: the operation id in its history tells whether the write took effect.
The machine has no input or output; ``run`` drives it against a store.
"""

import dataclasses
import random

import result
from twisted.internet import defer
from twisted.internet import task

from bergamotdeal.presets import in_force
from bergamotdeal.presets import model
from bergamotdeal.store import backoff
from bergamotdeal.store import core as store

MAX_TRIES = 8
_RANDOM_BITS = 64

FailureKind = store.FailureKind


# --- Outcomes -------------------------------------------------------------


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Accepted:
    """The preset is in force.

    Attributes:
      epoch: Its epoch.
      operation_id: Id of the switch.
      document: The object in force, to be handed to nodes.
    """

    epoch: int
    operation_id: str
    document: bytes


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Superseded:
    """The switch was accepted, and another one was accepted after it.

    Attributes:
      epoch: Epoch of this switch.
      operation_id: Id of this switch.
      by: The switch that is in force now.
    """

    epoch: int
    operation_id: str
    by: in_force.Switch


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Conflict:
    """Another switch came first; this one was not and won't be accepted.

    Attributes:
      operation_id: Id of this switch.
      winner: The switch that came first.
    """

    operation_id: str
    winner: in_force.Switch


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Unknown:
    """The switch may have been accepted; the same id may be run again.

    Attributes:
      operation_id: Id of this switch.
      reason: One line for people.
    """

    operation_id: str
    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Failed:
    """The switch was not accepted.

    Attributes:
      kind: Failure of the store.
      reason: One line for people.
    """

    kind: FailureKind
    reason: str


Outcome = Accepted | Superseded | Conflict | Unknown | Failed


# --- Steps ----------------------------------------------------------------


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Read:
    """Read the object in force after a pause."""

    after_s: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Write:
    """Write the object in force."""

    document: bytes
    expected_version: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Finish:
    """Stop."""

    outcome: Outcome


Step = Read | Write | Finish


def create_operation_id(base_epoch: int, rng: random.Random) -> str:
    """Returns a new operation id.

    Args:
      base_epoch: Epoch in force that the operator replaces; a later run with
        the same id writes nothing if another epoch is in force by then.
      rng: Random source.
    """
    return f"{base_epoch}-{rng.getrandbits(_RANDOM_BITS):016x}"


def _base_epoch_of(operation_id: str) -> int | None:
    base, dash, _ = operation_id.partition("-")
    return int(base) if dash and base.isdecimal() else None


class SwitchStateMachine:
    """One switch.

    Args:
      preset: Content to put in force.
      operator: Who switches.
      rng: Random source.
      operation_id: Id of an earlier run, or None for a new one.
      min_epoch: Lowest epoch to use, one above the highest in the fleet.

    Attributes:
      operation_id: The switch's id, or None until the first read.
    """

    def __init__(
        self,
        *,
        preset: model.Preset,
        operator: str,
        rng: random.Random,
        operation_id: str | None = None,
        min_epoch: int = 1,
    ) -> None:
        self._preset = preset
        self._operator = operator
        self._rng = rng
        self._min_epoch = min_epoch
        self._backoff = backoff.Backoff(rng=rng, longest_s=2.0)
        self._tries = 0
        self._may_have_applied = operation_id is not None
        self._base_epoch: int | None = None
        self._written: in_force.ActivePreset | None = None
        self.operation_id = operation_id
        if operation_id is not None:
            self._base_epoch = _base_epoch_of(operation_id)

    def start(self) -> Step:
        """Returns the first step."""
        return Read()

    def on_read(
        self, outcome: result.Result[store.StoredObject, store.Failure]
    ) -> Step:
        """Takes the answer to a read and returns the next step."""
        match outcome:
            case result.Ok(stored):
                version = stored.version
                match in_force.decode(stored.value):
                    case result.Ok(current):
                        pass
                    case result.Err(reason):
                        return self._give_up(FailureKind.INVALID, reason)
            case result.Err(failure) if failure.kind is FailureKind.NOT_FOUND:
                version, current = store.NO_VERSION, None
            case result.Err(failure):
                return self._retry(failure)
        return self._after_read(version, current)

    def on_write(self, outcome: result.Result[int, store.Failure]) -> Step:
        """Takes the answer to a write and returns the next step."""
        match outcome:
            case result.Ok(_):
                return Finish(outcome=self._accepted(self._written))
            case result.Err(failure):
                self._may_have_applied |= failure.may_have_applied
                if failure.kind is FailureKind.CONFLICT:
                    return self._retry(failure, at_once=True)
                return self._retry(failure)

    def _after_read(
        self, version: int, current: in_force.ActivePreset | None
    ) -> Step:
        epoch = 0 if current is None else current.epoch
        if self.operation_id is None:
            self.operation_id = create_operation_id(epoch, self._rng)
        if self._base_epoch is None:
            self._base_epoch = epoch
        if current is not None:
            known = current.find_switch(self.operation_id)
            if known is not None:
                return Finish(outcome=self._known(known, current))
        if epoch != self._base_epoch:
            return Finish(outcome=self._overtaken(current))
        self._written = in_force.build_successor(
            current,
            preset=self._preset,
            operation_id=self.operation_id,
            operator=self._operator,
            min_epoch=self._min_epoch,
        )
        return Write(
            document=in_force.encode(self._written), expected_version=version
        )

    def _accepted(self, accepted: in_force.ActivePreset) -> Accepted:
        return Accepted(
            epoch=accepted.epoch,
            operation_id=accepted.operation_id,
            document=in_force.encode(accepted),
        )

    def _known(
        self, known: in_force.Switch, current: in_force.ActivePreset
    ) -> Outcome:
        if current.operation_id == self.operation_id:
            return self._accepted(current)
        return Superseded(
            epoch=known.epoch,
            operation_id=self.operation_id,
            by=current.history[-1],
        )

    def _overtaken(self, current: in_force.ActivePreset | None) -> Outcome:
        """Tells a lost race from a history that has forgotten the id."""
        history = () if current is None else current.history
        later = [s for s in history if s.epoch > self._base_epoch]
        forgotten = len(later) == in_force.HISTORY_LENGTH
        if not later or (forgotten and self._may_have_applied):
            return Unknown(
                operation_id=self.operation_id,
                reason="the history no longer reaches back to this switch",
            )
        return Conflict(operation_id=self.operation_id, winner=later[0])

    def _retry(self, failure: store.Failure, *, at_once: bool = False) -> Step:
        self._tries += 1
        lasting = failure.kind in (
            FailureKind.UNAUTHORIZED,
            FailureKind.INVALID,
        )
        if lasting or self._tries >= MAX_TRIES:
            return self._give_up(failure.kind, failure.detail)
        if at_once:
            return Read()
        wait_s = self._backoff.next_wait()
        return Read(after_s=max(wait_s, failure.retry_after_s or 0.0))

    def _give_up(self, kind: FailureKind, reason: str) -> Step:
        if self._may_have_applied:
            return Finish(
                outcome=Unknown(operation_id=self.operation_id, reason=reason)
            )
        return Finish(outcome=Failed(kind=kind, reason=reason))


@defer.inlineCallbacks
def run(machine: SwitchStateMachine, *, object_store: store.Store, reactor):
    """Drives a switch against a store.

    Args:
      machine: The switch.
      object_store: The store.
      reactor: Twisted's reactor, for the pauses between tries.

    Returns:
      A deferred that fires with the outcome.
    """
    step = machine.start()
    while True:
        match step:
            case Read(after_s=after_s):
                if after_s > 0:
                    yield task.deferLater(reactor, after_s)
                answer = yield object_store.get(in_force.IN_FORCE_KEY)
                step = machine.on_read(answer)
            case Write():
                answer = yield object_store.put(
                    in_force.IN_FORCE_KEY,
                    step.document,
                    expected_version=step.expected_version,
                )
                step = machine.on_write(answer)
            case Finish(outcome=outcome):
                return outcome

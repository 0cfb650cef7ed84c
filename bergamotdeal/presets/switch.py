"""Switching of the preset in force.

A switch is one conditional write to the store. If the response is lost, the
object is read again, and the operation id in its history shows whether the
write was applied. The state machine does no I/O; ``run`` drives it against a
store.
"""

import random

import msgspec
import result
from twisted.internet import defer
from twisted.internet import task

from bergamotdeal.presets import in_force
from bergamotdeal.presets import model
from bergamotdeal.store import backoff
from bergamotdeal.store import core as store

MAX_ATTEMPTS = 8
_RANDOM_BITS = 64

FailureKind = store.FailureKind


class Accepted(msgspec.Struct, frozen=True, kw_only=True):
    """The outcome of a switch whose preset is in force.

    Attributes:
      epoch: Epoch of the switch.
      operation_id: Id of the switch.
      document: The object in force, to be pushed to nodes.
    """

    epoch: int
    operation_id: str
    document: bytes


class Superseded(msgspec.Struct, frozen=True, kw_only=True):
    """The outcome of a switch that was accepted and then replaced.

    Attributes:
      epoch: Epoch of this switch.
      operation_id: Id of this switch.
      by: The latest accepted switch.
    """

    epoch: int
    operation_id: str
    by: in_force.Switch


class Conflict(msgspec.Struct, frozen=True, kw_only=True):
    """The outcome of a switch that lost the race against another one.

    This switch was not accepted and won't be.

    Attributes:
      operation_id: Id of this switch.
      winner: The switch that was accepted first.
    """

    operation_id: str
    winner: in_force.Switch


class Unknown(msgspec.Struct, frozen=True, kw_only=True):
    """The outcome of a switch that may or may not have been accepted.

    It is safe to run the switch again with the same operation id.

    Attributes:
      operation_id: Id of this switch.
      reason: One-line explanation for the operator.
    """

    operation_id: str
    reason: str


class Failed(msgspec.Struct, frozen=True, kw_only=True):
    """The outcome of a switch that was not accepted.

    Attributes:
      kind: Kind of the store's failure.
      reason: One-line explanation for the operator.
    """

    kind: FailureKind
    reason: str


Outcome = Accepted | Superseded | Conflict | Unknown | Failed


class Read(msgspec.Struct, frozen=True, kw_only=True):
    """A step that reads the object in force.

    Attributes:
      after_s: Seconds to wait before the read.
    """

    after_s: float = 0.0


class Write(msgspec.Struct, frozen=True, kw_only=True):
    """A step that writes the object in force.

    Attributes:
      document: The encoded object.
      expected_version: Version that the stored object must have.
    """

    document: bytes
    expected_version: int


class Finish(msgspec.Struct, frozen=True, kw_only=True):
    """The final step.

    Attributes:
      outcome: Outcome of the switch.
    """

    outcome: Outcome


Step = Read | Write | Finish


def create_operation_id(base_epoch: int, rng: random.Random) -> str:
    """Creates an operation id.

    Args:
      base_epoch: Epoch in force that the switch replaces. A later run with the
        same id writes nothing if another epoch is in force by then.
      rng: Random source.
    """
    return f"{base_epoch}-{rng.getrandbits(_RANDOM_BITS):016x}"


def _parse_base_epoch(operation_id: str) -> int | None:
    base, dash, _ = operation_id.partition("-")
    return int(base) if dash and base.isdecimal() else None


class SwitchStateMachine:
    """A state machine of one switch.

    Args:
      preset: Preset to put in force.
      operator: Name of the operator.
      rng: Random source of the operation id and of jitter.
      operation_id: Id of an earlier run to repeat, or None for a new switch.
      base_epoch: Epoch that the switch replaces if it has no operation id; by
        default the one that the first read finds.
      min_epoch: Lower bound of the new epoch, one above the highest epoch in
        the fleet.

    Attributes:
      operation_id: Id of the switch, or None until the first read.
    """

    def __init__(
        self,
        *,
        preset: model.Preset,
        operator: str,
        rng: random.Random,
        operation_id: str | None = None,
        base_epoch: int | None = None,
        min_epoch: int = 1,
    ) -> None:
        self._preset = preset
        self._operator = operator
        self._rng = rng
        self._min_epoch = min_epoch
        self._backoff = backoff.ExponentialBackoff(rng=rng, max_s=2.0)
        self._attempts = 0
        self._may_have_applied = operation_id is not None
        self._base_epoch = base_epoch
        self._candidate: in_force.ActivePreset | None = None
        self.operation_id = operation_id
        if operation_id is not None:
            self._base_epoch = _parse_base_epoch(operation_id)

    def start(self) -> Step:
        """Returns the first step."""
        return Read()

    def on_read(
        self, outcome: result.Result[store.StoredObject, store.Failure]
    ) -> Step:
        """Handles the answer to a read and returns the next step.

        Args:
          outcome: The stored object or the store's failure.
        """
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
        """Handles the answer to a write and returns the next step.

        Args:
          outcome: The object's new version or the store's failure.
        """
        match outcome:
            case result.Ok(_):
                return Finish(outcome=self._build_accepted(self._candidate))
            case result.Err(failure):
                self._may_have_applied |= failure.may_have_applied
                if failure.kind is FailureKind.CONFLICT:
                    return self._retry(failure, immediately=True)
                return self._retry(failure)

    def _after_read(
        self, version: int, current: in_force.ActivePreset | None
    ) -> Step:
        epoch = 0 if current is None else current.epoch
        if self._base_epoch is None:
            self._base_epoch = epoch
        if self.operation_id is None:
            self.operation_id = create_operation_id(self._base_epoch, self._rng)
        if current is not None:
            recorded = current.find_switch(self.operation_id)
            if recorded is not None:
                return Finish(outcome=self._resolve_recorded(recorded, current))
        if epoch != self._base_epoch:
            return Finish(outcome=self._resolve_superseding(current))
        self._candidate = in_force.build_successor(
            current,
            preset=self._preset,
            operation_id=self.operation_id,
            operator=self._operator,
            min_epoch=self._min_epoch,
        )
        return Write(
            document=in_force.encode(self._candidate), expected_version=version
        )

    def _build_accepted(self, accepted: in_force.ActivePreset) -> Accepted:
        return Accepted(
            epoch=accepted.epoch,
            operation_id=accepted.operation_id,
            document=in_force.encode(accepted),
        )

    def _resolve_recorded(
        self, recorded: in_force.Switch, current: in_force.ActivePreset
    ) -> Outcome:
        if current.operation_id == self.operation_id:
            return self._build_accepted(current)
        return Superseded(
            epoch=recorded.epoch,
            operation_id=self.operation_id,
            by=current.history[-1],
        )

    def _resolve_superseding(
        self, current: in_force.ActivePreset | None
    ) -> Outcome:
        """Distinguishes a lost race from a history that dropped the id."""
        history = () if current is None else current.history
        later_switches = [s for s in history if s.epoch > self._base_epoch]
        is_truncated = len(later_switches) == in_force.HISTORY_LENGTH
        if not later_switches or (is_truncated and self._may_have_applied):
            return Unknown(
                operation_id=self.operation_id,
                reason="the history no longer reaches back to this switch",
            )
        return Conflict(
            operation_id=self.operation_id, winner=later_switches[0]
        )

    def _retry(
        self, failure: store.Failure, *, immediately: bool = False
    ) -> Step:
        self._attempts += 1
        is_permanent = failure.kind in (
            FailureKind.UNAUTHORIZED,
            FailureKind.INVALID,
        )
        if is_permanent or self._attempts >= MAX_ATTEMPTS:
            return self._give_up(failure.kind, failure.detail)
        if immediately:
            return Read()
        wait_s = self._backoff.next_delay()
        return Read(after_s=max(wait_s, failure.retry_after_s or 0.0))

    def _give_up(self, kind: FailureKind, reason: str) -> Step:
        if self._may_have_applied:
            return Finish(
                outcome=Unknown(operation_id=self.operation_id, reason=reason)
            )
        return Finish(outcome=Failed(kind=kind, reason=reason))


@defer.inlineCallbacks
def run(machine: SwitchStateMachine, *, object_store: store.Store, reactor):
    """Runs a switch against a store.

    Args:
      machine: State machine of the switch.
      object_store: The store.
      reactor: Twisted reactor that times the waits between attempts.

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

"""The switch machine against a store with every fault at every step."""

import itertools
import random

import hypothesis
from hypothesis import strategies as st
import pytest
import result

from bergamotdeal.presets import in_force
from bergamotdeal.presets import model
from bergamotdeal.presets import switch
from bergamotdeal.store import core as store

LOST = store.Failure(
    kind=store.FailureKind.UNAVAILABLE, detail="lost", may_have_applied=True
)
DOWN = store.Failure(kind=store.FailureKind.UNAVAILABLE, detail="down")


class MemoryStore:
    """One object with a version."""

    def __init__(self):
        self.version = 0
        self.value = b""
        self.writes = 0

    def get(self):
        if self.version == 0:
            failure = store.Failure(kind=store.FailureKind.NOT_FOUND, detail="")
            return result.Err(failure)
        return result.Ok(
            store.StoredObject(key="k", version=self.version, value=self.value)
        )

    def put(self, step):
        if step.expected_version != self.version:
            failure = store.Failure(kind=store.FailureKind.CONFLICT, detail="")
            return result.Err(failure)
        self.version += 1
        self.writes += 1
        self.value = step.document
        return result.Ok(self.version)

    def current(self):
        return in_force.decode(self.value).unwrap()


def machine(name, *, seed=1, operation_id=None):
    return switch.SwitchStateMachine(
        preset=model.Preset(name=name),
        operator=f"{name}-operator",
        rng=random.Random(f"{name}{seed}"),
        operation_id=operation_id,
    )


def advance(m, step, memory, fault="none"):
    """Carries out one step; ``fault`` applies to it."""
    match step:
        case switch.Read():
            if fault != "none":
                return m.on_read(result.Err(DOWN))
            return m.on_read(memory.get())
        case switch.Write():
            if fault == "before":
                return m.on_write(result.Err(LOST))
            answer = memory.put(step)
            if fault == "after":
                return m.on_write(result.Err(LOST))
            return m.on_write(answer)
    raise AssertionError(step)


def drive(m, memory, faults=()):
    step = m.start()
    faults = itertools.chain(faults, itertools.repeat("none"))
    while not isinstance(step, switch.Finish):
        step = advance(m, step, memory, next(faults))
    return step.outcome


def test_switches_raise_the_epoch_one_by_one():
    memory = MemoryStore()
    for epoch, name in enumerate(["ordinary", "peak", "ordinary"], start=1):
        outcome = drive(machine(name, seed=epoch), memory)
        assert isinstance(outcome, switch.Accepted)
        assert outcome.epoch == epoch
        assert memory.current().preset.name == name


@pytest.mark.parametrize("fault", ["before", "after"])
def test_lost_answer_is_accepted_once(fault):
    memory = MemoryStore()
    outcome = drive(machine("peak"), memory, ["none", fault])
    assert isinstance(outcome, switch.Accepted)
    assert memory.writes == 1
    assert memory.current().operation_id == outcome.operation_id


def test_lost_answer_then_another_switch_is_superseded():
    memory = MemoryStore()
    first = machine("peak")
    step = advance(first, first.start(), memory)
    step = advance(first, step, memory, "after")
    drive(machine("ordinary"), memory)
    outcome = advance(first, step, memory).outcome
    assert isinstance(outcome, switch.Superseded)
    assert outcome.epoch == 1
    assert outcome.by.preset_name == "ordinary"


def test_lost_race_names_the_winner():
    memory = MemoryStore()
    loser = machine("peak")
    step = advance(loser, loser.start(), memory)
    drive(machine("ordinary"), memory)
    step = advance(loser, step, memory)
    outcome = advance(loser, step, memory).outcome
    assert isinstance(outcome, switch.Conflict)
    assert outcome.winner.preset_name == "ordinary"
    assert outcome.winner.operator == "ordinary-operator"
    assert memory.writes == 1


def test_store_down_from_the_start_fails_plainly():
    outcome = drive(machine("peak"), MemoryStore(), ["before"] * 99)
    assert isinstance(outcome, switch.Failed)


def test_store_down_after_the_write_is_unknown_and_can_be_run_again():
    memory = MemoryStore()
    outcome = drive(machine("peak"), memory, ["none", "after"] + ["x"] * 99)
    assert isinstance(outcome, switch.Unknown)
    again = machine("peak", seed=2, operation_id=outcome.operation_id)
    assert isinstance(drive(again, memory), switch.Accepted)
    assert memory.writes == 1


def test_write_that_arrives_late_is_not_doubled():
    """The lost write takes effect only after the object was read again."""
    memory = MemoryStore()
    m = machine("peak")
    late = advance(m, m.start(), memory)
    step = advance(m, late, memory, "before")
    step = advance(m, step, memory)
    memory.put(late)
    step = advance(m, step, memory)
    outcome = advance(m, step, memory).outcome
    assert isinstance(outcome, switch.Accepted)
    assert memory.writes == 1


def test_id_beyond_the_history_never_writes_again():
    memory = MemoryStore()
    first = drive(machine("peak"), memory)
    for seed in range(in_force.HISTORY_LENGTH + 1):
        drive(machine("ordinary", seed=seed), memory)
    writes = memory.writes
    again = machine("peak", operation_id=first.operation_id)
    assert isinstance(drive(again, memory), switch.Unknown)
    assert memory.writes == writes


def test_epoch_rises_above_the_fleet_after_the_store_lost_data():
    memory = MemoryStore()
    m = switch.SwitchStateMachine(
        preset=model.Preset(name="peak"),
        operator="x",
        rng=random.Random(1),
        min_epoch=9,
    )
    assert drive(m, memory).epoch == 9


FAULTS = st.sampled_from(["none", "none", "before", "after"])


@hypothesis.given(
    st.lists(st.tuples(st.integers(0, 2), FAULTS), max_size=60),
    st.integers(0, 9),
)
def test_every_interleaving_tells_the_truth(moves, seed):
    """Three operators race; faults at any step."""
    memory = MemoryStore()
    names = ["ordinary", "peak", "maintenance"]
    machines = [machine(name, seed=seed) for name in names]
    steps = [m.start() for m in machines]
    moves += [(index, "none") for index in (0, 1, 2) for _ in range(30)]
    epochs = [0]
    for index, fault in moves:
        if isinstance(steps[index], switch.Finish):
            continue
        steps[index] = advance(machines[index], steps[index], memory, fault)
        if memory.version:
            epochs.append(memory.current().epoch)
    assert epochs == sorted(epochs)
    history = memory.current().history if memory.version else ()
    accepted = [s.operation_id for s in history]
    assert len(set(accepted)) == len(accepted) == memory.writes
    for m, step in zip(machines, steps, strict=True):
        match step.outcome:
            case switch.Accepted() | switch.Superseded():
                assert m.operation_id in accepted
            case switch.Conflict() | switch.Failed():
                assert m.operation_id not in accepted

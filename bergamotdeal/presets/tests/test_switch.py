"""Tests of the switch state machine with faults at every step."""

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

RESPONSE_LOST = store.Failure(
    kind=store.FailureKind.UNAVAILABLE, detail="lost", may_have_applied=True
)
STORE_DOWN = store.Failure(kind=store.FailureKind.UNAVAILABLE, detail="down")


class MemoryStore:
    """A store of a single versioned object."""

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


def make_machine(name, *, seed=1, operation_id=None):
    return switch.SwitchStateMachine(
        preset=model.Preset(name=name),
        operator=f"{name}-operator",
        rng=random.Random(f"{name}{seed}"),
        operation_id=operation_id,
    )


def execute_step(m, step, memory, fault="none"):
    """Executes one step with a fault injected before or after it."""
    match step:
        case switch.Read():
            if fault != "none":
                return m.on_read(result.Err(STORE_DOWN))
            return m.on_read(memory.get())
        case switch.Write():
            if fault == "before":
                return m.on_write(result.Err(RESPONSE_LOST))
            answer = memory.put(step)
            if fault == "after":
                return m.on_write(result.Err(RESPONSE_LOST))
            return m.on_write(answer)
    raise AssertionError(step)


def run_to_outcome(m, memory, faults=()):
    step = m.start()
    faults = itertools.chain(faults, itertools.repeat("none"))
    while not isinstance(step, switch.Finish):
        step = execute_step(m, step, memory, next(faults))
    return step.outcome


def test_each_switch_raises_the_epoch_by_one():
    memory = MemoryStore()
    for epoch, name in enumerate(["ordinary", "peak", "ordinary"], start=1):
        outcome = run_to_outcome(make_machine(name, seed=epoch), memory)
        assert isinstance(outcome, switch.Accepted)
        assert outcome.epoch == epoch
        assert memory.current().preset.name == name


@pytest.mark.parametrize("fault", ["before", "after"])
def test_switch_with_lost_response_is_accepted_once(fault):
    memory = MemoryStore()
    outcome = run_to_outcome(make_machine("peak"), memory, ["none", fault])
    assert isinstance(outcome, switch.Accepted)
    assert memory.writes == 1
    assert memory.current().operation_id == outcome.operation_id


def test_lost_response_before_another_switch_is_superseded():
    memory = MemoryStore()
    first = make_machine("peak")
    step = execute_step(first, first.start(), memory)
    step = execute_step(first, step, memory, "after")
    run_to_outcome(make_machine("ordinary"), memory)
    outcome = execute_step(first, step, memory).outcome
    assert isinstance(outcome, switch.Superseded)
    assert outcome.epoch == 1
    assert outcome.by.preset_name == "ordinary"


def test_conflict_names_the_winning_switch():
    memory = MemoryStore()
    loser = make_machine("peak")
    step = execute_step(loser, loser.start(), memory)
    run_to_outcome(make_machine("ordinary"), memory)
    step = execute_step(loser, step, memory)
    outcome = execute_step(loser, step, memory).outcome
    assert isinstance(outcome, switch.Conflict)
    assert outcome.winner.preset_name == "ordinary"
    assert outcome.winner.operator == "ordinary-operator"
    assert memory.writes == 1


def test_unavailable_store_before_the_write_fails():
    outcome = run_to_outcome(
        make_machine("peak"), MemoryStore(), ["before"] * 99
    )
    assert isinstance(outcome, switch.Failed)


def test_unavailable_store_after_the_write_is_unknown_and_repeatable():
    memory = MemoryStore()
    outcome = run_to_outcome(
        make_machine("peak"), memory, ["none", "after"] + ["x"] * 99
    )
    assert isinstance(outcome, switch.Unknown)
    repeated = make_machine("peak", seed=2, operation_id=outcome.operation_id)
    assert isinstance(run_to_outcome(repeated, memory), switch.Accepted)
    assert memory.writes == 1


def test_delayed_write_is_applied_once():
    """The store applies the lost write after the object was read again."""
    memory = MemoryStore()
    m = make_machine("peak")
    late = execute_step(m, m.start(), memory)
    step = execute_step(m, late, memory, "before")
    step = execute_step(m, step, memory)
    memory.put(late)
    step = execute_step(m, step, memory)
    outcome = execute_step(m, step, memory).outcome
    assert isinstance(outcome, switch.Accepted)
    assert memory.writes == 1


def test_operation_id_dropped_from_history_writes_nothing():
    memory = MemoryStore()
    first = run_to_outcome(make_machine("peak"), memory)
    for seed in range(in_force.HISTORY_LENGTH + 1):
        run_to_outcome(make_machine("ordinary", seed=seed), memory)
    writes = memory.writes
    repeated = make_machine("peak", operation_id=first.operation_id)
    assert isinstance(run_to_outcome(repeated, memory), switch.Unknown)
    assert memory.writes == writes


def test_epoch_exceeds_that_of_the_fleet_after_store_data_loss():
    memory = MemoryStore()
    m = switch.SwitchStateMachine(
        preset=model.Preset(name="peak"),
        operator="x",
        rng=random.Random(1),
        min_epoch=9,
    )
    assert run_to_outcome(m, memory).epoch == 9


FAULTS = st.sampled_from(["none", "none", "before", "after"])


@hypothesis.given(
    st.lists(st.tuples(st.integers(0, 2), FAULTS), max_size=60),
    st.integers(0, 9),
)
def test_outcomes_match_the_store_in_any_interleaving(schedule, seed):
    """Three operators switch concurrently, with faults at any step."""
    memory = MemoryStore()
    names = ["ordinary", "peak", "maintenance"]
    machines = [make_machine(name, seed=seed) for name in names]
    steps = [m.start() for m in machines]
    schedule += [(index, "none") for index in (0, 1, 2) for _ in range(30)]
    epochs = [0]
    for index, fault in schedule:
        if isinstance(steps[index], switch.Finish):
            continue
        steps[index] = execute_step(
            machines[index], steps[index], memory, fault
        )
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

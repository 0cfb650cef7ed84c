"""Every fault at every step of a switch of the preset in force."""

import enum
import itertools
import random

import pytest

from bergamotdeal.presets import in_force
from bergamotdeal.presets import switch as switches
from standins import checked_switch
from standins import checked_switch_model
from standins import checker

Step = checked_switch_model.Step
_STORE_FAULT_S = 9.0
_SILENCE_S = 3.0
_SETTLE_S = 45.0


class Fault(enum.Enum):
    """A kind of fault that affects a switch."""

    STORE_DOWN = "store down"
    STORE_SLOW = "store slow"
    ANSWER_LOST = "answer lost after the write"
    RACING_SWITCHES = "racing operators"
    PAUSED_NODE = "paused process"
    SILENT_CONNECTION = "silent connection"
    NODE_KILLED = "node killed"
    CENTRE_CUT_OFF = "data centre cut off"


def inject(fleet, fault, host_id):
    match fault:
        case Fault.STORE_DOWN:
            fleet.store_down = True
            fleet.after(
                _STORE_FAULT_S, lambda: setattr(fleet, "store_down", False)
            )
        case Fault.STORE_SLOW:
            fleet.store_slow = True
            fleet.after(
                _STORE_FAULT_S, lambda: setattr(fleet, "store_slow", False)
            )
        case Fault.ANSWER_LOST:
            fleet.lose_writes += 1
        case Fault.RACING_SWITCHES:
            fleet.switch("maintenance")
        case Fault.PAUSED_NODE:
            fleet.pause_node(host_id)
        case Fault.SILENT_CONNECTION:
            fleet.nodes_by_id[host_id].mute_until = fleet.now + _SILENCE_S
        case Fault.NODE_KILLED:
            fleet.kill_node(host_id)
        case Fault.CENTRE_CUT_OFF:
            fleet.partition(fleet.nodes_by_id[host_id].member.data_centre)


def run_cell(injections, *, seed):
    """Switches once without faults, then once with the given faults."""
    fleet = checked_switch.SwitchFleet(seed=seed)
    fleet.run_for(4.0)
    fleet.switch("ordinary")
    fleet.run_for(6.0)
    assert {n.follower.epoch for n in fleet.nodes_by_id.values()} == {1}
    pending = set(range(len(injections)))

    def create_hook(step):
        def inject_pending(host_id):
            for number, (injection_step, fault) in enumerate(injections):
                if injection_step is step and number in pending:
                    pending.discard(number)
                    inject(fleet, fault, host_id)

        return inject_pending

    for step, _ in injections:
        fleet.hooks_by_step[step] = create_hook(step)
    fleet.switch("peak")
    fleet.run_for(_SETTLE_S)
    assert not pending
    return fleet


def assert_promises_hold(fleet):
    assert checker.check(fleet.entries) == []
    stored = in_force.decode(fleet.stored_object.value).unwrap()
    for operator in fleet.operators:
        switch = stored.find_switch(operator.machine.operation_id)
        last_outcome = operator.outcomes[-1]
        if isinstance(last_outcome, switches.Accepted | switches.Superseded):
            assert switch is not None
            assert switch.preset_name == operator.name
        else:
            assert isinstance(last_outcome, switches.Conflict | switches.Failed)
            assert switch is None
    ids = [switch.operation_id for switch in stored.history]
    assert len(ids) == len(set(ids))
    for node in fleet.nodes_by_id.values():
        assert node.follower.epoch == stored.epoch
        assert node.follower.preset == stored.preset


@pytest.mark.parametrize("fault", Fault, ids=lambda f: f.value)
@pytest.mark.parametrize("step", Step, ids=lambda s: s.value)
@pytest.mark.parametrize("seed", range(2))
def test_fault_at_step_keeps_promises(step, fault, seed):
    assert_promises_hold(run_cell([(step, fault)], seed=seed))


@pytest.mark.parametrize(
    "pair",
    list(itertools.combinations(Fault, 2)),
    ids=lambda pair: f"{pair[0].value} and {pair[1].value}",
)
@pytest.mark.parametrize("seed", range(2))
def test_pair_of_faults_keeps_promises(pair, seed):
    rng = random.Random(f"{pair[0].value} {pair[1].value} {seed}")
    steps = [Step.READING, Step.WRITING, Step.WRITTEN]
    injections = [(rng.choice(steps), fault) for fault in pair]
    assert_promises_hold(run_cell(injections, seed=seed))

"""The checker reports each of a set of single faults in the product code.

Each mutant removes one rule from the product. Its scenario violates a promise
with the mutant and none without.
"""

import random

import pytest

from bergamotdeal.calls import engine as call_engine
from bergamotdeal.calls import state as engine_state
from bergamotdeal.calls import truth
from bergamotdeal.errors import core as errors
from bergamotdeal.presets import model
from bergamotdeal.retries import allowance
from bergamotdeal.tickets import core as tickets
from bergamotdeal.tickets import table
from standins import checked_callers
from standins import checked_faults
from standins import checked_fleet
from standins import checker
from tests.matrix import cells

Fault = cells.Fault
Guarantee = checker.Guarantee
Step = cells.Step


def collect_broken_promises(violations):
    return {violation.guarantee for violation in violations}


def run_resend_during_run():
    """Sends a ticketed request again while it runs."""
    injection = cells.Injection(Step.RUNNING, Fault.HARD_RETRIES)
    return cells.run_cell(cells.TICKETED, [injection], seed=1).violations


def run_node_crash_during_run():
    """Kills the parent node of a ticketed request while the request runs."""
    injection = cells.Injection(
        Step.RUNNING, Fault.NODE_KILLED, cells.FaultLocation.PARENT
    )
    return cells.run_cell(cells.TICKETED, [injection], seed=1).violations


def run_shed_after_loss():
    """Loses a running browse request, which is then sent again and shed."""
    checked = checked_fleet.CheckedFleet(
        seed=3, preset=checked_fleet.make_preset()
    )
    faults = checked_faults.FaultInjector(checked=checked)
    target = checked_callers.Caller(checked=checked, key=cells.TARGET_KEY)

    def inject(host_id):
        for service in checked_fleet.SERVICES:
            for host in list(checked.fleet.nodes_by_id):
                if checked.service_of(host) == service:
                    faults.kill_server(host)

    checked.on_step(Step.RUNNING, cells.TARGET_KEY, inject, service="front")
    checked.after(0.5, target.send)
    checked.run_for(30)
    return checker.check(checked.entries)


def run_frequent_server_crashes():
    """Kills servers of a chain of six services 100 times a second."""
    rng = random.Random(5)
    services = tuple(f"level-{n}" for n in range(6))
    retries = model.RetryPolicy(allowance=3, ratio=1.0, burst=1000)
    checked = checked_fleet.CheckedFleet(
        seed=5,
        services=services,
        hosts_per_service=4,
        preset=checked_fleet.make_preset(services=services, retries=retries),
    )
    faults = checked_faults.FaultInjector(checked=checked)
    for number in range(80):
        caller = checked_callers.Caller(
            checked=checked, key=f"user-{number}", service=services[0]
        )
        checked.after(rng.uniform(0.2, 5), caller.send)
    for number in range(500):
        host_id = rng.choice(sorted(checked.fleet.nodes_by_id))
        checked.after(
            0.2 + number / 100, lambda h=host_id: faults.kill_server(h)
        )
    checked.run_for(25)
    return checker.check(checked.entries)


def run_racing_switches():
    """Sends two switches to the nodes in opposite orders, under traffic."""
    checked = checked_fleet.CheckedFleet(seed=1)
    faults = checked_faults.FaultInjector(checked=checked)
    for number in range(200):
        caller = checked_callers.Caller(checked=checked, key=f"user-{number}")
        checked.after(0.2 + number / 100, caller.send)

    def switch_twice():
        faults.switch()
        faults.switch(reverse=True)

    checked.after(0.5, switch_twice)
    checked.run_for(20)
    return checker.check(checked.entries)


def drop_ticket_requirement(patch):
    patch.setattr(engine_state.EngineState, "needs_ticket", lambda *_: False)


def mark_used_tickets_as_issued(patch):
    present = table.TicketTable.present

    def present_as_unused(self, encoded, request, now):
        serial = tickets.decode(encoded).unwrap().serial
        record = self._records_in_first_use.get(serial)
        if record is not None:
            record.state = table.TicketState.ISSUED
        return present(self, encoded, request, now)

    patch.setattr(table.TicketTable, "present", present_as_unused)


def pass_whole_allowance_to_each_call(patch):
    patch.setattr(
        allowance.Allowance, "split_for_call", lambda self: self.tokens
    )


def resolve_peer_loss_as_not_run(patch):
    resolve_outcome = errors.resolve_outcome

    def resolve_wrongly(kind, may_have_run):
        if kind is errors.ErrorKind.PEER_LOST:
            return errors.Outcome.NOT_RUN
        return resolve_outcome(kind, may_have_run=may_have_run)

    patch.setattr(errors, "resolve_outcome", resolve_wrongly)
    patch.setattr(truth, "correct_outcome", lambda answer, may_have_run: answer)


def ignore_earlier_sendings(patch):
    patch.setattr(
        errors,
        "resolve_outcome",
        lambda kind, may_have_run: errors.ANSWERS_BY_KIND[kind].outcome,
    )
    patch.setattr(truth, "correct_outcome", lambda answer, may_have_run: answer)


def apply_older_epochs(patch):
    apply = call_engine.Engine._handle_preset

    def handle_without_epoch_check(self, event):
        self._state.epoch = 0
        apply(self, event)

    patch.setattr(
        call_engine.Engine, "_handle_preset", handle_without_epoch_check
    )


MUTANTS_BY_NAME = {
    "tickets not required": (
        drop_ticket_requirement,
        run_resend_during_run,
        Guarantee.AT_MOST_ONCE,
    ),
    "used tickets forgotten": (
        mark_used_tickets_as_issued,
        run_resend_during_run,
        Guarantee.AT_MOST_ONCE,
    ),
    "allowance copied": (
        pass_whole_allowance_to_each_call,
        run_frequent_server_crashes,
        Guarantee.RETRIES_BOUNDED,
    ),
    "a loss called not-run": (
        resolve_peer_loss_as_not_run,
        run_node_crash_during_run,
        Guarantee.NOT_RUN_TRUE,
    ),
    "earlier sendings forgotten": (
        ignore_earlier_sendings,
        run_shed_after_loss,
        Guarantee.NOT_RUN_TRUE,
    ),
    "any epoch applied": (
        apply_older_epochs,
        run_racing_switches,
        Guarantee.SWITCH_HOLDS,
    ),
}


@pytest.mark.parametrize("name", MUTANTS_BY_NAME)
def test_checker_reports_the_mutants_violation(name, monkeypatch):
    mutate, scenario, promise = MUTANTS_BY_NAME[name]
    with monkeypatch.context() as patch:
        mutate(patch)
        assert promise in collect_broken_promises(scenario())


@pytest.mark.parametrize("name", MUTANTS_BY_NAME)
def test_checker_reports_nothing_without_the_mutant(name):
    _, scenario, _ = MUTANTS_BY_NAME[name]
    assert scenario() == []

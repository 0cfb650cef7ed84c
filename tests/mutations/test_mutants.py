"""Breaks one rule at a time; the checker has to notice each."""

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
Promise = checker.Promise
Step = cells.Step


def promises_broken(violations):
    return {violation.promise for violation in violations}


def run_double_send():
    """A ticketed request is sent again while it runs."""
    injection = cells.Injection(Step.RUNNING, Fault.HARD_RETRIES)
    return cells.run_cell(cells.BOOK, [injection], seed=1).violations


def run_lost_answer():
    """The node of a ticketed request dies while the request runs."""
    injection = cells.Injection(
        Step.RUNNING, Fault.NODE_KILLED, cells.Place.PARENT
    )
    return cells.run_cell(cells.BOOK, [injection], seed=1).violations


def run_shed_after_loss():
    """A browse request is lost while it runs, then sent again and shed."""
    checked = checked_fleet.CheckedFleet(
        seed=3, preset=checked_fleet.make_preset()
    )
    faults = checked_faults.Faults(checked=checked)
    target = checked_callers.Caller(checked=checked, key=cells.KEY)

    def inject(host_id):
        for service in checked_fleet.SERVICES:
            for host in list(checked.fleet.nodes_by_id):
                if checked.service_of(host) == service:
                    faults.kill_server(host)

    checked.on_step(Step.RUNNING, cells.KEY, inject, service="front")
    checked.after(0.5, target.send)
    checked.run_for(30)
    return checker.check(checked.entries)


def run_many_losses():
    """Servers of a deep chain die all the time."""
    rng = random.Random(5)
    services = tuple(f"level-{n}" for n in range(6))
    retries = model.RetryPolicy(allowance=3, ratio=1.0, burst=1000)
    checked = checked_fleet.CheckedFleet(
        seed=5,
        services=services,
        hosts_per_service=4,
        preset=checked_fleet.make_preset(services=services, retries=retries),
    )
    faults = checked_faults.Faults(checked=checked)
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
    """Two switches reach the nodes in opposite orders, under traffic."""
    checked = checked_fleet.CheckedFleet(seed=1)
    faults = checked_faults.Faults(checked=checked)
    for number in range(200):
        caller = checked_callers.Caller(checked=checked, key=f"user-{number}")
        checked.after(0.2 + number / 100, caller.send)

    def race():
        faults.switch()
        faults.switch(reverse=True)

    checked.after(0.5, race)
    checked.run_for(20)
    return checker.check(checked.entries)


def drop_ticket_requirement(patch):
    patch.setattr(engine_state.EngineState, "needs_ticket", lambda *_: False)


def forget_used_tickets(patch):
    present = table.TicketTable.present

    def forgetful(self, encoded, request, now):
        serial = tickets.decode(encoded).unwrap().serial
        record = self._records_in_first_use.get(serial)
        if record is not None:
            record.state = table.TicketState.ISSUED
        return present(self, encoded, request, now)

    patch.setattr(table.TicketTable, "present", forgetful)


def copy_allowance(patch):
    patch.setattr(
        allowance.Allowance, "split_for_call", lambda self: self.tokens
    )


def call_a_loss_not_run(patch):
    resolve_outcome = errors.resolve_outcome

    def lie(kind, may_have_run):
        if kind is errors.ErrorKind.PEER_LOST:
            return errors.Outcome.NOT_RUN
        return resolve_outcome(kind, may_have_run=may_have_run)

    patch.setattr(errors, "resolve_outcome", lie)
    patch.setattr(truth, "correct_outcome", lambda answer, may_have_run: answer)


def forget_earlier_sendings(patch):
    patch.setattr(
        errors,
        "resolve_outcome",
        lambda kind, may_have_run: errors.ANSWERS_BY_KIND[kind].outcome,
    )
    patch.setattr(truth, "correct_outcome", lambda answer, may_have_run: answer)


def apply_any_epoch(patch):
    apply = call_engine.Engine._handle_preset

    def unguarded(self, event):
        self._state.epoch = 0
        apply(self, event)

    patch.setattr(call_engine.Engine, "_handle_preset", unguarded)


MUTANTS = {
    "tickets not required": (
        drop_ticket_requirement,
        run_double_send,
        Promise.AT_MOST_ONCE,
    ),
    "used tickets forgotten": (
        forget_used_tickets,
        run_double_send,
        Promise.AT_MOST_ONCE,
    ),
    "allowance copied": (
        copy_allowance,
        run_many_losses,
        Promise.RETRIES_BOUNDED,
    ),
    "a loss called not-run": (
        call_a_loss_not_run,
        run_lost_answer,
        Promise.NOT_RUN_TRUE,
    ),
    "earlier sendings forgotten": (
        forget_earlier_sendings,
        run_shed_after_loss,
        Promise.NOT_RUN_TRUE,
    ),
    "any epoch applied": (
        apply_any_epoch,
        run_racing_switches,
        Promise.SWITCH_HOLDS,
    ),
}


@pytest.mark.parametrize("name", MUTANTS)
def test_checker_reports_the_mutants_violation(name, monkeypatch):
    mutate, scenario, promise = MUTANTS[name]
    with monkeypatch.context() as patch:
        mutate(patch)
        assert promise in promises_broken(scenario())


@pytest.mark.parametrize("name", MUTANTS)
def test_checker_reports_nothing_without_the_mutant(name):
    _, scenario, _ = MUTANTS[name]
    assert scenario() == []

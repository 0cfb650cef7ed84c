"""Handmade ledgers, valid or with one violation that the checker reports."""

import pytest

from standins import checker
from standins import ledger

Guarantee = checker.Guarantee


def make_label(key="r1", *, sending=0, repeatable=True, class_name="browse"):
    return ledger.Label.for_user(
        key,
        service="kitview",
        class_name=class_name,
        repeatable=repeatable,
        sending=sending,
    )


def make_run(at, run_id, request, *, host="h1", intact=True, completed=True):
    entries = [
        ledger.RunStarted(
            at=at, label=request, run_id=run_id, host_id=host, intact=intact
        )
    ]
    if completed is not None:
        entries.append(
            ledger.RunEnded(at=at + 0.1, run_id=run_id, completed=completed)
        )
    return entries


def make_answer(at, request, outcome="completed", *, body_key="", error=""):
    if body_key == "":
        body_key = request.key if outcome == "completed" else None
    return ledger.Answered(
        at=at, label=request, outcome=outcome, error=error, body_key=body_key
    )


def make_sent(at, request):
    return ledger.Sent(at=at, label=request)


def make_preset_seen(at, host, epoch, name="peak"):
    return ledger.PresetSeen(at=at, host_id=host, epoch=epoch, preset_name=name)


def make_switch_accepted(at, epoch, name="peak", operation="op1"):
    return ledger.SwitchAccepted(
        at=at, epoch=epoch, operation_id=operation, preset_name=name
    )


BROWSE_REQUEST = make_label()
CRITICAL_REQUEST = make_label("h1", repeatable=False, class_name="critical")
CRITICAL_RETRY = make_label(
    "h1", repeatable=False, class_name="critical", sending=1
)


def make_requests(count, class_name, shed_count):
    entries = []
    for i in range(count):
        request = make_label(f"{class_name}{i}", class_name=class_name)
        entries.append(make_sent(1.0, request))
        if i < shed_count:
            entries.append(make_answer(1.5, request, "not-run", error="shed"))
        else:
            entries += make_run(1.1, f"{class_name}-run{i}", request)
            entries.append(make_answer(1.5, request))
    return entries


def make_bound_refusals(waiting_class):
    """Makes 20 refusals by the host of a ticket while a request waits there."""
    waiting = make_label("waiting", class_name=waiting_class)
    entries = [
        ledger.Dispatched(
            at=1.1, label=waiting, has_ticket=False, host_id="h1"
        ),
        *make_run(1.9, "waited", waiting),
    ]
    for i in range(20):
        request = make_label(f"bound{i}", class_name="critical")
        entries += [
            make_sent(1.0, request),
            ledger.Dispatched(
                at=1.2, label=request, has_ticket=True, host_id="h1"
            ),
            make_answer(1.5, request, "not-run", error="shed"),
        ]
    return entries + make_requests(30, "browse", 10)


VALID_LEDGERS = {
    "completed at once": [
        make_sent(0, BROWSE_REQUEST),
        *make_run(0.1, "a", BROWSE_REQUEST),
        make_answer(0.3, BROWSE_REQUEST),
    ],
    "resent within the allowance": [
        make_sent(0, BROWSE_REQUEST),
        *make_run(0.1, "a", BROWSE_REQUEST, completed=False),
        *make_run(0.2, "b", BROWSE_REQUEST, completed=False),
        *make_run(0.3, "c", BROWSE_REQUEST),
        make_answer(0.6, BROWSE_REQUEST),
    ],
    "refused, then sent again": [
        make_sent(0, CRITICAL_REQUEST),
        make_answer(0.1, CRITICAL_REQUEST, "not-run", error="ticket-required"),
        make_sent(0.2, CRITICAL_RETRY),
        *make_run(0.3, "a", CRITICAL_RETRY),
        make_answer(0.5, CRITICAL_RETRY),
    ],
    "ticket fetched, then presented": [
        make_sent(0, CRITICAL_REQUEST),
        *[
            ledger.Dispatched(
                at=i / 10, label=CRITICAL_REQUEST, has_ticket=i > 0
            )
            for i in range(5)
        ],
    ],
    "browse shed first": make_requests(30, "critical", 0)
    + make_requests(30, "browse", 10),
    "refused by the host of the ticket, where no browse request waits": (
        make_bound_refusals("critical")
    ),
    "drain": [
        make_sent(0, BROWSE_REQUEST),
        *make_run(0.1, "a", BROWSE_REQUEST),
        ledger.DrainAsked(at=0.15, host_id="h1"),
        make_answer(0.3, BROWSE_REQUEST),
        ledger.DrainEnded(at=0.4, host_id="h1", exit_code=0),
    ],
    "drain of a host with a request past its deadline": [
        make_sent(0, BROWSE_REQUEST),
        *make_run(0.1, "a", BROWSE_REQUEST, completed=False),
        ledger.DrainAsked(at=0.15, host_id="h1"),
        make_answer(0.2, BROWSE_REQUEST, "unknown", error="deadline-exceeded"),
        ledger.DrainEnded(at=0.3, host_id="h1", exit_code=0),
    ],
    "drain of a host whose server died": [
        make_sent(0, BROWSE_REQUEST),
        *make_run(0.1, "a", BROWSE_REQUEST, completed=False),
        ledger.DrainAsked(at=0.15, host_id="h1"),
        ledger.HostDisturbed(at=0.2, host_id="h1"),
        ledger.DrainEnded(at=0.3, host_id="h1", exit_code=0),
    ],
    "switch": [
        ledger.HostUp(at=0, host_id="h1"),
        make_preset_seen(0, "h1", 1, "ordinary"),
        make_switch_accepted(1, 2),
        make_preset_seen(4, "h1", 2),
        make_preset_seen(9, "h1", 2),
    ],
    "restarted host first pulls from an outdated peer": [
        make_switch_accepted(1, 2),
        make_preset_seen(2, "h1", 2),
        ledger.HostDown(at=3, host_id="h1"),
        ledger.HostUp(at=4, host_id="h1", fresh=True),
        make_preset_seen(4.5, "h1", 1, "ordinary"),
        make_preset_seen(5, "h1", 2),
        make_preset_seen(12, "h1", 2),
    ],
    "paused host switches within the grace time of its return": [
        ledger.HostUp(at=0, host_id="h1"),
        make_preset_seen(0, "h1", 1, "ordinary"),
        ledger.HostDown(at=0.5, host_id="h1"),
        make_switch_accepted(1, 2),
        ledger.HostUp(at=7, host_id="h1"),
        make_preset_seen(8, "h1", 2),
    ],
}

VIOLATING_LEDGERS = {
    "allowance exceeded": (
        Guarantee.RETRIES_BOUNDED,
        [
            make_sent(0, BROWSE_REQUEST),
            *[
                e
                for i in range(5)
                for e in make_run(i, f"x{i}", BROWSE_REQUEST)
            ],
            make_answer(6, BROWSE_REQUEST),
        ],
    ),
    "allowance exceeded over two levels": (
        Guarantee.RETRIES_BOUNDED,
        [
            make_sent(0, BROWSE_REQUEST),
            *[
                e
                for i in range(3)
                for e in make_run(i, f"x{i}", BROWSE_REQUEST)
            ],
            *[
                e
                for i in range(3)
                for e in make_run(
                    i + 0.1,
                    f"y{i}",
                    BROWSE_REQUEST.child(
                        run_id="x0", index=0, service="s", repeatable=True
                    ),
                )
            ],
        ],
    ),
    "allowance exceeded by calls that never ran": (
        Guarantee.RETRIES_BOUNDED,
        [
            make_sent(0, BROWSE_REQUEST),
            *[
                ledger.Dispatched(at=i, label=BROWSE_REQUEST, has_ticket=False)
                for i in range(5)
            ],
        ],
    ),
    "critical shed more than browse": (
        Guarantee.BROWSE_SHED_FIRST,
        make_requests(30, "critical", 5) + make_requests(30, "browse", 1),
    ),
    "critical refused by the host of the ticket, where browse waits": (
        Guarantee.BROWSE_SHED_FIRST,
        make_bound_refusals("browse"),
    ),
    "truncated body": (
        Guarantee.OWN_ANSWER,
        [
            make_sent(0, BROWSE_REQUEST),
            *make_run(0.1, "a", BROWSE_REQUEST),
            make_answer(0.3, BROWSE_REQUEST, body_key=None),
        ],
    ),
    "answer of another request": (
        Guarantee.OWN_ANSWER,
        [
            make_sent(0, BROWSE_REQUEST),
            *make_run(0.1, "a", BROWSE_REQUEST),
            make_answer(0.3, BROWSE_REQUEST, body_key="r2"),
        ],
    ),
    "answered twice": (
        Guarantee.OWN_ANSWER,
        [
            make_sent(0, BROWSE_REQUEST),
            *make_run(0.1, "a", BROWSE_REQUEST),
            make_answer(0.3, BROWSE_REQUEST),
            make_answer(0.4, BROWSE_REQUEST),
        ],
    ),
    "answered without being sent": (
        Guarantee.OWN_ANSWER,
        [*make_run(0.1, "a", BROWSE_REQUEST), make_answer(0.3, BROWSE_REQUEST)],
    ),
    "completed without a run": (
        Guarantee.OWN_ANSWER,
        [make_sent(0, BROWSE_REQUEST), make_answer(0.3, BROWSE_REQUEST)],
    ),
    "corrupted request": (
        Guarantee.OWN_ANSWER,
        [
            make_sent(0, BROWSE_REQUEST),
            *make_run(0.1, "a", BROWSE_REQUEST, intact=False),
            make_answer(0.3, BROWSE_REQUEST),
        ],
    ),
    "not-run after a run": (
        Guarantee.NOT_RUN_TRUE,
        [
            make_sent(0, BROWSE_REQUEST),
            *make_run(0.1, "a", BROWSE_REQUEST),
            make_answer(0.3, BROWSE_REQUEST, "not-run"),
        ],
    ),
    "not-run before a run": (
        Guarantee.NOT_RUN_TRUE,
        [
            make_sent(0, BROWSE_REQUEST),
            make_answer(0.3, BROWSE_REQUEST, "not-run"),
            *make_run(0.5, "a", BROWSE_REQUEST),
        ],
    ),
    "not-run for the second sending": (
        Guarantee.NOT_RUN_TRUE,
        [
            make_sent(0, CRITICAL_REQUEST),
            *make_run(0.1, "a", CRITICAL_REQUEST, completed=False),
            make_sent(0.2, CRITICAL_RETRY),
            make_answer(0.3, CRITICAL_RETRY, "not-run", error="shed"),
        ],
    ),
    "first sending runs after its retry is refused": (
        Guarantee.NOT_RUN_TRUE,
        [
            make_sent(0, CRITICAL_REQUEST),
            make_sent(0.2, CRITICAL_RETRY),
            make_answer(0.3, CRITICAL_RETRY, "not-run", error="ticket-burnt"),
            *make_run(0.4, "a", CRITICAL_REQUEST),
        ],
    ),
    "non-repeatable request runs twice": (
        Guarantee.AT_MOST_ONCE,
        [
            make_sent(0, CRITICAL_REQUEST),
            *make_run(0.1, "a", CRITICAL_REQUEST, completed=False),
            make_sent(0.2, CRITICAL_RETRY),
            *make_run(0.3, "b", CRITICAL_RETRY, host="h2"),
        ],
    ),
    "non-repeatable child of a retried request runs twice": (
        Guarantee.AT_MOST_ONCE,
        [
            make_sent(0, BROWSE_REQUEST),
            *make_run(0.1, "a", BROWSE_REQUEST, completed=False),
            *make_run(
                0.15,
                "c1",
                BROWSE_REQUEST.child(
                    run_id="a", index=0, service="s", repeatable=False
                ),
            ),
            *make_run(0.2, "b", BROWSE_REQUEST),
            *make_run(
                0.25,
                "c2",
                BROWSE_REQUEST.child(
                    run_id="b", index=0, service="s", repeatable=False
                ),
            ),
        ],
    ),
    "run starts after the drain grace time": (
        Guarantee.DRAIN_STOPS_WORK,
        [
            ledger.DrainAsked(at=0, host_id="h1"),
            make_sent(3, BROWSE_REQUEST),
            *make_run(3.5, "a", BROWSE_REQUEST),
            make_answer(4, BROWSE_REQUEST),
        ],
    ),
    "drain interrupts a run": (
        Guarantee.DRAIN_CUTS_NOTHING,
        [
            make_sent(0, BROWSE_REQUEST),
            *make_run(0.1, "a", BROWSE_REQUEST, completed=False),
            ledger.DrainAsked(at=0.15, host_id="h1"),
            ledger.DrainEnded(at=0.3, host_id="h1", exit_code=0),
        ],
    ),
    "drain loses an answer": (
        Guarantee.DRAIN_CUTS_NOTHING,
        [
            make_sent(0, BROWSE_REQUEST),
            *make_run(0.1, "a", BROWSE_REQUEST),
            ledger.DrainAsked(at=0.15, host_id="h1"),
            ledger.DrainEnded(at=0.3, host_id="h1", exit_code=0),
            make_answer(0.4, BROWSE_REQUEST, "unknown", error="peer-lost"),
        ],
    ),
    "drain interrupts a run on a host without a fault": (
        Guarantee.DRAIN_CUTS_NOTHING,
        [
            make_sent(0, BROWSE_REQUEST),
            *make_run(0.1, "a", BROWSE_REQUEST, completed=False),
            ledger.HostDisturbed(at=0.1, host_id="h2"),
            ledger.DrainAsked(at=0.15, host_id="h1"),
            ledger.DrainEnded(at=0.3, host_id="h1", exit_code=0),
        ],
    ),
    "drain ends with an error exit code": (
        Guarantee.DRAIN_CUTS_NOTHING,
        [
            ledger.DrainAsked(at=0.15, host_id="h1"),
            ledger.DrainEnded(at=0.3, host_id="h1", exit_code=1),
        ],
    ),
    "switch in force after the grace time": (
        Guarantee.SWITCH_HOLDS,
        [
            ledger.HostUp(at=0, host_id="h1"),
            make_preset_seen(0, "h1", 1, "ordinary"),
            make_switch_accepted(1, 2),
            make_preset_seen(6.1, "h1", 1, "ordinary"),
            make_preset_seen(6.5, "h1", 2),
        ],
    ),
    "switch is undone": (
        Guarantee.SWITCH_HOLDS,
        [
            make_switch_accepted(1, 2),
            make_preset_seen(2, "h1", 2),
            make_preset_seen(3, "h1", 1, "ordinary"),
        ],
    ),
    "resumed host keeps the old preset": (
        Guarantee.SWITCH_HOLDS,
        [
            ledger.HostUp(at=0, host_id="h1"),
            ledger.HostDown(at=0.5, host_id="h1"),
            make_switch_accepted(1, 2),
            ledger.HostUp(at=7, host_id="h1"),
            make_preset_seen(12.5, "h1", 1, "ordinary"),
        ],
    ),
    "resumed host returns to the old preset": (
        Guarantee.SWITCH_HOLDS,
        [
            make_switch_accepted(1, 2),
            make_preset_seen(2, "h1", 2),
            ledger.HostDown(at=3, host_id="h1"),
            ledger.HostUp(at=4, host_id="h1"),
            make_preset_seen(5, "h1", 1, "ordinary"),
        ],
    ),
    "one epoch accepted twice": (
        Guarantee.SWITCH_HOLDS,
        [
            make_switch_accepted(1, 2),
            make_switch_accepted(1.1, 2, "maintenance", "op2"),
        ],
    ),
    "epoch with another preset": (
        Guarantee.SWITCH_HOLDS,
        [
            make_switch_accepted(1, 2),
            make_preset_seen(2, "h1", 2, "maintenance"),
        ],
    ),
}


@pytest.mark.parametrize("name", VALID_LEDGERS)
def test_check_valid_ledger_finds_no_violation(name):
    assert checker.check(VALID_LEDGERS[name]) == []


@pytest.mark.parametrize("name", VIOLATING_LEDGERS)
def test_check_violating_ledger_reports_its_guarantee(name):
    guarantee, entries = VIOLATING_LEDGERS[name]
    assert {v.guarantee for v in checker.check(entries)} == {guarantee}


def test_guarantees_each_have_a_violating_ledger():
    assert {guarantee for guarantee, _ in VIOLATING_LEDGERS.values()} == set(
        Guarantee
    )

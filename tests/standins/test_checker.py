"""Each forged ledger breaks one promise, and the checker names it."""

import pytest

from standins import checker
from standins import ledger

Guarantee = checker.Guarantee


def label(key="r1", *, sending=0, repeatable=True, class_name="browse"):
    return ledger.Label.for_user(
        key,
        service="kitview",
        class_name=class_name,
        repeatable=repeatable,
        sending=sending,
    )


def run(at, run_id, request, *, host="h1", intact=True, completed=True):
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


def answer(at, request, outcome="completed", *, body_key="", error=""):
    if body_key == "":
        body_key = request.key if outcome == "completed" else None
    return ledger.Answered(
        at=at, label=request, outcome=outcome, error=error, body_key=body_key
    )


def sent(at, request):
    return ledger.Sent(at=at, label=request)


def seen(at, host, epoch, name="peak"):
    return ledger.PresetSeen(at=at, host_id=host, epoch=epoch, preset_name=name)


def accepted(at, epoch, name="peak", operation="op1"):
    return ledger.SwitchAccepted(
        at=at, epoch=epoch, operation_id=operation, preset_name=name
    )


R = label()
HOLD = label("h1", repeatable=False, class_name="critical")
HOLD_AGAIN = label("h1", repeatable=False, class_name="critical", sending=1)


def many(count, class_name, shed):
    entries = []
    for i in range(count):
        request = label(f"{class_name}{i}", class_name=class_name)
        entries.append(sent(1.0, request))
        if i < shed:
            entries.append(answer(1.5, request, "not-run", error="shed"))
        else:
            entries += run(1.1, f"{class_name}-run{i}", request)
            entries.append(answer(1.5, request))
    return entries


GOOD = {
    "plain": [sent(0, R), *run(0.1, "a", R), answer(0.3, R)],
    "resent within the allowance": [
        sent(0, R),
        *run(0.1, "a", R, completed=False),
        *run(0.2, "b", R, completed=False),
        *run(0.3, "c", R),
        answer(0.6, R),
    ],
    "refused, then sent again": [
        sent(0, HOLD),
        answer(0.1, HOLD, "not-run", error="ticket-required"),
        sent(0.2, HOLD_AGAIN),
        *run(0.3, "a", HOLD_AGAIN),
        answer(0.5, HOLD_AGAIN),
    ],
    "ticket fetched, then presented": [
        sent(0, HOLD),
        *[
            ledger.Dispatched(at=i / 10, label=HOLD, has_ticket=i > 0)
            for i in range(5)
        ],
    ],
    "browse shed first": many(30, "critical", 0) + many(30, "browse", 10),
    "drain": [
        sent(0, R),
        *run(0.1, "a", R),
        ledger.DrainAsked(at=0.15, host_id="h1"),
        answer(0.3, R),
        ledger.DrainEnded(at=0.4, host_id="h1", exit_code=0),
    ],
    "drain of a host with a request past its deadline": [
        sent(0, R),
        *run(0.1, "a", R, completed=False),
        ledger.DrainAsked(at=0.15, host_id="h1"),
        answer(0.2, R, "unknown", error="deadline-exceeded"),
        ledger.DrainEnded(at=0.3, host_id="h1", exit_code=0),
    ],
    "drain of a host whose server died": [
        sent(0, R),
        *run(0.1, "a", R, completed=False),
        ledger.DrainAsked(at=0.15, host_id="h1"),
        ledger.HostDisturbed(at=0.2, host_id="h1"),
        ledger.DrainEnded(at=0.3, host_id="h1", exit_code=0),
    ],
    "switch": [
        ledger.HostUp(at=0, host_id="h1"),
        seen(0, "h1", 1, "ordinary"),
        accepted(1, 2),
        seen(4, "h1", 2),
        seen(9, "h1", 2),
    ],
    "restarted host finds an old peer first": [
        accepted(1, 2),
        seen(2, "h1", 2),
        ledger.HostDown(at=3, host_id="h1"),
        ledger.HostUp(at=4, host_id="h1", fresh=True),
        seen(4.5, "h1", 1, "ordinary"),
        seen(5, "h1", 2),
        seen(12, "h1", 2),
    ],
    "paused host is late": [
        ledger.HostUp(at=0, host_id="h1"),
        seen(0, "h1", 1, "ordinary"),
        ledger.HostDown(at=0.5, host_id="h1"),
        accepted(1, 2),
        ledger.HostUp(at=7, host_id="h1"),
        seen(8, "h1", 2),
    ],
}

BAD = {
    "allowance exceeded": (
        Guarantee.RETRIES_BOUNDED,
        [
            sent(0, R),
            *[e for i in range(5) for e in run(i, f"x{i}", R)],
            answer(6, R),
        ],
    ),
    "allowance exceeded over two levels": (
        Guarantee.RETRIES_BOUNDED,
        [
            sent(0, R),
            *[e for i in range(3) for e in run(i, f"x{i}", R)],
            *[
                e
                for i in range(3)
                for e in run(
                    i + 0.1,
                    f"y{i}",
                    R.child(run_id="x0", index=0, service="s", repeatable=True),
                )
            ],
        ],
    ),
    "allowance exceeded by calls that never ran": (
        Guarantee.RETRIES_BOUNDED,
        [
            sent(0, R),
            *[
                ledger.Dispatched(at=i, label=R, has_ticket=False)
                for i in range(5)
            ],
        ],
    ),
    "critical shed more": (
        Guarantee.BROWSE_SHED_FIRST,
        many(30, "critical", 5) + many(30, "browse", 1),
    ),
    "cut body": (
        Guarantee.OWN_ANSWER,
        [sent(0, R), *run(0.1, "a", R), answer(0.3, R, body_key=None)],
    ),
    "other's answer": (
        Guarantee.OWN_ANSWER,
        [sent(0, R), *run(0.1, "a", R), answer(0.3, R, body_key="r2")],
    ),
    "answered twice": (
        Guarantee.OWN_ANSWER,
        [sent(0, R), *run(0.1, "a", R), answer(0.3, R), answer(0.4, R)],
    ),
    "answered unasked": (
        Guarantee.OWN_ANSWER,
        [*run(0.1, "a", R), answer(0.3, R)],
    ),
    "completed without a run": (
        Guarantee.OWN_ANSWER,
        [sent(0, R), answer(0.3, R)],
    ),
    "damaged request": (
        Guarantee.OWN_ANSWER,
        [sent(0, R), *run(0.1, "a", R, intact=False), answer(0.3, R)],
    ),
    "not-run after a run": (
        Guarantee.NOT_RUN_TRUE,
        [sent(0, R), *run(0.1, "a", R), answer(0.3, R, "not-run")],
    ),
    "not-run before a run": (
        Guarantee.NOT_RUN_TRUE,
        [sent(0, R), answer(0.3, R, "not-run"), *run(0.5, "a", R)],
    ),
    "not-run for the second sending": (
        Guarantee.NOT_RUN_TRUE,
        [
            sent(0, HOLD),
            *run(0.1, "a", HOLD, completed=False),
            sent(0.2, HOLD_AGAIN),
            answer(0.3, HOLD_AGAIN, "not-run", error="shed"),
        ],
    ),
    "a copy runs later": (
        Guarantee.NOT_RUN_TRUE,
        [
            sent(0, HOLD),
            sent(0.2, HOLD_AGAIN),
            answer(0.3, HOLD_AGAIN, "not-run", error="ticket-burnt"),
            *run(0.4, "a", HOLD),
        ],
    ),
    "hold runs twice": (
        Guarantee.AT_MOST_ONCE,
        [
            sent(0, HOLD),
            *run(0.1, "a", HOLD, completed=False),
            sent(0.2, HOLD_AGAIN),
            *run(0.3, "b", HOLD_AGAIN, host="h2"),
        ],
    ),
    "hold below a resent browse runs twice": (
        Guarantee.AT_MOST_ONCE,
        [
            sent(0, R),
            *run(0.1, "a", R, completed=False),
            *run(
                0.15,
                "c1",
                R.child(run_id="a", index=0, service="s", repeatable=False),
            ),
            *run(0.2, "b", R),
            *run(
                0.25,
                "c2",
                R.child(run_id="b", index=0, service="s", repeatable=False),
            ),
        ],
    ),
    "work after a drain": (
        Guarantee.DRAIN_STOPS_WORK,
        [
            ledger.DrainAsked(at=0, host_id="h1"),
            sent(3, R),
            *run(3.5, "a", R),
            answer(4, R),
        ],
    ),
    "drain cuts a run": (
        Guarantee.DRAIN_CUTS_NOTHING,
        [
            sent(0, R),
            *run(0.1, "a", R, completed=False),
            ledger.DrainAsked(at=0.15, host_id="h1"),
            ledger.DrainEnded(at=0.3, host_id="h1", exit_code=0),
        ],
    ),
    "drain cuts an answer": (
        Guarantee.DRAIN_CUTS_NOTHING,
        [
            sent(0, R),
            *run(0.1, "a", R),
            ledger.DrainAsked(at=0.15, host_id="h1"),
            ledger.DrainEnded(at=0.3, host_id="h1", exit_code=0),
            answer(0.4, R, "unknown", error="peer-lost"),
        ],
    ),
    "drain cuts a run on a host apart from the disturbed one": (
        Guarantee.DRAIN_CUTS_NOTHING,
        [
            sent(0, R),
            *run(0.1, "a", R, completed=False),
            ledger.HostDisturbed(at=0.1, host_id="h2"),
            ledger.DrainAsked(at=0.15, host_id="h1"),
            ledger.DrainEnded(at=0.3, host_id="h1", exit_code=0),
        ],
    ),
    "drain fails": (
        Guarantee.DRAIN_CUTS_NOTHING,
        [
            ledger.DrainAsked(at=0.15, host_id="h1"),
            ledger.DrainEnded(at=0.3, host_id="h1", exit_code=1),
        ],
    ),
    "switch late": (
        Guarantee.SWITCH_HOLDS,
        [
            ledger.HostUp(at=0, host_id="h1"),
            seen(0, "h1", 1, "ordinary"),
            accepted(1, 2),
            seen(6.1, "h1", 1, "ordinary"),
            seen(6.5, "h1", 2),
        ],
    ),
    "switch reverts": (
        Guarantee.SWITCH_HOLDS,
        [accepted(1, 2), seen(2, "h1", 2), seen(3, "h1", 1, "ordinary")],
    ),
    "resumed host stays behind": (
        Guarantee.SWITCH_HOLDS,
        [
            ledger.HostUp(at=0, host_id="h1"),
            ledger.HostDown(at=0.5, host_id="h1"),
            accepted(1, 2),
            ledger.HostUp(at=7, host_id="h1"),
            seen(12.5, "h1", 1, "ordinary"),
        ],
    ),
    "resumed host reverts": (
        Guarantee.SWITCH_HOLDS,
        [
            accepted(1, 2),
            seen(2, "h1", 2),
            ledger.HostDown(at=3, host_id="h1"),
            ledger.HostUp(at=4, host_id="h1"),
            seen(5, "h1", 1, "ordinary"),
        ],
    ),
    "one epoch accepted twice": (
        Guarantee.SWITCH_HOLDS,
        [accepted(1, 2), accepted(1.1, 2, "maintenance", "op2")],
    ),
    "other preset under the epoch": (
        Guarantee.SWITCH_HOLDS,
        [accepted(1, 2), seen(2, "h1", 2, "maintenance")],
    ),
}


@pytest.mark.parametrize("name", GOOD)
def test_accepts(name):
    assert checker.check(GOOD[name]) == []


@pytest.mark.parametrize("name", BAD)
def test_reports(name):
    promise, entries = BAD[name]
    assert {v.guarantee for v in checker.check(entries)} == {promise}


def test_every_promise_has_a_forged_ledger():
    assert {promise for promise, _ in BAD.values()} == set(Guarantee)

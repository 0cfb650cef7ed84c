"""Runs scenarios and computes their figures."""

import bisect

from standins.study import model
from standins.study import simulation

_CALM_SHARE = 0.95
_LATE_CALM_S = 0.5
_RECOVERY_SPAN_S = 0.5
_RECOVERY_STEP_S = 0.05
_MIN_SPAN_REQUESTS = 40


def run(scenario: model.Scenario) -> model.Result:
    """Runs one scenario.

    Args:
      scenario: What to run.

    Returns:
      Its figures.
    """
    chain = simulation.Chain(scenario)
    chain.run()
    users = chain.users
    begin = scenario.calm_s
    end = scenario.trigger_end()
    done = sum(
        user.completed is not None and begin <= user.completed < end
        for user in users
    )
    possible = min(scenario.demand * scenario.surge, scenario.slow_capacity())
    hit = [user for user in users if begin <= user.arrived < end]
    critical = [user for user in hit if user.critical]
    calm = [
        user
        for user in users
        if scenario.warm_s <= user.arrived < begin - _LATE_CALM_S
    ]
    return model.Result(
        goodput=done / (possible * scenario.trigger_s),
        wasted=_share(chain.wasted.work_s, chain.useful.work_s),
        held=_share(chain.wasted.held_s, chain.useful.held_s),
        recovery_s=_recovery_s(scenario, users),
        critical=_completed_share(critical),
        calm=_completed_share(calm),
    )


def _share(part: float, rest: float) -> float:
    return part / (part + rest) if part else 0.0


def _completed_share(users: list[model.UserRequest]) -> float:
    if not users:
        return 1.0
    return sum(user.completed is not None for user in users) / len(users)


def _recovery_s(
    scenario: model.Scenario, users: list[model.UserRequest]
) -> float | None:
    """Returns the earliest time after which no span falls below calm."""
    arrivals = [user.arrived for user in users]
    end = scenario.trigger_end()
    span = max(_RECOVERY_SPAN_S, _MIN_SPAN_REQUESTS / scenario.demand)
    last_start = end + scenario.after_s - span
    recovered = end
    start = end
    while start < last_start:
        first = bisect.bisect_left(arrivals, start)
        last = bisect.bisect_left(arrivals, start + span)
        if _completed_share(users[first:last]) < _CALM_SHARE:
            recovered = start + _RECOVERY_STEP_S
        start += _RECOVERY_STEP_S
    if recovered >= last_start:
        return None
    return recovered - end


def line(scenario: model.Scenario, result: model.Result) -> str:
    """Returns one line of the table."""
    recovery = "never"
    if result.recovery_s is not None:
        recovery = f"{result.recovery_s:.2f}"
    return (
        f"| {scenario.name} | {result.goodput:.3f} | {result.wasted:.4f} "
        f"| {result.held:.4f} "
        f"| {recovery} | {result.critical:.3f} | {result.calm:.3f} |"
    )

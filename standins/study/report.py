"""Simulation runs and the figures computed from them."""

import bisect

from standins.study import model
from standins.study import simulation

_RECOVERED_SHARE = 0.95
_STEADY_MARGIN_S = 0.5
_RECOVERY_WINDOW_S = 0.5
_RECOVERY_STEP_S = 0.05
_MIN_WINDOW_REQUESTS = 40


def run_scenario(scenario: model.Scenario) -> model.Result:
    """Simulates one scenario and returns its figures.

    Args:
      scenario: Scenario to simulate.
    """
    simulation_run = simulation.ChainSimulation(scenario)
    simulation_run.run()
    users = simulation_run.user_requests
    trigger_start = scenario.steady_s
    trigger_end = scenario.trigger_end_s()
    completions = sum(
        user.completed is not None
        and trigger_start <= user.completed < trigger_end
        for user in users
    )
    max_rate_per_s = min(
        scenario.arrival_rate_per_s * scenario.surge_factor,
        scenario.degraded_capacity_per_s(),
    )
    trigger_requests = [
        user for user in users if trigger_start <= user.arrived_at < trigger_end
    ]
    critical_requests = [user for user in trigger_requests if user.is_critical]
    steady_requests = [
        user
        for user in users
        if scenario.warm_up_s
        <= user.arrived_at
        < trigger_start - _STEADY_MARGIN_S
    ]
    return model.Result(
        goodput=completions / (max_rate_per_s * scenario.trigger_s),
        wasted_work_share=_compute_share(
            simulation_run.wasted_usage.work_s,
            simulation_run.useful_usage.work_s,
        ),
        wasted_slot_share=_compute_share(
            simulation_run.wasted_usage.held_s,
            simulation_run.useful_usage.held_s,
        ),
        recovery_s=_compute_recovery_s(scenario, users),
        critical_completion_share=_completion_share(critical_requests),
        steady_completion_share=_completion_share(steady_requests),
    )


def _compute_share(part: float, rest: float) -> float:
    return part / (part + rest) if part else 0.0


def _completion_share(users: list[model.UserRequest]) -> float:
    if not users:
        return 1.0
    return sum(user.completed is not None for user in users) / len(users)


def _compute_recovery_s(
    scenario: model.Scenario, users: list[model.UserRequest]
) -> float | None:
    """Returns the time after the trigger from which requests complete again.

    Every later window has at least ``_RECOVERED_SHARE`` of its requests
    completed. Windows are long enough for ``_MIN_WINDOW_REQUESTS`` arrivals on
    average.

    Returns:
      The time in seconds, or None when the last windows still fall below.
    """
    arrivals = [user.arrived_at for user in users]
    trigger_end = scenario.trigger_end_s()
    window_s = max(
        _RECOVERY_WINDOW_S, _MIN_WINDOW_REQUESTS / scenario.arrival_rate_per_s
    )
    last_window_start = trigger_end + scenario.after_s - window_s
    recovered_at = trigger_end
    window_start = trigger_end
    while window_start < last_window_start:
        first = bisect.bisect_left(arrivals, window_start)
        last = bisect.bisect_left(arrivals, window_start + window_s)
        if _completion_share(users[first:last]) < _RECOVERED_SHARE:
            recovered_at = window_start + _RECOVERY_STEP_S
        window_start += _RECOVERY_STEP_S
    if recovered_at >= last_window_start:
        return None
    return recovered_at - trigger_end


def format_row(scenario: model.Scenario, result: model.Result) -> str:
    """Returns one row of the Markdown table."""
    recovery = "never"
    if result.recovery_s is not None:
        recovery = f"{result.recovery_s:.2f}"
    return (
        f"| {scenario.name} | {result.goodput:.3f} "
        f"| {result.wasted_work_share:.4f} | {result.wasted_slot_share:.4f} "
        f"| {recovery} | {result.critical_completion_share:.3f} "
        f"| {result.steady_completion_share:.3f} |"
    )

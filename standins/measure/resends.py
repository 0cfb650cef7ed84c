"""Retries per user request in call chains of several depths, under faults."""

import random

from bergamotdeal.presets import model
from standins import checked_callers
from standins import checked_faults
from standins import checked_fleet
from standins import checker
from standins.measure import figures

CHAIN_DEPTHS = (2, 4, 8, 16)
_USER_REQUESTS = 60
_LOAD_S = 6.0
_SETTLE_S = 20.0
_KILL_INTERVAL_S = 0.1
_HOSTS_PER_SERVICE = 5
_SHED_SHARE = 0.3
_ALLOWANCE = 3
_LARGE_ALLOWANCE = 100


def measure(report: figures.Report, *, seed: int = 1) -> None:
    """Adds the largest number of retries per user request at each depth.

    The call engines run under an injected clock, so the figure depends on the
    seed alone. Servers refuse a share of their requests, servers and nodes
    are killed throughout, and callers retry. For comparison, each depth also
    runs with a far larger retry allowance.

    Args:
      report: Report that receives the figures.
      seed: Seed of the calls and the faults.
    """
    for depth in CHAIN_DEPTHS:
        for variant, allowance, target in (
            ("control on", _ALLOWANCE, _ALLOWANCE),
            ("allowance 100", _LARGE_ALLOWANCE, None),
        ):
            max_retries = _run_chain(depth, seed, allowance)
            report.add(
                "re-sends per user request, maximum",
                max_retries,
                "re-sends",
                variant=f"depth {depth}, {variant}",
                target=target,
                note=f"{_USER_REQUESTS} user requests, seed {seed}",
            )


def _run_chain(depth: int, seed: int, allowance: int) -> int:
    rng = random.Random(seed)
    # The budget is set high, so that the allowance of each user request alone
    # limits the retries.
    retry_policy = model.RetryPolicy(allowance=allowance, ratio=1.0, burst=1000)
    services = tuple(f"level-{n}" for n in range(depth))
    checked = checked_fleet.CheckedFleet(
        seed=seed,
        services=services,
        hosts_per_service=_HOSTS_PER_SERVICE,
        preset=checked_fleet.make_preset(
            services=services, retries=retry_policy
        ),
    )
    checked.shed_share = _SHED_SHARE
    faults = checked_faults.FaultInjector(checked=checked)
    for index in range(_USER_REQUESTS):
        caller = checked_callers.Caller(
            checked=checked, key=f"user-{index}", service=services[0]
        )
        checked.after(rng.uniform(0.2, _LOAD_S), caller.send)
    kill_at_s = 0.2
    while kill_at_s < _LOAD_S:
        host_id = rng.choice(sorted(checked.fleet.nodes_by_id))
        kill = rng.choice((faults.kill_server, faults.kill_node))
        checked.after(kill_at_s, lambda host_id=host_id, act=kill: act(host_id))
        kill_at_s += _KILL_INTERVAL_S
    checked.run_for(_LOAD_S + _SETTLE_S)
    retries_by_root = checker.resends_by_root(checked.entries)
    return max(retries_by_root.values(), default=0)

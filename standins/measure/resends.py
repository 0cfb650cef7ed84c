"""Re-sends per user request in chains of several depths, under losses."""

import random

from bergamotdeal.presets import model
from standins import checked_callers
from standins import checked_faults
from standins import checked_fleet
from standins import checker
from standins.measure import figures

DEPTHS = (2, 4, 8, 16)
_CALLERS = 60
_LOAD_S = 6.0
_SETTLE_S = 20.0
_KILL_EVERY_S = 0.1
_HOSTS_PER_SERVICE = 5
_SHED_SHARE = 0.3
_ALLOWANCE = 3
_NO_ALLOWANCE = 100


def measure(report: figures.Report, *, seed: int = 1) -> None:
    """Adds the largest number of re-sends at each depth.

    The engines run under an injected clock, so the figure depends on the
    seed alone. Servers refuse a share of their requests, servers and nodes
    die all the time, and callers resend.
    """
    for depth in DEPTHS:
        for variant, allowance, target in (
            ("control on", _ALLOWANCE, _ALLOWANCE),
            ("allowance 100", _NO_ALLOWANCE, None),
        ):
            most = _run(depth, seed, allowance)
            report.add(
                "re-sends per user request, maximum",
                most,
                "re-sends",
                variant=f"depth {depth}, {variant}",
                target=target,
                note=f"{_CALLERS} user requests, seed {seed}",
            )


def _run(depth: int, seed: int, allowance: int) -> int:
    rng = random.Random(seed)
    # The allowance alone is to bound the re-sends here.
    retries = model.RetryPolicy(allowance=allowance, ratio=1.0, burst=1000)
    services = tuple(f"level-{n}" for n in range(depth))
    checked = checked_fleet.CheckedFleet(
        seed=seed,
        services=services,
        hosts_per_service=_HOSTS_PER_SERVICE,
        preset=checked_fleet.make_preset(services=services, retries=retries),
    )
    checked.shed_share = _SHED_SHARE
    faults = checked_faults.Faults(checked=checked)
    for number in range(_CALLERS):
        caller = checked_callers.Caller(
            checked=checked, key=f"user-{number}", service=services[0]
        )
        checked.after(rng.uniform(0.2, _LOAD_S), caller.send)
    elapsed_s = 0.2
    while elapsed_s < _LOAD_S:
        host_id = rng.choice(sorted(checked.fleet.nodes_by_id))
        inject = rng.choice((faults.kill_server, faults.kill_node))
        checked.after(elapsed_s, lambda host_id=host_id, s=inject: s(host_id))
        elapsed_s += _KILL_EVERY_S
    checked.run_for(_LOAD_S + _SETTLE_S)
    resends = checker.resends_by_root(checked.entries)
    return max(resends.values(), default=0)

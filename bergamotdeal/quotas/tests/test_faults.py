"""The bound of the runs per window under faults of hosts and network."""

import pytest

from bergamotdeal.quotas.tests import model

_RATE = 20.0
_BURST = 16.0


def _bound(rate=_RATE, burst=_BURST, overshoot=0.1, slack=20):
    return (rate * 5 + burst) * (1 + overshoot) + slack


def _start_fleet(host_count, seed, *, loss=0.02, caps=None, **policy):
    fleet = model.Fleet(
        names=[f"h{n}" for n in range(host_count)],
        preset=model.build_preset(caps or {"o": (_RATE, _BURST)}, **policy),
        seed=seed,
        loss=loss,
    )
    fleet.run_until(fleet.now + 8)
    return fleet


def _set_caps(fleet, caps):
    """Brings a new preset to each host with a delay of its own."""
    fleet.preset = model.build_preset(caps)
    for host in fleet.hosts.values():
        fleet.call_later(
            fleet.rng.uniform(0, 2),
            host,
            lambda h=host: h.apply(fleet.preset),
        )


def _inject_fault(fleet):
    rng = fleet.rng
    names = list(fleet.hosts)
    name = rng.choice(names)
    match rng.randrange(8):
        case 0 if len(names) > 4:
            fleet.kill(name)
        case 1:
            fleet.kill(name)
            fleet.start(name)
        case 2:
            fleet.freeze(name)
            delay_s = rng.uniform(0.05, 12)
            fleet.call_later(delay_s, None, lambda: fleet.thaw(name))
        case 3:
            fleet.partition({n: rng.randrange(2) for n in names})
        case 4 | 5:
            fleet.partition({})
        case 6:
            fleet.start(f"n{rng.randrange(10**6)}")
        case 7 if len(names) > 4:
            fleet.leave(name)


@pytest.mark.parametrize(
    ("host_count", "seed"),
    [*((14, seed) for seed in range(6)), (71, 8), (71, 9)],
)
def test_bound_holds_in_random_faults(host_count, seed):
    fleet = _start_fleet(host_count, seed)
    names = [*fleet.hosts]
    end = fleet.now + 40
    fleet.demand("o", 5 * _RATE, model.skew(names, fleet.rng), end)
    fleet.demand("o", 2 * _RATE, dict.fromkeys(names, 1.0), end)
    while fleet.now < end:
        fleet.run_until(fleet.now + fleet.rng.uniform(0.2, 4))
        _inject_fault(fleet)
    fleet.run_until(end + 5)
    assert model.find_fullest_window(fleet.runs["o"]) <= _bound()
    assert len(fleet.runs["o"]) > 5 * _RATE


@pytest.mark.parametrize(
    ("rate", "burst", "overshoot", "slack"),
    [(50.0, 50.0, 0.0, 0), (0.5, 1.0, 0.0, 0), (3.0, 0.0, 0.0, 2)],
)
def test_bound_without_tolerance(rate, burst, overshoot, slack):
    fleet = _start_fleet(
        14,
        9,
        loss=0.05,
        caps={"o": (rate, burst)},
        overshoot=overshoot,
        slack=slack,
    )
    end = fleet.now + 30
    fleet.demand("o", 4 * rate + 5, dict.fromkeys(fleet.hosts, 1.0), end)
    fleet.run_until(end)
    fullest = model.find_fullest_window(fleet.runs["o"])
    assert 0 < fullest <= _bound(rate, burst, overshoot, slack)


@pytest.mark.parametrize("seed", range(3))
def test_bound_holds_while_caps_change(seed):
    fleet = _start_fleet(14, seed)
    end = fleet.now + 40
    fleet.demand("o", 200, dict.fromkeys(fleet.hosts, 1.0), end)
    highest = _RATE
    while fleet.now < end:
        rate = fleet.rng.choice([5.0, 10.0, 20.0, 40.0])
        highest = max(highest, rate)
        _set_caps(fleet, {"o": (rate, rate)})
        fleet.run_until(fleet.now + fleet.rng.uniform(2, 10))
    fleet.run_until(end)
    runs = fleet.runs["o"]
    assert model.find_fullest_window(runs) <= _bound(highest, highest)


def test_lowered_cap_holds_once_all_hosts_know_it():
    fleet = _start_fleet(14, 1)
    end = fleet.now + 30
    fleet.demand("o", 200, dict.fromkeys(fleet.hosts, 1.0), end)
    fleet.run_until(fleet.now + 10)
    _set_caps(fleet, {"o": (5.0, 5.0)})
    known_at = fleet.now + 2
    fleet.run_until(end)
    late = [t for t in fleet.runs["o"] if t > known_at + 1.0]
    assert model.find_fullest_window(late) <= _bound(5.0, 5.0)


def test_joins_on_one_side_of_a_long_partition_grant_nothing_twice():
    # The hosts that join replace bucket owners of the other side, which can't
    # know it.
    fleet = _start_fleet(14, 5)
    names = list(fleet.hosts)
    start = fleet.now
    sides = {name: int(n < 6) for n, name in enumerate(names)}
    fleet.partition(sides)
    for n in range(10):
        sides[f"n{n}"] = 1
        fleet.start(f"n{n}")
    for offset in (30, 400, 590, 640, 760, 900):
        fleet.run_until(start + offset)
        weights = dict.fromkeys(fleet.hosts, 1.0)
        fleet.demand("o", 4 * _RATE, weights, fleet.now + 20)
        fleet.run_until(fleet.now + 22)
    fleet.partition({})
    fleet.run_until(fleet.now + 5)
    end = fleet.now + 20
    fleet.demand("o", 4 * _RATE, dict.fromkeys(fleet.hosts, 1.0), end)
    fleet.run_until(end)
    runs = fleet.runs["o"]
    assert model.find_fullest_window(runs) <= _bound()
    # The fleet has recovered after the partition.
    assert model.count_between(runs, end - 10, end) >= 0.9 * 10 * _RATE


def test_standbys_serve_a_small_organisation_while_its_owner_is_dead():
    # Half of the cap is on the dead host; the usual demand is 1 / 1.6 of it.
    fleet = _start_fleet(14, 8, caps={"o": (8.0, 8.0)})
    fleet.hosts["h0"].request("o")
    fleet.run_until(fleet.now + 1)
    (account,) = fleet.hosts["h0"].cache._accounts_by_digest.values()
    fleet.kill(next(name for name in account.owners if name != "h0"))
    fleet.run_until(fleet.now + 5)
    start = fleet.now
    fleet.demand("o", 5, dict.fromkeys(fleet.hosts, 1.0), start + 100)
    fleet.run_until(start + 100)
    runs = fleet.runs["o"]
    refused = [t for t, _ in fleet.refusals["o"] if t > start]
    assert len(refused) < 0.1 * len(runs)
    assert model.find_fullest_window(runs) <= _bound(8.0, 8.0)


def test_parts_of_a_dead_host_are_taken_over():
    fleet = _start_fleet(14, 6)
    start = fleet.now
    placed = fleet.hosts["h0"].cache
    fleet.hosts["h0"].request("o")
    fleet.run_until(start + 1)
    (account,) = placed._accounts_by_digest.values()
    lost = next(name for name in account.owners if name != "h0")
    fleet.kill(lost)
    fleet.run_until(start + 620)
    end = fleet.now + 20
    fleet.demand("o", 4 * _RATE, dict.fromkeys(fleet.hosts, 1.0), end)
    fleet.run_until(end)
    runs = fleet.runs["o"]
    assert model.count_between(runs, end - 10, end) >= 0.95 * 10 * _RATE


def test_hosts_that_restart_together_become_active():
    # The others still count each of them as active, and they know nothing.
    fleet = _start_fleet(14, 11)
    for n in range(7):
        fleet.kill(f"h{n}")
        fleet.start(f"h{n}")
    fleet.run_until(fleet.now + 10)
    assert all(host.counted.stage == 2 for host in fleet.hosts.values())


def test_restart_of_all_hosts_while_one_is_dead_keeps_the_cap_usable():
    # Each restarted host has to become active without the dead host's reply.
    fleet = _start_fleet(14, 7)
    fleet.kill("h13")
    fleet.run_until(fleet.now + 5)
    for n in range(0, 12, 3):
        for name in (f"h{n}", f"h{n + 1}", f"h{n + 2}"):
            fleet.kill(name)
            fleet.start(name)
        fleet.run_until(fleet.now + 8)
    assert all(host.counted.stage == 2 for host in fleet.hosts.values())
    end = fleet.now + 20
    fleet.demand("o", 4 * _RATE, dict.fromkeys(fleet.hosts, 1.0), end)
    fleet.run_until(end)
    runs = fleet.runs["o"]
    # One of two parts is the dead host's at most.
    assert model.count_between(runs, end - 10, end) >= 0.45 * 10 * _RATE
    assert model.find_fullest_window(runs) <= _bound()

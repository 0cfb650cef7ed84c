"""Load: all hosts restart at once while organisations keep sending."""

import pytest

from bergamotdeal.quotas import messages
from bergamotdeal.quotas.tests import model

_DOWN_S = 0.6
_START_SPREAD_S = 0.3
_MIN_LEARN_S = 0.1
_MEAN_LEARN_S = 0.12
_MAX_LEARN_S = 1.2
_WARM_UP_S = 8.0
_USUAL = 30.0
_RATE = 1.6 * _USUAL


class _Fleet(model.Fleet):
    """A fleet whose hosts learn of one another one by one after a restart."""

    spreads_view = True

    def spread_view(self):
        if self.spreads_view:
            super().spread_view()

    def restart_all(self, down_s=_DOWN_S):
        """Kills all hosts and starts them again; returns the last start."""
        self.spreads_view = False
        names = [*self.hosts]
        for name in names:
            self.kill(name)
        started_at_by_name = {}
        for name in names:
            delay_s = down_s + self.rng.uniform(0, _START_SPREAD_S)
            started_at_by_name[name] = self.now + delay_s
            self.call_later(
                delay_s, None, lambda n=name: self._restart(n, names)
            )
        for name in names:
            for other in names:
                if other != name:
                    self._schedule_learning(name, other, started_at_by_name)
        return max(started_at_by_name.values())

    def _restart(self, name, names):
        self.start(name)
        host = self.hosts[name]
        host.known = set()
        host.counted.apply_listing(names)

    def _schedule_learning(self, name, other, started_at_by_name):
        both_up_at = max(started_at_by_name[name], started_at_by_name[other])
        delay_s = _MIN_LEARN_S + self.rng.expovariate(1 / _MEAN_LEARN_S)
        learned_at = both_up_at + min(delay_s, _MAX_LEARN_S)

        def learn():
            host = self.hosts[name]
            host.known.add(other)
            host.counted.update_members(
                present=host.known, left=(), now=self.now
            )

        self.call_later(learned_at - self.now, None, learn)


def _start_fleet(host_count, seed, cap):
    names = [f"h{n}" for n in range(host_count)]
    fleet = _Fleet(
        names=names, preset=model.build_preset({"o": cap}), seed=seed
    )
    fleet.run_until(fleet.now + _WARM_UP_S)
    return fleet


# A node is ready some 0.3 s after its start. A large fleet takes longer, as the
# number of introductions at a time is limited.
@pytest.mark.parametrize(
    ("host_count", "seed", "delay_s"),
    [(14, 1, 0.5), (14, 2, 0.5), (71, 3, 0.5), (196, 4, 1.0)],
)
def test_usual_demand_is_served_soon_after_a_restart_of_all(
    host_count, seed, delay_s
):
    fleet = _start_fleet(host_count, seed, (_RATE, _RATE))
    end = fleet.now + 8.0
    fleet.demand("o", _USUAL, dict.fromkeys(fleet.hosts, 1.0), end)
    fleet.run_until(fleet.now + 2.0)
    started_at = fleet.restart_all()
    fleet.run_until(end)
    runs = model.count_between(
        fleet.runs["o"], started_at + delay_s, started_at + 3.0
    )
    refused = sum(
        started_at + delay_s <= at < started_at + 3.0
        for at, _ in fleet.refusals["o"]
    )
    assert runs >= 0.9 * (runs + refused)


@pytest.mark.parametrize(
    ("host_count", "seed", "down_s"),
    [(14, 5, 0.1), (14, 6, 0.6), (14, 7, 0.1), (71, 8, 0.6), (71, 9, 0.1)],
)
def test_bound_holds_through_a_restart_of_all(host_count, seed, down_s):
    fleet = _start_fleet(host_count, seed, (_RATE, _RATE))
    end = fleet.now + 16.0
    fleet.demand("o", 5 * _RATE, dict.fromkeys(fleet.hosts, 1.0), end)
    fleet.run_until(fleet.now + 6.0)
    fleet.restart_all(down_s)
    fleet.run_until(end)
    bound = (_RATE * 5 + _RATE) * 1.1 + 20
    assert model.find_fullest_window(fleet.runs["o"]) <= bound


# Guards against a bucket that counts as filled while another host granted.
def test_part_that_is_taken_over_later_starts_empty():
    fleet = _start_fleet(14, 10, (_RATE, _RATE))
    fleet.restart_all()
    fleet.run_until(fleet.now + 6.0)
    want = messages.Want(digest=fleet.digests["o"], tokens=100)
    owners = [
        name
        for name, host in fleet.hosts.items()
        if host.owner.grant(want, fleet.now).is_owner
    ]
    fleet.leave(owners[0])
    later = {
        name: host.owner.grant(want, fleet.now)
        for name, host in fleet.hosts.items()
        if name not in owners
    }
    taken_over = [grant for grant in later.values() if grant.is_owner]
    assert taken_over
    assert all(grant.tokens == 0 for grant in taken_over)

"""Hosts that introduce themselves while the membership lists a missing one."""

import random

from bergamotdeal.quotas import hosts

NAMES = ("a", "b", "c", "d")
GONE = "gone"
STEP_S = 0.05


# Guards against caps that grant nothing for seconds after a restart of all
# hosts, because the store still lists a host that has left.
def test_listed_host_that_never_replies_does_not_delay_the_others():
    counted_by_host = {
        name: hosts.CountedHosts(host_id=name, rng=random.Random(name), now=0.0)
        for name in NAMES
    }
    for name, counted in counted_by_host.items():
        present = {*NAMES, GONE} - {name}
        counted.update_members(present=present, left=(), now=0.0)
    now = 0.0
    while now < 3.0:
        now += STEP_S
        for counted in counted_by_host.values():
            for target, introduction in counted.advance(now):
                if target != GONE:
                    reply = counted_by_host[target].handle_introduction(
                        introduction, now
                    )
                    counted.handle_reply(reply, now)
    assert all(each.may_grant(now) for each in counted_by_host.values())

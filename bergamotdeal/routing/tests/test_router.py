"""Tests of the choice of a server."""

import collections
import random

from bergamotdeal.calls import core as calls
from bergamotdeal.membership import core as membership
from bergamotdeal.presets import model
from bergamotdeal.routing import router


def _member(
    host_id, *, state=membership.MemberState.ALIVE, dc="odori", region="north"
):
    server = membership.Server(service="forecaster", slots=10, connections=100)
    return membership.Member(
        host_id=host_id,
        incarnation="1",
        state=state,
        data_centre=dc,
        region=region,
        address="127.0.0.1",
        peer_port=1,
        server=server,
    )


def _router(*members, **changes):
    arguments = {
        "policy": model.RoutingPolicy(),
        "host_id": "me",
        "data_centre": "odori",
        "region": "north",
        "rng": random.Random(1),
    }
    target = router.Router(**(arguments | changes))
    target.update_members({member.host_id: member for member in members})
    return target


def _picks(target, count=1000, now=0.0):
    return collections.Counter(
        target.choose("forecaster", exclude=frozenset(), now=now)
        for _ in range(count)
    )


def test_leaving_and_dead_members_are_never_chosen():
    target = _router(
        _member("a"),
        _member("b", state=membership.MemberState.DRAINING),
        _member("c", state=membership.MemberState.DEAD),
        _member("d", state=membership.MemberState.SUSPECT),
    )
    assert set(_picks(target)) == {"a"}


def test_a_suspect_is_chosen_when_nothing_else_is_left():
    target = _router(_member("a", state=membership.MemberState.SUSPECT))
    assert set(_picks(target)) == {"a"}
    none_left = target.choose("forecaster", exclude=frozenset("a"), now=0.0)
    assert none_left is None


def test_calls_stay_near_until_the_near_servers_fill():
    target = _router(_member("near"), _member("far", dc="kotoni"))
    assert set(_picks(target, now=0.0)) == {"near"}
    for _ in range(20):
        target.started("near", 0.0)
    assert _picks(target)["far"] > 0


def test_the_less_loaded_server_is_chosen():
    target = _router(_member("a"), _member("b"))
    for _ in range(5):
        target.started("a", 0.0)
    picks = _picks(target)
    assert picks["b"] > 2 * picks["a"] > 0


def test_every_node_chooses_the_same_server_by_hash():
    members = [_member(name) for name in "abcde"]
    first = _router(*members)
    second = _router(*reversed(members), host_id="other")
    for number in range(100):
        chosen = first.choose_by_hash(
            "forecaster", f"r{number}", exclude=frozenset()
        )
        assert chosen == second.choose_by_hash(
            "forecaster", f"r{number}", exclude=frozenset()
        )


def test_a_failing_server_gets_fewer_picks_but_some():
    target = _router(*[_member(name) for name in "abcd"])
    for name in "abcd":
        for _ in range(50):
            target.started(name, 0.0)
            target.finished(
                name,
                latency_s=0.01,
                succeeded=name != "a",
                load=calls.Load(running=0, queued=0, limit=10),
                now=0.0,
            )
    picks = _picks(target, count=4000, now=5.0)
    assert 0 < picks["a"] < 300

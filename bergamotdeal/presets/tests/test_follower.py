"""How nodes come to the preset in force, under an injected clock."""

import dataclasses
import random

import hypothesis
from hypothesis import strategies as st
import pytest

from bergamotdeal.membership import core as membership
from bergamotdeal.membership import messages as gossip
from bergamotdeal.presets import follower
from bergamotdeal.presets import in_force
from bergamotdeal.presets import model
from bergamotdeal.presets import sections

WATCHERS = 2

ROUTES = tuple(
    model.Route(service=service, method="*", prefix="/")
    for service in ("kitview", "feederdesk")
)


def preset(name="peak", **changes):
    return model.Preset(name=name, routes=ROUTES, **changes)


def document(epoch, name="peak", operation_id="1-a"):
    return in_force.encode(
        in_force.ActivePreset(
            epoch=epoch, operation_id=operation_id, preset=preset(name)
        )
    )


def node(host_id="a", *, has_store=True, has_seeds=False, initial=None):
    return follower.Follower(
        host_id=host_id,
        data_centre="odori",
        has_store=has_store,
        has_seeds=has_seeds,
        initial=initial,
        rng=random.Random(1),
        now=0.0,
    )


def members(*host_ids, state=membership.MemberState.ALIVE):
    return {
        host_id: membership.Member(
            host_id=host_id,
            incarnation="i",
            state=state,
            data_centre="odori",
            region="north",
            address="x",
            peer_port=1,
        )
        for host_id in host_ids
    }


def only(effects, kind):
    return [effect for effect in effects if isinstance(effect, kind)]


def hand(target, epoch, now=0.0, **options):
    event = follower.PresetPushed(document=document(epoch, **options))
    return target.handle(event, now)


def test_only_a_higher_epoch_is_applied():
    target = node()
    assert only(hand(target, 5), follower.Apply)[0].epoch == 5
    for epoch in (5, 4, 1):
        assert not only(hand(target, epoch), follower.Apply)
    assert only(hand(target, 6), follower.Apply)
    assert target.epoch == 6


def test_other_content_under_the_same_epoch_is_told():
    target = node()
    hand(target, 5)
    assert not hand(target, 5)
    effects = hand(target, 5, operation_id="other")
    assert only(effects, follower.Reject)
    assert not only(effects, follower.Apply)


def pull_from(source, target, host_id, now=0.0):
    heard = follower.EpochAdvertised(epoch=source.epoch, host_id=host_id)
    (pull,) = only(target.handle(heard, now), follower.Pull)
    request = gossip.PresetRequest(known_digests=pull.known_digests)
    response = source.answer_pull(request)
    answered = follower.PullAnswered(host_id=host_id, response=response)
    return response, target.handle(answered, now)


def test_pull_moves_only_what_changed():
    source, target = node("a"), node("b")
    hand(source, 1)
    response, effects = pull_from(source, target, "a")
    assert all(section.content for section in response.sections)
    applied = only(effects, follower.Apply)[0].preset
    assert sections.split(applied) == sections.split(source.preset)
    changed = dataclasses.replace(
        preset("calm"), retries=model.RetryPolicy(allowance=1)
    )
    source.handle(
        follower.PresetPushed(
            document=in_force.encode(
                in_force.ActivePreset(
                    epoch=2, operation_id="2-b", preset=changed
                )
            )
        ),
        0.0,
    )
    response, effects = pull_from(source, target, "a")
    moved = {s.name for s in response.sections if s.content is not None}
    assert moved == {"header", "retries"}
    assert sections.split(target.preset) == sections.split(source.preset)
    assert target.epoch == 2


def test_altered_section_is_rejected():
    source, target = node("a"), node("b")
    hand(source, 1)
    target.handle(follower.EpochAdvertised(epoch=1, host_id="a"), 0.0)
    response = source.answer_pull(gossip.PresetRequest(known_digests=()))
    altered = dataclasses.replace(response.sections[0], content=b"{}")
    response = dataclasses.replace(
        response, sections=(altered, *response.sections[1:])
    )
    answered = follower.PullAnswered(host_id="a", response=response)
    effects = target.handle(answered, 0.0)
    assert only(effects, follower.Reject)
    assert target.epoch == follower.NO_EPOCH


def test_preset_that_cannot_be_read_is_pulled_ever_more_seldom():
    target = node()
    hand(target, 1)
    section = gossip.Section(name="header", digest=b"x", content=b"{}")
    response = gossip.PresetResponse(
        epoch=2, operation_id="2-a", sections=(section,)
    )
    pulls = 0
    for tenth in range(6000):
        now = tenth / 10
        heard = follower.EpochAdvertised(epoch=2, host_id=f"host-{tenth % 40}")
        for pull in only(target.handle(heard, now), follower.Pull):
            pulls += 1
            answered = follower.PullAnswered(
                host_id=pull.host_id, response=response
            )
            target.handle(answered, now)
    assert 10 <= pulls <= 60
    hand(target, 3, now=600.0)
    assert target.epoch == 3


def test_silent_teller_is_passed_over():
    target = node()
    hand(target, 1)
    heard = target.handle(follower.EpochAdvertised(epoch=3, host_id="b"), 0.0)
    assert only(heard, follower.Pull)[0].host_id == "b"
    assert not target.handle(
        follower.EpochAdvertised(epoch=3, host_id="c"), 0.1
    )
    late = target.next_wakeup()
    assert late == pytest.approx(follower.PULL_PATIENCE_S)
    pulls = only(target.handle(follower.TimePassed(), late), follower.Pull)
    assert pulls[0].host_id == "c"


def test_wakeups_end_while_a_pull_stays_unanswered():
    target = node()
    hand(target, 1)
    target.handle(follower.EpochAdvertised(epoch=3, host_id="b"), 0.0)
    late = target.next_wakeup()
    target.handle(follower.TimePassed(), late)
    assert target.next_wakeup() is None


def test_failed_pull_moves_on_at_once():
    target = node()
    target.handle(follower.EpochAdvertised(epoch=3, host_id="b"), 0.0)
    target.handle(follower.EpochAdvertised(epoch=3, host_id="c"), 0.0)
    effects = target.handle(follower.PullFailed(host_id="b"), 0.1)
    assert only(effects, follower.Pull)[0].host_id == "c"


def test_newer_epoch_heard_during_a_pull_is_pulled_next():
    source, target = node("a"), node("b")
    hand(source, 1)
    target.handle(follower.EpochAdvertised(epoch=1, host_id="a"), 0.0)
    target.handle(follower.EpochAdvertised(epoch=2, host_id="c"), 0.0)
    response = source.answer_pull(gossip.PresetRequest(known_digests=()))
    answered = follower.PullAnswered(host_id="a", response=response)
    effects = target.handle(answered, 0.0)
    assert only(effects, follower.Apply)[0].epoch == 1
    assert only(effects, follower.Pull)[0].host_id == "c"


def test_new_node_reads_the_store_once_others_stay_silent():
    target = node()
    now = target.next_wakeup()
    assert only(target.handle(follower.TimePassed(), now), follower.ReadStore)
    assert "waiting" in target.explain_missing_preset()
    target.handle(follower.StoreRead(document=document(4)), now)
    assert target.epoch == 4
    assert target.explain_missing_preset() is None
    assert target.next_wakeup() is None


def test_neither_store_nor_nodes_says_why_and_retries():
    target = node()
    reads = 0
    while (now := target.next_wakeup()) < 300:
        effects = target.handle(follower.TimePassed(), now)
        reads += len(only(effects, follower.ReadStore))
        target.handle(follower.StoreFailed(reason="refused"), now)
    assert "refused" in target.explain_missing_preset()
    assert 8 <= reads <= 40
    hand(target, 2, now=now)
    assert target.explain_missing_preset() is None


def test_settings_preset_serves_only_a_fleet_without_any_switch():
    initial = preset("initial")
    down = node(initial=initial)
    now = down.next_wakeup()
    down.handle(follower.TimePassed(), now)
    down.handle(follower.StoreFailed(reason="refused"), now)
    assert down.epoch == follower.NO_EPOCH
    empty = node(initial=initial)
    empty.handle(follower.TimePassed(), now)
    empty.handle(follower.StoreRead(document=None), now)
    assert empty.epoch == follower.INITIAL_EPOCH
    hand(empty, 1)
    assert empty.preset.name == "peak"
    alone = node(initial=initial, has_store=False)
    alone.handle(follower.TimePassed(), alone.next_wakeup())
    assert alone.preset == initial
    told = node(initial=initial, has_store=False)
    told.handle(follower.EpochAdvertised(epoch=3, host_id="b"), 0.0)
    told.handle(follower.TimePassed(), told.next_wakeup() + 2)
    assert told.epoch == follower.NO_EPOCH


def test_settings_preset_waits_for_the_seeds():
    """A restarted node must not go back to what was in force at first."""
    target = node(initial=preset("initial"), has_store=False, has_seeds=True)
    while (now := target.next_wakeup()) < follower.SEED_WAIT_S - 1:
        assert not target.handle(follower.TimePassed(), now)
    known = follower.MembershipUpdated(members_by_id=members("a", "b"))
    target.handle(known, now)
    target.handle(follower.EpochAdvertised(epoch=3, host_id="b"), now)
    target.handle(follower.TimePassed(), now)
    assert target.epoch == follower.NO_EPOCH
    alone = node(initial=preset("initial"), has_store=False, has_seeds=True)
    while alone.epoch == follower.NO_EPOCH:
        now = alone.next_wakeup()
        alone.handle(follower.TimePassed(), now)
    assert follower.SEED_WAIT_S <= now < follower.SEED_WAIT_S + 2


def test_two_nodes_of_a_data_centre_watch():
    host_ids = [f"host-{n}" for n in range(20)]
    known = members(*host_ids)
    chosen = follower.choose_watchers(known, "odori")
    assert len(chosen) == WATCHERS
    gone = sorted(chosen)[0]
    known.update(members(gone, state=membership.MemberState.SUSPECT))
    assert len(follower.choose_watchers(known, "odori") & chosen) == 1
    started = 0
    for host_id in host_ids:
        event = follower.MembershipUpdated(members_by_id=members(*host_ids))
        target = node(host_id)
        hand(target, 1)
        assert not target.handle(event, 0.0)
        wakeup = target.next_wakeup()
        if wakeup is None:
            continue
        effects = target.handle(follower.TimePassed(), wakeup)
        started += len(only(effects, follower.WatchStore))
    assert started == WATCHERS


@hypothesis.given(
    st.lists(
        st.tuples(st.sampled_from(["hand", "store", "pull"]), st.integers(1, 9))
    )
)
def test_epoch_never_falls_whatever_arrives(arrivals):
    target = node()
    applied = []
    for way, epoch in arrivals:
        match way:
            case "hand":
                event = follower.PresetPushed(document=document(epoch))
            case "store":
                event = follower.StoreRead(document=document(epoch))
            case "pull":
                response = gossip.PresetResponse(
                    epoch=epoch,
                    operation_id="1-a",
                    sections=sections.split(preset()),
                )
                event = follower.PullAnswered(host_id="b", response=response)
        for effect in only(target.handle(event, 0.0), follower.Apply):
            applied.append(effect.epoch)
    assert applied == sorted(set(applied))
    assert target.epoch == max((e for _, e in arrivals), default=-1)


@hypothesis.given(st.binary(max_size=100))
def test_handed_nonsense_is_rejected(data):
    target = node()
    effects = target.handle(follower.PresetPushed(document=data), 0.0)
    assert not only(effects, follower.Apply)

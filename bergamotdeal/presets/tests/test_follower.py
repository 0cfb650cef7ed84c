"""Tests of the preset follower under an injected clock."""

import random

import hypothesis
from hypothesis import strategies as st
import msgspec
import pytest

from bergamotdeal.membership import core as membership
from bergamotdeal.membership import messages as gossip
from bergamotdeal.presets import follower
from bergamotdeal.presets import in_force
from bergamotdeal.presets import messages as preset_messages
from bergamotdeal.presets import model
from bergamotdeal.presets import sections
from bergamotdeal.presets import watchers

WATCHER_COUNT = 2

ROUTES = tuple(
    model.Route(service=service, method="*", prefix="/")
    for service in ("kitview", "feederdesk")
)


def make_preset(name="peak", **changes):
    return model.Preset(name=name, routes=ROUTES, **changes)


def make_document(epoch, name="peak", operation_id="1-a"):
    return in_force.encode(
        in_force.ActivePreset(
            epoch=epoch, operation_id=operation_id, preset=make_preset(name)
        )
    )


def make_node(host_id="a", *, has_store=True, has_seeds=False, initial=None):
    return follower.Follower(
        host_id=host_id,
        data_centre="odori",
        has_store=has_store,
        has_seeds=has_seeds,
        initial=initial,
        rng=random.Random(1),
        now=0.0,
    )


def make_members(*host_ids, state=membership.MemberState.ALIVE):
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


def filter_effects(effects, kind):
    return [effect for effect in effects if isinstance(effect, kind)]


def push(target, epoch, now=0.0, **options):
    event = preset_messages.PresetPushed(
        document=make_document(epoch, **options)
    )
    return target.handle(event, now)


def test_follower_applies_only_a_higher_epoch():
    target = make_node()
    assert filter_effects(push(target, 5), preset_messages.Apply)[0].epoch == 5
    for epoch in (5, 4, 1):
        assert not filter_effects(push(target, epoch), preset_messages.Apply)
    assert filter_effects(push(target, 6), preset_messages.Apply)
    assert target.epoch == 6


def test_different_switch_with_same_epoch_is_rejected():
    target = make_node()
    push(target, 5)
    assert not push(target, 5)
    effects = push(target, 5, operation_id="other")
    assert filter_effects(effects, preset_messages.Reject)
    assert not filter_effects(effects, preset_messages.Apply)


def pull_from(source, target, host_id, now=0.0):
    heard = preset_messages.EpochAdvertised(epoch=source.epoch, host_id=host_id)
    (pull,) = filter_effects(target.handle(heard, now), preset_messages.Pull)
    request = gossip.PresetRequest(known_digests=pull.known_digests)
    response = source.answer_pull(request)
    answered = preset_messages.PullAnswered(host_id=host_id, response=response)
    return response, target.handle(answered, now)


def test_pull_transfers_only_changed_sections():
    source, target = make_node("a"), make_node("b")
    push(source, 1)
    response, effects = pull_from(source, target, "a")
    assert all(section.content for section in response.sections)
    applied = filter_effects(effects, preset_messages.Apply)[0].preset
    assert sections.split(applied) == sections.split(source.preset)
    changed = msgspec.structs.replace(
        make_preset("calm"), retries=model.RetryPolicy(allowance=1)
    )
    source.handle(
        preset_messages.PresetPushed(
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


def test_section_with_wrong_digest_is_rejected():
    source, target = make_node("a"), make_node("b")
    push(source, 1)
    target.handle(preset_messages.EpochAdvertised(epoch=1, host_id="a"), 0.0)
    response = source.answer_pull(gossip.PresetRequest(known_digests=()))
    altered = msgspec.structs.replace(response.sections[0], content=b"{}")
    response = msgspec.structs.replace(
        response, sections=(altered, *response.sections[1:])
    )
    answered = preset_messages.PullAnswered(host_id="a", response=response)
    effects = target.handle(answered, 0.0)
    assert filter_effects(effects, preset_messages.Reject)
    assert target.epoch == follower.NO_EPOCH


def test_invalid_preset_is_pulled_with_exponential_backoff():
    target = make_node()
    push(target, 1)
    section = gossip.Section(name="header", digest=b"x", content=b"{}")
    response = gossip.PresetResponse(
        epoch=2, operation_id="2-a", sections=(section,)
    )
    pulls = 0
    for tenth in range(6000):
        now = tenth / 10
        heard = preset_messages.EpochAdvertised(
            epoch=2, host_id=f"host-{tenth % 40}"
        )
        for pull in filter_effects(
            target.handle(heard, now), preset_messages.Pull
        ):
            pulls += 1
            answered = preset_messages.PullAnswered(
                host_id=pull.host_id, response=response
            )
            target.handle(answered, now)
    assert 10 <= pulls <= 60
    push(target, 3, now=600.0)
    assert target.epoch == 3


def test_slow_pull_is_hedged_with_another_source():
    target = make_node()
    push(target, 1)
    heard = target.handle(
        preset_messages.EpochAdvertised(epoch=3, host_id="b"), 0.0
    )
    assert filter_effects(heard, preset_messages.Pull)[0].host_id == "b"
    assert not target.handle(
        preset_messages.EpochAdvertised(epoch=3, host_id="c"), 0.1
    )
    hedge_at = target.next_wakeup()
    assert hedge_at == pytest.approx(follower.PULL_HEDGE_DELAY_S)
    pulls = filter_effects(
        target.handle(preset_messages.TimePassed(), hedge_at),
        preset_messages.Pull,
    )
    assert pulls[0].host_id == "c"


def test_unanswered_pull_schedules_no_further_wakeup():
    target = make_node()
    push(target, 1)
    target.handle(preset_messages.EpochAdvertised(epoch=3, host_id="b"), 0.0)
    hedge_at = target.next_wakeup()
    target.handle(preset_messages.TimePassed(), hedge_at)
    assert target.next_wakeup() is None


def test_failed_pull_continues_with_next_source():
    target = make_node()
    target.handle(preset_messages.EpochAdvertised(epoch=3, host_id="b"), 0.0)
    target.handle(preset_messages.EpochAdvertised(epoch=3, host_id="c"), 0.0)
    effects = target.handle(preset_messages.PullFailed(host_id="b"), 0.1)
    assert filter_effects(effects, preset_messages.Pull)[0].host_id == "c"


def test_higher_epoch_advertised_during_pull_is_pulled_next():
    source, target = make_node("a"), make_node("b")
    push(source, 1)
    target.handle(preset_messages.EpochAdvertised(epoch=1, host_id="a"), 0.0)
    target.handle(preset_messages.EpochAdvertised(epoch=2, host_id="c"), 0.0)
    response = source.answer_pull(gossip.PresetRequest(known_digests=()))
    answered = preset_messages.PullAnswered(host_id="a", response=response)
    effects = target.handle(answered, 0.0)
    assert filter_effects(effects, preset_messages.Apply)[0].epoch == 1
    assert filter_effects(effects, preset_messages.Pull)[0].host_id == "c"


def test_new_node_reads_store_if_no_epoch_is_advertised():
    target = make_node()
    now = target.next_wakeup()
    assert filter_effects(
        target.handle(preset_messages.TimePassed(), now),
        preset_messages.ReadStore,
    )
    assert "waiting" in target.explain_missing_preset()
    target.handle(preset_messages.StoreRead(document=make_document(4)), now)
    assert target.epoch == 4
    assert target.explain_missing_preset() is None
    assert target.next_wakeup() is None


def test_failed_store_read_is_explained_and_retried():
    target = make_node()
    reads = 0
    while (now := target.next_wakeup()) < 300:
        effects = target.handle(preset_messages.TimePassed(), now)
        reads += len(filter_effects(effects, preset_messages.ReadStore))
        target.handle(preset_messages.StoreFailed(reason="refused"), now)
    assert "refused" in target.explain_missing_preset()
    assert 8 <= reads <= 40
    push(target, 2, now=now)
    assert target.explain_missing_preset() is None


def test_initial_preset_is_applied_only_before_any_switch():
    initial = make_preset("initial")
    unreachable = make_node(initial=initial)
    now = unreachable.next_wakeup()
    unreachable.handle(preset_messages.TimePassed(), now)
    unreachable.handle(preset_messages.StoreFailed(reason="refused"), now)
    assert unreachable.epoch == follower.NO_EPOCH
    unswitched = make_node(initial=initial)
    unswitched.handle(preset_messages.TimePassed(), now)
    unswitched.handle(preset_messages.StoreRead(document=None), now)
    assert unswitched.epoch == follower.INITIAL_EPOCH
    push(unswitched, 1)
    assert unswitched.preset.name == "peak"
    isolated = make_node(initial=initial, has_store=False)
    isolated.handle(preset_messages.TimePassed(), isolated.next_wakeup())
    assert isolated.preset == initial
    informed = make_node(initial=initial, has_store=False)
    informed.handle(preset_messages.EpochAdvertised(epoch=3, host_id="b"), 0.0)
    informed.handle(preset_messages.TimePassed(), informed.next_wakeup() + 2)
    assert informed.epoch == follower.NO_EPOCH


def test_initial_preset_with_seeds_is_delayed():
    """A restarted node must not apply a preset from before the last switch."""
    target = make_node(
        initial=make_preset("initial"), has_store=False, has_seeds=True
    )
    while (now := target.next_wakeup()) < follower.INITIAL_PRESET_DELAY_S - 1:
        assert not target.handle(preset_messages.TimePassed(), now)
    known = preset_messages.MembershipUpdated(
        members_by_id=make_members("a", "b")
    )
    target.handle(known, now)
    target.handle(preset_messages.EpochAdvertised(epoch=3, host_id="b"), now)
    target.handle(preset_messages.TimePassed(), now)
    assert target.epoch == follower.NO_EPOCH
    isolated = make_node(
        initial=make_preset("initial"), has_store=False, has_seeds=True
    )
    while isolated.epoch == follower.NO_EPOCH:
        now = isolated.next_wakeup()
        isolated.handle(preset_messages.TimePassed(), now)
    assert (
        follower.INITIAL_PRESET_DELAY_S
        <= now
        < follower.INITIAL_PRESET_DELAY_S + 2
    )


def test_two_nodes_per_data_centre_watch_the_store():
    host_ids = [f"host-{n}" for n in range(20)]
    known = make_members(*host_ids)
    chosen = watchers.choose_watchers(known, "odori")
    assert len(chosen) == WATCHER_COUNT
    gone = sorted(chosen)[0]
    known.update(make_members(gone, state=membership.MemberState.SUSPECT))
    assert len(watchers.choose_watchers(known, "odori") & chosen) == 1
    started = 0
    for host_id in host_ids:
        event = preset_messages.MembershipUpdated(
            members_by_id=make_members(*host_ids)
        )
        target = make_node(host_id)
        push(target, 1)
        assert not target.handle(event, 0.0)
        wakeup = target.next_wakeup()
        if wakeup is None:
            continue
        effects = target.handle(preset_messages.TimePassed(), wakeup)
        started += len(filter_effects(effects, preset_messages.WatchStore))
    assert started == WATCHER_COUNT


# Guards against checks of the store that grow with the fleet.
@pytest.mark.parametrize("size", [14, 60, 300])
def test_one_watcher_per_data_centre_checks_the_store(size):
    host_ids = [f"host-{n}" for n in range(size)]
    members_by_id = make_members(*host_ids)
    event = preset_messages.MembershipUpdated(members_by_id=members_by_id)
    checking = []
    for host_id in host_ids:
        target = make_node(host_id)
        push(target, 1)
        target.handle(event, 0.0)
        target.handle(preset_messages.TimePassed(), follower.WATCH_DELAY_S)
        if target.is_checking:
            assert target.is_watching
            checking.append(host_id)
    assert len(checking) == 1
    (gone,) = checking
    known = members_by_id | make_members(
        gone, state=membership.MemberState.SUSPECT
    )
    event = preset_messages.MembershipUpdated(members_by_id=known)
    successors = []
    for host_id in host_ids:
        target = make_node(host_id)
        target.handle(event, 0.0)
        target.handle(preset_messages.TimePassed(), follower.WATCH_DELAY_S)
        if target.is_checking:
            successors.append(host_id)
    assert len(successors) == 1
    assert successors != checking


@hypothesis.given(
    st.lists(
        st.tuples(st.sampled_from(["hand", "store", "pull"]), st.integers(1, 9))
    )
)
def test_epoch_never_decreases_in_any_event_order(updates):
    target = make_node()
    applied = []
    for source, epoch in updates:
        match source:
            case "hand":
                event = preset_messages.PresetPushed(
                    document=make_document(epoch)
                )
            case "store":
                event = preset_messages.StoreRead(document=make_document(epoch))
            case "pull":
                response = gossip.PresetResponse(
                    epoch=epoch,
                    operation_id="1-a",
                    sections=sections.split(make_preset()),
                )
                event = preset_messages.PullAnswered(
                    host_id="b", response=response
                )
        for effect in filter_effects(
            target.handle(event, 0.0), preset_messages.Apply
        ):
            applied.append(effect.epoch)
    assert applied == sorted(set(applied))
    assert target.epoch == max((e for _, e in updates), default=-1)


@hypothesis.given(st.binary(max_size=100))
def test_malformed_pushed_document_is_not_applied(data):
    target = make_node()
    effects = target.handle(preset_messages.PresetPushed(document=data), 0.0)
    assert not filter_effects(effects, preset_messages.Apply)


def test_older_preset_of_a_restored_store_waits_for_the_advertised_one():
    # Guards against a revoked key that a restarted node accepts again.
    target = make_node()
    target.handle(
        preset_messages.MembershipUpdated(members_by_id=make_members("a", "b")),
        0.0,
    )
    heard = preset_messages.EpochAdvertised(epoch=13, host_id="b")
    assert filter_effects(target.handle(heard, 0.1), preset_messages.Pull)
    read = preset_messages.StoreRead(document=make_document(12))
    assert not filter_effects(target.handle(read, 0.2), preset_messages.Apply)
    assert target.epoch == follower.NO_EPOCH
    # If the node that advertised it is gone, the store's preset is the newest.
    target.handle(preset_messages.PullFailed(host_id="b"), 0.3)
    effects = target.handle(read, 5.0)
    assert filter_effects(effects, preset_messages.Apply)[0].epoch == 12


# Guards against a node that stays on an older preset and nothing shows it.


def test_node_is_behind_from_the_news_until_the_newer_preset_is_applied():
    source, target = make_node("a"), make_node("b")
    push(source, 7)
    push(target, 5)
    assert target.behind_since is None
    heard = preset_messages.EpochAdvertised(epoch=7, host_id="a")
    (pull,) = filter_effects(target.handle(heard, 3.0), preset_messages.Pull)
    target.handle(heard, 4.0)
    assert target.behind_since == 3.0
    response = source.answer_pull(
        gossip.PresetRequest(known_digests=pull.known_digests)
    )
    answered = preset_messages.PullAnswered(host_id="a", response=response)
    target.handle(answered, 5.0)
    assert target.behind_since is None


def test_node_is_behind_an_invalid_preset_until_a_valid_one_comes():
    target = make_node()
    push(target, 5)
    for now in (1.0, 2.0):
        target.handle(preset_messages.StoreRead(document=b""), now)
    assert target.behind_since == 1.0
    document = make_document(6)
    target.handle(preset_messages.StoreRead(document=document), 3.0)
    assert target.behind_since is None


def test_node_that_applied_an_older_preset_than_it_heard_of_is_still_behind():
    target = make_node()
    heard = preset_messages.EpochAdvertised(epoch=9, host_id="b")
    target.handle(heard, 1.0)
    source = make_node("b")
    push(source, 8)
    response = source.answer_pull(gossip.PresetRequest(known_digests=()))
    answered = preset_messages.PullAnswered(host_id="b", response=response)
    target.handle(answered, 2.0)
    assert (target.epoch, target.behind_since) == (8, 1.0)


def test_pull_without_the_mark_is_answered_with_whole_fields():
    source = make_node()
    push(source, 7)
    answer = source.answer_pull(gossip.PresetRequest(known_digests=()))
    assert "host_routes" in {section.name for section in answer.sections}

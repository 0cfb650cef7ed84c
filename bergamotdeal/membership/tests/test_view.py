"""Tests of the merge rules of a view."""

import hypothesis
from hypothesis import strategies as st

from bergamotdeal.membership import core
from bergamotdeal.membership import messages
from bergamotdeal.membership import view

Health = messages.Health


def member(host_id="h", incarnation="a", state_number=0, **changes):
    return core.Member(
        host_id=host_id,
        incarnation=incarnation,
        state_number=state_number,
        data_centre="odori",
        region="north",
        address="10.0.0.1",
        peer_port=1,
        **changes,
    )


def make_view():
    return view.View(own_record=member("own"), now=0.0)


RECORDS = st.builds(
    member,
    host_id=st.sampled_from(["h", "k"]),
    incarnation=st.sampled_from(["a", "b"]),
    state_number=st.integers(0, 4),
)
VERDICTS = st.builds(
    messages.VerdictRumour,
    host_id=st.sampled_from(["h", "k"]),
    incarnation=st.sampled_from(["a", "b"]),
    state_number=st.integers(0, 4),
    health=st.sampled_from([Health.SUSPECT, Health.DEAD]),
)


@hypothesis.given(st.lists(RECORDS, max_size=8), st.randoms())
def test_merge_of_records_is_commutative_and_idempotent(records, random):
    first, second = make_view(), make_view()
    for record in records:
        first.merge_record(record, Health.ALIVE, 0.0)
    repeated = records * 2
    random.shuffle(repeated)
    for record in repeated:
        second.merge_record(record, Health.ALIVE, 0.0)
    assert first.members_by_id() == second.members_by_id()
    assert first.digests == second.digests


@hypothesis.given(st.lists(RECORDS | VERDICTS, max_size=20))
def test_merge_never_lowers_the_precedence_of_an_entry(updates):
    own_view = make_view()
    orders = {}
    for update in updates:
        if isinstance(update, core.Member):
            own_view.merge_record(update, Health.ALIVE, 0.0)
        else:
            own_view.merge_verdict(update, 0.0)
        entry = own_view.entry(update.host_id)
        if entry is not None:
            assert entry.precedence() >= orders.get(
                update.host_id, entry.precedence()
            )
            orders[update.host_id] = entry.precedence()


@hypothesis.given(st.lists(RECORDS | VERDICTS, max_size=20))
def test_incremental_digests_equal_recomputed_digests(updates):
    """The digests are updated with each merge instead of being recomputed."""
    own_view = make_view()
    for update in updates:
        if isinstance(update, core.Member):
            own_view.merge_record(update, Health.ALIVE, 0.0)
        else:
            own_view.merge_verdict(update, 0.0)
    rebuilt = make_view()
    for entry in own_view.list_others():
        rebuilt.merge_record(entry.record, Health.ALIVE, 0.0)
    assert own_view.digests == rebuilt.digests
    for entry in own_view.list_others(worst=Health.DEAD):
        own_view.forget(entry.record.host_id)
    assert own_view.digests == make_view().digests


def test_only_a_higher_state_number_refutes_a_verdict():
    own_view = make_view()
    own_view.merge_record(member(state_number=3), Health.ALIVE, 0.0)
    verdict = messages.VerdictRumour(
        host_id="h", incarnation="a", state_number=3, health=Health.DEAD
    )
    assert own_view.merge_verdict(verdict, 1.0)
    assert not own_view.merge_record(member(state_number=3), Health.ALIVE, 2.0)
    assert own_view.member("h").state is core.MemberState.DEAD
    assert own_view.merge_record(member(state_number=4), Health.ALIVE, 3.0)
    assert own_view.member("h").state is core.MemberState.ALIVE
    assert not own_view.merge_verdict(verdict, 4.0)


def test_verdict_on_another_incarnation_is_ignored():
    own_view = make_view()
    own_view.merge_record(member(incarnation="b"), Health.ALIVE, 0.0)
    verdict = messages.VerdictRumour(
        host_id="h", incarnation="a", state_number=9, health=Health.DEAD
    )
    assert not own_view.merge_verdict(verdict, 1.0)


def test_suspect_draining_member_stays_draining():
    own_view = make_view()
    draining = member(state=core.MemberState.DRAINING)
    own_view.merge_record(draining, Health.ALIVE, 0.0)
    verdict = messages.VerdictRumour(
        host_id="h", incarnation="a", state_number=0, health=Health.SUSPECT
    )
    own_view.merge_verdict(verdict, 1.0)
    assert own_view.member("h").state is core.MemberState.DRAINING


def test_view_ignores_verdicts_and_records_of_its_own_node():
    own_view = make_view()
    verdict = messages.VerdictRumour(
        host_id="own", incarnation="a", state_number=9, health=Health.DEAD
    )
    assert not own_view.merge_verdict(verdict, 0.0)
    assert not own_view.merge_record(
        member("own", state_number=9), Health.ALIVE, 0.0
    )

"""Merge rules of a view."""

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


def new_view():
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
def test_records_merge_alike_in_any_order_and_number(records, random):
    first, second = new_view(), new_view()
    for record in records:
        first.merge_record(record, Health.ALIVE, 0.0)
    again = records * 2
    random.shuffle(again)
    for record in again:
        second.merge_record(record, Health.ALIVE, 0.0)
    assert first.members_by_id() == second.members_by_id()
    assert first.digests == second.digests


@hypothesis.given(st.lists(RECORDS | VERDICTS, max_size=20))
def test_nothing_that_arrives_takes_an_entry_back(arrivals):
    known = new_view()
    orders = {}
    for arrival in arrivals:
        if isinstance(arrival, core.Member):
            known.merge_record(arrival, Health.ALIVE, 0.0)
        else:
            known.merge_verdict(arrival, 0.0)
        entry = known.entry(arrival.host_id)
        if entry is not None:
            assert entry.order() >= orders.get(arrival.host_id, entry.order())
            orders[arrival.host_id] = entry.order()


@hypothesis.given(st.lists(RECORDS | VERDICTS, max_size=20))
def test_digests_follow_the_entries(arrivals):
    """Kept step by step, they equal those of a view built afresh."""
    known = new_view()
    for arrival in arrivals:
        if isinstance(arrival, core.Member):
            known.merge_record(arrival, Health.ALIVE, 0.0)
        else:
            known.merge_verdict(arrival, 0.0)
    fresh = new_view()
    for entry in known.others():
        fresh.merge_record(entry.record, Health.ALIVE, 0.0)
    assert known.digests == fresh.digests
    for entry in known.others(worst=Health.DEAD):
        known.forget(entry.record.host_id)
    assert known.digests == new_view().digests


def test_only_a_higher_state_number_refutes():
    known = new_view()
    known.merge_record(member(state_number=3), Health.ALIVE, 0.0)
    verdict = messages.VerdictRumour(
        host_id="h", incarnation="a", state_number=3, health=Health.DEAD
    )
    assert known.merge_verdict(verdict, 1.0)
    assert not known.merge_record(member(state_number=3), Health.ALIVE, 2.0)
    assert known.member("h").state is core.MemberState.DEAD
    assert known.merge_record(member(state_number=4), Health.ALIVE, 3.0)
    assert known.member("h").state is core.MemberState.ALIVE
    assert not known.merge_verdict(verdict, 4.0)


def test_verdict_on_another_incarnation_is_no_matter():
    known = new_view()
    known.merge_record(member(incarnation="b"), Health.ALIVE, 0.0)
    verdict = messages.VerdictRumour(
        host_id="h", incarnation="a", state_number=9, health=Health.DEAD
    )
    assert not known.merge_verdict(verdict, 1.0)


def test_suspect_that_drains_stays_draining():
    known = new_view()
    draining = member(state=core.MemberState.DRAINING)
    known.merge_record(draining, Health.ALIVE, 0.0)
    verdict = messages.VerdictRumour(
        host_id="h", incarnation="a", state_number=0, health=Health.SUSPECT
    )
    known.merge_verdict(verdict, 1.0)
    assert known.member("h").state is core.MemberState.DRAINING


def test_nothing_judges_the_node_itself():
    known = new_view()
    verdict = messages.VerdictRumour(
        host_id="own", incarnation="a", state_number=9, health=Health.DEAD
    )
    assert not known.merge_verdict(verdict, 0.0)
    assert not known.merge_record(
        member("own", state_number=9), Health.ALIVE, 0.0
    )

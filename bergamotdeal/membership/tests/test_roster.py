"""What the roster holds, who writes it, and what is read from it."""

import hypothesis
from hypothesis import strategies as st

from bergamotdeal.membership import core
from bergamotdeal.membership import roster


def members(count, **changes):
    return {
        f"host-{n}": core.Member(
            host_id=f"host-{n}",
            incarnation="i",
            data_centre="odori" if n % 2 else "kotoni",
            region="north",
            address=f"10.0.0.{n}",
            peer_port=7,
            **changes,
        )
        for n in range(count)
    }


def test_roster_holds_a_few_live_members_of_its_data_centre():
    known = members(60)
    wanted = roster.wanted(known, "odori")
    assert len(wanted.contacts) == roster.ROSTER_SIZE
    for contact in wanted.contacts:
        assert known[contact.host_id].data_centre == "odori"
    gone = members(60, state=core.MemberState.DRAINING)
    assert roster.wanted(gone, "odori").contacts == ()


def test_change_of_one_member_changes_one_contact_at_most():
    known = members(60)
    before = set(roster.wanted(known, "odori").contacts)
    for host_id in list(known):
        fewer = {h: m for h, m in known.items() if h != host_id}
        after = set(roster.wanted(fewer, "odori").contacts)
        assert len(before - after) <= 1


def test_two_nodes_write():
    known = members(60)
    writers = [h for h in known if roster.is_writer(known, "odori", h)]
    assert len(writers) == roster.WRITERS_PER_DATA_CENTRE


def test_lone_node_adds_itself_and_drops_nobody_needed():
    known = members(9)
    held = roster.wanted(members(30), "odori")
    alone = known["host-2"]
    added = roster.with_newcomer(held, alone)
    assert len(added.contacts) == roster.ROSTER_SIZE
    assert added.contacts[:-1] == held.contacts[1:]
    assert added.contacts[-1].host_id == "host-2"
    assert roster.with_newcomer(added, alone) == added


def test_round_trip():
    wanted = roster.wanted(members(9), "kotoni")
    assert roster.decode(roster.encode(wanted)).unwrap() == wanted
    assert wanted.endpoints()[0].port == 7


@hypothesis.given(st.binary(max_size=200))
def test_nonsense_is_refused(data):
    roster.decode(data)
    assert roster.decode(b'{"contacts":[{"port":70000}]}').is_err()

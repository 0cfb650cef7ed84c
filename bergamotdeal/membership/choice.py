"""Selection of the nodes that act on behalf of a data centre."""

import hashlib

from bergamotdeal.membership import core


def select_by_hash(
    members_by_id: dict[str, core.Member],
    data_centre: str,
    *,
    purpose: str,
    count: int,
) -> list[core.Member]:
    """Selects live members of a data centre by rendezvous hashing.

    Nodes with the same view select the same members. Views can differ for a
    while, so callers must tolerate more or fewer than ``count`` active nodes.

    Args:
      members_by_id: All members in this node's view by host id.
      data_centre: Data centre to select from.
      purpose: Task of the selected members; it is part of the hash input, so
        each purpose selects different members.
      count: Maximum number of members to select.

    Returns:
      The members with the highest hashes (Thaler and Ravishankar, 1998), so
      that a membership change alters as few selections as possible.
    """
    live = [
        member
        for member in members_by_id.values()
        if member.data_centre == data_centre
        and member.state is core.MemberState.ALIVE
    ]
    live.sort(key=lambda m: _weight(purpose, m.host_id), reverse=True)
    return live[:count]


def _weight(purpose: str, host_id: str) -> bytes:
    text = f"{purpose} {host_id}"
    return hashlib.blake2b(text.encode(), digest_size=8).digest()

"""Choice of the few nodes that act on behalf of a data centre."""

import hashlib

from bergamotdeal.membership import core


def select_by_hash(
    members_by_id: dict[str, core.Member],
    data_centre: str,
    *,
    purpose: str,
    count: int,
) -> list[core.Member]:
    """Chooses live members of a data centre.

    Every node chooses alike as far as its view is the same; nothing may rest
    on the choice being unique.

    Args:
      members_by_id: Members as this node sees them.
      data_centre: The data centre.
      purpose: What for; each purpose chooses other members.
      count: Number of members.

    Returns:
      Members by highest hash (rendezvous hashing, Thaler and Ravishankar,
      1998), so that a change of members moves as few choices as it can.
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

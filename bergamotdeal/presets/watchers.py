"""Selection of the nodes that watch the store for their data centre."""

from bergamotdeal.membership import choice
from bergamotdeal.membership import core as membership


def choose_watchers(
    members_by_id: dict[str, membership.Member],
    data_centre: str,
    count: int = 2,
) -> frozenset[str]:
    """Selects the nodes that watch the store on behalf of a data centre.

    Args:
      members_by_id: All members in this node's view by host id.
      data_centre: Data centre to select from.
      count: Maximum number of nodes to select.

    Returns:
      Host ids of the selected nodes.
    """
    members = choice.select_by_hash(
        members_by_id,
        data_centre,
        purpose="watch",
        count=count,
    )
    return frozenset(member.host_id for member in members)

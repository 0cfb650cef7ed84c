"""The entries by which nodes find one another in the store.

Each node writes its own entry and no other. A listing of all entries shows
whom a node has not met, so that nodes that start together can't stay in
groups that never meet.
"""

from collections.abc import Iterable
import dataclasses

import msgspec
import result

from bergamotdeal.membership import core
from bergamotdeal.membership import messages
from bergamotdeal.settings import model as settings

ENTRY_PREFIX = "nodes/"
MAX_ENTRY_BYTES = 4096
MAX_TRIES = 3
"""Times that a listed node is contacted before it counts as gone."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Entry:
    """Where to contact one node.

    Attributes:
      address: IP address of its peer face.
      port: TCP and UDP port of the peer face.
      data_centre: Its data centre.
    """

    address: str
    port: settings.Port
    data_centre: str

    def endpoint(self) -> messages.Endpoint:
        """Returns the address to contact."""
        return messages.Endpoint(address=self.address, port=self.port)


def build_key(host_id: str) -> str:
    """Returns the store's key of a node's entry."""
    return ENTRY_PREFIX + host_id


def parse_host_id(key: str) -> str:
    """Returns the host whose entry a key names."""
    return key.removeprefix(ENTRY_PREFIX)


def build_entry(member: core.Member) -> Entry:
    """Returns the entry of a node."""
    return Entry(
        address=member.address,
        port=member.peer_port,
        data_centre=member.data_centre,
    )


def encode(entry: Entry) -> bytes:
    """Encodes an entry as JSON."""
    return msgspec.json.encode(entry, order="sorted")


def decode(data: bytes) -> result.Result[Entry, str]:
    """Decodes an entry; anybody may have written it.

    Args:
      data: The store's value.

    Returns:
      The entry, or the reason for which it names no node.
    """
    if len(data) > MAX_ENTRY_BYTES:
        return result.Err(f"more than {MAX_ENTRY_BYTES} bytes")
    try:
        return result.Ok(msgspec.json.decode(data, type=Entry))
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        return result.Err(str(error))


class ContactTracker:
    """Whom a node still has to meet."""

    def __init__(self) -> None:
        self._tries_by_version: dict[tuple[str, int], int] = {}

    def take_unknown_hosts(
        self,
        versions_by_host: dict[str, int],
        members_by_id: Iterable[str],
        own_id: str,
    ) -> list[str]:
        """Returns the hosts to contact now, and counts the try.

        Args:
          versions_by_host: Versions of the listed entries.
          members_by_id: Hosts that this node knows.
          own_id: This node's host.
        """
        known = set(members_by_id) | {own_id}
        found = []
        tries_by_version: dict[tuple[str, int], int] = {}
        for host_id, version in versions_by_host.items():
            if host_id in known:
                continue
            tries = self._tries_by_version.get((host_id, version), 0)
            if tries < MAX_TRIES:
                found.append(host_id)
            tries_by_version[host_id, version] = tries + 1
        self._tries_by_version = tries_by_version
        return found

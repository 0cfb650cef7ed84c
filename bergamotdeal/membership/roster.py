"""The roster of a data centre: addresses for first contact, in the store.

It holds a few live members, not all, and is written by a few chosen nodes
with a conditional update. A writer with an old view merely conflicts, and an
entry that is out of date costs a newcomer one datagram.
"""

import dataclasses
from typing import Annotated

import msgspec
import result

from bergamotdeal.membership import choice
from bergamotdeal.membership import core
from bergamotdeal.membership import messages
from bergamotdeal.settings import model as settings

ROSTER_PREFIX = "roster/"
ROSTER_SIZE = 8
WRITERS_PER_DATA_CENTRE = 2
MAX_ROSTER_BYTES = 64 * 1024


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Contact:
    """One member that a newcomer can contact."""

    host_id: str
    address: str
    port: settings.Port


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Roster:
    """The members of one data centre to contact first."""

    contacts: Annotated[
        tuple[Contact, ...], msgspec.Meta(max_length=4 * ROSTER_SIZE)
    ] = ()

    def endpoints(self) -> tuple[messages.Endpoint, ...]:
        """Returns the addresses of the contacts."""
        return tuple(
            messages.Endpoint(address=contact.address, port=contact.port)
            for contact in self.contacts
        )


def key_for(data_centre: str) -> str:
    """Returns the store's key of a data centre's roster."""
    return ROSTER_PREFIX + data_centre


def wanted(members_by_id: dict[str, core.Member], data_centre: str) -> Roster:
    """Returns the roster that a view calls for.

    Args:
      members_by_id: Members as this node sees them.
      data_centre: The data centre.
    """
    members = choice.by_hash(
        members_by_id, data_centre, purpose="roster", count=ROSTER_SIZE
    )
    contacts = [_contact(member) for member in members]
    contacts.sort(key=lambda contact: contact.host_id)
    return Roster(contacts=tuple(contacts))


def with_newcomer(held: Roster, member: core.Member) -> Roster:
    """Returns a roster to which a node that knows no other adds itself.

    Args:
      held: What the store holds; its oldest contact leaves a full roster.
      member: The node's own record.
    """
    own = _contact(member)
    if own in held.contacts:
        return held
    others = [c for c in held.contacts if c.host_id != member.host_id]
    return Roster(contacts=(*others[-(ROSTER_SIZE - 1) :], own))


def _contact(member: core.Member) -> Contact:
    return Contact(
        host_id=member.host_id, address=member.address, port=member.peer_port
    )


def is_writer(
    members_by_id: dict[str, core.Member], data_centre: str, host_id: str
) -> bool:
    """Returns whether a node writes its data centre's roster.

    Args:
      members_by_id: Members as the node sees them.
      data_centre: Its data centre.
      host_id: Its host.
    """
    writers = choice.by_hash(
        members_by_id,
        data_centre,
        purpose="roster-writer",
        count=WRITERS_PER_DATA_CENTRE,
    )
    return any(member.host_id == host_id for member in writers)


def encode(roster: Roster) -> bytes:
    """Encodes a roster as JSON."""
    return msgspec.json.encode(roster)


def decode(data: bytes) -> result.Result[Roster, str]:
    """Decodes a roster.

    Args:
      data: The store's value.

    Returns:
      The roster, or the reason for which it can't be used.
    """
    if len(data) > MAX_ROSTER_BYTES:
        return result.Err(f"more than {MAX_ROSTER_BYTES} bytes")
    try:
        return result.Ok(msgspec.json.decode(data, type=Roster))
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        return result.Err(str(error))

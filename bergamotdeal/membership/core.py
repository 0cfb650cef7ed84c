"""Main types of the membership: members, their states and crash reports."""

import dataclasses
import enum


class MemberState(enum.Enum):
    """State of a member as this node sees it, in order of precedence."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DRAINING = "draining"
    DEAD = "dead"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Server:
    """The backend server that a node announces.

    Attributes:
      service: Service that it belongs to.
      slots: Requests that it can run at the same time.
      connections: Connections that it accepts.
    """

    service: str
    slots: int
    connections: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Member:
    """One node as the membership knows it.

    Attributes:
      host_id: Name of the host, unique in the fleet.
      incarnation: 128 random bits from the node's process start, in hex.
      state: State in this node's view.
      state_number: Number that the member raises to refute a suspicion.
      data_centre: Data centre of the host.
      region: Region of the data centre.
      address: IP address of the node's peer face.
      peer_port: TCP and UDP port of the peer face.
      admin_port: TCP port of the admin face.
      server: Its announced backend server, or None.
    """

    host_id: str
    incarnation: str
    state: MemberState = MemberState.ALIVE
    state_number: int = 0
    data_centre: str
    region: str
    address: str
    peer_port: int
    admin_port: int = 0
    server: Server | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CrashReport:
    """A backend server died while it ran a request.

    Attributes:
      fingerprint: Fingerprint of the request, in hex.
      host_id: Host whose backend server died.
      death_id: Id of the death, so that one death counts once.
    """

    fingerprint: str
    host_id: str
    death_id: str

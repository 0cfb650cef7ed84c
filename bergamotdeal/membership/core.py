"""Data types of the membership: members, their states and crash reports."""

import enum

import msgspec


class MemberState(enum.Enum):
    """State of a member in this node's view, in order of precedence."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DRAINING = "draining"
    DEAD = "dead"


class Server(msgspec.Struct, frozen=True, kw_only=True):
    """A backend server as its node announces it.

    Attributes:
      service: Name of the service that it belongs to.
      slots: Maximum number of concurrent requests.
      connections: Maximum number of concurrent connections.
    """

    service: str
    slots: int
    connections: int


class Member(msgspec.Struct, frozen=True, kw_only=True):
    """The membership record of one node.

    Attributes:
      host_id: Name of the host, unique in the fleet.
      incarnation: Id of the node process: 128 random bits in hex, drawn when
        the process starts.
      state: State in this node's view.
      state_number: Version of the record. The member raises it with each
        change of its record and to refute a suspicion.
      data_centre: Data centre of the host.
      region: Region of the data centre.
      address: IP address of the node's peer interface.
      peer_port: TCP and UDP port of the peer interface.
      admin_port: TCP port of the admin interface.
      server: Backend server that the node announces, or None.
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


class CrashReport(msgspec.Struct, frozen=True, kw_only=True):
    """A report that a backend server crashed while running a request.

    Attributes:
      fingerprint: Fingerprint of the request, in hex.
      host_id: Host whose backend server crashed.
      death_id: Id of the crash, by which duplicate reports are ignored.
      age_s: Seconds since the crash when the report was sent or passed on.
    """

    fingerprint: str
    host_id: str
    death_id: str
    age_s: float = 0.0

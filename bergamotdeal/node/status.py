"""Status of a node, as reported to operators."""

from typing import Annotated

import msgspec
import result

MAX_STATUS_BYTES = 4 * 1024 * 1024

_Port = Annotated[int, msgspec.Meta(ge=0, le=65_535)]


class MemberStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Member of the fleet as one node sees it.

    Attributes:
      host_id: Name of the host.
      incarnation: Incarnation of the member's node, in hex.
      state: ``alive``, ``suspect``, ``draining`` or ``dead``.
      data_centre: Data centre of the host.
      region: Region of the data centre.
      address: IP address of the member's peer listener.
      admin_port: TCP port of the member's admin listener, zero when it can't
        be reached from other hosts.
      service: Service of the member's backend server, or empty.
      state_number: Number of the member's latest record that this node
        routes by.
    """

    host_id: str
    incarnation: str
    state: str
    data_centre: str
    region: str
    address: str
    admin_port: _Port = 0
    service: str = ""
    state_number: int = 0


class ServerStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Status of the backend server on the node's host.

    Attributes:
      service: Service that the server belongs to.
      slots: Number of requests that the server announced it can run
        concurrently.
      running: Number of requests that the server is running.
      queued: Number of requests queued at the node.
      limit: Concurrency limit in force.
      work_factor: How long work takes now as a multiple of the server's usual
        time.
      thresholds_by_class: Share of request hashes admitted for each request
        class, 0.0 to 1.0.
    """

    service: str
    slots: int
    running: int = 0
    queued: int = 0
    limit: int = 0
    work_factor: float = 1.0
    thresholds_by_class: dict[str, float] = msgspec.field(default_factory=dict)


class QuotaStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Status of the caps of organisations at a node.

    Attributes:
      organisations: Number of organisations that have a cap.
      is_granting: Whether this host grants tokens of its parts.
      counted_hosts: Number of hosts among which the caps are divided.
      reachable_hosts: Number of those that this host sees.
      buckets: Number of caps of which this host owns a part.
      tokens_held: Number of tokens that the entry holds.
    """

    organisations: int
    is_granting: bool
    counted_hosts: int
    reachable_hosts: int
    buckets: int
    tokens_held: int


class NodeStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Data that ``bergamotdeal status`` shows about one node.

    Attributes:
      host_id: Name of the host.
      incarnation: Random id of the process, in hex.
      data_centre: Data centre of the host.
      region: Region of the data centre.
      ready: Whether the node serves calls.
      not_ready_reason: Why the node doesn't serve calls, or empty.
      draining: Whether the node is draining.
      epoch: Epoch of the preset in force on this node.
      preset_name: Name of the preset in force on this node, or empty.
      preset_behind_s: Seconds for which a newer preset is known that this node
        hasn't applied, zero if there is none.
      uptime_s: Seconds since the process started.
      resident_bytes: Resident memory in bytes.
      body_bytes: Bytes of bodies that the node holds.
      body_capacity_bytes: Bytes of bodies that the node may hold.
      state_number: Number of the record that the node spreads of itself. The
        other nodes know its state once they route by this number.
      server: Backend server, or None before its first announcement.
      quotas: Caps of organisations, or None without caps.
      members: Members of the fleet as this node sees them.
      counters_by_name: Counters since the process started.
    """

    host_id: str
    incarnation: str
    data_centre: str
    region: str
    ready: bool
    not_ready_reason: str = ""
    draining: bool = False
    epoch: int = 0
    preset_name: str = ""
    preset_behind_s: float = 0.0
    uptime_s: float = 0.0
    resident_bytes: int = 0
    body_bytes: int = 0
    body_capacity_bytes: int = 0
    state_number: int = 0
    server: ServerStatus | None = None
    quotas: QuotaStatus | None = None
    members: list[MemberStatus] = msgspec.field(default_factory=list)
    counters_by_name: dict[str, int] = msgspec.field(default_factory=dict)


def encode(status: NodeStatus) -> bytes:
    """Encodes a status as JSON.

    Args:
      status: Status to encode.
    """
    return msgspec.json.encode(status)


def decode(data: bytes) -> result.Result[NodeStatus, str]:
    """Decodes a status from JSON.

    Args:
      data: JSON as written by ``encode``.

    Returns:
      The status, or why the data is invalid.
    """
    if len(data) > MAX_STATUS_BYTES:
        return result.Err(f"more than {MAX_STATUS_BYTES} bytes")
    try:
        return result.Ok(msgspec.json.decode(data, type=NodeStatus))
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        return result.Err(str(error))

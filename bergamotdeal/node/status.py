"""The status of a node as operators see it."""

import dataclasses
from typing import Annotated

import msgspec
import result

MAX_STATUS_BYTES = 4 * 1024 * 1024

_Port = Annotated[int, msgspec.Meta(ge=0, le=65_535)]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MemberStatus:
    """One member of the fleet in a node's view.

    Attributes:
      host_id: Name of the host.
      incarnation: Incarnation of its node, in hex.
      state: ``alive``, ``suspect``, ``draining`` or ``dead``.
      data_centre: Data centre of the host.
      region: Region of the data centre.
      address: IP address of its peer face.
      admin_port: Port of its admin face, zero when it can't be reached from
        other hosts.
      service: Service of its backend server, or empty.
    """

    host_id: str
    incarnation: str
    state: str
    data_centre: str
    region: str
    address: str
    admin_port: _Port = 0
    service: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServerStatus:
    """The backend server beside the node.

    Attributes:
      service: Service that it belongs to.
      slots: Requests that it announced to run at the same time.
      running: Requests that run.
      queued: Requests that wait at the node.
      limit: Concurrency limit in force.
      thresholds_by_class: Share of request hashes admitted, 0.0 to 1.0.
    """

    service: str
    slots: int
    running: int = 0
    queued: int = 0
    limit: int = 0
    thresholds_by_class: dict[str, float] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NodeStatus:
    """Everything that ``bergamotdeal status`` shows of one node.

    Attributes:
      host_id: Name of the host.
      incarnation: Random id of the process, in hex.
      data_centre: Data centre of the host.
      region: Region of the data centre.
      ready: Whether the node serves calls.
      not_ready_reason: Why it does not, or empty.
      draining: Whether it is leaving.
      epoch: Epoch of the preset in force here.
      preset_name: Name of the preset in force here, or empty.
      uptime_s: Seconds since the process started.
      resident_bytes: Resident memory.
      server: The backend server, or None before it announced itself.
      members: The fleet in this node's view.
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
    uptime_s: float = 0.0
    resident_bytes: int = 0
    server: ServerStatus | None = None
    members: list[MemberStatus] = dataclasses.field(default_factory=list)
    counters_by_name: dict[str, int] = dataclasses.field(default_factory=dict)


def encode(status: NodeStatus) -> bytes:
    """Returns a status as JSON.

    Args:
      status: The status.
    """
    return msgspec.json.encode(status)


def decode(data: bytes) -> result.Result[NodeStatus, str]:
    """Reads a status from JSON.

    Args:
      data: JSON as ``encode`` wrote it.

    Returns:
      The status, or why the bytes can't be accepted.
    """
    if len(data) > MAX_STATUS_BYTES:
        return result.Err(f"more than {MAX_STATUS_BYTES} bytes")
    try:
        return result.Ok(msgspec.json.decode(data, type=NodeStatus))
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        return result.Err(str(error))

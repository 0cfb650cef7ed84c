"""The settings of a node, one data class per section of the INI file.

The annotations define the accepted ranges; ``msgspec`` checks them when a file
is parsed, and the error messages quote them.
"""

from typing import Annotated

import msgspec

Port = Annotated[int, msgspec.Meta(ge=0, le=65_535)]
Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9._/-]{0,63}$")]
LOOPBACK_ADDRESS = "127.0.0.1"


class Endpoint(msgspec.Struct, frozen=True, kw_only=True):
    """An IP address with a port.

    Attributes:
      address: IP address.
      port: Port number; zero lets the kernel choose one.
    """

    address: str
    port: Port


class NodeSection(msgspec.Struct, frozen=True, kw_only=True):
    """``[node]``: identity and location of the node.

    Attributes:
      host_id: Name of the host, unique in the fleet.
      data_centre: Data centre of the host.
      region: Region of the data centre.
      service: Service of the host's backend server if it is known before the
        server announces itself, else empty.
    """

    host_id: Name
    data_centre: Name
    region: Name = "default"
    service: str = ""


class EntrySection(msgspec.Struct, frozen=True, kw_only=True):
    """``[entry]``: the listener for callers outside the fleet.

    Attributes:
      address: IP address to listen on.
      port: TCP port.
    """

    address: str = LOOPBACK_ADDRESS
    port: Port = 0


class EgressSection(msgspec.Struct, frozen=True, kw_only=True):
    """``[egress]``: the listener for calls of the local backend server.

    Attributes:
      address: IP address to listen on, a loopback one.
      port: TCP port.
    """

    address: str = LOOPBACK_ADDRESS
    port: Port = 0


class PeerSection(msgspec.Struct, frozen=True, kw_only=True):
    """``[peer]``: the listener for other nodes.

    Attributes:
      address: IP address to listen on and to advertise to other nodes.
      port: TCP and UDP port.
      key: Secret key shared by all nodes.
      seeds: Nodes to join the fleet through, each as ``address:port``.
    """

    address: str = LOOPBACK_ADDRESS
    port: Port = 0
    key: Annotated[str, msgspec.Meta(min_length=16)]
    seeds: tuple[str, ...] = ()


class AdminSection(msgspec.Struct, frozen=True, kw_only=True):
    """``[admin]``: the listener for operators.

    Attributes:
      address: IP address to listen on.
      port: TCP port.
      token: Bearer token; required unless the address is a loopback one.
    """

    address: str = LOOPBACK_ADDRESS
    port: Port = 0
    token: str = ""


class StoreSection(msgspec.Struct, frozen=True, kw_only=True):
    """``[store]``: the platform's object API.

    Attributes:
      address: IP address; empty if the node runs without a store.
      port: TCP port.
      token: Bearer token, or empty.
      calls_per_minute: Rate limit of this node's store calls.
      watchers: Number of nodes per data centre that watch the preset in force.
      checkers: Number of these nodes that also check regularly whether the
        store answers, since a watch that was lost looks like one that waits.
      check_ms: Interval of these checks, in milliseconds; zero for none.
      longest_wait_ms: Maximum delay between retries while the store fails, in
        milliseconds.
    """

    address: str = ""
    port: Port = 0
    token: str = ""
    calls_per_minute: Annotated[int, msgspec.Meta(ge=1, le=6000)] = 60
    watchers: Annotated[int, msgspec.Meta(ge=1, le=100)] = 2
    checkers: Annotated[int, msgspec.Meta(ge=1, le=100)] = 1
    check_ms: Annotated[int, msgspec.Meta(ge=0, le=600_000)] = 0
    longest_wait_ms: Annotated[int, msgspec.Meta(ge=100, le=600_000)] = 30_000


class DrainSection(msgspec.Struct, frozen=True, kw_only=True):
    """``[drain]``: the graceful shutdown.

    Attributes:
      settle_ms: Time for the drain to become known to the other nodes, in
        milliseconds.
      entry_open_ms: Time for which callers are still served, until whatever
        routes them to this node has noticed that it is not ready, in
        milliseconds.
      longest_ms: Time after which the node exits despite open work, in
        milliseconds.
      flush_ms: Time to close connections before the exit, in milliseconds.
        Answers that callers still read are sent until the longest time of the
        drain and this time are over.
    """

    settle_ms: Annotated[int, msgspec.Meta(ge=0, le=600_000)] = 1000
    entry_open_ms: Annotated[int, msgspec.Meta(ge=0, le=600_000)] = 0
    longest_ms: Annotated[int, msgspec.Meta(ge=1, le=3_600_000)] = 60_000
    flush_ms: Annotated[int, msgspec.Meta(ge=0, le=600_000)] = 2000


class RevocationSection(msgspec.Struct, frozen=True, kw_only=True):
    """``[revocation]``: the handling of keys that may have been revoked.

    Attributes:
      strict: Whether requests that need a key are refused while this node
        can't learn of new presets.
      max_silence_ms: Time without news of the preset in force, from the store
        or another node, after which strict revocation refuses, in
        milliseconds.
    """

    strict: bool = False
    max_silence_ms: Annotated[int, msgspec.Meta(ge=1, le=3_600_000)] = 5000


class PresetSection(msgspec.Struct, frozen=True, kw_only=True):
    """``[preset]``: the preset in force before the first switch.

    Attributes:
      file: Path of the INI file of the preset in force at epoch zero, or
        empty. A node without one is not ready until it learns the preset in
        force.
    """

    file: str = ""


class MemorySection(msgspec.Struct, frozen=True, kw_only=True):
    """``[memory]``: the memory of the process.

    Attributes:
      limit_mb: Memory that the process may take, in megabytes. A part of it
        holds the bodies of requests and answers; requests are refused while
        that part is in use.
    """

    limit_mb: Annotated[int, msgspec.Meta(ge=64, le=1_048_576)] = 512


class StatsdSection(msgspec.Struct, frozen=True, kw_only=True):
    """``[statsd]``: the StatsD server for metrics.

    Attributes:
      address: IP address; empty if no metrics are sent.
      port: UDP port.
      prefix: Prefix of all metric names.
    """

    address: str = ""
    port: Port = 8125
    prefix: str = "bergamotdeal"


class TelemetrySection(msgspec.Struct, frozen=True, kw_only=True):
    """``[telemetry]``: the event log and the time line.

    Attributes:
      log_level: Minimum level: ``debug``, ``info``, ``warning`` or ``error``.
      ring_events: Number of events that the time line keeps in memory.
    """

    log_level: str = "info"
    ring_events: Annotated[int, msgspec.Meta(ge=100, le=1_000_000)] = 4000


class Settings(msgspec.Struct, frozen=True, kw_only=True):
    """All settings of a node."""

    node: NodeSection
    entry: EntrySection = msgspec.field(default_factory=EntrySection)
    egress: EgressSection = msgspec.field(default_factory=EgressSection)
    peer: PeerSection
    admin: AdminSection = msgspec.field(default_factory=AdminSection)
    store: StoreSection = msgspec.field(default_factory=StoreSection)
    drain: DrainSection = msgspec.field(default_factory=DrainSection)
    revocation: RevocationSection = msgspec.field(
        default_factory=RevocationSection
    )
    memory: MemorySection = msgspec.field(default_factory=MemorySection)
    preset: PresetSection = msgspec.field(default_factory=PresetSection)
    statsd: StatsdSection = msgspec.field(default_factory=StatsdSection)
    telemetry: TelemetrySection = msgspec.field(
        default_factory=TelemetrySection
    )

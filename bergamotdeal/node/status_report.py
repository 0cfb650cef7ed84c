"""Builders for the parts of a node's status."""

from collections.abc import Mapping
import resource
import sys

from bergamotdeal.calls import engine as call_engine
from bergamotdeal.calls import messages
from bergamotdeal.membership import core as membership
from bergamotdeal.memory import core as memory
from bergamotdeal.node import presets as preset_task
from bergamotdeal.node import status
from bergamotdeal.presets import model as preset_model
from bergamotdeal.settings import model as settings_model
from bergamotdeal.telemetry import metrics

_PAGE_BYTES = resource.getpagesize()
_STATM_RESIDENT_FIELD = 1
_BYTES_PER_KIB = 1024


def measure_resident_bytes() -> int:
    """Returns the resident memory of the process in bytes.

    Without ``/proc`` this is the peak_rss instead of the current value.
    """
    try:
        with open("/proc/self/statm", encoding="ascii") as statm_file:
            return (
                int(statm_file.read().split()[_STATM_RESIDENT_FIELD])
                * _PAGE_BYTES
            )
    except OSError:
        peak_rss = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        return (
            peak_rss if sys.platform == "darwin" else peak_rss * _BYTES_PER_KIB
        )


def build_node_status(
    *,
    node: settings_model.NodeSection,
    incarnation: str,
    uptime_s: float,
    is_ready: bool,
    is_draining: bool,
    presets: preset_task.PresetTask,
    server: messages.ServerAnnounced | None,
    engine: call_engine.Engine,
    body_memory: memory.BodyMemory,
    quotas: status.QuotaStatus | None,
    members: Mapping[str, membership.Member],
    state_number: int,
    node_metrics: metrics.Metrics,
) -> status.NodeStatus:
    """Builds the status of a node.

    Args:
      node: Identity and location of the node.
      incarnation: Incarnation of the process.
      uptime_s: Seconds since the process started.
      is_ready: Whether the node serves calls.
      is_draining: Whether the node is draining.
      presets: Task that knows the preset in force.
      server: Announced backend server, or None.
      engine: Call engine, which knows the load and the thresholds.
      body_memory: Memory for bodies.
      quotas: Caps of organisations, or None without caps.
      members: Members to report, by host id.
      state_number: Number of the node's own record.
      node_metrics: Metrics of the node.
    """
    preset = presets.preset
    return status.NodeStatus(
        host_id=node.host_id,
        incarnation=incarnation,
        data_centre=node.data_centre,
        region=node.region,
        ready=is_ready,
        not_ready_reason=presets.not_ready_reason() or "",
        draining=is_draining,
        epoch=max(0, presets.epoch),
        preset_name=preset.name if preset else "",
        preset_behind_s=presets.behind_s,
        uptime_s=uptime_s,
        resident_bytes=measure_resident_bytes(),
        body_bytes=body_memory.used_bytes,
        body_capacity_bytes=body_memory.capacity_bytes,
        state_number=state_number,
        server=build_server_status(engine, server=server, preset=preset),
        quotas=quotas,
        members=[build_member_status(member) for member in members.values()],
        counters_by_name=node_metrics.get_totals(),
    )


def build_server_status(
    engine: call_engine.Engine,
    *,
    server: messages.ServerAnnounced | None,
    preset: preset_model.Preset | None,
) -> status.ServerStatus | None:
    """Builds the status of the local backend server.

    Args:
      engine: Call engine, which knows the load and the thresholds.
      server: Announced server, or None.
      preset: Preset in force, or None.
    """
    if server is None:
        return None
    load = engine.load()
    classes = preset.classes if preset else ()
    return status.ServerStatus(
        service=server.service,
        slots=server.slots,
        running=load.running if load else 0,
        queued=load.queued if load else 0,
        limit=load.limit if load else 0,
        work_factor=load.work_factor if load else 1.0,
        thresholds_by_class={name: engine.threshold(name) for name in classes},
    )


def build_member_status(
    member: membership.Member,
) -> status.MemberStatus:
    """Builds the status of one member.

    Args:
      member: Member of the fleet.
    """
    return status.MemberStatus(
        host_id=member.host_id,
        incarnation=member.incarnation,
        state=member.state.value,
        data_centre=member.data_centre,
        region=member.region,
        address=member.address,
        admin_port=member.admin_port,
        service=member.server.service if member.server else "",
        state_number=member.state_number,
    )


def find_reachable_admin_port(settings: settings_model.Settings) -> int:
    """Returns the admin port that other hosts can reach, zero for none.

    Args:
      settings: Settings of the node.
    """
    # A loopback address can only be reached from this host, unless the whole
    # fleet runs on loopback addresses.
    is_same_address = settings.admin.address == settings.peer.address
    is_loopback = settings.admin.address.startswith("127.")
    if is_loopback and not is_same_address:
        return 0
    return settings.admin.port

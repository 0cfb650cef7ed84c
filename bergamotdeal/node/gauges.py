"""Gauges of a node's status."""

import collections

from bergamotdeal.membership import core as membership
from bergamotdeal.node import status as node_status
from bergamotdeal.telemetry import metrics

_GAUGES_BY_STATE = {
    membership.MemberState.ALIVE: metrics.Gauge.MEMBERS_ALIVE,
    membership.MemberState.SUSPECT: metrics.Gauge.MEMBERS_SUSPECT,
    membership.MemberState.DRAINING: metrics.Gauge.MEMBERS_DRAINING,
    membership.MemberState.DEAD: metrics.Gauge.MEMBERS_DEAD,
}


def set_gauges(
    node_metrics: metrics.Metrics, status: node_status.NodeStatus
) -> None:
    """Sets all gauges from a node's status.

    Args:
      node_metrics: Metrics whose gauges are set.
      status: The node's status, with its members.
    """
    node_metrics.set_gauge(metrics.Gauge.EPOCH, status.epoch)
    node_metrics.set_gauge(metrics.Gauge.BEHIND_S, status.preset_behind_s)
    node_metrics.set_gauge(metrics.Gauge.RESIDENT_BYTES, status.resident_bytes)
    node_metrics.set_gauge(metrics.Gauge.BODY_BYTES, status.body_bytes)
    node_metrics.set_gauge(
        metrics.Gauge.BODY_CAPACITY_BYTES, status.body_capacity_bytes
    )
    member_counts_by_state = collections.Counter(
        member.state for member in status.members
    )
    for state, gauge in _GAUGES_BY_STATE.items():
        node_metrics.set_gauge(gauge, member_counts_by_state[state.value])
    server = status.server
    if server is None:
        return
    node_metrics.set_gauge(metrics.Gauge.RUNNING, server.running)
    node_metrics.set_gauge(metrics.Gauge.QUEUED, server.queued)
    node_metrics.set_gauge(metrics.Gauge.LIMIT, server.limit)
    node_metrics.set_gauge(metrics.Gauge.WORK_FACTOR, server.work_factor)
    for class_name, threshold in server.thresholds_by_class.items():
        node_metrics.set_gauge(
            metrics.Gauge.THRESHOLD, threshold, label=class_name
        )

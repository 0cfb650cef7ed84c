"""Sets the gauges from a node's status."""

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


def set_gauges(counts: metrics.Metrics, status: node_status.NodeStatus) -> None:
    """Sets every gauge.

    Args:
      counts: The metrics.
      status: The node's status with its members.
    """
    counts.gauge(metrics.Gauge.EPOCH, status.epoch)
    counts.gauge(metrics.Gauge.RESIDENT_BYTES, status.resident_bytes)
    numbers_by_state = collections.Counter(m.state for m in status.members)
    for state, gauge in _GAUGES_BY_STATE.items():
        counts.gauge(gauge, numbers_by_state[state.value])
    server = status.server
    if server is None:
        return
    counts.gauge(metrics.Gauge.RUNNING, server.running)
    counts.gauge(metrics.Gauge.QUEUED, server.queued)
    counts.gauge(metrics.Gauge.LIMIT, server.limit)
    for class_name, threshold in server.thresholds_by_class.items():
        counts.gauge(metrics.Gauge.THRESHOLD, threshold, label=class_name)

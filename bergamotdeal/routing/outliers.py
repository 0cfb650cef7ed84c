"""Detection of servers that fail or lag behind the others of a service."""

import math
import statistics

from bergamotdeal.presets import model
from bergamotdeal.routing import core

_MIN_CALLS = 5
_MIN_TARGETS = 3
_FAILURE_MARGIN = 0.3
_LATENCY_RATIO = 3.0
_MIN_LATENCY_S = 0.001


def mark(targets: list[core.Target], policy: model.RoutingPolicy) -> list[str]:
    """Marks the outliers among the servers of a service.

    A server is one when its failures or its latency stand out from the median
    of its kin, so trouble that hits all of them sets none aside. One server
    may be marked in any service of three or more.

    Args:
      targets: Servers of one service; ``is_outlier`` is set on each.
      policy: Bounds on the share set aside.

    Returns:
      Host ids of servers that became outliers.
    """
    known = [target for target in targets if target.calls >= _MIN_CALLS]
    allowed = _allowed(len(targets), policy.outlier_share_max)
    excess_by_host = _excess_by_host(known) if allowed else {}
    worst = sorted(
        excess_by_host, key=lambda host_id: (-excess_by_host[host_id], host_id)
    )
    chosen = set(worst[:allowed])
    found = []
    for target in targets:
        host_id = target.member.host_id
        if host_id in chosen and not target.is_outlier:
            found.append(host_id)
        target.is_outlier = host_id in chosen
    return found


def _allowed(count: int, share_max: float) -> int:
    if count < _MIN_TARGETS or share_max <= 0.0:
        return 0
    return max(1, math.floor(share_max * count))


def _excess_by_host(known: list[core.Target]) -> dict[str, float]:
    if len(known) < _MIN_TARGETS:
        return {}
    failures = statistics.median(target.failure_share for target in known)
    latencies = [target.latency_s for target in known if target.latency_s]
    latency = statistics.median(latencies) if latencies else 0.0
    latency = max(_MIN_LATENCY_S, latency)
    excess_by_host = {}
    for target in known:
        failure_excess = target.failure_share - failures
        latency_ratio = target.latency_s / latency
        if failure_excess > _FAILURE_MARGIN:
            excess_by_host[target.member.host_id] = 1e6 * failure_excess
        elif latency_ratio > _LATENCY_RATIO:
            excess_by_host[target.member.host_id] = latency_ratio
    return excess_by_host

"""Detection of outliers: servers that fail or are slow compared to peers."""

import math
import statistics

from bergamotdeal.presets import model
from bergamotdeal.routing import core

_MIN_CALLS = 5
_MIN_TARGETS = 3
_FAILURE_RATE_MARGIN = 0.3
_LATENCY_RATIO = 3.0
_MIN_LATENCY_S = 0.001


def update_outliers(
    targets: list[core.Target], policy: model.RoutingPolicy, now: float
) -> list[str]:
    """Updates which servers of a service are outliers.

    A server is an outlier if its failure rate or latency clearly exceeds the
    median of the service, so a problem that affects all servers ejects none.
    At least one outlier is allowed in a service of three or more servers. A
    server without recent calls is none, so that it is called again.

    Args:
      targets: Servers of one service; ``is_outlier`` is set on each.
      policy: Routing policy, which limits the share of outliers.
      now: Monotonic seconds.

    Returns:
      Host ids of the servers that became outliers.
    """
    measured = [
        target
        for target in targets
        if target.calls >= _MIN_CALLS and target.has_recent_result(now)
    ]
    max_outliers = _max_outliers(len(targets), policy.outlier_share_max)
    excess_by_host = _excess_by_host(measured) if max_outliers else {}
    host_ids_by_excess = sorted(
        excess_by_host, key=lambda host_id: (-excess_by_host[host_id], host_id)
    )
    outlier_ids = set(host_ids_by_excess[:max_outliers])
    new_outliers = []
    for target in targets:
        host_id = target.member.host_id
        if host_id in outlier_ids and not target.is_outlier:
            new_outliers.append(host_id)
        target.is_outlier = host_id in outlier_ids
    return new_outliers


def _max_outliers(count: int, max_share: float) -> int:
    if count < _MIN_TARGETS or max_share <= 0.0:
        return 0
    return max(1, math.floor(max_share * count))


def _excess_by_host(measured: list[core.Target]) -> dict[str, float]:
    if len(measured) < _MIN_TARGETS:
        return {}
    median_failure_rate = statistics.median(
        target.failure_rate for target in measured
    )
    latencies_s = [target.latency_s for target in measured if target.latency_s]
    median_latency_s = statistics.median(latencies_s) if latencies_s else 0.0
    median_latency_s = max(_MIN_LATENCY_S, median_latency_s)
    excess_by_host = {}
    for target in measured:
        failure_excess = target.failure_rate - median_failure_rate
        latency_ratio = target.latency_s / median_latency_s
        if failure_excess > _FAILURE_RATE_MARGIN:
            excess_by_host[target.member.host_id] = 1e6 * failure_excess
        elif latency_ratio > _LATENCY_RATIO:
            excess_by_host[target.member.host_id] = latency_ratio
    return excess_by_host

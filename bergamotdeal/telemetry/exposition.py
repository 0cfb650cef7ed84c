"""Counters, gauges and latency histograms in the Prometheus text format."""

from collections.abc import Iterator
from collections.abc import Mapping
import re

import prometheus_client
from prometheus_client import core as prometheus_core

from bergamotdeal.telemetry import histogram

PREFIX = "bergamotdeal_"
_MS_PER_S = 1000.0
_INVALID_CHARACTER = re.compile(r"[^a-zA-Z0-9_]")


class _SnapshotCollector:
    """Prometheus collector of one snapshot of the metrics."""

    def __init__(
        self,
        *,
        counts_by_name: Mapping[str, int],
        gauges_by_name: Mapping[str, float],
        histograms_by_name: Mapping[str, histogram.Histogram],
    ) -> None:
        self._counts_by_name = counts_by_name
        self._gauges_by_name = gauges_by_name
        self._histograms_by_name = histograms_by_name

    def collect(self) -> Iterator[prometheus_core.Metric]:
        """Yields the metric families."""
        for name, count in self._counts_by_name.items():
            yield prometheus_core.CounterMetricFamily(
                _to_prometheus_name(name), f"Total of {name}.", value=count
            )
        for name, value in self._gauges_by_name.items():
            yield prometheus_core.GaugeMetricFamily(
                _to_prometheus_name(name), f"Value of {name}.", value=value
            )
        for name, latencies in self._histograms_by_name.items():
            yield prometheus_core.HistogramMetricFamily(
                f"{_to_prometheus_name(name)}_seconds",
                f"Distribution of {name}.",
                buckets=latencies.get_cumulative_buckets(),
                sum_value=latencies.sum_ms / _MS_PER_S,
            )


def render(
    counts_by_name: Mapping[str, int],
    gauges_by_name: Mapping[str, float],
    histograms_by_name: Mapping[str, histogram.Histogram],
) -> bytes:
    """Renders the metrics in the Prometheus text format.

    Args:
      counts_by_name: Counter values since the process started.
      gauges_by_name: Current values of the gauges.
      histograms_by_name: Latencies since the process started.
    """
    registry = prometheus_client.CollectorRegistry()
    registry.register(
        _SnapshotCollector(
            counts_by_name=counts_by_name,
            gauges_by_name=gauges_by_name,
            histograms_by_name=histograms_by_name,
        )
    )
    return prometheus_client.generate_latest(registry)


def _to_prometheus_name(name: str) -> str:
    # The label of a gauge may hold any character.
    return PREFIX + _INVALID_CHARACTER.sub("_", name)

"""Latency histogram with fixed buckets."""

_MS_PER_S = 1000.0


class Histogram:
    """Latency histogram with fixed upper bounds.

    Attributes:
      sum_ms: Sum of all latencies in milliseconds.
    """

    BOUNDS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10_000)

    __slots__ = ("_counts_by_bucket", "sum_ms")

    def __init__(self) -> None:
        self._counts_by_bucket = [0] * (len(self.BOUNDS_MS) + 1)
        self.sum_ms = 0.0

    def add(self, milliseconds: float) -> None:
        """Adds a latency to its bucket.

        Args:
          milliseconds: The latency.
        """
        self.sum_ms += milliseconds
        for index, bound in enumerate(self.BOUNDS_MS):
            if milliseconds <= bound:
                self._counts_by_bucket[index] += 1
                return
        self._counts_by_bucket[-1] += 1

    def get_cumulative_buckets(self) -> list[tuple[str, int]]:
        """Returns each upper bound in seconds with the count up to it."""
        cumulative_count = 0
        buckets = []
        bounds = [str(bound / _MS_PER_S) for bound in self.BOUNDS_MS]
        for bound, count in zip(
            [*bounds, "+Inf"], self._counts_by_bucket, strict=True
        ):
            cumulative_count += count
            buckets.append((bound, cumulative_count))
        return buckets

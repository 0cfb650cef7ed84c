"""Retry delay for callers whose requests are refused."""

import random

_MS_PER_S = 1000

_LATENCY_SHARE = 0.35
"""Share of the target latency that is spent on the retry delay; the rest is
left for the run itself."""

_JITTER = 0.3
"""Maximum random deviation of the delay, as a share of the delay."""


def draw_retry_delay(target_latency_ms: int, rng: random.Random) -> float:
    """Draws the delay after which a refused caller may retry.

    The answer to the retry should still arrive within the target latency of
    the route. The jitter prevents callers that were refused together from
    retrying together.

    Args:
      target_latency_ms: Target latency of the route in milliseconds.
      rng: Random number generator.

    Returns:
      The delay in seconds.
    """
    jitter = _JITTER * (2.0 * rng.random() - 1.0)
    return target_latency_ms / _MS_PER_S * _LATENCY_SHARE * (1.0 + jitter)

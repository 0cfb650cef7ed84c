"""When a refused caller may come back."""

import random

_MS_PER_S = 1000

_SHARE = 0.35
"""Part of the target latency after which a refused caller may return; the
rest is for the run itself."""

_SPREAD = 0.3
"""Random part of that time, either way."""


def return_after(target_latency_ms: int, rng: random.Random) -> float:
    """Returns the seconds after which a refused caller may try again.

    An answer to the next try should still come within the route's target
    latency; the spread keeps those refused together from returning so.

    Args:
      target_latency_ms: Target latency of the route, milliseconds.
      rng: Random source.
    """
    spread = _SPREAD * (2.0 * rng.random() - 1.0)
    return target_latency_ms / _MS_PER_S * _SHARE * (1.0 + spread)

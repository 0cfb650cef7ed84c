"""Settings that follow from properties of a deployment."""

import math

from bergamotdeal.settings import model

WATCHERS = 10
"""Nodes that watch the preset in force, so that some of them reach a store that
refuses a third of the hosts."""

CHECKERS = 2
"""Nodes that check whether the store answers; one of them may be cut off."""

RECOVERY_PART = 0.5
"""Part of the time in which a preset must be in force for noticing that the
store has recovered. The rest is left for a change to reach all nodes."""

MIN_WATCHERS_PER_DATA_CENTRE = 2
"""Watchers of a data centre that is cut off from the others."""

FLUSH_MS = 400
"""Time to close the connections to which nothing is owed any more."""

EXIT_MARGIN_MS = 500
"""Part of the grace period reserved for the exit itself."""


MIN_RETRY_MS = 100
"""Minimum of the longest delay between retries while the store fails."""


def compute_watchers(data_centre_count: int) -> int:
    """Returns the number of nodes of a data centre that watch the store.

    Args:
      data_centre_count: Number of data centres, zero if unknown.
    """
    return max(
        MIN_WATCHERS_PER_DATA_CENTRE,
        math.ceil(WATCHERS / max(1, data_centre_count)),
    )


def compute_checkers(data_centre_count: int) -> int:
    """Returns the number of nodes of a data centre that check the store.

    Args:
      data_centre_count: Number of data centres, zero if unknown.
    """
    return math.ceil(CHECKERS / max(1, data_centre_count))


def build_store_section(
    endpoint: model.Endpoint,
    *,
    data_centre_count: int,
    apply_ms: int,
    calls_per_minute: int,
) -> model.StoreSection:
    """Builds the settings of the store.

    Args:
      endpoint: Address of the store.
      data_centre_count: Number of data centres, zero if unknown.
      apply_ms: Time in which a preset must be in force, in milliseconds.
      calls_per_minute: Rate limit of the node's store calls.
    """
    recovery_ms = int(apply_ms * RECOVERY_PART)
    return model.StoreSection(
        address=endpoint.address,
        port=endpoint.port,
        calls_per_minute=calls_per_minute,
        watchers=compute_watchers(data_centre_count),
        checkers=compute_checkers(data_centre_count),
        check_ms=recovery_ms,
        longest_wait_ms=max(MIN_RETRY_MS, recovery_ms),
    )


def build_drain_section(
    *, grace_ms: int, detection_ms: int
) -> model.DrainSection:
    """Builds the settings of a graceful shutdown.

    Args:
      grace_ms: Time after which a node that was told to stop is killed, in
        milliseconds.
      detection_ms: Time until callers notice that a node isn't ready, in
        milliseconds.
    """
    return model.DrainSection(
        entry_open_ms=min(detection_ms, grace_ms // 2),
        longest_ms=max(1, grace_ms - FLUSH_MS - EXIT_MARGIN_MS),
        flush_ms=FLUSH_MS,
    )

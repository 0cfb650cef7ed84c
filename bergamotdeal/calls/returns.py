"""Retry delay for callers whose requests are refused."""

import random

from bergamotdeal.calls import exchanges
from bergamotdeal.calls import state as engine_state
from bergamotdeal.errors import core as errors
from bergamotdeal.telemetry import catalogue

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


def choose_retry_delay(
    *,
    state: engine_state.EngineState,
    exchange: exchanges.Exchange,
    kind: errors.ErrorKind | None,
) -> float | None:
    """Chooses the delay after which a refused caller may retry, in seconds.

    None means that no time is left to return.

    Args:
      state: State of the engine.
      exchange: Its request; the route has a target latency.
      kind: Error kind of the answer.
    """
    route = exchange.route
    is_assigned = (
        state.preset.admission.return_times
        and exchange.is_priced
        and kind is errors.ErrorKind.SHED
    )
    if not is_assigned:
        return draw_retry_delay(route.target_latency_ms, state.rng)
    rank = state.get_request_rank(exchange.class_name, route.class_name)
    service = state.cost_model.find_bottleneck(
        route.prefix, exchange.request.service, state.now
    )
    assigned = state.return_schedule.assign(
        service,
        rank,
        exchange.fingerprint,
        state.now,
        rate=state.cost_model.admitted_rate(service, rank),
        remaining_s=exchange.deadline - state.now,
        target_s=route.target_latency_ms / _MS_PER_S,
    )
    if assigned.is_reserved:
        state.record_event(
            catalogue.EventCode.RETURN_RESERVED,
            exchange.user_request_id,
            name=exchange.class_name,
            delay_ms=round(assigned.delay_s * _MS_PER_S),
        )
    return assigned.delay_s

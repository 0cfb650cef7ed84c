"""Time line records for calls that a node answered with an error."""

import enum

from bergamotdeal.admission import feedback
from bergamotdeal.calls import exchanges
from bergamotdeal.calls import local_server
from bergamotdeal.calls import runs
from bergamotdeal.calls import state as engine_state
from bergamotdeal.errors import core as errors
from bergamotdeal.rpc import core as rpc
from bergamotdeal.telemetry import catalogue
from bergamotdeal.utils import hashing

_CODES = catalogue.EventCode
_MS_PER_S = 1000


class KeyRefusal(enum.Enum):
    """What is wrong with the key of a refused request."""

    MISSING = "missing"
    MALFORMED = "malformed"
    UNKNOWN = "unknown"  # Never valid, or revoked before the arrival.
    REVOKED = "revoked"  # Valid on arrival.
    OUTDATED = "outdated"  # May have been revoked without this node's knowing.
    PARENT_UNKNOWN = "parent unknown"  # No key, but maybe a call of a run.


def explain_entry_shed(
    *,
    state: engine_state.EngineState,
    thresholds: feedback.ThresholdTable,
    exchange: exchanges.Exchange,
) -> str:
    """Describes why an entry node shed a request."""
    service = exchange.request.service
    prefix = exchange.route.prefix
    if exchange.request.authority:
        part = state.cost_model.admitted_fraction(prefix)
        shares = ", ".join(
            f"{name} {share:.2f}"
            for name, share in state.cost_model.shares_by_service(
                state.now
            ).items()
        )
        organisation = (
            f"; organisation {exchange.organisation}"
            if exchange.organisation
            else ""
        )
        return (
            f"{part:.2f} of {prefix} is let in; services can take {shares}"
            f"{organisation}"
        )
    threshold = thresholds.threshold(
        service, prefix, exchange.class_name, state.now
    )
    share = hashing.hash_share(exchange.user_request_id)
    return (
        f"share {share:.2f} is not below the threshold {threshold:.2f} of "
        f"{exchange.class_name} at {service}"
    )


def explain_target_shed(server: local_server.LocalServer, run: runs.Run) -> str:
    """Describes why a target node shed a call."""
    if not run.has_room:
        return f"no memory for its body of {len(run.call.request.body)} bytes"
    threshold = server.threshold(run.class_name)
    load = server.load()
    waiting = f"{load.running} running, {load.queued} queued" if load else ""
    limited = (
        ""
        if server.rate_limit is None
        else f", server accepts {server.rate_limit:g} per second"
    )
    return f"{run.class_name}, threshold {threshold:.2f}, {waiting}{limited}"


def record_key_refusal(
    state: engine_state.EngineState,
    user_request_id: str,
    cause: KeyRefusal,
    *,
    place: str,
    key_digest: str = "",
) -> None:
    """Records why a request is refused for want of a valid key.

    Args:
      state: State of the engine.
      user_request_id: Id of the user request.
      cause: What is wrong with the key.
      place: Where the request was when its key was checked.
      key_digest: Digest of the key, or empty.
    """
    state.record_event(
        _CODES.KEY_REFUSED,
        user_request_id,
        cause=cause.value,
        place=place,
        digest=key_digest,
        epoch=state.epoch,
    )


def record_error_answer(
    *,
    state: engine_state.EngineState,
    exchange: exchanges.Exchange,
    answer: rpc.Answer,
) -> None:
    """Records why a caller gets an error instead of a server's answer."""
    is_refusal = answer.outcome is errors.Outcome.NOT_RUN
    request = exchange.request
    waited_s = state.now - exchange.arrived_at
    state.record_event(
        _CODES.CALL_REFUSED if is_refusal else _CODES.CALL_LOST,
        exchange.user_request_id,
        error=answer.error.value,
        method=request.method,
        path=request.path,
        service=request.service or request.authority,
        sendings=exchange.retry_count + bool(exchange.last_number),
        host=exchange.host_id or "none",
        waited_ms=round(waited_s * _MS_PER_S),
        epoch=state.epoch,
    )

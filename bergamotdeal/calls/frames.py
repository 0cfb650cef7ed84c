"""Construction of the calls, runs and jobs that stand for a request."""

from bergamotdeal.admission import core as admission
from bergamotdeal.calls import exchanges
from bergamotdeal.calls import runs
from bergamotdeal.calls import state as engine_state
from bergamotdeal.retries import allowance
from bergamotdeal.rpc import core as rpc
from bergamotdeal.utils import hashing


def build_call(
    state: engine_state.EngineState,
    exchange: exchanges.Exchange,
    *,
    deadline_ms: int,
) -> rpc.Call:
    """Builds the call of an exchange's dispatch in flight.

    Args:
      state: State of the engine.
      exchange: Exchange with the number of its dispatch.
      deadline_ms: Time to the deadline in milliseconds.
    """
    parent = exchange.parent
    route = exchange.route
    return rpc.Call(
        number=exchange.number,
        user_request_id=exchange.user_request_id,
        call_id=exchange.call_id,
        request=exchange.request,
        deadline_ms=deadline_ms,
        attempt=min(rpc.MAX_ATTEMPT, exchange.attempt + exchange.retry_count),
        may_have_run=exchange.may_have_run,
        tokens=exchange.delegated_tokens,
        ticket=exchange.ticket,
        class_name=exchange.class_name,
        depth=exchange.depth,
        epoch=state.epoch,
        needs_ticket=exchange.is_requesting_ticket,
        only_repeatable=(
            (parent is not None and parent.call.only_repeatable)
            or (route.repeatable and route.repeatable_below)
        ),
        route_name=route.prefix if exchange.request.authority else "",
        repeatable=route.repeatable,
        caller_service=state.caller_service,
        is_repeat=exchange.is_repeat,
        prior_calls=min(rpc.MAX_PRIOR_CALLS, exchange.prior_calls),
        organisation=exchange.organisation,
        key_digest="" if route.public else exchange.key_digest,
        target_ms=engine_state.compute_target_ms(exchange.target, state.now),
        is_internal=exchange.is_internal or parent is not None,
    )


def build_job(state: engine_state.EngineState, run: runs.Run) -> admission.Job:
    """Builds the job by which a run asks for a slot of the backend server.

    Args:
      state: State of the engine.
      run: Run that has not started.
    """
    hash_share = 0.0
    if state.preset.admission.consistent_hash:
        hash_share = hashing.hash_share(run.call.user_request_id)
    return admission.Job(
        job_id=run.run_id,
        class_rank=state.preset.get_class_rank(run.class_name),
        hash_share=hash_share,
        deadline=run.deadline,
        arrived=state.now,
        organisation=run.call.organisation,
        weight=state.get_weight(run.call.organisation),
        target=run.target,
        calls_made=run.call.prior_calls + run.call.is_internal,
    )


def build_run(
    state: engine_state.EngineState, run_id: int, link_id: int, call: rpc.Call
) -> runs.Run:
    """Builds the run of a call that has arrived.

    Args:
      state: State of the engine.
      run_id: Number of the run.
      link_id: Link on which the call arrived.
      call: The call.
    """
    if call.route_name:
        route = state.find_call_route(call)
    else:
        route = state.route_for(call.request)
    margin_ms = min(state.preset.hop_margin_ms, call.deadline_ms // 2)
    return runs.Run(
        run_id=run_id,
        link_id=link_id,
        call=call,
        route=route,
        class_name=state.classify_call(call, route),
        deadline=state.now + (call.deadline_ms - margin_ms) / 1000,
        target=engine_state.compute_target(call.target_ms, state.now),
        allowance=allowance.Allowance(tokens=call.tokens),
    )

"""Shared presets, requests, server programs and fleets of the tests."""

from bergamotdeal.errors import core as errors
from bergamotdeal.presets import model
from bergamotdeal.rpc import core as rpc
from standins import fleet
from standins import fleet_model

SERVICES = ("kitview", "feederdesk", "stencilhub", "orderline")


def make_preset(*, accepts_cancellation=True, repeatable_below=False, **kwargs):
    """Makes a preset with repeatable GET; other methods are critical."""
    return model.Preset(
        name="ordinary",
        services_by_name={
            service: model.ServicePolicy(
                accepts_cancellation=accepts_cancellation,
                shed_status=503,
                cold_start_ms=0,
            )
            for service in SERVICES
        },
        routes=tuple(
            model.Route(
                service=service,
                method="GET",
                prefix="/",
                class_name=model.BROWSE,
                repeatable=True,
                repeatable_below=repeatable_below,
            )
            for service in SERVICES
        ),
        **kwargs,
    )


def get_request(service):
    return rpc.Request(
        service=service, method="GET", path="/x", headers=[], body=b""
    )


def post_request(service, body=b"reserve"):
    return rpc.Request(
        service=service, method="POST", path="/x", headers=[], body=body
    )


def work_program(seconds):
    def program(_start):
        yield fleet_model.Work(seconds=seconds)
        return fleet_model.Response()

    return program


def call_program(*requests, keys=(), work=0.001):
    """Makes a program that calls in parallel and answers 502 on a failure."""

    def program(_start):
        yield fleet_model.Work(seconds=work)
        replies = yield fleet_model.Invoke(
            requests=list(requests), idempotency_keys=list(keys)
        )
        for reply in replies:
            if reply.outcome is not errors.Outcome.COMPLETED:
                return fleet_model.Response(status=502, body=b"")
        return fleet_model.Response(
            body=b"".join(reply.answer.body for reply in replies)
        )

    return program


def make_chain(preset):
    """Makes a fleet of four services, each of which calls the next one."""
    sim = fleet.Fleet(preset=preset)
    for service, below in zip(SERVICES, (*SERVICES[1:], ""), strict=True):
        program = (
            call_program(get_request(below))
            if below
            else fleet_model.answer_at_once
        )
        sim.add_node(service, service=service, program=program)
    return sim


def make_pool(preset, *, count=3, service="orderline", **kwargs):
    """Makes a fleet of two entry nodes and several servers of one service."""
    sim = fleet.Fleet(preset=preset)
    sim.add_node("entry-1")
    sim.add_node("entry-2")
    for number in range(1, count + 1):
        sim.add_node(f"{service}-{number}", service=service, **kwargs)
    return sim


def fetch_ticket(sim, host_id, request, user_request_id, **kwargs):
    reply = sim.call(
        host_id, request, user_request_id=user_request_id, **kwargs
    )
    sim.run_until(lambda: reply.done)
    assert reply.error is errors.ErrorKind.TICKET_REQUIRED
    return reply.answer.ticket


def find_only_run(sim, user_request_id):
    (run,) = sim.runs_of(user_request_id)
    return run

"""Answers to requests for a service without a known server."""

import msgspec
import pytest

from bergamotdeal.calls import messages
from bergamotdeal.errors import core as errors
from bergamotdeal.presets import model
from bergamotdeal.routing import known_services
from bergamotdeal.rpc import core as rpc
from standins import fleet

SERVICE = "orderline"
UNKNOWN_STATUS = 404
EMPTY = model.Preset(name="empty", tickets=model.TicketPolicy(required=False))
ROUTE = model.Route(service=SERVICE, method="GET", prefix="/")
HOST_ROUTE = model.HostRoute(
    name="orders",
    host="orders.example",
    prefix="/",
    destinations=(model.Destination(service=SERVICE),),
)


def make_fleet(preset, *, announces=True):
    sim = fleet.Fleet(preset=preset)
    sim.add_node("entry")
    sim.add_node("server", service=SERVICE if announces else "kitview")
    return sim


def call(sim, service=SERVICE, authority="", **kwargs):
    request = rpc.Request(
        service="" if authority else service,
        method="GET",
        path="/x",
        headers=[],
        body=b"",
        authority=authority,
    )
    reply = sim.call("entry", request, user_request_id="r1", **kwargs)
    sim.run_until(lambda: reply.done)
    return reply


def withdraw_server(sim):
    """Publishes that the only server's heartbeat is missing."""
    node = sim.nodes_by_id["server"]
    node.member = msgspec.structs.replace(node.member, server=None)
    sim.publish_members()


def assert_no_server(reply):
    assert reply.error is errors.ErrorKind.NO_SERVER
    assert reply.answer.status == 503
    assert reply.outcome is errors.Outcome.NOT_RUN
    assert reply.answer.retry_after_s is not None


# Guards against a 404, which is final for callers, while the heartbeats of all
# servers of a service are missing for a moment.
def test_service_whose_servers_are_withdrawn_gets_503():
    sim = make_fleet(EMPTY)
    assert call(sim).outcome is errors.Outcome.COMPLETED
    withdraw_server(sim)
    assert_no_server(call(sim))
    sim.run_for(known_services.NAME_TTL_S - 1.0)
    assert_no_server(call(sim))
    sim.run_for(2.0)
    assert call(sim).answer.status == UNKNOWN_STATUS


@pytest.mark.parametrize(
    ("changes", "authority"),
    [
        ({"services_by_name": {SERVICE: model.ServicePolicy()}}, ""),
        ({"routes": (ROUTE,)}, ""),
        ({"host_routes": (HOST_ROUTE,)}, HOST_ROUTE.host),
    ],
    ids=["service", "route", "host route"],
)
def test_service_of_the_preset_gets_503_before_a_server_is_known(
    changes, authority
):
    preset = msgspec.structs.replace(EMPTY, **changes)
    sim = make_fleet(preset, announces=False)
    assert_no_server(call(sim, authority=authority))


def test_service_of_the_previous_preset_gets_503():
    preset = msgspec.structs.replace(EMPTY, routes=(ROUTE,))
    sim = make_fleet(preset, announces=False)
    event = messages.PresetInForce(epoch=2, preset=EMPTY)
    sim.send_event("entry", event)
    assert_no_server(call(sim))


def test_service_that_nobody_mentions_gets_404():
    sim = make_fleet(EMPTY)
    reply = call(sim, service="orderlime")
    assert reply.error is errors.ErrorKind.UNKNOWN_SERVICE
    assert reply.answer.status == UNKNOWN_STATUS


def test_memory_of_names_is_bounded():
    known = known_services.KnownServices()
    names = [f"s{n}" for n in range(3 * known_services.MAX_NAMES)]
    for now, name in enumerate(names):
        known.update("members", [name], now / 1000)
    known.update("members", [], 4.0)
    kept = [name for name in names if known.is_known(name, 4.0)]
    assert kept == names[-known_services.MAX_NAMES :]

"""Order of user requests at an entry whose callers are organisations.

The load: all organisations have one priority, and their requests are bookings
that make eight calls to the scarce service each and lookups that make four.
That service can take six tenths of the calls.
"""

import random

import msgspec
import pytest

from bergamotdeal.calls import state as engine_state
from bergamotdeal.calls.tests import test_host_routes as host_routes
from bergamotdeal.presets import model
from bergamotdeal.pricing import gate

SERVICE = "orderline"
CLASSES = ("internal", "urgent", "organisations", "usual")
RATE_PER_S = 200
SHARE = 0.6
SLOT_S_BY_ROUTE = {"booking": 0.24, "lookup": 0.12}
CLASS_BY_ROUTE = {"booking": "urgent", "lookup": "usual"}


@pytest.fixture
def state():
    return engine_state.EngineState(
        identity=host_routes.OWN,
        preset=model.Preset(name="day", classes=CLASSES),
        epoch=1,
        rng=random.Random(1),
    )


def run_load(state, class_name):
    """Returns the share of each route's requests that is admitted."""
    entry_gate = gate.EntryGate(rng=random.Random(1))
    admitted_by_route = dict.fromkeys(CLASS_BY_ROUTE, 0)
    counted = 0
    for step in range(10 * RATE_PER_S):
        now = 1.0 + step / RATE_PER_S
        counted += now >= 3.0
        for route, route_class in CLASS_BY_ROUTE.items():
            is_excess = entry_gate.record_request(
                route,
                state.get_request_rank(class_name or route_class, route_class),
                {SERVICE: SLOT_S_BY_ROUTE[route]},
                now,
                organisation=f"org-{step % 8}",
            )
            is_admitted = entry_gate.admits(
                route, None, {SERVICE: SHARE}, now, is_excess=is_excess
            )
            if now >= 3.0:
                admitted_by_route[route] += is_admitted
    return {route: n / counted for route, n in admitted_by_route.items()}


# Guards against bookings that are refused for lookups, because the class of an
# organisation hides that of the route and the cheaper requests go first.
@pytest.mark.parametrize("organisation_class", ["", "organisations"])
def test_urgent_routes_go_first_within_the_class_of_organisations(
    state, organisation_class
):
    admitted_by_route = run_load(state, organisation_class)
    # Six tenths of 8 + 4 calls are 7.2: nine tenths of the bookings.
    assert admitted_by_route["booking"] >= 0.85
    assert admitted_by_route["lookup"] <= 0.15


def test_class_of_an_organisation_goes_before_that_of_a_route(state):
    important = state.get_request_rank("urgent", "usual")
    usual = state.get_request_rank("organisations", "urgent")
    assert important < usual
    assert usual < state.get_request_rank("organisations", "usual")


def test_unknown_classes_go_last_and_stay_within_the_class(state):
    unknown = state.get_request_rank("organisations", "unknown")
    assert state.get_request_rank("organisations", "usual") < unknown
    assert unknown < state.get_request_rank("usual", "internal")


def test_order_without_organisations_is_that_of_the_classes(state):
    ranks = [state.get_request_rank(name, name) for name in CLASSES]
    assert ranks == sorted(set(ranks))
    preset = msgspec.structs.replace(state.preset, classes=CLASSES[1:])
    state.activate_preset(preset, 2)
    assert state.get_request_rank("urgent", "urgent") == 0

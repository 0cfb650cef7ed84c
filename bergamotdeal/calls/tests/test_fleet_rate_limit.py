"""Load on a service of four servers, some of which name a rate limit."""

import collections
import pathlib

import msgspec
import pytest

from bergamotdeal.calls import messages
from bergamotdeal.calls.tests import scenarios
from bergamotdeal.errors import core as errors
from bergamotdeal.presets import files as preset_files
from bergamotdeal.presets import model
from bergamotdeal.rpc import core as rpc
from standins import fleet as fleets

ROOT = pathlib.Path(__file__).resolve().parents[3]
DATA_CENTRES = ("odori", "kotoni", "makomanai", "prai")
CALLS_PER_S = 500
RUN_S = 0.06
SLOTS = 254
WARM_UP_S = 2.0
DURATION_S = 10.0


def build_preset():
    base = preset_files.read(ROOT / "deploy" / "preset.ini").unwrap()
    return msgspec.structs.replace(
        base,
        classes=("internal", "usual"),
        internal_class="internal",
        retries=msgspec.structs.replace(base.retries, fleet_burst=48),
        services_by_name={
            service: model.ServicePolicy(accepts_cancellation=True)
            for service in scenarios.SERVICES
        },
        host_routes=(
            model.HostRoute(
                name="kits",
                host="kits.example",
                prefix="/",
                destinations=(model.Destination(service="kitview"),),
                class_name="usual",
                repeatable=True,
                target_latency_ms=1500,
                max_sendings=2,
            ),
        ),
    )


class LimitedService:
    """Fleet of sixteen hosts, four of them with servers of one service."""

    def __init__(self):
        self.fleet = fleets.Fleet(preset=build_preset())
        self.replies = []
        for data_centre in DATA_CENTRES:
            for service in scenarios.SERVICES:
                self.fleet.add_node(
                    f"{service}-{data_centre}",
                    service=service,
                    slots=SLOTS,
                    program=scenarios.work_program(RUN_S),
                    data_centre=data_centre,
                )

    def limit(self, rates_by_data_centre):
        for data_centre, rate_limit in rates_by_data_centre.items():
            event = messages.ServerRateLimited(rate_limit=rate_limit)
            self.fleet.send_event(f"kitview-{data_centre}", event)

    def run(self, duration_s):
        """Calls the service from random hosts; returns the new replies."""
        fleet = self.fleet
        replies = []
        end = fleet.now + duration_s
        host_ids = sorted(fleet.nodes_by_id)
        while fleet.now < end:
            request = rpc.Request(
                service="",
                method="GET",
                path="/kits",
                headers=[],
                body=str(fleet.now).encode(),
                authority="kits.example",
            )
            replies.append(
                fleet.call(
                    fleet.rng.choice(host_ids),
                    request,
                    user_request_id=f"r{fleet.now}",
                    deadline_ms=3000,
                )
            )
            fleet.run_for(fleet.rng.expovariate(CALLS_PER_S))
        fleet.run_for(3.0)
        return replies


def count_completed(replies):
    outcomes = collections.Counter(reply.outcome for reply in replies)
    return outcomes[errors.Outcome.COMPLETED] / len(replies)


# Guards against callers that are refused at the entries, because a limited
# server reports a shortage that the other servers of the service don't have.
@pytest.mark.parametrize(
    "rates_by_data_centre",
    [{"odori": 21.0}, {"odori": 21.0, "makomanai": 29.4}],
)
def test_callers_are_served_by_the_servers_without_a_limit(
    rates_by_data_centre,
):
    service = LimitedService()
    assert count_completed(service.run(WARM_UP_S)) == 1.0
    service.limit(rates_by_data_centre)
    assert count_completed(service.run(DURATION_S)) >= 0.995


def test_entries_refuse_what_servers_that_are_all_limited_do_not_accept():
    service = LimitedService()
    service.run(WARM_UP_S)
    service.limit(dict.fromkeys(DATA_CENTRES, 21.0))
    service.run(5.0)
    replies = service.run(DURATION_S)
    accepted = len(DATA_CENTRES) * 21.0 * DURATION_S
    completed = count_completed(replies) * len(replies)
    assert 0.95 * accepted <= completed <= 1.05 * accepted
    sent_ids = {call.user_request_id for _, _, call in service.fleet.calls_sent}
    refused = [
        reply
        for reply in replies
        if reply.outcome is not errors.Outcome.COMPLETED
    ]
    refused_at_entry = [
        reply for reply in refused if reply.user_request_id not in sent_ids
    ]
    assert len(refused_at_entry) >= 0.9 * len(refused)

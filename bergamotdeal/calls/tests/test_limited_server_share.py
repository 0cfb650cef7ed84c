"""Share of the calls that a server with a rate limit receives."""

import itertools
import pathlib

import msgspec
import pytest

from bergamotdeal.calls import messages
from bergamotdeal.calls.tests import scenarios
from bergamotdeal.errors import core as errors
from bergamotdeal.presets import files as preset_files
from bergamotdeal.presets import model
from standins import fleet as fleets

ROOT = pathlib.Path(__file__).resolve().parents[3]
SERVICE = "kitview"
LIMITED = "kitview-0"
CALLS_PER_S_AND_SERVER = 80
SLOTS = 254
SETTLE_S = 2.0
DURATION_S = 6.0
RECOVERY_S = 2.0
"""Time after which a server whose limit ended has its share again."""


class LimitedFleet:
    """Fleet in which the nodes beside a service's servers call it."""

    def __init__(self, *, data_centres, run_s):
        base = preset_files.read(ROOT / "deploy" / "preset.ini").unwrap()
        preset = msgspec.structs.replace(
            base,
            services_by_name={
                SERVICE: model.ServicePolicy(accepts_cancellation=True)
            },
            routes=(
                model.Route(
                    service=SERVICE,
                    method="GET",
                    prefix="/",
                    class_name=model.BROWSE,
                    repeatable=True,
                ),
            ),
        )
        self._fleet = fleets.Fleet(preset=preset)
        self._numbers = itertools.count()
        for number, data_centre in enumerate(data_centres):
            self._fleet.add_node(
                f"{SERVICE}-{number}",
                service=SERVICE,
                slots=SLOTS,
                program=scenarios.work_program(run_s),
                data_centre=data_centre,
            )

    def limit(self, rate_limit):
        event = messages.ServerRateLimited(rate_limit=rate_limit)
        self._fleet.send_event(LIMITED, event)

    def run(self, duration_s):
        """Calls from random hosts; returns the replies and the runs per s."""
        fleet = self._fleet
        host_ids = list(fleet.nodes_by_id)
        calls_per_s = CALLS_PER_S_AND_SERVER * len(host_ids)
        runs_before = self._count_runs()
        end = fleet.now + duration_s
        replies = []
        while fleet.now < end:
            replies.append(
                fleet.call(
                    fleet.rng.choice(host_ids),
                    scenarios.get_request(SERVICE),
                    user_request_id=f"r{next(self._numbers)}",
                    deadline_ms=3000,
                )
            )
            fleet.run_for(fleet.rng.expovariate(calls_per_s))
        return replies, (self._count_runs() - runs_before) / duration_s

    def _count_runs(self):
        runs = self._fleet.servers.runs
        return sum(run.host_id == LIMITED for run in runs)


# Guards against a server that is never called again after it reported a limit:
# it received 0.0 of 21 allowed requests/s, because one call at its single
# usable slot looked like a full server.
@pytest.mark.parametrize(
    "data_centres",
    [("odori", "kotoni", "prai"), ("odori",) * 5],
    ids=["three data centres", "one data centre"],
)
@pytest.mark.parametrize("run_s", [0.02, 0.15])
@pytest.mark.parametrize("rate_limit", [2.5, 21.0])
def test_limited_server_gets_half_of_its_limit(data_centres, run_s, rate_limit):
    limited = LimitedFleet(data_centres=data_centres, run_s=run_s)
    limited.run(SETTLE_S)
    limited.limit(rate_limit)
    limited.run(SETTLE_S)
    replies, limited_runs_per_s = limited.run(DURATION_S)
    limited.limit(None)
    limited.run(RECOVERY_S)
    _, runs_per_s = limited.run(DURATION_S)
    completed = sum(
        reply.outcome is errors.Outcome.COMPLETED for reply in replies
    )
    assert completed >= 0.995 * len(replies)
    assert 0.5 * rate_limit <= limited_runs_per_s <= rate_limit + 0.2
    assert runs_per_s >= 0.9 * CALLS_PER_S_AND_SERVER

"""Calls of a server whose node is killed and started again, with tenants.

Clients of a tenant send reservations to one machine, whose node passes them on
to the server of another. The node beside that server is killed and started
again while the server works on them. The server does not drop them, and makes
its calls when the work is done.
"""

import asyncio
import pathlib

import fleet
import server

CONTACT_S = 3.0
RESERVATIONS = 30
WORK_S = 2.0
KILL_AFTER_S = 0.5
RESTART_AFTER_S = 0.3
DEADLINE_MS = 5000
MAX_DENIED = 10
KEY = "k-4f1d22"
DENIED_STATUSES = (401, 403, 404)


async def case(record: fleet.Record) -> bool | None:
    """Returns whether at most ten proper requests were denied."""
    deployment = fleet.Fleet(
        record=record,
        services=["feederdesk", "stencilhub", "kitview", "stencilhub"],
        behaviours_by_service={
            "feederdesk": server.Behaviour(
                work_s=WORK_S,
                runs_on=True,
                calls=lambda _: [("calendar.example", "/calendar/1")],
            )
        },
        slots=47,
    )
    tenant = {
        "name": "prai-lines",
        "apiKeys": [KEY],
        "priority": 0,
        "ratePerS": None,
        "burst": None,
    }
    try:
        await deployment.start(
            [
                fleet.build_route(
                    "feeders",
                    "feederdesk",
                    routeType="non_idempotent",
                    timeoutMs=DEADLINE_MS,
                ),
                fleet.build_route("calendar", "stencilhub"),
            ],
            [tenant],
        )
        await asyncio.sleep(CONTACT_S + 1.0)
        desk, _, entry, _ = deployment.machines
        reservations = [
            asyncio.ensure_future(
                deployment.send(
                    entry,
                    "feeders.example",
                    "/feeders/1",
                    attempt_id=f"reservation-{number}",
                    method="POST",
                    body=b'{"feeder": 7}',
                    deadline_ms=DEADLINE_MS,
                    key=KEY,
                )
            )
            for number in range(RESERVATIONS)
        ]
        await asyncio.sleep(KILL_AFTER_S)
        if fleet.is_troubled():
            deployment.kill_node(desk)
            await asyncio.sleep(RESTART_AFTER_S)
            deployment.start_node(desk)
            await deployment.wait_ready(desk)
            record.add("node-ready", machine=desk.name)
        await asyncio.gather(*reservations)
        await asyncio.sleep(WORK_S + CONTACT_S)
        calls = record.list("call")
        denied = [each for each in calls if each["status"] in DENIED_STATUSES]
        record.add("result", calls=len(calls), denied=len(denied))
        return len(denied) <= MAX_DENIED if calls else None
    finally:
        deployment.close()


if __name__ == "__main__":
    fleet.run(pathlib.Path(__file__).resolve().parent, case)

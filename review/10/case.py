"""A request that crashes its servers, before and after rolling restarts.

The request comes from several machines at once, and again some seconds later.
All nodes are restarted in turn, as for an upgrade, and it comes once more. The
same happens a second time.
"""

import asyncio
import pathlib

import fleet
import server

CONTACT_S = 3.0
CALM_S = 1.0
DEADLY_PATH = "/kits/deadly"
BACK_AFTER_S = 2.0
NODES_AT_ONCE = 3
ROUNDS = 3
MAX_LATE_RETRIES = 3
SERVICES = [
    *("kitview", "feederdesk", "stencilhub", "orderline") * 3,
    *("kitview", "kitview"),
]


async def case(record: fleet.Record) -> bool | None:
    """Returns whether few enough retries reached the servers."""
    kits = server.Behaviour(
        back_after_s=BACK_AFTER_S,
        crashes=lambda request: request.start[1] == DEADLY_PATH,
    )
    deployment = fleet.Fleet(
        record=record,
        services=SERVICES,
        behaviours_by_service={"kitview": kits},
    )
    try:
        await deployment.start([fleet.build_route("kits", "kitview")])
        for number in range(ROUNDS):
            if number and fleet.is_troubled():
                await restart_in_turn(deployment)
            await asyncio.sleep(CONTACT_S + CALM_S)
            await send_deadly(deployment, f"deadly-{number}")
            await asyncio.sleep(BACK_AFTER_S + CALM_S)
            await send_deadly(deployment, f"again-{number}")
        return judge(record)
    finally:
        deployment.close()


async def send_deadly(deployment: fleet.Fleet, name: str) -> None:
    """Sends the request from each machine without a server of its service."""
    await asyncio.gather(
        *(
            deployment.send(
                machine,
                "kits.example",
                DEADLY_PATH,
                attempt_id=f"{name}-{machine.name}",
                deadline_ms=2000,
            )
            for machine in deployment.machines
            if machine.service != "kitview"
        )
    )


async def restart_in_turn(deployment: fleet.Fleet) -> None:
    """Stops and starts all nodes, some at a time."""
    machines = deployment.machines
    for start in range(0, len(machines), NODES_AT_ONCE):
        batch = machines[start : start + NODES_AT_ONCE]
        await asyncio.gather(*map(deployment.stop_node, batch))
        for machine in batch:
            deployment.start_node(machine)
        for machine in batch:
            await deployment.wait_ready(machine)


def judge(record: fleet.Record) -> bool:
    """Returns whether at most three late retries reached a server."""
    crashes = record.list("server-crash")
    late = []
    if len(crashes) >= 3:
        late = [
            event
            for event in record.list("run")
            if event["path"] == DEADLY_PATH
            and event["t"] > crashes[2]["t"] + CONTACT_S
        ]
    record.add("result", crashes=len(crashes), late_retries=len(late))
    return len(late) <= MAX_LATE_RETRIES


if __name__ == "__main__":
    fleet.run(pathlib.Path(__file__).resolve().parent, case)

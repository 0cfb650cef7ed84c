"""A request that crashes its server, at a service with a single server.

The request comes again, with the same method, path and body, each time when the
server is back, by turns at two other machines.
"""

import asyncio
import pathlib

import fleet
import server

CONTACT_S = 3.0
DEADLY_PATH = "/orders/deadly"
ROUNDS = 12
ROUND_S = 4.0
BACK_AFTER_S = 2.0
MAX_LATE_RETRIES = 3


async def case(record: fleet.Record) -> bool | None:
    """Returns whether few enough retries reached the servers."""
    orders = server.Behaviour(back_after_s=BACK_AFTER_S)
    if fleet.is_troubled():
        orders.crashes = lambda request: request.start[1] == DEADLY_PATH
    deployment = fleet.Fleet(
        record=record,
        services=["kitview", "feederdesk", "orderline", "kitview"],
        behaviours_by_service={"orderline": orders},
    )
    try:
        await deployment.start(
            [
                fleet.build_route(
                    "orders", "orderline", routeType="non_idempotent"
                )
            ]
        )
        await asyncio.sleep(4.0)
        for number in range(ROUNDS):
            await deployment.send(
                deployment.machines[number % 2],
                "orders.example",
                DEADLY_PATH,
                attempt_id=f"deadly-{number}",
                method="DELETE",
                deadline_ms=1200,
            )
            await asyncio.sleep(ROUND_S)
        return judge(record)
    finally:
        deployment.close()


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

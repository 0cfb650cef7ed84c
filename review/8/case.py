"""A config change after the open connections to the store have fallen silent.

New connections to the store work all the time. The operator moves a route to
another service well after the machines are in touch again, and clients ask each
machine which service runs their requests.
"""

import asyncio
import pathlib

import fleet

CONTACT_S = 3.0
CONFIG_APPLY_S = 2.0
CALM_S = 1.0
"""Further time from the disruption to the change."""

WATCHED_S = 12.0
"""Time after the change for which requests are sent."""

SERVICES = ["kitview", "feederdesk", "stencilhub"] * 4


async def case(record: fleet.Record) -> bool | None:
    """Returns whether no late request was run by the old service."""
    deployment = fleet.Fleet(record=record, services=SERVICES, has_relay=True)
    try:
        await deployment.start([fleet.build_route("kits", "kitview")])
        await asyncio.sleep(6.0)
        record.add("watches", waiting=deployment.store.config_watches)
        if not deployment.store.config_watches:
            return None
        if fleet.is_troubled():
            silent = deployment.relay.silence_open_connections()
            record.add("store-connections-silent", connections=silent)
        await asyncio.sleep(CONTACT_S + CALM_S)
        await deployment.write_config([fleet.build_route("kits", "feederdesk")])
        acked_at = record.now()
        number = 0
        while record.now() < acked_at + WATCHED_S:
            number += 1
            await asyncio.gather(
                *(
                    deployment.send(
                        machine,
                        "kits.example",
                        f"/kits/{number}",
                        attempt_id=f"{machine.name}-{number}",
                    )
                    for machine in deployment.machines
                )
            )
            await asyncio.sleep(0.5)
        return count_stale_runs(record, acked_at) == 0
    finally:
        deployment.close()


def count_stale_runs(record: fleet.Record, acked_at: float) -> int:
    """Returns how many late requests the old service ran."""
    late_ids = {
        event["id"]
        for event in record.list("sent")
        if event["t"] > acked_at + CONFIG_APPLY_S
    }
    stale = [
        event
        for event in record.list("run")
        if event["id"] in late_ids and event["service"] == "kitview"
    ]
    last = max((event["t"] for event in stale), default=acked_at)
    record.add(
        "result",
        late_requests=len(late_ids),
        run_by_the_old_service=len(stale),
        machines=len({event["id"].rpartition("-")[0] for event in stale}),
        last_s_after_the_ack=round(last - acked_at, 2),
    )
    return len(stale)


if __name__ == "__main__":
    fleet.run(pathlib.Path(__file__).resolve().parent, case)

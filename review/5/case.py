"""Sends a heartbeat of another writer that names an unknown service."""

import asyncio
import json
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from rig import platform  # noqa: E402

FOREIGN_SERVICE = "unnamed"


async def case(record, has_trouble):
    fleet = platform.Fleet(
        record,
        [
            ("desk", "prai"),
            ("desk", "bayan-lepas"),
            ("view", "prai"),
            ("view", "bayan-lepas"),
        ],
    )
    try:
        await fleet.store.start(fleet.store_ip)
        await fleet.write_config(
            1,
            [
                platform.route("book", "view", routeType="non_idempotent"),
                platform.route("desk", "desk"),
            ],
        )
        await fleet.start()
        host = fleet.hosts[0]
        await send_bookings(fleet, host, 2)
        if has_trouble:
            heartbeat = host.server.build_heartbeat() | {
                "service": FOREIGN_SERVICE,
                "sequence": 1,
                "born": time.time_ns() // 1_000_000,
            }
            answer = await platform.request(
                fleet.address(host, "control"),
                "POST",
                "/-/instances/i-other/heartbeat",
                {"Content-Type": "application/json"},
                json.dumps(heartbeat).encode(),
            )
            record.write(
                f"a heartbeat of another writer for {FOREIGN_SERVICE} comes to "
                f"{host.name}, which answers: {answer}"
            )
        await asyncio.sleep(platform.CONTACT_S + platform.HEARTBEAT_S)
        await send_bookings(fleet, host, 10)
        before = len(host.server.runs)
        for _ in range(20):
            await fleet.call(fleet.hosts[1], "desk.example", "/d/1")
            await fleet.call(host, "desk.example", "/d/1")
        record.write(
            f"the server on {host.name} has run {len(host.server.runs) - before}"
            " of 40 requests for its service"
        )
        service_by_host = {each.name: each.service for each in fleet.hosts}
        violations = []
        for each in fleet.hosts:
            for ran_at, headers in each.server.runs:
                service = headers.get("x-bergamotdeal-caller-service")
                if service not in service_by_host.values():
                    violations.append(
                        f"at {ran_at:.3f} s server {each.server.server_id} "
                        f"runs a request with caller service {service}; it "
                        f"began on {host.name}, whose service is "
                        f"{host.service}"
                    )
        return violations
    finally:
        fleet.close()


async def send_bookings(fleet, host, count):
    for _ in range(count):
        await fleet.call(
            host, "book.example", "/b/1", method="POST", body=b"booking"
        )


if __name__ == "__main__":
    platform.main(FOLDER, case)

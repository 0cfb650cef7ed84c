"""Restarts a node after its server has left; an old heartbeat comes late."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from rig import platform  # noqa: E402

INTERVAL_S = 0.05
HEARTBEAT_DELAY_S = 4.0
KILL_AFTER_ACK_S = 0.3
RESTART_S = 0.3
EXIT_AFTER_ACK_S = 9.0


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
            1, [platform.route("book", "view", routeType="non_idempotent")]
        )
        await fleet.start()
        caller_host, leaving_host = fleet.hosts[0], fleet.hosts[2]
        server = leaving_host.server
        stopped = asyncio.Event()
        traffic = asyncio.create_task(
            send_bookings(fleet, record, caller_host, stopped)
        )
        await asyncio.sleep(1.0)
        late_heartbeat = server.build_heartbeat()
        sent_at = record.now()
        record.write(
            f"server {server.server_id} sends heartbeat "
            f"{late_heartbeat['sequence']}, state ready; it is on the way for "
            f"{HEARTBEAT_DELAY_S} s"
        )
        await asyncio.sleep(0.2)
        status = await server.deregister()
        acked_at = record.now()
        record.write(
            f"server {server.server_id} deregisters; its node answers {status}"
        )
        if status != 200:
            raise platform.SetupError("the node gave no ack")
        in_touch_at = 0.0
        await asyncio.sleep(KILL_AFTER_ACK_S)
        if has_trouble:
            await fleet.kill_node(leaving_host)
            await asyncio.sleep(RESTART_S)
            fleet.start_node(leaving_host)
            in_touch_at = record.now() + platform.CONTACT_S
        await asyncio.sleep(sent_at + HEARTBEAT_DELAY_S - record.now())
        status = await server.send_heartbeat(late_heartbeat)
        record.write(f"the late heartbeat arrives; the node answers {status}")
        await asyncio.sleep(acked_at + EXIT_AFTER_ACK_S - record.now())
        await server.stop()
        await asyncio.sleep(0.5)
        stopped.set()
        await traffic
        late_runs = [
            ran_at
            for ran_at, _ in server.runs
            if ran_at > max(acked_at + platform.DRAIN_S, in_touch_at)
        ]
        return [
            f"request reaches the server {ran_at - acked_at:.2f} s after the "
            "ack that it has left"
            for ran_at in late_runs
        ]
    finally:
        fleet.close()


async def send_bookings(fleet, record, host, stopped):
    async def send_one():
        attempt_id, answer = await fleet.call(
            host,
            "book.example",
            "/b/1",
            method="POST",
            body=b"booking",
            note=False,
        )
        record.write(f"booking {attempt_id} gets: {answer}")

    tasks = []
    while not stopped.is_set():
        tasks.append(asyncio.create_task(send_one()))
        await asyncio.sleep(INTERVAL_S)
    await asyncio.gather(*tasks)


if __name__ == "__main__":
    platform.main(FOLDER, case)

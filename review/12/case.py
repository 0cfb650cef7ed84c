"""SIGTERM of a node while requests wait for a slot of the server beside it."""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "rig3"))
import rig

GRACE_S = 6.0
LOSS_SLACK_S = 0.2
WORK_S = 1.9
TIMEOUT_MS = 8000
REQUESTS = 7  # Two run at once; the last one starts 5.7 s after its arrival.


async def main(record, trouble):
    route = rig.build_route(
        "r1", "desk", routeType="non_idempotent", timeoutMs=TIMEOUT_MS,
        targetLatencyMs=4000, maxAttempts=1)
    async with rig.Fleet(record) as fleet:
        host = fleet.add_host("side-1", "prai", "desk")
        await fleet.write_config(1, [route])
        host.server = rig.Server(host, record, slots=3, queue=6, work_s=WORK_S)
        await host.server.start()
        await host.start_node()
        await fleet.wait_ready()
        await asyncio.sleep(5)  # All is calm for more than contactMs.
        sent_at, ended_at = {}, {}

        async def call(number):
            attempt = f"a{number}"
            sent_at[attempt] = time.monotonic()
            answer = await rig.send(
                host, route, attempt, method="POST", target=f"/a/{number}",
                body=b"x", deadline_ms=TIMEOUT_MS)
            ended_at[attempt] = time.monotonic()
            return attempt, answer

        tasks = [asyncio.create_task(call(n)) for n in range(REQUESTS)]
        await asyncio.sleep(0.1)
        stopped_at = time.monotonic()
        if trouble:
            record("SIGTERM to the node of side-1; its server goes on")
            host.signal(signal.SIGTERM)
        answers = await asyncio.gather(*tasks)
        served = {run["id"] for run in host.server.runs}
        broken = False
        for attempt, answer in answers:
            if not answer.problem:
                continue
            left_s = TIMEOUT_MS / 1000 - (ended_at[attempt] - sent_at[attempt])
            record(f"{attempt} ends without an answer "
                   f"{ended_at[attempt] - stopped_at:.2f} s after the SIGTERM, "
                   f"{left_s:.2f} s before its time limit; "
                   f"its server {'was at work on it' if attempt in served else 'never got it'}")
            # A run that the server still had in the last sixth of graceS is
            # excused; a request that no server ever got is not.
            broken |= (attempt not in served and left_s > 0
                       and ended_at[attempt] - sent_at[attempt] > LOSS_SLACK_S
                       and ended_at[attempt] - stopped_at < GRACE_S + 1)
        return broken


rig.run(main)

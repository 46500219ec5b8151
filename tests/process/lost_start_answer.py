#!/usr/bin/python3
"""A start that was carried out without an answer is not refused by the answer to its next copy.

Guards against two runs of a task at the same time though no order is late: the server carries
out a start at once, closes the connection, and refuses the next copy.  It then answers renewals
at once, loses them for a while, or lets them wait so long that the next copy is sent meanwhile.
"""
import asyncio
import os
import signal
import sys
import types

import aiohttp

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "soak"))
# pylint: disable=wrong-import-position
from soak import Host, Soak, wait_until  # noqa: E402

RUN_S = 2.0  # of the run whose answer was lost: it outlasts what becomes of its renewals
RENEWALS_OUT_S = 1.5
STEP = {"count": 1, "cpu": 1000, "memMb": 1000, "gpu": 1, "estimatedMs": 500}


async def run_job(soak, job):
    """Submits a job of one task and waits until it has succeeded."""
    soak.standins.specs[job] = {"taskSpec": "text", "steps": [STEP]}
    await soak.call("POST", f"/q0/{job}", soak.standins.specs[job])
    state = None
    while state != "succeeded":
        _, body = await soak.call("GET", f"/q0/{job}")
        state = body.get("state")
        await asyncio.sleep(0.1)


def find_server(soak, job):
    """Returns the server that has a run of JOB, or None."""
    return next((server for server in soak.standins.servers
                 if any(task.startswith(job) for task in server.runs)), None)


async def disturb_renewals(soak, job, renewals):
    """Lets the run of JOB go on RUN_S longer, and treats its server's renewals as RENEWALS says."""
    await wait_until(lambda: find_server(soak, job) is not None)
    server = find_server(soak, job)
    for run in server.runs.values():
        run["ends_ms"] += int(RUN_S * 1000)
    if renewals == "lost":
        server.late_hold_rate = 1.0
    if renewals == "slow":
        server.hold_is_slow = True
    await asyncio.sleep(RENEWALS_OUT_S)
    server.late_hold_rate, server.hold_is_slow = 0.0, False


def slow_down_holds(server):
    """Lets the renewals of SERVER wait while its `hold_is_slow`."""
    handle, server.hold_is_slow = server.on_hold, False

    async def on_hold(request):
        await request.read()
        while server.hold_is_slow:
            await asyncio.sleep(0.02)
        return await handle(request)
    server.on_hold = on_hold


async def play(refusal, renewals):
    """One host, two servers: a start is carried out and closed, the next one is refused."""
    soak = Soak(types.SimpleNamespace(seed=1, keep=None, servers=2))
    for server in soak.standins.servers:
        slow_down_holds(server)
    await soak.standins.start()
    fates = ["done_closed", refusal]  # of the next two starts, on whichever server
    async with aiohttp.ClientSession() as soak.session:
        host = Host(soak, 0)
        soak.hosts = [host]
        await host.start()
        await wait_until(lambda: len(host.log_lines("event=server_held")) == 2)
        await run_job(soak, "a" * 16)
        for server in soak.standins.servers:
            server.next_starts = fates
        disturbance = asyncio.create_task(disturb_renewals(soak, "b" * 16, renewals))
        await run_job(soak, "b" * 16)
        await disturbance
        variant = f"{refusal}_renewals_{renewals}"
        print(f"check=closed_start_{variant} ok={'done_closed' not in fates}")
        print(f"check=one_run_at_a_time_{variant} ok={not soak.standins.violations}", flush=True)
        print(f"  {soak.standins.violations} {fates} {soak.directory}", file=sys.stderr)
        for line in host.log_lines(f"task={'b' * 16}"):
            print(f"  {line}", end="", file=sys.stderr)
        await host.stop(signal.SIGTERM)


async def main():
    await play("unhealthy", "answered")
    await play("busy", "answered")
    await play("unhealthy", "lost")
    await play("unhealthy", "slow")


asyncio.run(main())

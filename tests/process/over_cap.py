#!/usr/bin/python3
"""A job that can never run under its account's cap is rejected; others wait for the cap.

Guards against a rejected job that is stored and runs, an accepted one that is told otherwise or
shown as ended after its cap was lowered, and a wait for the cap that operators cannot see.
"""
import asyncio
import json
import os
import signal
import sys
import types

import aiohttp

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "soak"))
# pylint: disable=wrong-import-position
from soak_standins import config  # noqa: E402
from soak import Host, Soak, wait_until  # noqa: E402

ACCEPTED, OVER_CAP = 200, 429
RUN_MAX_S = 1.5  # a stored job has started by then
TASK = {"count": 1, "cpu": 1000, "memMb": 1000, "gpu": 1, "estimatedMs": 500}
WIDE = {**TASK, "count": 6}
GANG = {**WIDE, "gang": True}


async def submit(soak, job, *steps, queue="q1"):
    """Returns the status and the reason."""
    soak.standins.specs[job] = {"taskSpec": "text", "steps": list(steps)}
    status, body = await soak.call("POST", f"/{queue}/{job}", soak.standins.specs[job])
    return status, body.get("error")


async def set_cap(soak, version, gpus):
    changed = {**config(), "version": version}
    changed["tenants"][0]["cap"] = {"gpu": gpus}
    soak.standins.log.append_record("keyed.op", "config", json.dumps(changed).encode())
    await wait_until(lambda: soak.hosts[0].log_lines(f"config_applied version={version}"))


async def wait_for_state(soak, job, state, queue="q1"):
    while (await soak.call("GET", f"/{queue}/{job}"))[1].get("state") != state:
        await asyncio.sleep(0.05)


async def read_gauges(soak):
    """Returns the gauges of the account by name."""
    url = f"http://127.0.0.1:{soak.hosts[0].ports[2]}/metrics"
    async with soak.session.get(url) as response:
        lines = (await response.text()).splitlines()
    prefix, label = "mustardspread_account_", '{account="account"} '
    return {line[len(prefix):].split(label)[0]: int(line.split(label)[1])
            for line in lines if line.startswith(prefix) and label in line}


async def wait_for_gauges(soak, values):
    while not values.items() <= (await read_gauges(soak)).items():
        await asyncio.sleep(0.1)


async def main():
    soak = Soak(types.SimpleNamespace(seed=3, keep=None, servers=2))
    await soak.standins.start()
    log = soak.standins.log

    def is_stored(job):
        return any(key == "j/" + job for key, _ in log.records("keyed.jobs"))

    async with aiohttp.ClientSession() as soak.session:
        soak.hosts = [Host(soak, 0)]
        await soak.hosts[0].start()
        await wait_until(lambda: soak.hosts[0].log_lines("state=placing"))
        await set_cap(soak, 2, 4)
        rejected = (OVER_CAP, "over_cap")
        print(f"check=gang_is_rejected ok={await submit(soak, 'a1', GANG) == rejected}")
        later = {**TASK, "gpu": 5, "after": [0]}
        print(f"check=later_step_is_rejected ok={await submit(soak, 'a2', TASK, later) == rejected}")
        await asyncio.sleep(RUN_MAX_S)
        print(f"check=not_stored ok={not is_stored('a1') and not is_stored('a2')}")
        status, _ = await submit(soak, "b1", WIDE)
        print(f"check=wide_step_is_accepted ok={status == ACCEPTED}")
        await wait_for_state(soak, "b1", "succeeded")

        await set_cap(soak, 3, 6)
        await submit(soak, "fill", {**TASK, "count": 300}, queue="q0")
        await wait_for_state(soak, "fill", "running", queue="q0")
        print(f"check=gang_is_accepted ok={(await submit(soak, 'c1', GANG))[0] == ACCEPTED}")
        await set_cap(soak, 4, 2)
        print(f"check=known_job_is_accepted ok={(await submit(soak, 'c1', GANG))[0] == ACCEPTED}")
        print(f"check=other_job_is_rejected ok={await submit(soak, 'c2', GANG) == rejected}")
        await soak.call("DELETE", "/q0/fill")
        await wait_until(lambda: soak.hosts[0].log_lines("free=over_cap"))
        await wait_for_gauges(soak, {"cap_accels": 2, "used_accels": 0, "tasks_waiting": 6,
                                     "units_delayed_by_cap": 1})
        print("check=wait_is_shown ok=True")
        state = (await soak.call("GET", "/q1/c1"))[1].get("state")
        print(f"check=accepted_gang_waits ok={state == 'pending'}")
        await set_cap(soak, 5, 6)
        await wait_for_state(soak, "c1", "succeeded")
        print("check=it_runs_under_a_higher_cap ok=True")
        await asyncio.gather(*(host.stop(signal.SIGTERM) for host in soak.hosts))


asyncio.run(main())

#!/usr/bin/python3
"""A host that cannot reach the log forwards its clients' requests to another host.

Guards against two faults: a client is told "not run" (503) although the append
of its job may have been stored, which needs 504; and requests wait for their
whole timeout, instead of being refused soon, when no host can reach the log.
"""
import asyncio
import json
import os
import signal
import sys
import time
import types

import aiohttp

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "soak"))
# pylint: disable=wrong-import-position
from soak_standins import config  # noqa: E402
from soak import Host, Soak, wait_until  # noqa: E402

STEP = {"count": 1, "cpu": 1000, "memMb": 1000, "gpu": 1, "estimatedMs": 500}
FORWARD_FIRST_S = 1.0     # a host forwards requests first for this long after a failed append
REFUSAL_MAX_S = 1.5       # half of the client's timeout: limit of the first refusal
NEXT_REFUSAL_MAX_S = 0.3  # later requests are refused without another attempt


async def submit(soak, job):
    soak.standins.specs[job] = {"taskSpec": "text", "steps": [STEP]}
    return (await soak.call("POST", f"/q1/{job}", soak.standins.specs[job]))[0]


async def wait_until_succeeded(soak, job):
    state = None
    while state != "succeeded":
        state = (await soak.call("GET", f"/q1/{job}"))[1].get("state")
        await asyncio.sleep(0.1)


async def main():
    soak = Soak(types.SimpleNamespace(seed=5, keep=None, servers=2))
    await soak.standins.start()
    async with aiohttp.ClientSession() as soak.session:
        other, disconnected = soak.hosts = [Host(soak, index) for index in range(2)]
        await other.start()
        await wait_until(lambda: other.log_lines("state=placing"))
        await disconnected.start()
        await wait_until(lambda: disconnected.log_lines(f"host_listed peer={other.name}"))
        await wait_until(lambda: disconnected.log_lines("config_applied version=1"))
        soak.hosts = [disconnected]
        disconnected.proxy.mode = "silent"
        print(f"check=accepted_by_another_host ok={await submit(soak, 'a1') == 200}")
        await wait_until_succeeded(soak, "a1")
        print("check=its_end_is_shown ok=True")
        print(f"check=cancelled ok={(await soak.call('DELETE', '/q1/a1'))[0] == 200}")

        other.proxy.mode = disconnected.proxy.mode = "silent"
        began = time.monotonic()
        status = await submit(soak, "d4")
        took = time.monotonic() - began
        print(f"check=refused_soon ok={status in (503, 504) and took < REFUSAL_MAX_S}")
        for number in range(4):
            began = time.monotonic()
            status = await submit(soak, f"e{number}")
            took = time.monotonic() - began
        print(f"check=then_refused_at_once ok={status == 503 and took < NEXT_REFUSAL_MAX_S}")

        lost_counts = [len(disconnected.log_lines(f"log_lost stream={name}"))
                       for name in ("jobs", "rules")]
        other.proxy.mode = disconnected.proxy.mode = "pass"
        for name, count in zip(("jobs", "rules"), lost_counts):
            await wait_until(lambda name=name, count=count:
                             len(disconnected.log_lines(f"log_regained stream={name}")) > count)
        while (await submit(soak, "b2")) != 200:
            await asyncio.sleep(0.1)
        await asyncio.sleep(FORWARD_FIRST_S + 0.2)
        # The log carries out its appends, but their answers are lost.
        disconnected.proxy.mode = "one_way"
        # The other host refuses the client's key, so that forwarding does not help.
        without_key = {**config(), "version": 2}
        without_key["tenants"][0]["apiKeys"] = ["another"]
        soak.standins.log.append_record("keyed.op", "config", json.dumps(without_key).encode())
        await wait_until(lambda: other.log_lines("config_applied version=2"))
        status = await submit(soak, "c3")
        stored = any(key == "j/c3" for key, _ in soak.standins.log.records("keyed.jobs"))
        print(f"check=never_not_run_once_stored ok={status == 504 and stored}")

        await asyncio.gather(*(host.stop(signal.SIGTERM) for host in (other, disconnected)))


asyncio.run(main())

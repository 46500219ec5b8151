#!/usr/bin/python3
"""A submission is refused only if the log has not stored the job, and refusals can be traced.

Guards against a refused job that runs: an append that the log carried out and then answered
with a status of a gateway counted as not done.
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

REFUSED, OUTCOME_UNKNOWN = 503, 504
SPEC = {"taskSpec": "text", "steps": [{"count": 1, "cpu": 1000, "memMb": 1000, "gpu": 1,
                                       "estimatedMs": 500}]}


async def submit(soak, job):
    soak.standins.specs[job] = SPEC
    return (await soak.call("POST", f"/q0/{job}", SPEC))[0]


async def main():
    soak = Soak(types.SimpleNamespace(seed=1, keep=None, servers=1))
    await soak.standins.start()
    log = soak.standins.log
    async with aiohttp.ClientSession() as soak.session:
        host = Host(soak, 0)
        soak.hosts = [host]
        await host.start()
        await wait_until(lambda: host.log_lines("state=placing"))
        log.mode = "busy"
        status = await submit(soak, "a" * 16)
        log.mode = "ok"
        print(f"check=busy_log_refuses ok={status == REFUSED}")
        await wait_until(lambda: host.log_lines("event=log_regained stream=jobs"))
        while await submit(soak, "a" * 16) != 200:
            await asyncio.sleep(0.2)
        await wait_until(lambda: host.log_lines("event=refused_job_stored id=aaaaaaaaaaaaaaaa"))
        log.mode = "gateway"
        status = await submit(soak, "b" * 16)
        log.mode = "ok"
        stored = any(key == "j/" + "b" * 16 for key, _ in log.records("keyed.jobs"))
        print(f"check=job_was_stored ok={stored}")
        print(f"check=stored_job_is_not_refused ok={status == OUTCOME_UNKNOWN}")
        print(f"  status={status}", file=sys.stderr)
        await host.stop(signal.SIGTERM)


asyncio.run(main())

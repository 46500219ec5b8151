#!/usr/bin/python3
"""A host that is cut off from the log does not deny a newer job when it is to be cancelled.

Guards against a cancellation that is lost: the host answered that there is no such job, which
callers take for a confirmation, and the job ran on.
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

JOB = "d" * 16
UNKNOWN_JOB = "e" * 16
NO_SUCH_JOB = 410
SPEC = {"taskSpec": "text", "steps": [{"count": 1, "cpu": 1000, "memMb": 1000, "gpu": 1,
                                       "estimatedMs": 500}]}


async def call(soak, host, method, job):
    """Calls one host; returns the status."""
    soak.hosts = [host]
    return (await soak.call(method, f"/q0/{job}", SPEC if method == "POST" else None))[0]


async def main():
    soak = Soak(types.SimpleNamespace(seed=1, keep=None, servers=0))  # the job waits
    await soak.standins.start()
    soak.standins.specs[JOB] = SPEC
    async with aiohttp.ClientSession() as soak.session:
        leader, other = Host(soak, 0), Host(soak, 1)
        await leader.start()
        await wait_until(lambda: leader.log_lines("state=placing"))
        await other.start()
        await wait_until(lambda: other.log_lines("event=host_listed peer=host-0"))
        other.proxy.mode = "silent"
        print(f"check=accepted ok={await call(soak, leader, 'POST', JOB) == 200}")
        status = await call(soak, other, "DELETE", JOB)
        print(f"  status={status}", file=sys.stderr)
        cancelled = any(key == "c/" + JOB for key, _ in soak.standins.log.records("keyed.jobs"))
        print(f"check=job_is_not_denied ok={status != NO_SUCH_JOB}")
        print(f"check=confirmed_only_if_cancelled ok={cancelled or status != 200}")
        other.proxy.mode = "pass"
        await wait_until(lambda: other.log_lines("event=log_regained stream=jobs"))
        status = await call(soak, other, "DELETE", UNKNOWN_JOB)
        print(f"check=unknown_job_is_denied ok={status == NO_SUCH_JOB}")
        await asyncio.gather(leader.stop(signal.SIGTERM), other.stop(signal.SIGTERM))


asyncio.run(main())

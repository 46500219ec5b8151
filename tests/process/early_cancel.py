#!/usr/bin/python3
"""A job whose cancellation was acknowledged before its submission reached the log never runs.

Guards against review/13: the submission waits at a host that stands still, the job is cancelled at
another one, answered 410, and stored when the first host wakes.  Another account's cancellation of
an id must not keep its job out, and none is confirmed while it cannot be stored.
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

JOB, OTHER_JOB, LOST_JOB = "d" * 16, "e" * 16, "f" * 16
NO_SUCH_JOB = 410
SPEC = {"taskSpec": "text", "steps": [{"count": 1, "cpu": 1000, "memMb": 1000, "gpu": 1,
                                       "estimatedMs": 500}]}


async def call(soak, host, method, job):
    """Calls one host; returns the status and the body."""
    soak.hosts = [host]
    return await soak.call(method, f"/q0/{job}", SPEC if method == "POST" else None)


def is_stored(soak, prefix, job):
    return any(key.startswith(prefix + job) and value
               for key, value in soak.standins.log.records("keyed.jobs"))


async def main():
    soak = Soak(types.SimpleNamespace(seed=1, keep=None, servers=1))
    await soak.standins.start()
    for job in (JOB, OTHER_JOB, LOST_JOB):
        soak.standins.specs[job] = SPEC
    async with aiohttp.ClientSession() as soak.session:
        leader, other, frozen = Host(soak, 0), Host(soak, 1), Host(soak, 2)
        await leader.start()
        await wait_until(lambda: leader.log_lines("state=placing"))
        for host in (other, frozen):
            await host.start()
            await wait_until(lambda host=host: leader.log_lines(
                f"event=host_listed peer={host.name}"))
        frozen.signal(signal.SIGSTOP)
        status, _ = await call(soak, frozen, "POST", JOB)
        print(f"check=submission_has_no_answer ok={status == 0}")
        status, _ = await call(soak, other, "DELETE", JOB)
        print(f"check=cancellation_is_acknowledged ok={status == NO_SUCH_JOB}")
        print(f"check=cancellation_is_stored ok={is_stored(soak, 'e/', JOB)}")
        status, _ = await call(soak, other, "GET", JOB)
        print(f"check=job_is_not_shown ok={status == NO_SUCH_JOB}")
        frozen.signal(signal.SIGCONT)
        await wait_until(lambda: is_stored(soak, "j/", JOB))
        status, _ = await call(soak, other, "POST", OTHER_JOB)
        print(f"check=other_job_is_accepted ok={status == 200}")
        await wait_until(lambda: leader.log_lines(f"event=run_end task={OTHER_JOB}"))
        print(f"check=cancelled_job_does_not_start ok={not leader.log_lines(f'place task={JOB}')}")
        status, body = await call(soak, other, "GET", JOB)
        print(f"check=cancelled_job_is_shown_as_such ok={body.get('state') == 'cancelled'}")
        status, _ = await call(soak, other, "DELETE", JOB)
        print(f"check=cancellation_can_be_repeated ok={status in (200, NO_SUCH_JOB)}")
        other.proxy.mode = "silent"
        status, _ = await call(soak, other, "DELETE", LOST_JOB)
        print(f"check=confirmed_only_if_stored "
              f"ok={status != NO_SUCH_JOB or is_stored(soak, 'e/', LOST_JOB)}")
        other.proxy.mode = "pass"
        await asyncio.gather(*(host.stop(signal.SIGTERM) for host in (leader, other, frozen)))


asyncio.run(main())

#!/usr/bin/python3
"""An open queue, which takes callers without a key, shows and cancels its own jobs only.

Guards against review/14: with its prefix a caller whose key was taken away, or without a key, read
and cancelled the jobs of queues that need one.
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
from soak import Host, Soak, wait_until  # noqa: E402
from soak_standins import config  # noqa: E402

KEYED_JOB, OPEN_JOB, ANONYMOUS_JOB = "a" * 16, "b" * 16, "c" * 16
NO_SUCH_JOB, UNAUTHORIZED = 410, 401
SPEC = {"taskSpec": "text", "steps": [{"count": 1, "cpu": 1000, "memMb": 1000, "gpu": 1,
                                       "estimatedMs": 500}]}


def open_config():
    """A configuration in which the queue q1 is open."""
    changed = config(2)
    changed["routes"][1]["public"] = True
    return json.dumps(changed).encode()


async def call(soak, host, method, queue, job, key):
    headers = {"Host": "soak.example", "X-Mustardspread-Deadline-Ms": "3000"}
    if key is not None:
        headers["Authorization"] = f"Bearer {key}"
    url = f"http://127.0.0.1:{host.ports[0]}/{queue}/{job}"
    async with soak.session.request(method, url, headers=headers,
                                    json=SPEC if method == "POST" else None) as response:
        return response.status


async def main():
    soak = Soak(types.SimpleNamespace(seed=1, keep=None, servers=0))  # the jobs wait
    await soak.standins.start()
    for job in (KEYED_JOB, OPEN_JOB, ANONYMOUS_JOB):
        soak.standins.specs[job] = SPEC
    async with aiohttp.ClientSession() as soak.session:
        host = Host(soak, 0)
        await host.start()
        await wait_until(lambda: host.log_lines("state=placing"))
        soak.standins.log.append_record("keyed.op", "config", open_config())
        await wait_until(lambda: host.log_lines("event=config_applied version=2"))
        accepted = [await call(soak, host, "POST", queue, job, key) for queue, job, key in
                    (("q0", KEYED_JOB, "key"), ("q1", OPEN_JOB, "key"), ("q1", ANONYMOUS_JOB, None))]
        print(f"check=accepted ok={accepted == [200] * 3}")
        status = await call(soak, host, "GET", "q0", KEYED_JOB, "withdrawn")
        print(f"check=keyed_queue_needs_a_key ok={status == UNAUTHORIZED}")
        for key in ("withdrawn", None):
            for method in ("GET", "DELETE"):
                status = await call(soak, host, method, "q1", KEYED_JOB, key)
                print(f"check={method.lower()}_of_a_keyed_job_through_the_open_queue "
                      f"ok={status == NO_SUCH_JOB}")
        status = await call(soak, host, "GET", "q1", KEYED_JOB, "key")
        print(f"check=own_job_is_shown_through_any_queue ok={status == 200}")
        for job in (OPEN_JOB, ANONYMOUS_JOB):
            statuses = [await call(soak, host, method, "q1", job, None)
                        for method in ("GET", "DELETE")]
            print(f"check=job_of_the_open_queue_is_open ok={statuses == [200, 200]}")
        cancelled = any(key == "c/" + KEYED_JOB
                        for key, _ in soak.standins.log.records("keyed.jobs"))
        print(f"check=keyed_job_is_not_cancelled ok={not cancelled}")
        await host.stop(signal.SIGTERM)


asyncio.run(main())

#!/usr/bin/python3
"""A host that missed the removal of a job, and reads a snapshot, no longer knows the job.

Guards against runs of a job that has ended: a snapshot was merged into the table of jobs, so
that the host took the job for open and ran it again when it led.
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

NO_SUCH_JOB = 410
JOB = "c" * 16
SPEC = {"taskSpec": "text", "steps": [{"count": 1, "cpu": 1000, "memMb": 1000, "gpu": 1,
                                       "estimatedMs": 500}]}
TERM_S = 3.0
LEASES_S = 14.0  # until runs of an earlier leader count as lost


def remove_job(log):
    """Another leader removes the job, which has ended; then the log drops its history."""
    for prefix in ("j/", "c/", "s/"):
        log.append_record("keyed.jobs", prefix + JOB, b"")
    log.first_kept = len(log.records("keyed.jobs"))


async def main():
    soak = Soak(types.SimpleNamespace(seed=1, keep=None, servers=1))
    await soak.standins.start()
    soak.standins.specs[JOB] = SPEC
    log, server = soak.standins.log, soak.standins.servers[0]
    async with aiohttp.ClientSession() as soak.session:
        host = Host(soak, 0)
        soak.hosts = [host]
        await host.start()
        await wait_until(lambda: host.log_lines("state=placing"))
        await soak.call("POST", f"/q0/{JOB}", SPEC)
        await wait_until(lambda: server.runs)
        host.proxy.mode = "silent"
        server.proxy.mode = "silent"
        await wait_until(lambda: host.log_lines("reason=renewals_failed"))
        remove_job(log)
        server.restart()  # it has no record of the run, as after the end was acknowledged
        soak.standins.publish_server(server)
        host.proxy.mode = server.proxy.mode = "pass"
        await wait_until(lambda: len(host.log_lines("state=placing")) == 2)
        await asyncio.sleep(TERM_S)
        status, _ = await soak.call("GET", f"/q0/{JOB}")
        print(f"check=removed_job_is_unknown ok={status == NO_SUCH_JOB}")
        await asyncio.sleep(LEASES_S)
        print(f"check=removed_job_does_not_run_again ok={soak.standins.start_count == 1}")
        await host.stop(signal.SIGTERM)


asyncio.run(main())

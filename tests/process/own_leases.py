#!/usr/bin/python3
"""A leader that loses and regains leadership honours the leases it granted before.

Guards against a second run of a task: the server that runs it does not respond
and has left the directory, so the leader sees no run of the task, but the lease
that it granted to that server may not have expired yet.
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

LEASE_MAX_MS = 4000
STEP = {"count": 1, "cpu": 1000, "memMb": 1000, "gpu": 1, "estimatedMs": 500}


async def main():
    soak = Soak(types.SimpleNamespace(seed=3, keep=None, servers=2))
    await soak.standins.start()
    Host.lease_max_ms = LEASE_MAX_MS
    async with aiohttp.ClientSession() as soak.session:
        host = Host(soak, 0)
        soak.hosts = [host]
        await host.start()
        await wait_until(lambda: host.log_lines("state=placing"))
        await asyncio.sleep(LEASE_MAX_MS * 2 / 1000)  # leases from before its start have expired
        job = "00000000000000ab"
        soak.standins.specs[job] = {"taskSpec": "text", "steps": [STEP]}
        await soak.call("POST", f"/q0/{job}", soak.standins.specs[job])
        await wait_until(lambda: soak.standins.start_count == 1)
        server = next(s for s in soak.standins.servers if s.runs or s.ended)
        server.proxy.mode = host.proxy.mode = "silent"
        await wait_until(lambda: host.log_lines("reason=renewals_failed"))
        # An empty value removes the server from the directory.
        soak.standins.log.append_record("keyed.servers", server.id, b"")
        host.proxy.mode = "pass"
        await wait_until(lambda: len(host.log_lines("state=placing")) == 2)
        await asyncio.sleep(0.5)
        server.proxy.mode = "pass"
        soak.standins.publish_server(server)
        state = None
        while state != "succeeded":
            _, body = await soak.call("GET", f"/q0/{job}")
            state = body.get("state")
            await asyncio.sleep(0.1)
        print(f"check=started_once ok={soak.standins.start_count == 1}")
        print(f"check=no_promise_broken ok={not soak.standins.violations}")
        await host.stop(signal.SIGTERM)


asyncio.run(main())

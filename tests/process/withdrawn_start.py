#!/usr/bin/python3
"""A start that waits to be sent is not sent once its run is no longer wanted or allowed.

Guards against tasks that are started seconds after their job was cancelled, or after their server
was listed as draining: the server leaves all requests unanswered, so that starts wait in the
host.
"""
import asyncio
import os
import signal
import sys
import time
import types

import aiohttp

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "soak"))
# pylint: disable=wrong-import-position
from soak import Host, Soak, wait_until  # noqa: E402
from soak_standins import close_connection  # noqa: E402

JOB = "c" * 16
TASKS = 20  # more than the orders that are sent to one server at a time
STEP = {"count": TASKS, "cpu": 2000, "memMb": 1024, "gpu": 0, "estimatedMs": 7000}
SILENT_S = 5.5
CHANGE_AFTER_S = 0.3  # from the first start until the job is cancelled or the server drains
START_BOUND_S = 3.0  # no start later than this after the change
REST_S = 3.0  # after the silence: whatever still waits is sent


def make_silent(server):
    """Lets SERVER leave all requests undone and unanswered for SILENT_S from the first start on."""
    server.silent_until, server.undone_starts, server.start_times = None, 0, []
    handle_order, on_hold, apply_start = server.handle_order, server.on_hold, server.apply_start

    async def stay_silent(request):
        if server.silent_until is None and request.path == "/-/run-start":
            server.silent_until = time.monotonic() + SILENT_S
        if server.silent_until is None or time.monotonic() >= server.silent_until:
            return False
        server.undone_starts += request.path == "/-/run-start"
        await asyncio.sleep(SILENT_S)
        close_connection(request)
        return True

    async def silent_order(request, apply):
        if not await stay_silent(request):
            return await handle_order(request, apply)

    async def silent_hold(request):
        if not await stay_silent(request):
            return await on_hold(request)

    def timed_start(order):
        refusal = apply_start(order)
        if refusal is None:
            server.start_times.append(time.monotonic())
        return refusal

    server.handle_order, server.on_hold, server.apply_start = silent_order, silent_hold, timed_start


async def cancel(soak, _server):
    status, _ = await soak.call("DELETE", f"/q0/{JOB}")
    return status == 200


async def drain(soak, server):
    entry = server.directory_entry
    server.directory_entry = lambda: {**entry(), "state": "draining", "remainingMs": 8000}
    soak.standins.publish_server(server)
    return True


async def play(name, change):
    """One host, one server, one job; CHANGE is what makes the starts unwanted or forbidden."""
    soak = Soak(types.SimpleNamespace(seed=1, keep=None, servers=1))
    server = soak.standins.servers[0]
    make_silent(server)
    await soak.standins.start()
    lines = []
    async with aiohttp.ClientSession() as soak.session:
        host = Host(soak, 0)
        soak.hosts = [host]
        await host.start()
        await wait_until(lambda: len(host.log_lines("event=server_held")) == 1)
        soak.standins.specs[JOB] = {"taskSpec": "text", "steps": [STEP]}
        status, _ = await soak.call("POST", f"/q0/{JOB}", soak.standins.specs[JOB])
        await wait_until(lambda: server.undone_starts > 0)
        await asyncio.sleep(CHANGE_AFTER_S)
        changed = status == 200 and await change(soak, server)
        changed_at = time.monotonic()
        await asyncio.sleep(SILENT_S + REST_S)
        late = [at - changed_at for at in server.start_times if at > changed_at + START_BOUND_S]
        lines.append(f"check={name}_while_starts_wait "
                     f"ok={changed and 0 < server.undone_starts < TASKS}")
        lines.append(f"check=no_start_long_after_{name} ok={not late}")
        print(f"  {name}: late={late} undone={server.undone_starts} {soak.directory}",
              file=sys.stderr)
        await host.stop(signal.SIGTERM)
    await soak.standins.stop()
    lines.append(f"check=no_violation_{name} ok={not soak.standins.violations}")
    print(f"  {soak.standins.violations}", file=sys.stderr)
    return lines


async def main():
    for lines in await asyncio.gather(play("cancelling", cancel), play("draining", drain)):
        print("\n".join(lines), flush=True)


asyncio.run(main())

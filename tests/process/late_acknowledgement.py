#!/usr/bin/python3
"""A copy of a renewal that arrives late, at a server that has started again, acknowledges no end.

Guards against a second run after a success that counts as acknowledged: the server closes the
connection of a renewal, whose next copy is answered; it starts again under its id, carries out
a start, and its first end has a position that the first copy of the renewal acknowledges.
"""
import asyncio
import os
import signal
import sys
import types

import aiohttp
from aiohttp import web

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "soak"))
# pylint: disable=wrong-import-position
from soak import Host, Soak, wait_until  # noqa: E402
from soak_standins import now_ms  # noqa: E402

STEP = {"count": 1, "cpu": 1000, "memMb": 1000, "gpu": 1, "estimatedMs": 500}
LONG_RUN_MS = 60000
NEXT_COPY_TIMEOUT_S = 5


async def submit(soak, job):
    soak.standins.specs[job] = {"taskSpec": "text", "steps": [STEP]}
    await soak.call("POST", f"/q0/{job}", soak.standins.specs[job])


async def wait_for_success(soak, job):
    state = None
    while state != "succeeded":
        _, body = await soak.call("GET", f"/q0/{job}")
        state = body.get("state")
        await asyncio.sleep(0.1)


def watch_acknowledgements(server):
    """While its `keeps_next`, SERVER keeps the next renewal that acknowledges ends.

    It closes the connection of that renewal, which it does not carry out.  Returns the list of
    what it has kept.  To be called before the server starts.
    """
    kept, handle, server.keeps_next = [], server.on_hold, False

    async def on_hold(request):
        order = await request.json()
        if not server.keeps_next or order["ackPosition"] == 0:
            return await handle(request)
        kept.append(order)
        server.keeps_next = False
        request.transport.abort()
        return web.json_response({})
    server.on_hold = on_hold
    return kept


def lose_renewals(server):
    server.carry_out_late = lambda request, *_: request.transport.abort()
    server.late_hold_rate = 1.0


async def main():
    soak = Soak(types.SimpleNamespace(seed=1, keep=None, servers=1))
    server = soak.standins.servers[0]
    kept = watch_acknowledgements(server)
    await soak.standins.start()
    async with aiohttp.ClientSession() as soak.session:
        host = Host(soak, 0)
        soak.hosts = [host]
        await host.start()
        await wait_until(lambda: host.log_lines("event=server_held"))
        await submit(soak, "a" * 16)
        await wait_until(lambda: soak.standins.acknowledged_tasks)
        await submit(soak, "b" * 16)
        await wait_until(lambda: server.runs)
        server.runs[f"{'b' * 16}.0.0.0"]["ends_ms"] = now_ms() + LONG_RUN_MS
        server.keeps_next = True
        await submit(soak, "d" * 16)
        await wait_until(lambda: kept)
        print(f"check=renewal_acknowledges ok={kept[0]['ackPosition'] > 0}")
        # Its next copy has to arrive, so that the renewal counts as answered.
        await asyncio.wait_for(wait_until(lambda: server.waiters), NEXT_COPY_TIMEOUT_S)
        lose_renewals(server)
        server.restart()
        await submit(soak, "c" * 16)
        await wait_until(lambda: server.ended)
        server.apply_late(kept[0], server.apply_hold)
        server.late_hold_rate = 0.0
        soak.standins.publish_server(server)
        await wait_for_success(soak, "c" * 16)
        starts = host.log_lines(f"event=place task={'c' * 16}")
        print(f"check=run_once ok={len(starts) == 1}")
        broken = soak.standins.violations + soak.standins.known_red
        print(f"check=no_rule_broken ok={not broken}")
        print(f"  {broken} {soak.directory}", file=sys.stderr)
        await host.stop(signal.SIGTERM)


asyncio.run(main())

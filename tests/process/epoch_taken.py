#!/usr/bin/python3
"""A host that claims an epoch in which another process has written does not lead in it.

Guards against two leaders with the same fencing tokens: a host that does not know of a claim,
as it was behind a late renewal in its snapshot, claims the same epoch.
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

TAKEN_EPOCH = 1  # the one that a host claims first


async def main():
    soak = Soak(types.SimpleNamespace(seed=1, keep=None, servers=1))
    await soak.standins.start()
    soak.standins.log.producers["placing"] = (TAKEN_EPOCH, 0)  # another process has set it
    server = soak.standins.servers[0]
    async with aiohttp.ClientSession() as soak.session:
        host = Host(soak, 0)
        await host.start()
        await wait_until(lambda: host.log_lines("state=placing") and server.fencing_token > 0)
        placing = host.log_lines("state=placing")
        print(f"check=leads_in_a_later_epoch ok={f' epoch={TAKEN_EPOCH + 1} ' in placing[0]}")
        print(f"check=took_over_once ok={len(placing) == 1}")
        await host.stop(signal.SIGTERM)


asyncio.run(main())

#!/usr/bin/python3
"""A host with enough CPU takes over from a leader that has too little CPU.

Another host with too little CPU must not take over.
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

WEAK_CPU_CORES = 0.1
TAKEOVER_MAX_S = 4.0  # a strong host would have taken over by then


async def main():
    soak = Soak(types.SimpleNamespace(seed=4, keep=None, servers=2))
    await soak.standins.start()
    async with aiohttp.ClientSession() as soak.session:
        weak_leader, weak_host, strong = soak.hosts = [Host(soak, index) for index in range(3)]
        weak_leader.cpu_share = weak_host.cpu_share = WEAK_CPU_CORES
        await weak_leader.start()
        await wait_until(lambda: weak_leader.log_lines("state=placing"))
        await weak_host.start()
        await asyncio.sleep(TAKEOVER_MAX_S)
        print(f"check=weak_stays ok={not weak_leader.log_lines('event=lead_end')}")
        await strong.start()
        await wait_until(lambda: strong.log_lines("state=placing"))
        # Hosts write their logs ten times a second, so this line may appear later.
        await wait_until(lambda: weak_leader.log_lines("event=lead_end"))
        lead_ends = weak_leader.log_lines("event=lead_end")
        taken_over = [line for line in lead_ends
                      if "another_holder" in line or "writer_fenced" in line]
        print(f"check=strong_takes_over ok={len(taken_over) == 1 and taken_over == lead_ends}")
        await asyncio.gather(*(host.stop(signal.SIGTERM) for host in soak.hosts))


asyncio.run(main())

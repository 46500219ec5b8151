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

LOW_CPU_CORES = 0.1
TAKEOVER_MAX_S = 4.0  # a host with enough CPU would have taken over by then


async def main():
    soak = Soak(types.SimpleNamespace(seed=4, keep=None, servers=2))
    await soak.standins.start()
    async with aiohttp.ClientSession() as soak.session:
        low_cpu_leader, low_cpu_host, other_host = soak.hosts = \
            [Host(soak, index) for index in range(3)]
        low_cpu_leader.cpu_share = low_cpu_host.cpu_share = LOW_CPU_CORES
        await low_cpu_leader.start()
        await wait_until(lambda: low_cpu_leader.log_lines("state=placing"))
        await low_cpu_host.start()
        await asyncio.sleep(TAKEOVER_MAX_S)
        print(f"check=weak_stays ok={not low_cpu_leader.log_lines('event=lead_end')}")
        await other_host.start()
        await wait_until(lambda: other_host.log_lines("state=placing"))
        # Hosts write their logs ten times a second, so this line may appear later.
        await wait_until(lambda: low_cpu_leader.log_lines("event=lead_end"))
        lead_ends = low_cpu_leader.log_lines("event=lead_end")
        taken_over = [line for line in lead_ends
                      if "another_holder" in line or "writer_fenced" in line]
        print(f"check=strong_takes_over ok={len(taken_over) == 1 and taken_over == lead_ends}")
        await asyncio.gather(*(host.stop(signal.SIGTERM) for host in soak.hosts))


asyncio.run(main())

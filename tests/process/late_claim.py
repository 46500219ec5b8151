#!/usr/bin/python3
"""A claim that the log processes late does not replace the leader.

While the leader is frozen, another host claims leadership.  The log tries to append
the claim only after the claimant's timeout, when the leader runs again and has
renewed its leadership.  The claim must have no effect.
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

CLAIM_DELAY_S = 4.0  # longer than the claimant waits for an answer


async def main():
    soak = Soak(types.SimpleNamespace(seed=1, keep=None, servers=2))
    await soak.standins.start()
    async with aiohttp.ClientSession() as soak.session:
        leader, claimant = soak.hosts = [Host(soak, index) for index in range(2)]
        await leader.start()
        await wait_until(lambda: leader.log_lines("state=placing"))
        await claimant.start()
        await wait_until(lambda: claimant.log_lines("event=log_regained stream=jobs"))
        soak.standins.log.delayed_claims, soak.standins.log.claim_delay_s = \
            claimant.name.encode(), CLAIM_DELAY_S
        leader.signal(signal.SIGSTOP)
        await wait_until(lambda: claimant.log_lines("state=claiming"))
        soak.standins.log.delayed_claims = b""
        leader.signal(signal.SIGCONT)
        await asyncio.sleep(CLAIM_DELAY_S + 1)
        print(f"check=claim_was_sent ok={bool(claimant.log_lines('state=claiming'))}")
        following = claimant.log_lines("state=following")
        print(f"check=claimant_follows_again ok={bool(following)}")
        print(f"check=holder_stays ok={not leader.log_lines('event=lead_end')}")
        await asyncio.gather(*(host.stop(signal.SIGTERM) for host in soak.hosts))


asyncio.run(main())

#!/usr/bin/python3
"""A host that resigned while a renewal of its epoch awaited its answer renews its next epoch.

Guards against a term without renewals: the host cannot read the directory and resigns, its
last renewal is answered after that, and it becomes the leader again.
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

ANSWER_DELAY_S = 0.4  # longer than the interval of renewals: one always awaits its answer
TERM_S = 4.0  # longer than a leader goes on without a renewal


def count_leader_records(soak):
    return sum(key == "lead" for key, _ in soak.standins.log.records("keyed.jobs"))


async def main():
    soak = Soak(types.SimpleNamespace(seed=1, keep=None, servers=1))
    await soak.standins.start()
    log = soak.standins.log
    log.unreadable_topic, log.fenced_answer_delay_s = "keyed.servers", ANSWER_DELAY_S
    async with aiohttp.ClientSession() as soak.session:
        host = Host(soak, 0)
        await host.start()
        await wait_until(lambda: host.log_lines("state=following"))  # it has resigned
        log.unreadable_topic = None
        await wait_until(lambda: host.log_lines("state=placing"))
        first = count_leader_records(soak)
        await asyncio.sleep(TERM_S)
        print(f"check=epoch_is_renewed ok={count_leader_records(soak) - first >= 4}")
        print(f"check=stays_leader ok={not host.log_lines('event=lead_end')}")
        await host.stop(signal.SIGTERM)


asyncio.run(main())

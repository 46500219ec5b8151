#!/usr/bin/python3
"""A leader that has stepped down claims another epoch before it leads again.

Guards against two terms with the same fencing tokens: the log hangs until the leader steps
down, then carries out the leader's last renewal, and the leader reads it.
"""
import asyncio
import os
import re
import signal
import sys
import types

import aiohttp

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "soak"))
# pylint: disable=wrong-import-position
from soak import Host, Soak, wait_until  # noqa: E402

SETTLE_S = 1.0  # of renewals, so that the log hangs during a term


def epochs_of_terms(host):
    """Returns the epochs of the terms that the host has begun, in order."""
    lines = host.log_lines("event=lead state=fencing")
    return [int(re.search(r" epoch=(\d+)", line).group(1)) for line in lines]


def count_terms(host):
    """Returns how often the host has become the leader."""
    return len(host.log_lines("event=lead state=placing"))


async def main():
    soak = Soak(types.SimpleNamespace(seed=1, keep=None, servers=1))
    await soak.standins.start()
    log, server = soak.standins.log, soak.standins.servers[0]
    async with aiohttp.ClientSession() as soak.session:
        host = Host(soak, 0)
        await host.start()
        await wait_until(lambda: count_terms(host) == 1 and server.fencing_token > 0)
        await asyncio.sleep(SETTLE_S)
        first_token = server.fencing_token
        log.hang()
        await wait_until(lambda: host.log_lines("reason=renewals_failed"))
        log.resume()
        await wait_until(lambda: count_terms(host) == 2)
        await asyncio.sleep(SETTLE_S)
        epochs = epochs_of_terms(host)
        late_order = {"fencingToken": first_token, "task": "late.0.0.0", "run": 1}
        print(f"check=each_term_has_its_own_epoch ok={epochs == sorted(set(epochs))}")
        print(f"check=fencing_token_rises ok={server.fencing_token > first_token}")
        answer = server.apply_if_not_fenced(late_order, server.apply_stop)
        print(f"check=order_of_first_term_is_refused ok={answer == 'fence'}")
        await host.stop(signal.SIGTERM)


asyncio.run(main())

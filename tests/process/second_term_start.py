#!/usr/bin/python3
"""The next term of a leader knows of a start of the earlier term that had no answer.

Guards against a second run beside the first one: a start is carried out and never answered,
the log hangs until the leader steps down, then carries out its renewal, and it leads again.
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

JOB = "a" * 16
RUN_S = 12.0  # of the first run: it outlasts the change of the term
COPIES = 12  # of its start, all of them without an answer
WATCHED_S = 3.0  # of the second term
STEP = {"count": 1, "cpu": 1000, "memMb": 1000, "gpu": 1, "estimatedMs": 9000}


def find_server(soak):
    """Returns the server that has a run of JOB, or None."""
    return next((server for server in soak.standins.servers if server.runs), None)


def hold_back_reports(server, is_held_back):
    """Lets the renewals of SERVER wait while IS_HELD_BACK() is true."""
    handle = server.on_hold

    async def on_hold(request):
        await request.read()
        while is_held_back():
            await asyncio.sleep(0.02)
        return await handle(request)
    server.on_hold = on_hold


async def main():
    soak = Soak(types.SimpleNamespace(seed=1, keep=None, servers=2))
    log = soak.standins.log
    held_back = asyncio.Event()
    for server in soak.standins.servers:
        hold_back_reports(server, held_back.is_set)
    await soak.standins.start()
    async with aiohttp.ClientSession() as soak.session:
        host = Host(soak, 0)
        soak.hosts = [host]
        await host.start()
        await wait_until(lambda: len(host.log_lines("event=server_held")) == 2)
        fates = ["done_closed"] * COPIES
        for server in soak.standins.servers:
            server.next_starts = fates
        soak.standins.specs[JOB] = {"taskSpec": "text", "steps": [STEP]}
        await soak.call("POST", f"/q0/{JOB}", soak.standins.specs[JOB])
        await wait_until(lambda: find_server(soak) is not None)
        held_back.set()
        log.hang()
        for run in find_server(soak).runs.values():
            run["ends_ms"] += int(RUN_S * 1000)
        await wait_until(lambda: host.log_lines("reason=renewals_failed"))
        log.resume()
        await wait_until(lambda: len(host.log_lines("event=lead state=placing")) == 2)
        fates.clear()
        held_back.clear()
        await asyncio.sleep(WATCHED_S)
        print(f"check=two_terms ok={len(host.log_lines('event=lead state=placing')) == 2}")
        answered = host.log_lines(f"order=start task={JOB}.0.0.0 run=1 server=")
        had_no_answer = all("result=no_answer" in line for line in answered)
        print(f"check=start_had_no_answer ok={bool(answered) and had_no_answer}")
        print(f"check=one_run_at_a_time ok={not soak.standins.violations}")
        epochs = [re.search(r" epoch=(\d+)", line).group(1)
                  for line in host.log_lines("event=lead state=fencing")]
        print(f"  {epochs} {soak.standins.violations} {soak.directory}", file=sys.stderr)
        for line in host.log_lines(f"task={JOB}"):
            print(f"  {line}", end="", file=sys.stderr)
        await host.stop(signal.SIGTERM)


asyncio.run(main())

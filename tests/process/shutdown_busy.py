#!/usr/bin/python3
"""A graceful shutdown ends in order, and answers all calls, while callers go on.

Guards against an abort at the end of the shutdown: the HTTP server was stopped while calls
were open, here because the log does not answer.
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

CALLERS = 20
OUTCOME_UNKNOWN = 504
FIRST_CALLS_S = 2.0  # after the SIGTERM; they are open for 1.25 s, so that the host goes on
LAST_CALLS_S = 0.8  # after these; they are open when the shutdown reaches its limit, at 3.6 s
SPEC = {"taskSpec": "text", "steps": [{"count": 1, "cpu": 1000, "memMb": 1000, "gpu": 1,
                                       "estimatedMs": 500}]}


async def submit(session, host, job):
    """Submits a job to the host; returns the status, 0 without an answer."""
    headers = {"Host": "soak.example", "Authorization": "Bearer key"}
    url = f"http://127.0.0.1:{host.ports[0]}/q0/{job:016x}"
    try:
        async with session.post(url, json=SPEC, headers=headers) as response:
            return response.status
    except aiohttp.ClientError:
        return 0


async def submit_all(session, host, first_job):
    """Submits CALLERS jobs at the same time; returns the statuses."""
    return await asyncio.gather(*(submit(session, host, first_job + number)
                                  for number in range(CALLERS)))


async def main():
    soak = Soak(types.SimpleNamespace(seed=1, keep=None, servers=0))
    await soak.standins.start()
    async with aiohttp.ClientSession() as session:
        host = Host(soak, 0)
        await host.start()
        await wait_until(lambda: host.log_lines("state=placing"))
        host.signal(signal.SIGTERM)
        await asyncio.sleep(FIRST_CALLS_S)
        soak.standins.log.hang()
        first_calls = asyncio.create_task(submit_all(session, host, 0))
        await asyncio.sleep(LAST_CALLS_S)
        last_calls = asyncio.create_task(submit_all(session, host, CALLERS))
        code = await host.process.wait()
        statuses = await first_calls + await last_calls
        soak.standins.log.resume()
        cut_short = len(host.log_lines("event=call_cut_short"))
        print(f"  code={code} statuses={statuses} cut_short={cut_short}", file=sys.stderr)
        print(f"check=ends_in_order ok={code == 0}")
        print(f"check=calls_were_open_at_the_end ok={cut_short >= CALLERS}")
        print(f"check=all_calls_are_answered ok={set(statuses) == {OUTCOME_UNKNOWN}}")


asyncio.run(main())

#!/usr/bin/python3
"""A leader waits for the leases of a silent leader from the last record of any kind of that one.

Guards against a second run of a task beside the first one: a leader whose calls to the log take
long stores a job's state later than the last renewal of its epoch, and goes on renewing leases for
some time after it.  The host that leads next does not reach the server.  The records of the silent
leader are written by the test.
"""
import asyncio
import os
import re
import signal
import sys
import time
import types

import aiohttp

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "soak"))
# pylint: disable=wrong-import-position
from soak import Host, Soak, wait_until  # noqa: E402

LEASE_MAX_MS = 4000
LEASE_S = (LEASE_MAX_MS - 500) / 1000 * 1.02  # by the server's clock, which may be 2 % slow
RENEWALS_S = 2.5  # a leader renews leases for so long after its last record
CLAIM, RENEWAL = 0, 1
CONFIRMED_S = 2.0  # after which the log says that the server has confirmed the run
STATE_AFTER_S = 2.0  # from the last renewal to the last state; hosts with little CPU claim later
LITTLE_CPU = 0.1
STEP = {"count": 1, "cpu": 1000, "memMb": 1000, "gpu": 1, "estimatedMs": 500}


def varint(number):
    """NUMBER, below 128, as a field value of a protobuf message."""
    return bytes([number])


def write_leader_record(soak, name, epoch, kind):
    """Appends a record of leader NAME to the log: LeadRecord in src/wire/batch.proto."""
    record = b"\x0a" + varint(len(name)) + name.encode() + b"\x10" + varint(epoch)
    if kind:
        record += b"\x18" + varint(kind)
    soak.standins.log.append_record("keyed.jobs", "lead", record)


async def start_long_run(soak):
    """Submits a job of one task that runs for long; returns the server that runs it."""
    job = "00000000000000ab"
    soak.standins.specs[job] = {"taskSpec": "text", "steps": [STEP]}
    await soak.call("POST", f"/q0/{job}", soak.standins.specs[job])
    await wait_until(lambda: soak.standins.start_count == 1)
    server = next(server for server in soak.standins.servers if server.runs)
    for run in server.runs.values():
        run["ends_ms"] += 60000
    return server


def last_state(soak):
    """Returns key and value of the newest state of a job in the log."""
    return next(record for record in reversed(soak.standins.log.records("keyed.jobs"))
                if record[0].startswith("s/"))


async def main():
    soak = Soak(types.SimpleNamespace(seed=1, keep=None, servers=2))
    await soak.standins.start()
    Host.lease_max_ms, Host.cpu_share = LEASE_MAX_MS, LITTLE_CPU
    async with aiohttp.ClientSession() as soak.session:
        host = Host(soak, 0)
        soak.hosts = [host]
        await host.start()
        await wait_until(lambda: host.log_lines("state=placing"))
        server = await start_long_run(soak)
        await asyncio.sleep(CONFIRMED_S)
        server.proxy.mode = "silent"
        epoch = int(re.search(r" epoch=(\d+)", host.log_lines("state=placing")[0]).group(1))
        state = last_state(soak)
        write_leader_record(soak, "a/1", epoch + 1, CLAIM)
        await wait_until(lambda: host.log_lines("reason=another_holder"))
        write_leader_record(soak, "a/1", epoch + 1, RENEWAL)
        await asyncio.sleep(STATE_AFTER_S)
        soak.standins.log.append_record("keyed.jobs", *state)
        stored_at = time.monotonic()
        await wait_until(lambda: host.log_lines("event=run_lost"))
        waited_s = time.monotonic() - stored_at
        print(f"check=waits_from_the_last_state ok={waited_s >= RENEWALS_S + LEASE_S}")
        print(f"  waited_s={waited_s:.2f} {soak.directory}", file=sys.stderr)
        await host.stop(signal.SIGTERM)


asyncio.run(main())

"""Common parts of the tests in which a host follows a leader whose records the test writes."""
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

LEASE_MAX_MS = 4000
LEASE_S = (LEASE_MAX_MS - 500) / 1000 * 1.02  # by the server's clock, which may be 2 % slow
RENEWALS_S = 2.5  # a leader renews leases for so long after its last record
CLAIM, RENEWAL, RESIGNATION = 0, 1, 2
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


def main(run_test, cpu_share=1):
    """Runs RUN_TEST(soak, host, server, epoch) with one host, the leader of EPOCH, and a long run.

    SERVER is the one that runs it.
    """
    async def run():
        soak = Soak(types.SimpleNamespace(seed=1, keep=None, servers=2))
        await soak.standins.start()
        Host.lease_max_ms, Host.cpu_share = LEASE_MAX_MS, cpu_share
        async with aiohttp.ClientSession() as soak.session:
            host = Host(soak, 0)
            soak.hosts = [host]
            await host.start()
            await wait_until(lambda: host.log_lines("state=placing"))
            server = await start_long_run(soak)
            line = host.log_lines("state=placing")[0]
            await run_test(soak, host, server, int(re.search(r" epoch=(\d+)", line).group(1)))
            print(f"  {soak.directory}", file=sys.stderr)
            await host.stop(signal.SIGTERM)
    asyncio.run(run())

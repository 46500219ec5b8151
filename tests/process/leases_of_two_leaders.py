#!/usr/bin/python3
"""A leader waits for the leases of all leaders before it, not only of the one just before.

Guards against a second run of a task beside the first one: leader A falls silent and may renew
the lease of a server for some time; B leads after it and resigns at once; the host that leads
next does not reach the server.  The records of A and B are written by the test.
"""
import asyncio
import sys
import time

from silent_leader import (CLAIM, LEASE_S, RENEWAL, RENEWALS_S, RESIGNATION, main, wait_until,
                           write_leader_record)


async def run_test(soak, host, server, epoch):
    server.proxy.mode = "silent"
    write_leader_record(soak, "a/1", epoch + 1, CLAIM)
    await wait_until(lambda: host.log_lines("reason=another_holder"))
    write_leader_record(soak, "a/1", epoch + 1, RENEWAL)
    heard_at = time.monotonic()
    await asyncio.sleep(0.3)
    write_leader_record(soak, "b/1", epoch + 2, CLAIM)
    write_leader_record(soak, "b/1", epoch + 2, RESIGNATION)
    await wait_until(lambda: host.log_lines("event=run_lost"))
    waited_s = time.monotonic() - heard_at
    print(f"check=waits_for_leases_of_both ok={waited_s >= RENEWALS_S + LEASE_S}")
    print(f"  waited_s={waited_s:.2f}", file=sys.stderr)


main(run_test)

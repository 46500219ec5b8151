#!/usr/bin/python3
"""A leader waits for the leases of a silent leader from the last record of any kind of that one.

Guards against a second run of a task beside the first one: a leader whose calls to the log take
long stores a job's state later than the last renewal of its epoch, and goes on renewing leases for
some time after it.  The host that leads next does not reach the server.  The records of the silent
leader are written by the test.
"""
import asyncio
import sys
import time

from silent_leader import (CLAIM, LEASE_S, RENEWAL, RENEWALS_S, main, wait_until,
                           write_leader_record)

CONFIRMED_S = 2.0  # after which the log says that the server has confirmed the run
STATE_AFTER_S = 2.0  # from the last renewal to the last state; hosts with little CPU claim later
LITTLE_CPU = 0.1


def last_state(soak):
    """Returns key and value of the newest state of a job in the log."""
    return next(record for record in reversed(soak.standins.log.records("keyed.jobs"))
                if record[0].startswith("s/"))


async def run_test(soak, host, server, epoch):
    await asyncio.sleep(CONFIRMED_S)
    server.proxy.mode = "silent"
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
    print(f"  waited_s={waited_s:.2f}", file=sys.stderr)


main(run_test, cpu_share=LITTLE_CPU)

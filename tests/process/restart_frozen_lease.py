#!/usr/bin/python3
"""A task does not run twice after two leaders have resigned (twice-f80d5c1f).

As restart_then_resign.py, but the successor resigns as well, once it has stored by when the lease
of the server that it does not reach has expired.  The host that leads next relies on that.
"""
import re
import signal

from restarts import main, wait_until


def has_frozen_lease(value):
    """Whether the state VALUE of a job has the lease of a server: ID/BORN/EPOCH/LEFT_MS."""
    return re.search(rb"i-\d+/\d+/\d+/\d+", value) is not None


async def run(restarts):
    await restarts.hosts[0].stop(signal.SIGTERM)
    log = restarts.soak.standins.log
    await wait_until(lambda: any(key.startswith("s/") and has_frozen_lease(value)
                                 for key, value in log.records("keyed.jobs")))
    successor = next(host for host in restarts.hosts if host.log_lines("event=lease_frozen"))
    await successor.stop(signal.SIGTERM)


main(run, hosts=3)

#!/usr/bin/python3
"""A task does not run twice after a leader has resigned and renewals go on (twice-f80d5c1f).

As restart_then_resign.py, but calls reach the server, and only its answers are lost: the renewals
of the successor do not extend a lease by the clock in the directory, which is that of the
incarnation before.
"""
import signal

from restarts import main


async def run(restarts):
    await restarts.hosts[0].stop(signal.SIGTERM)


main(run, hosts=2, cut_mode="one_way")

#!/usr/bin/python3
"""A task does not run twice after a leader has resigned (twice-f80d5c1f).

The leader's start has reached a server that had started again unseen, and which holds the longest
lease for that.  The answer is lost, the server is cut off, and the leader resigns.  Its successor
does not know of the restart and waits for the longest lease.
"""
import signal

from restarts import main


async def run(restarts):
    await restarts.hosts[0].stop(signal.SIGTERM)


main(run, hosts=2)

#!/usr/bin/python3
"""A task does not run twice where renewals reach a server that had started again unseen.

Guards against the cause of twice-f80d5c1f without a change of the leader: a start has reached the
server, and from then on calls reach it, but all its answers are lost.  A renewal with a deadline
on the clock of the incarnation before would extend the lease each time.
"""
from restarts import main


async def run(_):
    pass  # the leader stays, and its calls go on


main(run, hosts=1, cut_mode="one_way")

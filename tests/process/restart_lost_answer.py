#!/usr/bin/python3
"""A task does not run twice where its leader does not know that a server has started again.

Guards against the cause of twice-f80d5c1f without a change of the leader: a start and its copy
reach a server that had started again unseen, their answers are lost, and the server is cut off.
The leader waits for the longest lease, not for the one that it wanted.
"""
from restarts import main, wait_until


async def run(restarts):
    await wait_until(lambda: restarts.copies > 0)
    restarts.starts[0][1].proxy.mode = "silent"


main(run, hosts=1, cut_mode="one_way")

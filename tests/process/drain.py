#!/usr/bin/python3
"""Shuts down a leader under load with SIGTERM.

It must answer every open request and then exit with code 0.  A second signal
while it drains must end it at once, with exit code 1.
"""
import asyncio

import aiohttp

from scenario import check, main, verify_no_violations


async def run(d, _):
    leader = await d.leader("trakia-1")
    answers = []

    async def submit(i):
        try:
            answers.append(await d.submit(leader, "beta", f"d-{i}",
                                          {"run_ms": 100 + i * 20, "echo": f"d{i}"},
                                          idempotent=i % 2 == 0))
        except aiohttp.ClientError as error:
            answers.append({"outcome": f"cut off: {error}"})
    requests = [asyncio.ensure_future(submit(i)) for i in range(80)]

    async def many_requests_pending():
        return await d.metric(leader, "requests_pending") >= 60
    await d.wait_until("the leader has 60 requests pending", many_requests_pending)
    d.terminate(leader)
    await asyncio.gather(*requests)
    check("no_request_cut_off", all(a["outcome"] == "done" for a in answers),
          [a for a in answers if a["outcome"] != "done"][:3])
    process = d.hosts[leader].process

    async def exited():
        return process.poll() is not None
    await d.wait_until("the leader has exited", exited)
    check("exit_code_0", process.returncode == 0, process.returncode)

    async def has_leader():
        return await d.leader("trakia-1")
    await d.wait_until("another host leads", has_leader)
    next_leader = await d.leader("trakia-1")
    long_request = asyncio.ensure_future(d.submit(
        next_leader, "beta", "blocker", {"run_ms": 30000}, idempotent=True))

    async def long_request_pending():
        return await d.metric(next_leader, "requests_pending") >= 1
    await d.wait_until("the long request is pending", long_request_pending)
    d.terminate(next_leader)

    async def draining():
        return (await d.status("dunav-1-h1")) and next(
            h for h in (await d.status("dunav-1-h1"))["hosts"]
            if h["name"] == next_leader)["draining"]
    await d.wait_until("the host drains", draining)
    d.terminate(next_leader)
    process = d.hosts[next_leader].process

    async def exited_again():
        return process.poll() is not None
    await d.wait_until("the second signal has ended it", exited_again, 3)
    check("second_signal_ends_at_once", process.returncode == 1, process.returncode)
    await asyncio.gather(long_request, return_exceptions=True)
    await verify_no_violations(d)

main(run)

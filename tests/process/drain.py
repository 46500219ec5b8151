#!/usr/bin/python3
"""A graceful shutdown of the placing host under load: it exits with 0 and cuts
no request off; a second signal ends at once."""
import asyncio

import aiohttp

from scenario import check, main, no_violation


async def run(d, _):
    victim = await d.holder("trakia-1")
    answers = []

    async def ask(i):
        try:
            answers.append(await d.submit(victim, "beta", f"d-{i}",
                                          {"run_ms": 100 + i * 20, "echo": f"d{i}"},
                                          idempotent=i % 2 == 0))
        except aiohttp.ClientError as error:
            answers.append({"outcome": f"cut off: {error}"})
    asks = [asyncio.ensure_future(ask(i)) for i in range(80)]

    async def busy():
        return await d.metric(victim, "requests_pending") >= 60
    await d.until("the host has requests", busy)
    d.terminate(victim)
    await asyncio.gather(*asks)
    check("no_request_cut_off", all(a["outcome"] == "done" for a in answers),
          [a for a in answers if a["outcome"] != "done"][:3])
    process = d.hosts[victim].process

    async def ended():
        return process.poll() is not None
    await d.until("the host ends", ended)
    check("exit_code_0", process.returncode == 0, process.returncode)

    async def taken_over():
        return await d.holder("trakia-1")
    await d.until("another host places", taken_over)
    other = await d.holder("trakia-1")
    blocker = asyncio.ensure_future(d.submit(other, "beta", "blocker", {"run_ms": 30000},
                                             idempotent=True))

    async def blocked():
        return await d.metric(other, "requests_pending") >= 1
    await d.until("a long request waits", blocked)
    d.terminate(other)

    async def draining():
        return (await d.status("dunav-1-h1")) and next(
            h for h in (await d.status("dunav-1-h1"))["hosts"] if h["name"] == other)["draining"]
    await d.until("the host drains", draining)
    d.terminate(other)
    process = d.hosts[other].process

    async def ended_again():
        return process.poll() is not None
    await d.until("the second signal ends it", ended_again, 3)
    check("second_signal_ends_at_once", process.returncode == 1, process.returncode)
    await asyncio.gather(blocker, return_exceptions=True)
    await no_violation(d)

main(run)

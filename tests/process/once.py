#!/usr/bin/python3
"""Non-idempotent requests run at most once while placing hosts are killed and
frozen under them, and callers try again by the same key."""
import asyncio

import aiohttp

from scenario import check, main, no_violation


async def run(d, _):
    outcomes = {}

    async def order(i):
        key = f"order-{i}"
        for attempt in range(12):
            up = d.up()
            try:
                answer = await d.submit(up[(i + attempt) % len(up)].name, "beta", key,
                                        {"run_ms": 150, "echo": key}, idempotent=False)
            except (aiohttp.ClientError, asyncio.TimeoutError):
                answer = {"outcome": "none"}
            if answer["outcome"] not in ("none", "pending", "unavailable"):
                break
            await asyncio.sleep(0.05)
        outcomes[key] = answer

    orders = [asyncio.ensure_future(order(i)) for i in range(0, 60)]
    await d.until("orders run", lambda: started(d, 15))
    for dc in ("trakia-1", "dunav-1"):
        victim = await d.holder(dc)
        if dc == "trakia-1":
            d.kill(victim)
        else:
            d.freeze(victim)
        orders += [asyncio.ensure_future(order(i)) for i in range(len(orders), len(orders) + 40)]
        await d.until(f"{dc} is taken over", lambda dc=dc: d.holder(dc))
        if dc == "trakia-1":
            d.start_host(victim)
        else:
            d.thaw(victim)
    await asyncio.gather(*orders)
    kinds = {}
    for answer in outcomes.values():
        kinds[answer["outcome"]] = kinds.get(answer["outcome"], 0) + 1
    check("every_order_answered", set(kinds) <= {"done", "lost_contact"}, kinds)
    check("most_done", kinds["done"] >= 100, kinds)
    done = {f"beta/{k}" for k, a in outcomes.items() if a["outcome"] == "done"}
    ended = [r["id"] for r in await d.records() if r["what"] == "end" and r["result"] == "ok"]
    check("done_ran_exactly_once", all(ended.count(job) == 1 for job in done), "")
    await no_violation(d)


async def started(d, count):
    return len([r for r in await d.records() if r["what"] == "start"]) >= count

main(run)

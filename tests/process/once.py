#!/usr/bin/python3
"""Non-idempotent jobs run at most once while leaders are killed and frozen.

Clients retry with the same key at another host when a request gets no final
answer.  Guards against a retry, or the next leader, starting a job again that
the previous leader had already started.
"""
import asyncio

import aiohttp

from scenario import check, main, verify_no_violations


async def run(d, _):
    outcomes = {}

    async def submit_with_retries(i):
        key = f"order-{i}"
        for attempt in range(12):
            hosts = d.running_hosts()
            try:
                answer = await d.submit(hosts[(i + attempt) % len(hosts)].name, "beta", key,
                                        {"run_ms": 150, "echo": key}, idempotent=False)
            except (aiohttp.ClientError, asyncio.TimeoutError):
                answer = {"outcome": "none"}
            if answer["outcome"] not in ("none", "pending", "unavailable"):
                break
            await asyncio.sleep(0.05)
        outcomes[key] = answer

    requests = [asyncio.ensure_future(submit_with_retries(i)) for i in range(0, 60)]
    await d.wait_until("15 jobs have started", lambda: started(d, 15))
    for dc in ("trakia-1", "dunav-1"):
        leader = await d.leader(dc)
        if dc == "trakia-1":
            d.kill(leader)
        else:
            d.freeze(leader)
        requests += [asyncio.ensure_future(submit_with_retries(i))
                     for i in range(len(requests), len(requests) + 40)]
        await d.wait_until(f"{dc} has a new leader", lambda dc=dc: d.leader(dc))
        if dc == "trakia-1":
            d.start_host(leader)
        else:
            d.thaw(leader)
    await asyncio.gather(*requests)
    outcome_counts = {}
    for answer in outcomes.values():
        outcome_counts[answer["outcome"]] = outcome_counts.get(answer["outcome"], 0) + 1
    check("every_order_answered", set(outcome_counts) <= {"done", "lost_contact"}, outcome_counts)
    check("most_done", outcome_counts["done"] >= 100, outcome_counts)
    done = {f"beta/{k}" for k, a in outcomes.items() if a["outcome"] == "done"}
    ended = [r["id"] for r in await d.execution_records()
             if r["what"] == "end" and r["result"] == "ok"]
    check("done_ran_exactly_once", all(ended.count(job) == 1 for job in done), "")
    await verify_no_violations(d)


async def started(d, count):
    return len([r for r in await d.execution_records() if r["what"] == "start"]) >= count

main(run)

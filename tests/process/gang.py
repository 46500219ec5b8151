#!/usr/bin/python3
"""A gang loses a member (frozen server), then its placing host (kill -9 and
freeze); no member runs without the others for longer than a lease."""
import asyncio

from scenario import check, main, no_violation


async def running(d, job, members):
    records = await d.records()
    starts = {(r["member"], r["attempt"]) for r in records if r["what"] == "start" and r["id"] == job}
    return len(starts) >= members


async def run(d, _):
    jobs = {}
    for name in ("frozen", "killed", "paused"):
        key = f"gang-{name}"
        holders = {await d.holder(dc) for dc in d.farms}
        host = next(h.name for h in d.up() if h.name not in holders)
        jobs[name] = asyncio.ensure_future(d.submit(
            host, "beta", key, {"run_ms": 5000, "echo": name}, tasks=4, accels=4, adjacent="rack",
            idempotent=True))
        job = f"beta/{key}"
        await d.until("the gang runs", lambda job=job: running(d, job, 4))
        first = next(r for r in await d.records() if r["what"] == "start" and r["id"] == job)
        dc = first["dc"]
        if name == "frozen":
            await d.backend(dc, first["server"], frozen=True)
            answer = await jobs[name]
            await d.backend(dc, first["server"], frozen=False)
        else:
            holder = await d.holder(dc)
            if name == "killed":
                d.kill(holder)
            else:
                d.freeze(holder)
            answer = await jobs[name]
            if name == "killed":
                d.start_host(holder)
            else:
                d.thaw(holder)
            await d.until_placed()
            await d.until_heard()
        check(f"{name}_gang_done", answer.get("outcome") == "done", answer)
    await no_violation(d)

main(run)

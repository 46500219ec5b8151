#!/usr/bin/python3
"""A guaranteed shape is reclaimed while others use it; the client account's job
starts within 5 s, and the borrowers run again later."""
import asyncio

from scenario import check, main, milliseconds, no_violation


async def run(d, _):
    host = "trakia-1-h1"
    borrowers = [asyncio.ensure_future(d.submit(
        host, "beta", f"borrow-{i}", {"run_ms": 6000, "echo": f"b{i}"}, accels=8, idempotent=True,
        checkpointable=i % 2 == 0)) for i in range(12)]

    async def full():
        answer = [r for r in await d.records() if r["what"] == "start" and r["dc"] == "trakia-1"]
        return len(answer) == 4
    await d.until("trakia-1 is full of borrowers", full)
    claimed = milliseconds()
    answer = await d.submit(host, "alpha", "claim", {"run_ms": 200, "echo": "claimed"}, tasks=2,
                            accels=8, adjacent="rack", idempotent=True)
    check("claim_done", answer["outcome"] == "done", answer)
    starts = [r["at"] for r in await d.records()
              if r["what"] == "start" and r["id"] == "alpha/claim"]
    check("claim_starts_within_5_s", max(starts) - claimed <= 5000, max(starts) - claimed)
    check("claim_is_in_its_guarantee", answer["dc"] == "trakia-1", answer["dc"])
    answers = await asyncio.gather(*borrowers)
    check("borrowers_done", all(a["outcome"] == "done" for a in answers), answers)
    stopped = [r for r in await d.records() if r["what"] == "end" and r["id"].startswith("beta/")
               and r["result"] in ("stopped", "checkpointed")]
    check("borrowers_were_stopped", len(stopped) >= 2, len(stopped))
    await no_violation(d)

main(run)

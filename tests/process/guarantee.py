#!/usr/bin/python3
"""An account submits a job for its guaranteed capacity while another account borrows it.

The job must start within 5 s: borrowing jobs are preempted, and they must still
be done later.
"""
import asyncio

from scenario import check, main, now_ms, verify_no_violations


async def run(d, _):
    host = "trakia-1-h1"
    borrowers = [asyncio.ensure_future(d.submit(
        host, "beta", f"borrow-{i}", {"run_ms": 6000, "echo": f"b{i}"}, accels=8, idempotent=True,
        checkpointable=i % 2 == 0)) for i in range(12)]

    async def all_servers_busy():
        starts = [r for r in await d.execution_records()
                  if r["what"] == "start" and r["dc"] == "trakia-1"]
        return len(starts) == 4
    await d.wait_until("borrowing jobs use all of trakia-1", all_servers_busy)
    submitted_at = now_ms()
    answer = await d.submit(host, "alpha", "claim", {"run_ms": 200, "echo": "claimed"}, tasks=2,
                            accels=8, adjacent="rack", idempotent=True)
    check("claim_done", answer["outcome"] == "done", answer)
    starts = [r["at"] for r in await d.execution_records()
              if r["what"] == "start" and r["id"] == "alpha/claim"]
    check("claim_starts_within_5_s", max(starts) - submitted_at <= 5000, max(starts) - submitted_at)
    check("claim_is_in_its_guarantee", answer["dc"] == "trakia-1", answer["dc"])
    answers = await asyncio.gather(*borrowers)
    check("borrowers_done", all(a["outcome"] == "done" for a in answers), answers)
    preempted = [r for r in await d.execution_records()
                 if r["what"] == "end" and r["id"].startswith("beta/")
                 and r["result"] in ("stopped", "checkpointed")]
    check("borrowers_were_stopped", len(preempted) >= 2, len(preempted))
    await verify_no_violations(d)

main(run)

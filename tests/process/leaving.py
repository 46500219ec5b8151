#!/usr/bin/python3
"""A backend server that is leaving gets no new work after 3 s; one that fails
everything is quarantined while its jobs end elsewhere; a job at fault is told
so; waves of cancellations leave nothing running."""
import asyncio

from scenario import check, main, milliseconds, no_violation


async def run(d, _):
    host = "trakia-1-h1"
    await d.backend("trakia-1", "trakia-1-s001", leaving=True)
    await d.backend("trakia-1", "trakia-1-s002", fail_tasks=True)
    told = milliseconds()
    answers = []
    while milliseconds() < told + 4500:
        answers += await asyncio.gather(*[
            d.submit(host, "beta", f"w-{len(answers) + i}", {"run_ms": 30, "echo": "w"}, accels=2,
                     idempotent=True) for i in range(12)])
    records = await d.records()
    late = [r for r in records if r["what"] == "start" and r["server"] == "trakia-1-s001"
            and r["at"] > told + 3000]
    check("leaving_server_gets_nothing", not late, late[:2])
    check("jobs_done_in_spite_of_bad_server", all(a["outcome"] == "done" for a in answers),
          [a for a in answers if a["outcome"] != "done"][:2])
    holder = await d.holder("trakia-1")
    quarantined = next(x for x in (await d.status(holder))["dcs"] if x["name"] == "trakia-1")
    check("bad_server_quarantined", quarantined["quarantined"] == 1, quarantined)
    answer = await d.submit(host, "beta", "at-fault", {"run_ms": 10, "fail": True}, idempotent=True)
    check("job_at_fault_is_told", answer["outcome"] == "failed" and answer["ran"] == "yes", answer)
    answer = await d.submit(host, "beta", "never", {}, tasks=64, accels=8, idempotent=True)
    check("job_too_large_is_told", answer["outcome"] == "never_fits" and answer["ran"] == "no",
          answer)
    for i in range(60):
        await d.submit(host, "beta", f"wave-{i}", {"run_ms": 60000}, accels=1, idempotent=True,
                       wait_ms=0)

    async def cancel(i):
        async with d.session.delete(f"{d.hosts['trakia-1-h2'].url}/v1/jobs/beta/wave-{i}"
                                    "?wait_ms=8000") as response:
            return await response.json()
    waves = await asyncio.gather(*[cancel(i) for i in range(60)])
    check("wave_cancelled", all(a["outcome"] == "cancelled" for a in waves),
          [a for a in waves if a["outcome"] != "cancelled"][:2])

    async def idle():
        for port in d.farms.values():
            if (await d.get(f"http://127.0.0.1:{port}/running"))[1]["tasks"]:
                return False
        return True
    await d.until("nothing runs any more", idle)
    check("nothing_left_running", True)
    await no_violation(d)

main(run)

#!/usr/bin/python3
"""Backend servers that leave or fail, jobs that cannot succeed, and cancellations.

A server that announces that it is leaving gets no new task after 3 s.  A server
on which every task fails is quarantined, and its jobs are done on other servers.
A job that itself fails, or that is too large for every server, ends with that
outcome.  After 60 simultaneous cancellations no task is left running.
"""
import asyncio

from scenario import check, main, now_ms, verify_no_violations


async def run(d, _):
    host = "trakia-1-h1"
    await d.set_server_faults("trakia-1", "trakia-1-s001", leaving=True)
    await d.set_server_faults("trakia-1", "trakia-1-s002", fail_tasks=True)
    faults_set_at = now_ms()
    answers = []
    while now_ms() < faults_set_at + 4500:
        answers += await asyncio.gather(*[
            d.submit(host, "beta", f"w-{len(answers) + i}", {"run_ms": 30, "echo": "w"}, accels=2,
                     idempotent=True) for i in range(12)])
    records = await d.execution_records()
    late_starts = [r for r in records if r["what"] == "start" and r["server"] == "trakia-1-s001"
                   and r["at"] > faults_set_at + 3000]
    check("leaving_server_gets_nothing", not late_starts, late_starts[:2])
    check("jobs_done_in_spite_of_bad_server", all(a["outcome"] == "done" for a in answers),
          [a for a in answers if a["outcome"] != "done"][:2])
    leader = await d.leader("trakia-1")
    dc = next(x for x in (await d.status(leader))["dcs"] if x["name"] == "trakia-1")
    check("bad_server_quarantined", dc["quarantined"] == 1, dc)
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
    cancelled = await asyncio.gather(*[cancel(i) for i in range(60)])
    check("wave_cancelled", all(a["outcome"] == "cancelled" for a in cancelled),
          [a for a in cancelled if a["outcome"] != "cancelled"][:2])

    async def idle():
        for port in d.server_group_ports.values():
            if (await d.get(f"http://127.0.0.1:{port}/running"))[1]["tasks"]:
                return False
        return True
    await d.wait_until("no task is running", idle)
    check("nothing_left_running", True)
    await verify_no_violations(d)

main(run)

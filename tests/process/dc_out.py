#!/usr/bin/python3
"""Takes a data centre out of service while it cannot reach the platform.

Guards against tasks that start there because its hosts did not read the new
rule from the log: they must learn it from their peers.  No task may start there
after 3 s, waiting jobs move to other data centres, and the data centre runs
jobs again once a rule puts it back in.
"""
import asyncio

from scenario import check, main, now_ms, verify_no_violations


async def run(d, _):
    connected_host = "trakia-1-h1"
    await d.set_link_mode("trakia-2", "platform", "cut")

    async def platform_lost():
        return not (await d.status("trakia-2-h1"))["log_reachable"]
    await d.wait_until("trakia-2 cannot reach the platform", platform_lost)
    load_running = True
    answers = []

    async def load(host, number):
        i = 0
        while load_running:
            answers.append(await d.submit(host, "beta", f"load-{number}-{i}",
                                          {"run_ms": 50, "echo": f"{number}-{i}"}, accels=1,
                                          idempotent=True))
            i += 1
    tasks = [asyncio.ensure_future(load(h, n)) for n, h in
             enumerate(["trakia-2-h1", "trakia-2-h2", "trakia-2-h1", "dunav-1-h1"])]

    async def tasks_running():
        return len([r for r in await d.execution_records() if r["dc"] == "trakia-2"]) > 20
    await d.wait_until("trakia-2 runs tasks", tasks_running)
    status, answer = await d.apply_rules(connected_host, "datacentre trakia-2 out # Mila",
                                         replace=0)
    accepted_at = now_ms()
    check("accepted", status == 200, answer)
    check("every_host_confirmed", not answer["unconfirmed"], answer)

    async def load_time_over():
        return now_ms() > accepted_at + 5000
    await d.wait_until("5 s have passed under load", load_time_over)
    late_starts = [r for r in await d.execution_records() if r["what"] == "start"
                   and r["dc"] == "trakia-2" and r["at"] > accepted_at + 3000]
    check("no_start_after_3_s", not late_starts, late_starts[:3])
    done_elsewhere = len([r for r in await d.execution_records() if r["what"] == "end"
                          and r["dc"] != "trakia-2" and r["at"] > accepted_at])
    check("work_went_on_elsewhere", done_elsewhere > 20, done_elsewhere)
    await d.apply_rules(connected_host, "datacentre trakia-2 in # Mila", replace=0)
    readmitted_at = now_ms()

    async def started_again():
        return [r for r in await d.execution_records() if r["what"] == "start"
                and r["dc"] == "trakia-2" and r["at"] > readmitted_at]
    await d.wait_until("trakia-2 runs tasks again", started_again)
    check("serves_again", True)
    load_running = False
    await asyncio.gather(*tasks)
    check("all_done", all(a["outcome"] == "done" for a in answers),
          [a for a in answers if a["outcome"] != "done"][:3])
    await verify_no_violations(d)

main(run)

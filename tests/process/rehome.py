#!/usr/bin/python3
"""A data centre loses all its hosts while it runs an accepted job.

Guards against accepted jobs that are lost with their data centre: the job must
be relocated to another data centre and be done there, and hosts of other data
centres must know its outcome.
"""
from scenario import check, main, verify_no_violations


async def run(d, _):
    accepted = await d.submit("dunav-1-h1", "beta", "moves", {"run_ms": 1500, "echo": "moved"},
                              accels=2, idempotent=True, detached=True)
    check("accepted", accepted["outcome"] == "pending", accepted)

    async def started():
        return [r for r in await d.execution_records()
                if r["what"] == "start" and r["id"] == "beta/moves"]
    first_start = (await d.wait_until("the job has started", started))[0]
    check("it_started_at_home", first_start["dc"] == "dunav-1", first_start)
    d.kill("dunav-1-h1")
    d.kill("dunav-1-h2")
    answer = await d.job("trakia-1-h1", "beta/moves", 30000)
    check("it_ended_elsewhere", answer["outcome"] == "done" and answer["dc"] != "dunav-1"
          and answer["output"].startswith("beta/moves:moved"), answer)

    async def known():
        return (await d.job("trakia-2-h2", "beta/moves"))["outcome"] == "done"
    await d.wait_until("a host of trakia-2 knows the outcome", known)
    check("every_host_knows", True)
    await verify_no_violations(d)

main(run, settings={"rehome_ms": 2000})

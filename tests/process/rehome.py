#!/usr/bin/python3
"""A data centre loses all its hosts: a job that was accepted for it moves to
another one and ends there, and its outcome is known to every host."""
from scenario import check, main, no_violation


async def run(d, _):
    accepted = await d.submit("dunav-1-h1", "beta", "moves", {"run_ms": 1500, "echo": "moved"},
                              accels=2, idempotent=True, detached=True)
    check("accepted", accepted["outcome"] == "pending", accepted)

    async def started():
        return [r for r in await d.records() if r["what"] == "start" and r["id"] == "beta/moves"]
    first = (await d.until("it starts", started))[0]
    check("it_started_at_home", first["dc"] == "dunav-1", first)
    d.kill("dunav-1-h1")
    d.kill("dunav-1-h2")
    answer = await d.job("trakia-1-h1", "beta/moves", 30000)
    check("it_ended_elsewhere", answer["outcome"] == "done" and answer["dc"] != "dunav-1"
          and answer["output"].startswith("beta/moves:moved"), answer)

    async def known():
        return (await d.job("trakia-2-h2", "beta/moves"))["outcome"] == "done"
    await d.until("every host knows it", known)
    check("every_host_knows", True)
    await no_violation(d)

main(run, settings={"rehome_ms": 2000})

#!/usr/bin/python3
"""Gangs lose a member or the leader that placed them.

One gang loses a member (its server freezes), one its leader by SIGKILL, one its
leader by SIGSTOP.  Each job must still be done, and no member may run without
the others for longer than a lease.
"""
import asyncio

from scenario import check, main, verify_no_violations


async def all_started(d, job, members):
    records = await d.execution_records()
    starts = {(r["member"], r["attempt"]) for r in records
              if r["what"] == "start" and r["id"] == job}
    return len(starts) >= members


async def run(d, _):
    requests = {}
    for name in ("frozen", "killed", "paused"):
        key = f"gang-{name}"
        leaders = {await d.leader(dc) for dc in d.server_group_ports}
        host = next(h.name for h in d.running_hosts() if h.name not in leaders)
        requests[name] = asyncio.ensure_future(d.submit(
            host, "beta", key, {"run_ms": 5000, "echo": name}, tasks=4, accels=4, adjacent="rack",
            idempotent=True))
        job = f"beta/{key}"
        await d.wait_until("all members of the gang have started",
                           lambda job=job: all_started(d, job, 4))
        first_start = next(r for r in await d.execution_records()
                           if r["what"] == "start" and r["id"] == job)
        dc = first_start["dc"]
        if name == "frozen":
            await d.set_server_faults(dc, first_start["server"], frozen=True)
            answer = await requests[name]
            await d.set_server_faults(dc, first_start["server"], frozen=False)
        else:
            leader = await d.leader(dc)
            if name == "killed":
                d.kill(leader)
            else:
                d.freeze(leader)
            answer = await requests[name]
            if name == "killed":
                d.start_host(leader)
            else:
                d.thaw(leader)
            await d.wait_for_leaders()
            await d.wait_for_peers()
        check(f"{name}_gang_done", answer.get("outcome") == "done", answer)
    await verify_no_violations(d)

main(run)

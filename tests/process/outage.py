#!/usr/bin/python3
"""The platform is unreachable, and then the leader of a data centre is killed too.

Without the log, idempotent jobs still run; non-idempotent jobs are refused with
"not run", which must be true; and another host becomes leader once the leases
have expired.  When the platform is back, an append whose answer is lost must
take effect exactly once.
"""
import asyncio

from scenario import check, main, verify_no_violations


async def run(d, _):
    hosts = list(d.hosts)
    await d.set_platform_faults(outage=True)

    async def outage_noticed():
        return not any([(await d.status(h))["log_reachable"] for h in hosts])
    await d.wait_until("all hosts have noticed the outage", outage_noticed)
    answers = await asyncio.gather(*[
        d.submit(hosts[i % len(hosts)], "beta", f"out-{i}", {"run_ms": 20, "echo": f"{i}"},
                 idempotent=i % 2 == 0) for i in range(60)])
    done = [a for a in answers if a["outcome"] == "done"]
    refused = [a for a in answers if a["outcome"] == "unavailable" and a["ran"] == "no"]
    check("idempotent_served", len(done) == 30, [a["outcome"] for a in answers])
    check("others_refused_with_not_run", len(refused) == 30, len(refused))
    started = {r["id"] for r in await d.execution_records() if r["what"] == "start"}
    check("not_run_was_true", not started & {a["id"] for a in refused}, "")
    check("told_when_to_come_back", all(a["retry_after_ms"] > 0 for a in refused), "")
    status, answer = await d.apply_rules(hosts[0], "datacentre dunav-1 out # Mila", replace=0)
    check("rules_not_applied", status == 503 and "nothing was applied" in answer["error"], answer)

    leader = await d.leader("trakia-1")
    other = next(h for h in hosts if h.startswith("trakia-1") and h != leader)
    d.kill(leader)

    async def taken_over():
        return await d.leader("trakia-1") == other and await d.metric(other, "servers") == 4
    await d.wait_until("another host leads trakia-1", taken_over)
    answer = await d.submit(other, "beta", "after-takeover", {"run_ms": 20, "echo": "t"},
                            idempotent=True)
    check("served_after_takeover_without_log", answer["outcome"] == "done", answer)
    await d.set_platform_faults(outage=False, lose_appends=3)
    d.start_host(leader)

    async def log_reachable():
        return all([(await d.status(h))["log_reachable"] for h in hosts])
    await d.wait_until("every host reaches the log again", log_reachable)
    answers = await asyncio.gather(*[
        d.submit(other, "beta", f"back-{i}", {"run_ms": 20, "echo": f"{i}"}, idempotent=False)
        for i in range(20)])
    check("lost_append_answers_settled", all(a["outcome"] == "done" for a in answers), answers[:2])
    repeated = await asyncio.gather(*[
        d.submit(hosts[-1], "beta", f"back-{i}", {"run_ms": 20, "echo": f"{i}"}, idempotent=False)
        for i in range(20)])
    check("repeated_keys_get_the_same_answer",
          [a["output"] for a in repeated] == [a["output"] for a in answers], repeated[:2])
    await verify_no_violations(d)

main(run)

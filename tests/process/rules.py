#!/usr/bin/python3
"""An accepted configuration is in force everywhere within 3 s and never
reverts: operators race, a host is cut off, all hosts restart on a log whose
beginning is gone, and a new host without the platform asks its peers."""
import asyncio

from scenario import RULES, check, main, milliseconds, no_violation


async def lines(d, host):
    return {r["line"]: r["version"] for r in (await d.get(f"{d.hosts[host].url}/v1/rules"))[1]["rules"]}


async def run(d, _):
    hosts = list(d.hosts)
    began = milliseconds()
    status, answer = await d.rules(hosts[3], RULES + "account gamma share=5 # Mila\n")
    took = milliseconds() - began
    seen = [await lines(d, h) for h in hosts]
    check("in_force_everywhere_within_3_s", status == 200 and took <= 3000 and not answer["unconfirmed"]
          and all("account gamma share=5" in s for s in seen), (took, answer))
    bad = {
        "no_comment": ("account delta", "line 1: a comment that names who asked"),
        "duplicate": ("account a # x\naccount a # y", "line 2: account a stands on line 1"),
        "unknown_word": ("acount a # x", "line 1: unknown word acount"),
        "cannot_be_met": (RULES + "guarantee g2 account=beta dc=trakia-1 tasks=3 accels=8 # Petar",
                          "guarantee g2 cannot be met"),
        "no_account": ("limit nobody accels=3 # x", "line 1: limit nobody: no rule creates"),
    }
    for name, (text, reason) in bad.items():
        status, answer = await d.rules(hosts[0], text)
        check(f"refused_{name}", status == 400 and reason in answer["error"], answer)
    check("nothing_applied", await lines(d, hosts[0]) == seen[0], "")

    races = await asyncio.gather(*[
        d.rules(h, f"account gamma share={10 + i} # operator {i}", replace=0)
        for i, h in enumerate(hosts)])
    winners = [i for i, (s, _) in enumerate(races) if s == 200]
    losers = [a for s, a in races if s == 409]
    check("one_operator_wins", len(winners) == 1 and len(losers) == len(hosts) - 1, races)
    check("losers_are_told_who_won", all(f"operator {winners[0]}" in a["lost"][0] for a in losers),
          losers[:1])

    await d.link("dunav-1", "platform", "cut")
    began = milliseconds()
    status, answer = await d.rules(hosts[0], "account gamma share=77 # Mila", replace=0)
    check("cut_off_hosts_confirm_by_peers", status == 200 and not answer["unconfirmed"]
          and milliseconds() - began <= 3000, (answer, milliseconds() - began))
    d.kill("dunav-1-h2")
    d.start_host("dunav-1-h2")

    async def copied():
        return "account gamma share=77" in await lines(d, "dunav-1-h2")
    await d.until("a new host without the platform has the rules", copied)
    check("new_host_learns_from_peers", True)
    await d.link("dunav-1", "platform", "ok")

    before = (await d.status(hosts[0]))["applied"]
    accepted = await d.submit(hosts[0], "beta", "outlives", {"run_ms": 1500, "echo": "o"},
                              idempotent=True, detached=True)
    check("detached_job_accepted", accepted["outcome"] == "pending", accepted)

    async def snapshot():
        return sum([await d.metric(h, "snapshots_total") for h in hosts]) >= 1
    await d.until("a snapshot is published", snapshot)
    end = (await d.platform_stats())["end"]
    async with d.session.post(f"http://127.0.0.1:{d.platform_port}/trim?keep=8"):
        pass
    begin = (await d.platform_stats())["begin"]
    check("the_beginning_is_gone", begin > 0 and end > before, (begin, end))
    for host in hosts:
        d.kill(host)
    for host in hosts:
        d.start_host(host)
    await d.until_placed()
    after = await lines(d, hosts[0])
    check("rules_survive_all_hosts", "account gamma share=77" in after
          and (await d.status(hosts[0]))["applied"] >= before, after)
    answer = await d.job(hosts[1], "beta/outlives", 20000)
    check("accepted_job_survives_all_hosts", answer.get("outcome") == "done", answer)
    await no_violation(d)

main(run, settings={"snapshot_records": 10})

#!/usr/bin/python3
"""Accepted rules apply on every host within 3 s and never revert.

Covers refused rules, operators that change the same rule at the same time, a
data centre that cannot reach the platform (its hosts, also a restarted one,
learn the rules from their peers), and a restart of all hosts after the start of
the log was trimmed, so that the state must come from a snapshot.
"""
import asyncio

from scenario import RULES, check, main, now_ms, verify_no_violations


async def rule_versions(d, host):
    """Rules that HOST applies: a map from the line to its version."""
    return {r["line"]: r["version"]
            for r in (await d.get(f"{d.hosts[host].url}/v1/rules"))[1]["rules"]}


async def run(d, _):
    hosts = list(d.hosts)
    began = now_ms()
    status, answer = await d.apply_rules(hosts[3], RULES + "account gamma share=5 # Mila\n")
    took = now_ms() - began
    rules_by_host = [await rule_versions(d, h) for h in hosts]
    check("in_force_everywhere_within_3_s",
          status == 200 and took <= 3000 and not answer["unconfirmed"]
          and all("account gamma share=5" in s for s in rules_by_host), (took, answer))
    invalid_rules = {
        "no_comment": ("account delta", "line 1: a comment that names who asked"),
        "duplicate": ("account a # x\naccount a # y",
                      "line 2: account a is already defined on line 1"),
        "unknown_word": ("acount a # x", "line 1: unknown rule kind acount"),
        "cannot_be_met": (RULES + "guarantee g2 account=beta dc=trakia-1 tasks=3 accels=8 # Petar",
                          "guarantee g2 cannot be met"),
        "no_account": ("limit nobody accels=3 # x", "line 1: limit nobody: no rule creates"),
    }
    for name, (text, error) in invalid_rules.items():
        status, answer = await d.apply_rules(hosts[0], text)
        check(f"refused_{name}", status == 400 and error in answer["error"], answer)
    check("nothing_applied", await rule_versions(d, hosts[0]) == rules_by_host[0], "")

    replies = await asyncio.gather(*[
        d.apply_rules(h, f"account gamma share={10 + i} # operator {i}", replace=0)
        for i, h in enumerate(hosts)])
    winners = [i for i, (s, _) in enumerate(replies) if s == 200]
    losers = [a for s, a in replies if s == 409]
    check("one_operator_wins", len(winners) == 1 and len(losers) == len(hosts) - 1, replies)
    check("losers_are_told_who_won", all(f"operator {winners[0]}" in a["lost"][0] for a in losers),
          losers[:1])

    await d.set_link_mode("dunav-1", "platform", "cut")
    began = now_ms()
    status, answer = await d.apply_rules(hosts[0], "account gamma share=77 # Mila", replace=0)
    check("cut_off_hosts_confirm_by_peers", status == 200 and not answer["unconfirmed"]
          and now_ms() - began <= 3000, (answer, now_ms() - began))
    d.kill("dunav-1-h2")
    d.start_host("dunav-1-h2")

    async def rules_copied():
        return "account gamma share=77" in await rule_versions(d, "dunav-1-h2")
    await d.wait_until("a restarted host that cannot reach the platform has the rules",
                       rules_copied)
    check("new_host_learns_from_peers", True)
    await d.set_link_mode("dunav-1", "platform", "ok")

    applied_before = (await d.status(hosts[0]))["applied"]
    accepted = await d.submit(hosts[0], "beta", "outlives", {"run_ms": 1500, "echo": "o"},
                              idempotent=True, detached=True)
    check("detached_job_accepted", accepted["outcome"] == "pending", accepted)

    async def snapshot_published():
        return sum([await d.metric(h, "snapshots_total") for h in hosts]) >= 1
    await d.wait_until("a snapshot is published", snapshot_published)
    end = (await d.platform_stats())["end"]
    async with d.session.post(f"http://127.0.0.1:{d.platform_port}/trim?keep=8"):
        pass
    begin = (await d.platform_stats())["begin"]
    check("the_beginning_is_gone", begin > 0 and end > applied_before, (begin, end))
    for host in hosts:
        d.kill(host)
    for host in hosts:
        d.start_host(host)
    await d.wait_for_leaders()
    rules_after = await rule_versions(d, hosts[0])
    check("rules_survive_all_hosts", "account gamma share=77" in rules_after
          and (await d.status(hosts[0]))["applied"] >= applied_before, rules_after)
    answer = await d.job(hosts[1], "beta/outlives", 20000)
    check("accepted_job_survives_all_hosts", answer.get("outcome") == "done", answer)
    await verify_no_violations(d)

main(run, settings={"snapshot_records": 10})

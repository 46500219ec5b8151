#!/usr/bin/python3
"""Runs the brief's deployment with a mix of work and prints what came of it.

usage: run.py [--kill HOST|any] [--seconds N] [--seed N]

Counts come from the callers' own records and from those of the backend
servers, not from the daemons.  Exits non-zero unless nothing was lost,
doubled or run in part.
"""
import argparse
import asyncio
import os
import random
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "tests"))
import aiohttp  # noqa: E402

from harness import Deployment, LEPILO, ROOT, audit  # noqa: E402

RETRIES = 6


class Caller:
    """Sends requests through several hosts, with retries by the same key."""

    def __init__(self, deployment, random_source):
        self.deployment = deployment
        self.random = random_source
        self.outcomes = {}
        self.times = {}

    async def send(self, kind, account, key, payload, **fields):
        began = time.monotonic()
        answer = None
        for attempt in range(RETRIES):
            hosts = self.deployment.up()
            host = hosts[self.random.randrange(len(hosts))].name
            try:
                answer = await self.deployment.submit(host, account, key, payload, **fields)
            except aiohttp.ClientError:
                answer = None  # the host died: ask another, by the same key
            if answer is not None and answer.get("outcome") not in ("pending", "unavailable"):
                break
            await asyncio.sleep(0.1 * (attempt + 1))
        self.times.setdefault(kind, []).append(time.monotonic() - began)
        self.outcomes[f"{account}/{key}"] = (kind, answer, payload)

    async def cancel(self, host, job):
        async with self.deployment.session.delete(
                f"{self.deployment.hosts[host].url}/v1/jobs/{job}?wait_ms=5000") as response:
            return await response.json()


def mix(caller, seconds, source):
    """The brief's kinds of work, as coroutines with their start times."""
    work = []
    for i in range(seconds * 12):
        at = source.random() * seconds
        size = source.choice([10, 100, 20000])
        work.append((at, caller.send("quote", "recipes", f"quote-{i}",
                                     {"run_ms": 20, "echo": f"q{i}", "size": size},
                                     idempotent=True, **{"class": "urgent"})))
    for i in range(seconds * 6):
        work.append((source.random() * seconds,
                     caller.send("reorder", "reorders", f"reorder-{i}",
                                 {"run_ms": 30, "echo": f"r{i}"}, idempotent=False)))
    for i in range(seconds):
        tasks = source.choice([2, 4, 8, 8])
        work.append((source.random() * seconds,
                     caller.send("gang", "heating", f"gang-{i}",
                                 {"run_ms": source.choice([300, 800]), "echo": f"g{i}"},
                                 tasks=tasks, accels=source.choice([2, 4, 8]), adjacent="rack",
                                 idempotent=True, declared_ms=5000)))
    for i in range(seconds * 2):
        work.append((source.random() * seconds,
                     caller.send("archive", "archive", f"archive-{i}",
                                 {"run_ms": 400, "echo": f"a{i}"}, accels=1, idempotent=True,
                                 checkpointable=True, **{"class": "batch"})))
    work.append((0.5, caller.send("never", "heating", "too-large", {}, tasks=128, accels=8,
                                  adjacent="rack", idempotent=True)))
    return work


async def cancellations(caller, deployment, source):
    """Submits long jobs without waiting and cancels them."""
    for i in range(5):
        host = deployment.up()[0].name
        job = f"archive/cancel-{i}"
        await deployment.submit(host, "archive", f"cancel-{i}", {"run_ms": 60000}, accels=1,
                                idempotent=True, wait_ms=0)
        hosts = deployment.up()
        try:
            answer = await caller.cancel(hosts[source.randrange(len(hosts))].name, job)
        except aiohttp.ClientError:
            answer = await caller.cancel(deployment.up()[0].name, job)
        caller.outcomes[job] = ("cancel", {"status": 200, **answer}, {})


def tally(caller, records):
    counts = {"submitted": len(caller.outcomes), "completed": 0, "refused": 0, "unknown": 0,
              "lost": 0}
    started = {entry["id"] for entry in records if entry["what"] == "start"}
    rows = {}
    for job, (kind, answer, payload) in caller.outcomes.items():
        outcome = "none" if answer is None else answer.get("outcome", "error")
        ran = "unknown" if answer is None else answer.get("ran", "unknown")
        wrong = outcome == "done" and payload.get("echo", "") not in answer.get("output", "")
        if outcome == "done" and not wrong and \
                len(answer["output"]) < payload.get("size", 0):
            wrong = True
        if outcome in ("none", "pending", "error") or wrong:
            counts["lost"] += 1
        elif ran == "unknown":
            counts["unknown"] += 1
        elif ran == "no" and outcome != "done":
            counts["refused"] += 1
            counts["lost"] += job in started  # "not run" was not true
        else:
            counts["completed"] += 1
        rows.setdefault(kind, {}).setdefault(outcome, 0)
        rows[kind][outcome] += 1
    return counts, rows


async def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--kill", default="", help="entry host to kill -9 during the run, or any")
    parser.add_argument("--seconds", type=int, default=8)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    source = random.Random(options.seed)
    deployment = Deployment(LEPILO)
    print(f"logs and settings are in {deployment.directory}", flush=True)
    try:
        with open(os.path.join(ROOT, "examples", "rules.txt"), encoding="utf-8") as file:
            rules = file.read()
        began = time.monotonic()
        await deployment.start_all(rules)
        print(f"started {len(deployment.hosts)} hosts and {len(deployment.servers)} servers in "
              f"{time.monotonic() - began:.1f} s; rules applied", flush=True)
        caller = Caller(deployment, source)

        async def later(delay, job):
            await asyncio.sleep(delay)
            await job

        async def kill():
            await asyncio.sleep(options.seconds / 2)
            name = options.kill if options.kill != "any" else \
                await deployment.holder("trakia-1") or "trakia-1-h1"
            deployment.kill(name)
            print(f"killed {name}", flush=True)

        jobs = [later(at, job) for at, job in mix(caller, options.seconds, source)]
        jobs.append(cancellations(caller, deployment, source))
        if options.kill:
            jobs.append(kill())
        tasks = [asyncio.ensure_future(job) for job in jobs]
        while any(not task.done() for task in tasks):
            await asyncio.wait(tasks, timeout=2)
            done = sum(task.done() for task in tasks)
            print(f"{done} of {len(tasks)} requests answered", flush=True)
        for task in tasks:
            task.result()
        records = await deployment.records()
        counts, rows = tally(caller, records)
        found = audit(records)
        print(f"{'kind':10} {'outcome':14} {'count':>6} {'p50 ms':>8} {'p99 ms':>8}")
        for kind, outcomes in sorted(rows.items()):
            times = sorted(caller.times.get(kind, [0]))
            for outcome, count in sorted(outcomes.items()):
                print(f"{kind:10} {outcome:14} {count:6} {times[len(times) // 2] * 1000:8.1f} "
                      f"{times[int(len(times) * 0.99)] * 1000:8.1f}")
        print(" ".join(f"{key}={value}" for key, value in counts.items()) +
              f" doubled={found['doubled']} partial_gangs={found['partial_gangs']}")
        return 0 if counts["lost"] + found["doubled"] + found["partial_gangs"] == 0 else 1
    finally:
        await deployment.stop()


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))

#!/usr/bin/python3
"""Runs the example deployment under a mixed workload and prints a table of outcomes.

usage: run_example.py [--kill HOST|any] [--seconds N] [--seed N]

The counts come from the answers to the clients and from the backend servers'
records, not from the daemons' metrics.  Exits non-zero if a job was lost, a task
that is not idempotent started twice, or only a part of a gang ran.
"""
import argparse
import asyncio
import os
import random
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "tests"))
import aiohttp  # noqa: E402

from harness import Deployment, EXAMPLE_SHAPE, ROOT, count_violations  # noqa: E402

MAX_TRIES = 6


class Caller:
    """Sends requests to random hosts and retries them with the same key.

    `outcomes` maps each job to its kind, its last answer and its payload;
    `durations_s` maps each kind to the times until the jobs' last answers.
    """

    def __init__(self, deployment, rng):
        self.deployment = deployment
        self.rng = rng
        self.outcomes = {}
        self.durations_s = {}

    async def send(self, kind, account, key, payload, **fields):
        start_time = time.monotonic()
        answer = None
        for attempt in range(MAX_TRIES):
            hosts = self.deployment.running_hosts()
            host = hosts[self.rng.randrange(len(hosts))].name
            try:
                answer = await self.deployment.submit(host, account, key, payload, **fields)
            except aiohttp.ClientError:
                answer = None  # the host was killed: retry at another one with the same key
            if answer is not None and answer.get("outcome") not in ("pending", "unavailable"):
                break
            await asyncio.sleep(0.1 * (attempt + 1))
        self.durations_s.setdefault(kind, []).append(time.monotonic() - start_time)
        self.outcomes[f"{account}/{key}"] = (kind, answer, payload)

    async def cancel(self, host, job):
        async with self.deployment.session.delete(
                f"{self.deployment.hosts[host].url}/v1/jobs/{job}?wait_ms=5000") as response:
            return await response.json()


def create_workload(caller, seconds, rng):
    """Returns (start time in seconds, coroutine) for each request of the workload."""
    work = []
    for i in range(seconds * 12):
        start_s = rng.random() * seconds
        size = rng.choice([10, 100, 20000])
        work.append((start_s, caller.send("quote", "recipes", f"quote-{i}",
                                     {"run_ms": 20, "echo": f"q{i}", "size": size},
                                     idempotent=True, **{"class": "urgent"})))
    for i in range(seconds * 6):
        work.append((rng.random() * seconds,
                     caller.send("reorder", "reorders", f"reorder-{i}",
                                 {"run_ms": 30, "echo": f"r{i}"}, idempotent=False)))
    for i in range(seconds):
        tasks = rng.choice([2, 4, 8, 8])
        work.append((rng.random() * seconds,
                     caller.send("gang", "heating", f"gang-{i}",
                                 {"run_ms": rng.choice([300, 800]), "echo": f"g{i}"},
                                 tasks=tasks, accels=rng.choice([2, 4, 8]), adjacent="rack",
                                 idempotent=True, declared_ms=5000)))
    for i in range(seconds * 2):
        work.append((rng.random() * seconds,
                     caller.send("archive", "archive", f"archive-{i}",
                                 {"run_ms": 400, "echo": f"a{i}"}, accels=1, idempotent=True,
                                 checkpointable=True, **{"class": "batch"})))
    work.append((0.5, caller.send("never", "heating", "too-large", {}, tasks=128, accels=8,
                                  adjacent="rack", idempotent=True)))
    return work


async def submit_and_cancel(caller, deployment, rng):
    """Submits five long jobs without waiting for their end, and cancels each."""
    for i in range(5):
        host = deployment.running_hosts()[0].name
        job = f"archive/cancel-{i}"
        await deployment.submit(host, "archive", f"cancel-{i}", {"run_ms": 60000}, accels=1,
                                idempotent=True, wait_ms=0)
        hosts = deployment.running_hosts()
        try:
            answer = await caller.cancel(hosts[rng.randrange(len(hosts))].name, job)
        except aiohttp.ClientError:
            answer = await caller.cancel(deployment.running_hosts()[0].name, job)
        caller.outcomes[job] = ("cancel", {"status": 200, **answer}, {})


def count_outcomes(caller, records):
    """Returns the totals and, by kind, the number of jobs with each outcome.

    A job is lost if it has no final answer, if its output is wrong, or if the answer
    says that it did not run although a server's record shows a start.
    """
    counts = {"submitted": len(caller.outcomes), "completed": 0, "refused": 0, "unknown": 0,
              "lost": 0}
    started_jobs = {entry["id"] for entry in records if entry["what"] == "start"}
    outcome_counts = {}
    for job, (kind, answer, payload) in caller.outcomes.items():
        outcome = "none" if answer is None else answer.get("outcome", "error")
        ran = "unknown" if answer is None else answer.get("ran", "unknown")
        bad_output = outcome == "done" and payload.get("echo", "") not in answer.get("output", "")
        if outcome == "done" and not bad_output and \
                len(answer["output"]) < payload.get("size", 0):
            bad_output = True
        if outcome in ("none", "pending", "error") or bad_output:
            counts["lost"] += 1
        elif ran == "unknown":
            counts["unknown"] += 1
        elif ran == "no" and outcome != "done":
            counts["refused"] += 1
            counts["lost"] += job in started_jobs  # the answer is wrong
        else:
            counts["completed"] += 1
        outcome_counts.setdefault(kind, {}).setdefault(outcome, 0)
        outcome_counts[kind][outcome] += 1
    return counts, outcome_counts


async def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--kill", default="",
                        help="entry host to kill halfway through, or any: the leader of trakia-1")
    parser.add_argument("--seconds", type=int, default=8)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    rng = random.Random(options.seed)
    deployment = Deployment(EXAMPLE_SHAPE)
    print(f"logs and settings are in {deployment.directory}", flush=True)
    try:
        with open(os.path.join(ROOT, "examples", "rules.txt"), encoding="utf-8") as file:
            rules = file.read()
        start_time = time.monotonic()
        await deployment.start_all(rules)
        print(f"started {len(deployment.hosts)} hosts and {len(deployment.servers)} servers in "
              f"{time.monotonic() - start_time:.1f} s; rules applied", flush=True)
        caller = Caller(deployment, rng)

        async def send_after(delay_s, request):
            await asyncio.sleep(delay_s)
            await request

        async def kill_host():
            await asyncio.sleep(options.seconds / 2)
            name = options.kill if options.kill != "any" else \
                await deployment.leader("trakia-1") or "trakia-1-h1"
            deployment.kill(name)
            print(f"killed {name}", flush=True)

        requests = [send_after(start_s, request)
                    for start_s, request in create_workload(caller, options.seconds, rng)]
        requests.append(submit_and_cancel(caller, deployment, rng))
        if options.kill:
            requests.append(kill_host())
        tasks = [asyncio.ensure_future(request) for request in requests]
        while any(not task.done() for task in tasks):
            await asyncio.wait(tasks, timeout=2)
            done = sum(task.done() for task in tasks)
            print(f"{done} of {len(tasks)} requests answered", flush=True)
        for task in tasks:
            task.result()
        records = await deployment.execution_records()
        counts, outcome_counts = count_outcomes(caller, records)
        violations = count_violations(records)
        print(f"{'kind':10} {'outcome':14} {'count':>6} {'p50 ms':>8} {'p99 ms':>8}")
        for kind, outcomes in sorted(outcome_counts.items()):
            durations_s = sorted(caller.durations_s.get(kind, [0]))
            for outcome, count in sorted(outcomes.items()):
                print(f"{kind:10} {outcome:14} {count:6} "
                      f"{durations_s[len(durations_s) // 2] * 1000:8.1f} "
                      f"{durations_s[int(len(durations_s) * 0.99)] * 1000:8.1f}")
        print(" ".join(f"{key}={value}" for key, value in counts.items()) +
              f" doubled={violations['doubled']} partial_gangs={violations['partial_gangs']}")
        return 0 if counts["lost"] + violations["doubled"] + violations["partial_gangs"] == 0 else 1
    finally:
        await deployment.stop()


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))

#!/usr/bin/python3
"""What the path adds to a direct call of a backend server; a burst; idle cost.

usage: path.py

Direct and scheduled calls alternate in one run.  Prints key=value lines.
"""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "tests"))
sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from harness import Deployment, LEPILO, audit  # noqa: E402
from slopes import text, window  # noqa: E402

CALLS = 300
RUN_MS = 5
BURST = 2000
CONNECTIONS = 64


def percentile(values, share):
    return sorted(values)[int((len(values) - 1) * share)]


async def compare(d, name, host, idempotent):
    """Pairs of a direct and a scheduled call, one at a time."""
    server = next(s for s in d.servers if s["dc"] == d.hosts[host].dc)
    direct, path = [], []
    for i in range(CALLS):
        began = time.perf_counter()
        async with d.session.post(f"{server['address']}/run", data=f'{{"run_ms": {RUN_MS}}}') as r:
            await r.read()
        direct.append(time.perf_counter() - began)
        began = time.perf_counter()
        answer = await d.submit(host, "a", f"{name}-{i}", {"run_ms": RUN_MS}, idempotent=idempotent)
        assert answer["outcome"] == "done", answer
        path.append(time.perf_counter() - began)
    for label, share in (("p50", 0.5), ("p99", 0.99)):
        a, b = percentile(direct, share) * 1000, percentile(path, share) * 1000
        print(f"path={name} {label} direct_ms={a:.2f} path_ms={b:.2f} added_ms={b - a:.2f}", flush=True)


async def main():
    d = Deployment(LEPILO)
    await d.start_all("account a # bench\n")
    holders = {dc: await d.holder(dc) for dc in d.farms}
    other = next(h.name for h in d.hosts.values()
                 if h.dc == "trakia-1" and h.name != holders["trakia-1"])
    row = await window(d, other)
    print("idle role=entry " + text(row))
    row = await window(d, holders["trakia-1"])
    print("idle role=placing servers=18 " + text(row), flush=True)
    await compare(d, "placing_host", holders["trakia-1"], True)
    await compare(d, "entry_host_same_dc", other, True)
    await compare(d, "non_idempotent_same_dc", other, False)
    await d.rules(other, "datacentre trakia-1 out # bench\ndatacentre trakia-2 out # bench\n", 0)
    await compare(d, "across_regions", other, True)
    await d.rules(other, "datacentre trakia-1 in # bench\ndatacentre trakia-2 in # bench\n", 0)
    gate = asyncio.Semaphore(CONNECTIONS)
    hosts = list(d.hosts)

    async def one(i):
        async with gate:
            began = time.perf_counter()
            answer = await d.submit(hosts[i % len(hosts)], "a", f"burst-{i}",
                                    {"run_ms": 10, "echo": f"e{i}"}, idempotent=i % 4 > 0)
            return answer, time.perf_counter() - began
    began = time.perf_counter()
    answers = await asyncio.gather(*[one(i) for i in range(BURST)])
    took = time.perf_counter() - began
    done = sum(a["outcome"] == "done" and f":e{i}:" in a["output"] for i, (a, _) in enumerate(answers))
    times = [t for _, t in answers]
    found = audit(await d.records())
    print(f"burst requests={BURST} connections={CONNECTIONS} done={done} lost={BURST - done} "
          f"doubled={found['doubled']} seconds={took:.1f} p50_ms={percentile(times, 0.5) * 1000:.1f} "
          f"p99_ms={percentile(times, 0.99) * 1000:.1f}")
    await d.stop()


if __name__ == "__main__":
    asyncio.run(main())

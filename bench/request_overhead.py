#!/usr/bin/python3
"""Measures the latency that the scheduler adds to a direct call of a backend server.

usage: request_overhead.py

Direct and scheduled calls alternate in one run, so that both see the same load.
Also measures the cost of idle hosts, and a burst of requests.  Prints key=value
lines.
"""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "tests"))
sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from harness import Deployment, EXAMPLE_SHAPE, count_violations  # noqa: E402
from slopes import format_row, measure_window  # noqa: E402

CALLS = 300
RUN_MS = 5
BURST = 2000
CONNECTIONS = 64


def percentile(values, share):
    return sorted(values)[int((len(values) - 1) * share)]


async def compare(d, name, host, idempotent):
    """Makes pairs of a direct and a scheduled call, one call at a time; prints the latencies."""
    server = next(s for s in d.servers if s["dc"] == d.hosts[host].dc)
    direct_s, scheduled_s = [], []
    for i in range(CALLS):
        start_time = time.perf_counter()
        async with d.session.post(f"{server['address']}/run",
                                  data=f'{{"run_ms": {RUN_MS}}}') as response:
            await response.read()
        direct_s.append(time.perf_counter() - start_time)
        start_time = time.perf_counter()
        answer = await d.submit(host, "a", f"{name}-{i}", {"run_ms": RUN_MS}, idempotent=idempotent)
        assert answer["outcome"] == "done", answer
        scheduled_s.append(time.perf_counter() - start_time)
    for label, share in (("p50", 0.5), ("p99", 0.99)):
        direct_ms, scheduled_ms = percentile(direct_s, share) * 1000, \
            percentile(scheduled_s, share) * 1000
        print(f"path={name} {label} direct_ms={direct_ms:.2f} path_ms={scheduled_ms:.2f} "
              f"added_ms={scheduled_ms - direct_ms:.2f}", flush=True)


async def main():
    d = Deployment(EXAMPLE_SHAPE)
    await d.start_all("account a # bench\n")
    leaders = {dc: await d.leader(dc) for dc in d.server_group_ports}
    other_host = next(h.name for h in d.hosts.values()
                      if h.dc == "trakia-1" and h.name != leaders["trakia-1"])
    row = await measure_window(d, other_host)
    print("idle role=entry " + format_row(row))
    row = await measure_window(d, leaders["trakia-1"])
    print("idle role=placing servers=18 " + format_row(row), flush=True)
    await compare(d, "placing_host", leaders["trakia-1"], True)
    await compare(d, "entry_host_same_dc", other_host, True)
    await compare(d, "non_idempotent_same_dc", other_host, False)
    await d.apply_rules(other_host,
                        "datacentre trakia-1 out # bench\ndatacentre trakia-2 out # bench\n", 0)
    await compare(d, "across_regions", other_host, True)
    await d.apply_rules(other_host,
                        "datacentre trakia-1 in # bench\ndatacentre trakia-2 in # bench\n", 0)
    connection_slots = asyncio.Semaphore(CONNECTIONS)
    hosts = list(d.hosts)

    async def submit_one(i):
        async with connection_slots:
            start_time = time.perf_counter()
            answer = await d.submit(hosts[i % len(hosts)], "a", f"burst-{i}",
                                    {"run_ms": 10, "echo": f"e{i}"}, idempotent=i % 4 > 0)
            return answer, time.perf_counter() - start_time
    start_time = time.perf_counter()
    answers = await asyncio.gather(*[submit_one(i) for i in range(BURST)])
    elapsed_s = time.perf_counter() - start_time
    done = sum(a["outcome"] == "done" and f":e{i}:" in a["output"]
               for i, (a, _) in enumerate(answers))
    times = [t for _, t in answers]
    violations = count_violations(await d.execution_records())
    print(f"burst requests={BURST} connections={CONNECTIONS} done={done} lost={BURST - done} "
          f"doubled={violations['doubled']} seconds={elapsed_s:.1f} "
          f"p50_ms={percentile(times, 0.5) * 1000:.1f} "
          f"p99_ms={percentile(times, 0.99) * 1000:.1f}")
    await d.stop()


if __name__ == "__main__":
    asyncio.run(main())

#!/usr/bin/python3
"""Slopes of an entry host's cost over servers, tasks, hosts, accounts and
changes of configuration, measured on real daemons against light stand-ins.

usage: slopes.py OUTPUT

Prints and writes key=value lines: each measured point, then slope, intercept
and fit (r2) by least squares.  With gnuplot there is a plot beside OUTPUT.
"""
import asyncio
import os
import subprocess
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "tests"))
from harness import Deployment  # noqa: E402

WINDOW_S = 6
TICKS = os.sysconf("SC_CLK_TCK")
PAGE = os.sysconf("SC_PAGE_SIZE")
LINES = []


def say(line):
    print(line, flush=True)
    LINES.append(line)


def cpu_s(pid):
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def rss_bytes(pid):
    with open(f"/proc/{pid}/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * PAGE


async def sample(d, name):
    pid = d.hosts[name].process.pid
    values = {"cpu_s": cpu_s(pid), "rss": rss_bytes(pid)}
    for metric in ("backend_bytes_total", "peer_bytes_out_total", "peer_bytes_in_total",
                   "platform_bytes_total", "syncs_total", "steps_total", "step_microseconds_total"):
        values[metric] = await d.metric(name, metric)
    return values


async def window(d, name, during=None):
    """Cost of the host NAME over one window, per second."""
    before = await sample(d, name)
    began = asyncio.get_running_loop().time()
    if during is not None:
        await during(WINDOW_S)
    rest = WINDOW_S - (asyncio.get_running_loop().time() - began)
    await asyncio.sleep(max(rest, 0))
    took = asyncio.get_running_loop().time() - began
    after = await sample(d, name)
    rate = {k: (after[k] - before[k]) / took for k in after}
    return {"cpu_percent": 100 * rate["cpu_s"], "rss_mb": after["rss"] / 1e6,
            "backend_kbytes_s": rate["backend_bytes_total"] / 1e3,
            "peer_kbytes_s": (rate["peer_bytes_out_total"] + rate["peer_bytes_in_total"]) / 1e3,
            "platform_kbytes_s": rate["platform_bytes_total"] / 1e3}


def fit(points):
    n = len(points)
    mx = sum(x for x, _ in points) / n
    my = sum(y for _, y in points) / n
    sxx = sum((x - mx) ** 2 for x, _ in points)
    slope = sum((x - mx) * (y - my) for x, y in points) / sxx
    intercept = my - slope * mx
    rest = sum((y - slope * x - intercept) ** 2 for x, y in points)
    total = sum((y - my) ** 2 for _, y in points)
    return slope, intercept, 1 - rest / total if total > 0 else 1.0


def conclude(over, role, rows):
    for measure in rows[0][1]:
        points = [(x, row[measure]) for x, row in rows]
        slope, intercept, r2 = fit(points)
        say(f"slope over={over} role={role} measure={measure} slope={slope:.6f} "
            f"intercept={intercept:.4f} r2={r2:.3f}")


async def deployment(servers, hosts=2, rules="account a # bench\n"):
    d = Deployment([("dc-1", "r1", hosts, servers)])
    await d.start()
    await d.until_placed(limit_s=60)
    await d.until_heard()
    await d.rules("dc-1-h1", rules)
    return d, await d.holder("dc-1")


async def over_servers():
    placing, idle = [], []
    for servers in (25, 50, 100, 200):
        d, holder = await deployment(servers)
        other = next(h for h in d.hosts if h != holder)
        row, other_row = await asyncio.gather(window(d, holder), window(d, other))
        placing.append((servers, row))
        idle.append((servers, other_row))
        say(f"point over=servers x={servers} role=placing " + text(row))
        say(f"point over=servers x={servers} role=entry " + text(other_row))
        await d.stop()
    conclude("servers", "placing", placing)
    conclude("servers", "entry", idle)


async def over_tasks():
    rows = []
    d, holder = await deployment(100)
    other = next(h for h in d.hosts if h != holder)
    running = 0
    for tasks in (0, 200, 400, 700):
        for i in range(running, tasks):
            await d.submit(other, "a", f"t{i}", {"run_ms": 600000}, idempotent=True, wait_ms=0)
        running = tasks

        async def started(tasks=tasks):
            return await d.metric(holder, "tasks_running") >= tasks
        await d.until("the tasks run", started, 30)
        row = await window(d, holder)
        rows.append((tasks, row))
        say(f"point over=tasks x={tasks} role=placing " + text(row))
    await d.stop()
    conclude("tasks", "placing", rows)


async def over_hosts():
    rows = []
    for hosts in (2, 4, 8, 16):
        d, holder = await deployment(4, hosts)
        other = next(h for h in d.hosts if h != holder)
        row = await window(d, other)
        rows.append((hosts, row))
        say(f"point over=hosts x={hosts} role=entry " + text(row))
        await d.stop()
    conclude("hosts", "entry", rows)


async def over_accounts():
    rows = []
    for accounts in (4, 40, 85, 170):
        d, holder = await deployment(16, 2, "".join(
            f"account a{i} share=2 # bench\nlimit a{i} accels=50 # bench\n" for i in range(accounts)))
        row = await window(d, holder)
        size = (await d.platform_stats())["bytes"]
        row["log_kbytes"] = size / 1e3
        rows.append((accounts, row))
        say(f"point over=accounts x={accounts} role=placing " + text(row))
        await d.stop()
    conclude("accounts", "placing", rows)


async def over_changes():
    rows = []
    d, holder = await deployment(16, 4)
    number = 0
    for per_window in (0, 6, 12, 24):
        worst = 0.0

        async def change(seconds, per_window=per_window):
            nonlocal number, worst
            for _ in range(per_window):
                number += 1
                began = asyncio.get_running_loop().time()
                await d.rules(holder, f"account a share={number % 900 + 1} # bench", replace=0)
                took = asyncio.get_running_loop().time() - began
                worst = max(worst, took)
                await asyncio.sleep(max(seconds / per_window - took, 0))
        row = await window(d, holder, change if per_window else None)
        row["in_force_max_s"] = worst
        rows.append((per_window / WINDOW_S, row))
        say(f"point over=changes_per_s x={per_window / WINDOW_S:.1f} role=placing " + text(row))
    await d.stop()
    conclude("changes_per_s", "placing", rows)


def text(row):
    return " ".join(f"{key}={value:.3f}" for key, value in row.items())


def plot(path):
    """Processor time of the placing host over backend servers."""
    points = [line.split() for line in LINES if line.startswith("point over=servers")
              and "role=placing" in line]
    data = "\n".join(f"{p[2][2:]} {p[4].split('=')[1]}" for p in points)
    script = ("set terminal png size 640,400\n" f"set output '{path}'\n"
              "set xlabel 'backend servers'\nset ylabel 'percent of a core'\n"
              f"$data << EOD\n{data}\nEOD\nplot $data with linespoints title 'placing host'\n")
    try:
        subprocess.run(["gnuplot"], input=script, text=True, check=True)
    except (OSError, subprocess.CalledProcessError):
        print("no plot: gnuplot did not run")


async def main():
    for part in (over_servers, over_tasks, over_hosts, over_accounts, over_changes):
        await part()
    with open(sys.argv[1], "w", encoding="utf-8") as file:
        file.write("\n".join(LINES) + "\n")
    plot(os.path.splitext(sys.argv[1])[0] + ".png")


if __name__ == "__main__":
    asyncio.run(main())

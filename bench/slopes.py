#!/usr/bin/python3
"""Measures how the cost of a host grows with the size of the deployment.

usage: slopes.py OUTPUT

The dimensions are servers, tasks, hosts, accounts and configuration changes per
second; the daemons are real, the systems around them are stand-ins.  Prints and
writes to OUTPUT key=value lines: each measured point, then slope, intercept and
r2 (coefficient of determination) of a least-squares line.  If gnuplot is
installed, it draws a plot next to OUTPUT.

role=placing is the leader of a data centre, role=entry a host that is no leader.
"""
import asyncio
import os
import subprocess
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "tests"))
from harness import Deployment  # noqa: E402

WINDOW_S = 6
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_SIZE = os.sysconf("SC_PAGE_SIZE")
REPORTED_LINES = []


def report(line):
    print(line, flush=True)
    REPORTED_LINES.append(line)


def cpu_s(pid):
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def rss_bytes(pid):
    with open(f"/proc/{pid}/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * PAGE_SIZE


async def sample(d, name):
    pid = d.hosts[name].process.pid
    values = {"cpu_s": cpu_s(pid), "rss": rss_bytes(pid)}
    for metric in ("backend_bytes_total", "peer_bytes_out_total", "peer_bytes_in_total",
                   "platform_bytes_total", "syncs_total", "steps_total", "step_microseconds_total"):
        values[metric] = await d.metric(name, metric)
    return values


async def measure_window(d, name, during=None):
    """Measures the cost of the host NAME over WINDOW_S seconds.

    CPU and traffic are rates per second, memory is the value at the end.  DURING, a
    coroutine function that gets the length in seconds, runs meanwhile.
    """
    before = await sample(d, name)
    start_time = asyncio.get_running_loop().time()
    if during is not None:
        await during(WINDOW_S)
    remaining_s = WINDOW_S - (asyncio.get_running_loop().time() - start_time)
    await asyncio.sleep(max(remaining_s, 0))
    elapsed_s = asyncio.get_running_loop().time() - start_time
    after = await sample(d, name)
    rates = {k: (after[k] - before[k]) / elapsed_s for k in after}
    return {"cpu_percent": 100 * rates["cpu_s"], "rss_mb": after["rss"] / 1e6,
            "backend_kbytes_s": rates["backend_bytes_total"] / 1e3,
            "peer_kbytes_s": (rates["peer_bytes_out_total"] + rates["peer_bytes_in_total"]) / 1e3,
            "platform_kbytes_s": rates["platform_bytes_total"] / 1e3}


def fit_line(points):
    """Returns slope, intercept and r2 of the least-squares line through (x, y) points."""
    n = len(points)
    mean_x = sum(x for x, _ in points) / n
    mean_y = sum(y for _, y in points) / n
    sxx = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / sxx
    intercept = mean_y - slope * mean_x
    residual = sum((y - slope * x - intercept) ** 2 for x, y in points)
    total = sum((y - mean_y) ** 2 for _, y in points)
    return slope, intercept, 1 - residual / total if total > 0 else 1.0


def report_slopes(over, role, rows):
    for measure in rows[0][1]:
        points = [(x, row[measure]) for x, row in rows]
        slope, intercept, r2 = fit_line(points)
        report(f"slope over={over} role={role} measure={measure} slope={slope:.6f} "
               f"intercept={intercept:.4f} r2={r2:.3f}")


async def start_deployment(servers, hosts=2, rules="account a # bench\n"):
    d = Deployment([("dc-1", "r1", hosts, servers)])
    await d.start()
    await d.wait_for_leaders(limit_s=60)
    await d.wait_for_peers()
    await d.apply_rules("dc-1-h1", rules)
    return d, await d.leader("dc-1")


async def over_servers():
    leader_rows, entry_rows = [], []
    for servers in (25, 50, 100, 200):
        d, leader = await start_deployment(servers)
        other = next(h for h in d.hosts if h != leader)
        row, other_row = await asyncio.gather(measure_window(d, leader), measure_window(d, other))
        leader_rows.append((servers, row))
        entry_rows.append((servers, other_row))
        report(f"point over=servers x={servers} role=placing " + format_row(row))
        report(f"point over=servers x={servers} role=entry " + format_row(other_row))
        await d.stop()
    report_slopes("servers", "placing", leader_rows)
    report_slopes("servers", "entry", entry_rows)


async def over_tasks():
    rows = []
    d, leader = await start_deployment(100)
    other = next(h for h in d.hosts if h != leader)
    running = 0
    for tasks in (0, 200, 400, 700):
        for i in range(running, tasks):
            await d.submit(other, "a", f"t{i}", {"run_ms": 600000}, idempotent=True, wait_ms=0)
        running = tasks

        async def started(tasks=tasks):
            return await d.metric(leader, "tasks_running") >= tasks
        await d.wait_until("the tasks run", started, 30)
        row = await measure_window(d, leader)
        rows.append((tasks, row))
        report(f"point over=tasks x={tasks} role=placing " + format_row(row))
    await d.stop()
    report_slopes("tasks", "placing", rows)


async def over_hosts():
    rows = []
    for hosts in (2, 4, 8, 16):
        d, leader = await start_deployment(4, hosts)
        other = next(h for h in d.hosts if h != leader)
        row = await measure_window(d, other)
        rows.append((hosts, row))
        report(f"point over=hosts x={hosts} role=entry " + format_row(row))
        await d.stop()
    report_slopes("hosts", "entry", rows)


async def over_accounts():
    rows = []
    for accounts in (4, 40, 85, 170):
        d, leader = await start_deployment(16, 2, "".join(
            f"account a{i} share=2 # bench\nlimit a{i} accels=50 # bench\n"
            for i in range(accounts)))
        row = await measure_window(d, leader)
        log_bytes = (await d.platform_stats())["bytes"]
        row["log_kbytes"] = log_bytes / 1e3
        rows.append((accounts, row))
        report(f"point over=accounts x={accounts} role=placing " + format_row(row))
        await d.stop()
    report_slopes("accounts", "placing", rows)


async def over_changes():
    rows = []
    d, leader = await start_deployment(16, 4)
    number = 0
    for per_window in (0, 6, 12, 24):
        longest_s = 0.0

        async def change(seconds, per_window=per_window):
            nonlocal number, longest_s
            for _ in range(per_window):
                number += 1
                start_time = asyncio.get_running_loop().time()
                await d.apply_rules(leader, f"account a share={number % 900 + 1} # bench",
                                    replace=0)
                elapsed_s = asyncio.get_running_loop().time() - start_time
                longest_s = max(longest_s, elapsed_s)
                await asyncio.sleep(max(seconds / per_window - elapsed_s, 0))
        row = await measure_window(d, leader, change if per_window else None)
        row["in_force_max_s"] = longest_s
        rows.append((per_window / WINDOW_S, row))
        report(f"point over=changes_per_s x={per_window / WINDOW_S:.1f} role=placing "
               + format_row(row))
    await d.stop()
    report_slopes("changes_per_s", "placing", rows)


def format_row(row):
    return " ".join(f"{key}={value:.3f}" for key, value in row.items())


def plot(path):
    """Plots the leader's processor time over the number of backend servers."""
    points = [line.split() for line in REPORTED_LINES if line.startswith("point over=servers")
              and "role=placing" in line]
    data = "\n".join(f"{p[2][2:]} {p[4].split('=')[1]}" for p in points)
    script = ("set terminal png size 640,400\n" f"set output '{path}'\n"
              "set xlabel 'backend servers'\nset ylabel 'percent of a core'\n"
              f"$data << EOD\n{data}\nEOD\nplot $data with linespoints title 'leader'\n")
    try:
        subprocess.run(["gnuplot"], input=script, text=True, check=True)
    except (OSError, subprocess.CalledProcessError):
        print("no plot: gnuplot did not run")


async def main():
    for part in (over_servers, over_tasks, over_hosts, over_accounts, over_changes):
        await part()
    with open(sys.argv[1], "w", encoding="utf-8") as file:
        file.write("\n".join(REPORTED_LINES) + "\n")
    plot(os.path.splitext(sys.argv[1])[0] + ".png")


if __name__ == "__main__":
    asyncio.run(main())

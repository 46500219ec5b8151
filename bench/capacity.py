#!/usr/bin/python3
"""Works the figures of docs/CAPACITY.md out of the lines of slopes.py.

usage: capacity.py SLOPES

Prints the cost of each role at today's size and at the target.  What is
computed from slopes says so; nothing here is measured.
"""
import sys

CPU_LIMIT, MEMORY_LIMIT, BYTES_LIMIT = 1.1, 256.0, 29.0
# Today: 50 servers and 7 hosts in 3 data centres, 8 slots each half used.
TODAY = {"servers_dc": 18, "tasks_dc": 72, "hosts": 7, "hosts_dc": 3, "accounts": 4,
         "changes_s": 0.001}
# The target: 1,600 servers in 4 data centres, 21,000 tasks, 830 changes a day,
# and as many hosts for each server as today.
TARGET = {"servers_dc": 400, "tasks_dc": 5250, "hosts": 224, "hosts_dc": 56, "accounts": 170,
          "changes_s": 830 / 86400}


def read(path):
    slopes = {}
    with open(path, encoding="utf-8") as file:
        for line in file:
            if line.startswith("slope "):
                fields = dict(word.split("=") for word in line.split()[1:])
                key = (fields["over"], fields["role"], fields["measure"])
                slopes[key] = (float(fields["slope"]), float(fields["intercept"]))
    return slopes


def cost(slopes, size, servers, tasks, hosts, measure):
    """Base of an idle entry host and what each dimension adds to it."""
    base = slopes[("servers", "entry", measure)][1]
    parts = {
        "servers": slopes[("servers", "placing", measure)][0] * servers,
        "tasks": slopes[("tasks", "placing", measure)][0] * tasks,
        "hosts": slopes[("hosts", "entry", measure)][0] * hosts,
        "accounts": slopes[("accounts", "placing", measure)][0] * size["accounts"],
        "changes": slopes[("changes_per_s", "placing", measure)][0] * size["changes_s"],
    }
    return max(base, 0) + sum(max(part, 0) for part in parts.values()), parts


def show(slopes, label, size, servers, tasks, hosts):
    cpu, parts = cost(slopes, size, servers, tasks, hosts, "cpu_percent")
    memory, _ = cost(slopes, size, servers, tasks, hosts, "rss_mb")
    kbytes = {m: cost(slopes, size, servers, tasks, hosts, m)[0]
              for m in ("backend_kbytes_s", "peer_kbytes_s", "platform_kbytes_s")}
    total = sum(kbytes.values())
    verdict = [name for name, value, limit in (("cpu", cpu, CPU_LIMIT),
                                               ("memory", memory, MEMORY_LIMIT),
                                               ("bytes", total, BYTES_LIMIT)) if value > limit]
    print(f"computed role={label} servers={servers} tasks={tasks} hosts={hosts} "
          f"cpu_percent={cpu:.2f} memory_mb={memory:.1f} kbytes_s={total:.1f} "
          f"backend={kbytes['backend_kbytes_s']:.1f} peer={kbytes['peer_kbytes_s']:.1f} "
          f"platform={kbytes['platform_kbytes_s']:.1f} over={','.join(verdict) or 'none'} "
          + " ".join(f"cpu_{k}={v:.2f}" for k, v in parts.items()))


def main():
    slopes = read(sys.argv[1])
    show(slopes, "placing_today", TODAY, TODAY["servers_dc"], TODAY["tasks_dc"], TODAY["hosts"])
    show(slopes, "entry_today", TODAY, 0, 0, TODAY["hosts"])
    show(slopes, "placing_target", TARGET, TARGET["servers_dc"], TARGET["tasks_dc"], TARGET["hosts"])
    show(slopes, "entry_target", TARGET, 0, 0, TARGET["hosts"])
    share = TARGET["hosts_dc"]
    show(slopes, "target_links_shared", TARGET, TARGET["servers_dc"] / share,
         TARGET["tasks_dc"] / share, TARGET["hosts_dc"] + 3)


if __name__ == "__main__":
    main()

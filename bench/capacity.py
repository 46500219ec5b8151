#!/usr/bin/python3
"""Computes the figures of docs/CAPACITY.md from the output of slopes.py.

usage: capacity.py SLOPES

Prints the cost of a host in each role, at today's size and at the target size.
The lines begin with "computed" because nothing here is measured: the costs are
extrapolated from the measured slopes.
"""
import sys

CPU_LIMIT_PERCENT, MEMORY_LIMIT_MB, BYTES_LIMIT_KBYTES_S = 1.1, 256.0, 29.0
# Today: 50 servers and 7 hosts in 3 data centres; half of the 8 slots of each server are in use.
# Entries that end in _dc are for one data centre, the largest one.
TODAY = {"servers_dc": 18, "tasks_dc": 72, "hosts": 7, "hosts_dc": 3, "accounts": 4,
         "changes_s": 0.001}
# Target: 1,600 servers in 4 data centres, 21,000 tasks, 830 changes of the configuration a day,
# and as many hosts per server as today.
TARGET = {"servers_dc": 400, "tasks_dc": 5250, "hosts": 224, "hosts_dc": 56, "accounts": 170,
          "changes_s": 830 / 86400}


def read_slopes(path):
    slopes = {}
    with open(path, encoding="utf-8") as file:
        for line in file:
            if line.startswith("slope "):
                fields = dict(pair.split("=") for pair in line.split()[1:])
                key = (fields["over"], fields["role"], fields["measure"])
                slopes[key] = (float(fields["slope"]), float(fields["intercept"]))
    return slopes


def role_cost(slopes, size, servers, tasks, hosts, measure):
    """Returns the cost of a host and what each dimension adds to that of an idle one.

    A negative intercept or share counts as 0 in the sum.
    """
    base = slopes[("servers", "entry", measure)][1]
    parts = {
        "servers": slopes[("servers", "placing", measure)][0] * servers,
        "tasks": slopes[("tasks", "placing", measure)][0] * tasks,
        "hosts": slopes[("hosts", "entry", measure)][0] * hosts,
        "accounts": slopes[("accounts", "placing", measure)][0] * size["accounts"],
        "changes": slopes[("changes_per_s", "placing", measure)][0] * size["changes_s"],
    }
    return max(base, 0) + sum(max(part, 0) for part in parts.values()), parts


def print_cost(slopes, label, size, servers, tasks, hosts):
    cpu, parts = role_cost(slopes, size, servers, tasks, hosts, "cpu_percent")
    memory, _ = role_cost(slopes, size, servers, tasks, hosts, "rss_mb")
    kbytes = {m: role_cost(slopes, size, servers, tasks, hosts, m)[0]
              for m in ("backend_kbytes_s", "peer_kbytes_s", "platform_kbytes_s")}
    total = sum(kbytes.values())
    exceeded = [name for name, value, limit in (("cpu", cpu, CPU_LIMIT_PERCENT),
                                                ("memory", memory, MEMORY_LIMIT_MB),
                                                ("bytes", total, BYTES_LIMIT_KBYTES_S))
                if value > limit]
    print(f"computed role={label} servers={servers} tasks={tasks} hosts={hosts} "
          f"cpu_percent={cpu:.2f} memory_mb={memory:.1f} kbytes_s={total:.1f} "
          f"backend={kbytes['backend_kbytes_s']:.1f} peer={kbytes['peer_kbytes_s']:.1f} "
          f"platform={kbytes['platform_kbytes_s']:.1f} over={','.join(exceeded) or 'none'} "
          + " ".join(f"cpu_{k}={v:.2f}" for k, v in parts.items()))


def main():
    slopes = read_slopes(sys.argv[1])
    print_cost(slopes, "placing_today", TODAY, TODAY["servers_dc"], TODAY["tasks_dc"],
               TODAY["hosts"])
    print_cost(slopes, "entry_today", TODAY, 0, 0, TODAY["hosts"])
    print_cost(slopes, "placing_target", TARGET, TARGET["servers_dc"], TARGET["tasks_dc"],
               TARGET["hosts"])
    print_cost(slopes, "entry_target", TARGET, 0, 0, TARGET["hosts"])
    hosts_dc = TARGET["hosts_dc"]
    print_cost(slopes, "target_links_shared", TARGET, TARGET["servers_dc"] / hosts_dc,
               TARGET["tasks_dc"] / hosts_dc, TARGET["hosts_dc"] + 3)


if __name__ == "__main__":
    main()

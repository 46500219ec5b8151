#!/usr/bin/python3
"""Records heartbeat gaps between the hosts of the example deployment and gives
them to bench-detector, pair by pair.

usage: gaps.py SECONDS

Heartbeats go every 50 ms, so that a minute has enough of them; the limits of
the fixed detectors are multiples of that.
"""
import asyncio
import os
import re
import subprocess
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "tests"))
from harness import Deployment, LEPILO, build_dir  # noqa: E402

HEARTBEAT_MS = 50


async def main():
    d = Deployment(LEPILO, record=True,
                   settings={"heartbeat_ms": HEARTBEAT_MS, "host_timeout_ms": 20 * HEARTBEAT_MS})
    await d.start_all("account a # bench\n")
    await asyncio.sleep(float(sys.argv[1]))
    totals = {}
    await d.stop()
    for host in d.hosts.values():
        gaps = {}
        with open(os.path.join(d.directory, f"{host.name}.trace"), encoding="utf-8") as file:
            for line in file:
                found = re.match(r"# heartbeat peer=(\S+) gap_ms=(\d+)", line)
                if found:
                    gaps.setdefault(found[1], []).append(found[2])
        for peer, values in gaps.items():
            path = os.path.join(d.directory, f"{host.name}-{peer}.gaps")
            with open(path, "w", encoding="utf-8") as file:
                file.write("\n".join(values) + "\n")
            output = subprocess.run([os.path.join(build_dir(), "bench-detector"), path,
                                     str(HEARTBEAT_MS)], capture_output=True, text=True, check=True)
            for line in output.stdout.splitlines():
                fields = dict(word.split("=") for word in line.split())
                totals.setdefault(fields["detector"], []).append(
                    (float(fields["wrong_per_hour"]), float(fields["detection_ms"])))
    for name, rows in totals.items():
        print(f"detector={name} pairs={len(rows)} heartbeat_ms={HEARTBEAT_MS} "
              f"wrong_per_hour_and_pair={sum(r[0] for r in rows) / len(rows):.1f} "
              f"detection_ms={sum(r[1] for r in rows) / len(rows):.0f}")


if __name__ == "__main__":
    asyncio.run(main())

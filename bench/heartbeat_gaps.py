#!/usr/bin/python3
"""Compares failure detectors on heartbeats of the example deployment.

usage: heartbeat_gaps.py SECONDS

Records the gaps between heartbeats for each pair of hosts for SECONDS, runs
bench-detector on each pair, and prints the mean over all pairs for each detector.
A heartbeat is sent every 50 ms, so that one minute yields enough of them; the
timeouts of the fixed detectors are multiples of that interval.
"""
import asyncio
import os
import re
import subprocess
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "tests"))
from harness import Deployment, EXAMPLE_SHAPE, build_dir  # noqa: E402

HEARTBEAT_MS = 50


async def main():
    d = Deployment(EXAMPLE_SHAPE, record_traces=True,
                   settings={"heartbeat_ms": HEARTBEAT_MS, "host_timeout_ms": 20 * HEARTBEAT_MS})
    await d.start_all("account a # bench\n")
    await asyncio.sleep(float(sys.argv[1]))
    results = {}
    await d.stop()
    for host in d.hosts.values():
        gaps = {}
        with open(os.path.join(d.directory, f"{host.name}.trace"), encoding="utf-8") as file:
            for line in file:
                match = re.match(r"# heartbeat peer=(\S+) gap_ms=(\d+)", line)
                if match:
                    gaps.setdefault(match[1], []).append(match[2])
        for peer, peer_gaps in gaps.items():
            path = os.path.join(d.directory, f"{host.name}-{peer}.gaps")
            with open(path, "w", encoding="utf-8") as file:
                file.write("\n".join(peer_gaps) + "\n")
            output = subprocess.run([os.path.join(build_dir(), "bench-detector"), path,
                                     str(HEARTBEAT_MS)], capture_output=True, text=True, check=True)
            for line in output.stdout.splitlines():
                fields = dict(pair.split("=") for pair in line.split())
                results.setdefault(fields["detector"], []).append(
                    (float(fields["wrong_per_hour"]), float(fields["detection_ms"])))
    for name, rows in results.items():
        print(f"detector={name} pairs={len(rows)} heartbeat_ms={HEARTBEAT_MS} "
              f"wrong_per_hour_and_pair={sum(row[0] for row in rows) / len(rows):.1f} "
              f"detection_ms={sum(row[1] for row in rows) / len(rows):.0f}")


if __name__ == "__main__":
    asyncio.run(main())

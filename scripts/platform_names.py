#!/usr/bin/python3
"""Fails when a name of the users' wire stands outside platform/.

The adapter translates their names into the product's; the rest of the sources
has to do without them.  deploy/, docs/, journal/ and tests of the adapter are
left out.
"""
import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
FOLDERS = ("src", "include", "examples", "bench")
SUFFIXES = {".c", ".h", ".cc", ".proto", ".py"}
NAMES = """
taskSpec memMb estimatedMs sameRack antiAffinity longRunning repeatCount startTimeMs intervalMs
maxAttempts targetLatencyMs pathPrefix apiKeys fencingToken ackPosition deadlineMs lastCheckpoint
coldRemainingMs remainingMs admissionCheck mayMiss targetMs waitMs clockMs hasMore
-/readiness run-start run-stop log-append log-read log-newest machine-move machine-upkeep
X-Mustardspread Bearer evacuate keyed.op keyed.servers fleetbench
""".split()


def main():
    pattern = re.compile("|".join(rf"(?<![\w-]){re.escape(name)}(?!\w)" for name in NAMES))
    found = 0
    for folder in FOLDERS:
        for path in sorted((ROOT / folder).rglob("*")):
            if path.suffix not in SUFFIXES or "pb-c" in path.name:
                continue
            for number, line in enumerate(path.read_text(encoding="utf-8").splitlines(), 1):
                match = pattern.search(line)
                if match:
                    found += 1
                    print(f"{path.relative_to(ROOT)}:{number}: {match[0]}")
    print(f"{found} names of the users' platform outside platform/")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())

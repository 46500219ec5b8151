#!/usr/bin/python3
"""Fails if a name of the platform's wire protocol is used outside platform/.

The adapter in platform/ translates these names into those of this project, so that
the rest of the sources does not depend on the platform.  Only DIRECTORIES are
checked; deploy/, docs/, journal/ and the tests of the adapter may use the names.
"""
import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
DIRECTORIES = ("src", "include", "examples", "bench")
SUFFIXES = {".c", ".h", ".cc", ".proto", ".py"}
PLATFORM_NAMES = """
taskSpec memMb estimatedMs sameRack antiAffinity longRunning repeatCount startTimeMs intervalMs
maxAttempts targetLatencyMs pathPrefix apiKeys fencingToken ackPosition deadlineMs lastCheckpoint
coldRemainingMs remainingMs admissionCheck mayMiss targetMs waitMs clockMs hasMore
-/readiness run-start run-stop log-append log-read log-newest machine-move machine-upkeep
X-Mustardspread Bearer evacuate keyed.op keyed.servers fleetbench
""".split()


def main():
    pattern = re.compile("|".join(rf"(?<![\w-]){re.escape(name)}(?!\w)" for name in PLATFORM_NAMES))
    match_count = 0
    for directory in DIRECTORIES:
        for path in sorted((ROOT / directory).rglob("*")):
            if path.suffix not in SUFFIXES or "pb-c" in path.name:
                continue
            for number, line in enumerate(path.read_text(encoding="utf-8").splitlines(), 1):
                match = pattern.search(line)
                if match:
                    match_count += 1
                    print(f"{path.relative_to(ROOT)}:{number}: {match[0]}")
    print(f"{match_count} platform names outside platform/")
    return 1 if match_count else 0


if __name__ == "__main__":
    sys.exit(main())

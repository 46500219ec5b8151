"""Common parts of the process tests that run a small deployment.

A test defines `async def run(d, check)`, where d is the started Deployment, and
ends with `main(run)`.  It prints one line "check=NAME ok" (or FAILED) per
check; the output must equal the test's .expected file.
"""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))

from harness import Deployment, SMALL_SHAPE, count_violations  # noqa: E402,F401

RULES = """
account alpha share=1 # Desislava
account beta share=1  # Petar
guarantee alpha-t1 account=alpha dc=trakia-1 tasks=2 accels=8 adjacent=rack # contract 14
"""


def check(name, passed, details=""):
    """Prints the result of one check; DETAILS go to stderr, shown when a test fails."""
    print(f"check={name} {'ok' if passed else 'FAILED'}", flush=True)
    print(f"  {name}: {details}", file=sys.stderr, flush=True)


def now_ms():
    """Current time on the clock that the backend servers' records use."""
    return int(time.monotonic() * 1000)


async def verify_no_violations(d):
    """Checks the servers' records: no repeated start, no partly running gang."""
    violations = count_violations(await d.execution_records())
    check("nothing_doubled", violations["doubled"] == 0, violations)
    check("no_partial_gang", violations["partial_gangs"] == 0, violations)


def main(run, **options):
    """Runs a test on a new deployment; OPTIONS go to Deployment()."""
    async def run_test():
        d = Deployment(SMALL_SHAPE, **options)
        try:
            await d.start_all(RULES)
            await run(d, check)
        finally:
            print(f"  logs: {d.directory}", file=sys.stderr)
            await d.stop()
    asyncio.run(run_test())

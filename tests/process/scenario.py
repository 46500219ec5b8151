"""Frame of the process tests: a small deployment, and lines "check=NAME ok".

A test file defines `async def run(d, check)` and ends with `main(run)`.  Its
output has to be that of its .expected file.
"""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))

from harness import Deployment, SMALL, audit  # noqa: E402,F401

RULES = """
account alpha share=1 # Desislava
account beta share=1  # Petar
guarantee alpha-t1 account=alpha dc=trakia-1 tasks=2 accels=8 adjacent=rack # contract 14
"""


def check(name, good, seen=""):
    """Prints one line of the expected output; what was seen goes to stderr."""
    print(f"check={name} {'ok' if good else 'FAILED'}", flush=True)
    print(f"  {name}: {seen}", file=sys.stderr, flush=True)


def milliseconds():
    """The clock of the backend servers' records."""
    return int(time.monotonic() * 1000)


async def no_violation(d):
    found = audit(await d.records())
    check("nothing_doubled", found["doubled"] == 0, found)
    check("no_partial_gang", found["partial_gangs"] == 0, found)


def main(run, **options):
    async def whole():
        d = Deployment(SMALL, **options)
        try:
            await d.start_all(RULES)
            await run(d, check)
        finally:
            print(f"  logs: {d.directory}", file=sys.stderr)
            await d.stop()
    asyncio.run(whole())

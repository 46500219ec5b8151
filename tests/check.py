#!/usr/bin/python3
"""Runs all tests and ends with "N passed, N failed".

usage: check.py [--accept] [NAME ...]

A test passes when its command exits with 0 and, if the test has an expected
file, prints exactly the content of that file.  The tests are programs that check
themselves, replays of recorded traces, analyses of recorded logs, and scripts
that run daemons as processes.  Without NAMEs all of them run.

Tests named in KNOWN-RED.txt may fail; their failures are printed and counted as
skipped.  --accept overwrites the expected files with the output of this run.
"""
import concurrent.futures
import difflib
import glob
import os
import subprocess
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(HERE)
BUILD = os.environ.get("MS_BUILD", os.path.join(ROOT, "build"))
PARALLEL_TESTS = 3
# Seeds of batch-fuzz, 1 to 3000; those that KNOWN-RED.txt lists are tests of their own.
FUZZ_SEEDS = [(1, 1121), (1122, 1122), (1123, 1681), (1682, 1682), (1683, 3000)]
TEST_TIMEOUT_S = 180


def all_tests():
    """Yields the name, the command and the expected file (or None) of each test."""
    yield "unit", [f"{BUILD}/unit-tests"], None
    yield "differential-faults", [f"{BUILD}/differential", "faults", "1", "3000"], None
    yield "differential-agree", [f"{BUILD}/differential", "agree"], None
    yield "differential-guarantees", [f"{BUILD}/differential", "guarantees"], None
    for suite in ("jobs", "servers", "answers"):  # of one program, so that each stays within its time limit
        command = ["/usr/bin/env", f"CK_RUN_SUITE={suite}", f"{BUILD}/batch-unit"]
        yield f"batch-unit-{suite}", command, None
    for first, last in FUZZ_SEEDS:
        name = f"batch-fuzz-{first}" if first == last else f"batch-fuzz-{first}-{last}"
        yield name, [f"{BUILD}/batch-fuzz", str(first), str(last)], None
    yield "batch-liveness", [f"{BUILD}/batch-fuzz", "liveness", "1", "60"], None
    yield "batch-weights", [f"{BUILD}/batch-fuzz", "weights", "1", "30"], None
    yield "batch-waits", [f"{BUILD}/batch-fuzz", "waits", "1", "400"], None
    yield "batch-frequent", [f"{BUILD}/batch-fuzz", "frequent", "4750", "4900"], None
    yield "batch-restarts", [f"{BUILD}/batch-fuzz", "restarts", "1", "120"], None
    yield "reader-fuzz", [f"{BUILD}/reader-fuzz", "1", "500"], None
    yield "batch-open-faults", [f"{BUILD}/batch-open-faults"], None
    yield "platform-names", ["/usr/bin/python3", f"{ROOT}/scripts/check_platform_names.py"], None
    yield "example-step", [f"{BUILD}/example-step"], f"{ROOT}/examples/step.expected"
    for path in sorted(glob.glob(f"{HERE}/replay/*.trace")):
        name = os.path.basename(path)[:-len(".trace")]
        yield f"replay-{name}", [f"{BUILD}/mustardspread", "replay", path], f"{path[:-6]}.expected"
    for path in sorted(glob.glob(f"{HERE}/logs/*.expected")):
        name = os.path.basename(path)[:-len(".expected")]
        parts = name.split("-")  # explain-FILE-ID or summary-FILE
        command = [f"{BUILD}/mustardspread", "logs", parts[0]] + parts[2:]
        yield f"logs-{name}", command + [f"{HERE}/logs/{parts[1]}.log"], path
    yield "soak-standins", ["/usr/bin/python3", f"{HERE}/soak/check_standins.py"], None
    for seed in ("7", "202"):  # a short general run, then seeds that have failed before
        command = ["/usr/bin/python3", f"{HERE}/soak/soak.py", "--seed", seed, "--seconds", "6"]
        yield f"soak-{seed}", command, None
    yield "soak-late", command + ["--late"], None
    for path in sorted(glob.glob(f"{HERE}/process/*.expected")):
        script = path[:-len(".expected")] + ".py"
        yield f"process-{os.path.basename(script)[:-3]}", ["/usr/bin/python3", script], path


def known_red():
    """Names of the tests in KNOWN-RED.txt: the first word of each line that starts an entry."""
    try:
        with open(f"{ROOT}/KNOWN-RED.txt", encoding="utf-8") as file:
            return {line.split()[0] for line in file
                    if line.strip() and not line.startswith(("#", " "))}
    except FileNotFoundError:
        return set()


def run(test, accept):
    """Runs one test; returns its name, its problems (lines), its stderr and its duration."""
    name, command, expected = test
    start_time = time.monotonic()
    try:
        result = subprocess.run(command, capture_output=True, text=True, timeout=TEST_TIMEOUT_S,
                                check=False)
        output, errors, code = result.stdout, result.stderr, result.returncode
    except subprocess.TimeoutExpired as timeout:
        output, errors, code = (timeout.stdout or b"").decode(), "timed out", -1
    problems = [] if code == 0 else [f"exit code {code}"]
    if expected is not None:
        if accept:
            with open(expected, "w", encoding="utf-8") as file:
                file.write(output)
        with open(expected, encoding="utf-8") as file:
            problems += difflib.unified_diff(file.read().splitlines(), output.splitlines(),
                                             "expected", "actual", lineterm="", n=1)
    else:
        problems += output.splitlines() if code != 0 else []
    return name, problems, errors, time.monotonic() - start_time


def main():
    names = [argument for argument in sys.argv[1:] if not argument.startswith("--")]
    accept = "--accept" in sys.argv
    tests = [test for test in all_tests() if not names or test[0] in names]
    may_fail = known_red()
    passed, failed, skipped = 0, 0, 0
    with concurrent.futures.ThreadPoolExecutor(PARALLEL_TESTS) as pool:
        for name, problems, errors, duration_s in pool.map(lambda test: run(test, accept), tests):
            state = "ok" if not problems else "known red" if name in may_fail else "FAILED"
            print(f"{state}: {name} ({duration_s:.1f} s)", flush=True)
            if problems:
                print("\n".join(f"    {line}" for line in problems[:40]))
                print("\n".join(f"    | {line}" for line in errors.splitlines()[-15:]))
            passed += state == "ok"
            skipped += state == "known red"
            failed += state == "FAILED"
    skipped_text = f", {skipped} skipped" if skipped else ""
    print(f"{passed} passed, {failed} failed{skipped_text}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())

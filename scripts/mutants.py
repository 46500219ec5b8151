#!/usr/bin/python3
"""Shows that the tests catch deliberate faults (mutants) in the decision logic.

usage: mutants.py [NAME ...]

Applies the named mutants (default: all) to a copy of the sources, one at a time,
and runs the commands in TESTS on each until one fails or times out.  Exits
non-zero if a mutant is not caught, if its text is missing, or if the tests fail
without any mutant.
"""
import os
import shutil
import subprocess
import sys

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
COPY = os.path.join(ROOT, "build", "mutants")
TESTS = [["build/unit-tests"], ["build/batch-unit"], ["build/differential", "faults", "1", "400"],
         ["build/differential", "agree", "1", "60"], ["build/differential", "guarantees", "1", "2000"],
         ["/usr/bin/python3", "tests/check.py", "replay-reclaim", "replay-takeover", "replay-dc_out",
          "replay-quarantine", "replay-leaving"]]
TEST_TIMEOUT_S = 60  # for each command

# Name, file, text, its replacement, and the property of the scheduler that it violates (printed
# as `promise`).  The text should occur exactly once in the file.
MUTANTS = [
    ("restored_gang_waits", "src/batch/engine_report.c",
     "    if (step->spec->gang && short_run && percent == 0 &&", "    if (false && short_run && percent == 0 &&",
     "no gang in part"),
    ("stops_behind_starts", "src/entry/order_queue.c",
     "    return earlier->kind == MS_ENGINE_START && strcmp", "    return false && strcmp",
     "no gang in part"),
    ("orders_not_counted", "src/batch/order_backlog.c",
     "    return limit > pending ? limit - pending : 0;", "    return pending < UINT32_MAX ? limit : 0;",
     "no gang in part"),
    ("gangs_not_held", "src/batch/engine_place.c",
     "        count = allowed ? unit->count : 0;", "        count = allowed ? unit->count : unit->count;",
     "no gang in part"),
    ("stop_keeps_lease", "src/core/gang_end.c",
     "    ms_gang_withhold_lease(sched, task);\n    task->stop_resend_at",
     "    task->stop_resend_at", "no gang in part"),
    ("go_keeps_leases", "src/core/gang.c",
     "        ms_gang_withhold_all_leases(sched, job);\n        send_to_all", "        send_to_all", "no gang in part"),
    ("lost_member_ignored", "src/core/gang_end.c",
     "        handle_lost_contact(sched, job, server->name);\n"
     "        /* The abort", "        /* The abort", "no gang in part"),
    ("retry_always", "src/core/gang_end.c",
     "    return job->spec.idempotent || !job->may_have_run ||",
     "    return true ||", "at most once"),
    ("no_token", "src/core/gang.c", "    if (job->spec.idempotent) {\n        launch",
     "    if (true) {\n        launch", "at most once"),
    ("first_token_ignored", "src/logstate/logstate.c", "    if (current != NULL && !same_holder) {",
     "    if (false && !same_holder) {", "at most once"),
    ("adopt_in_part", "src/core/adopt.c", "    if (complete && running == reported) {",
     "    if (running == reported) {", "no gang in part"),
    ("says_not_run", "src/core/job.c", "    if (!job->may_have_run) {", "    if (true) {",
     "a true refusal"),
    ("out_not_refused", "src/core/job.c", "    if (sched->dc_out) {\n        snprintf",
     "    if (false) {\n        snprintf", "no start in a data centre that is out"),
    ("out_not_told", "src/core/event.c", "                refuse_unstarted_jobs(sched);", "                ;",
     "no start in a data centre that is out"),
    ("cells_ignored", "src/core/place.c",
     "        accels = MIN(accels, (int32_t)(server->accels - server->cell_accels -\n"
     "                                       server->nonpreemptible_accels));",
     "        accels = accels;", "guarantee reclaimable"),
    ("borrowers_kept", "src/core/guarantee.c",
     "ms_preempt_on_server(sched, job->tasks[i].server, job, MS_PREEMPT_ANY);",
     ";", "guarantee reclaimable"),
    ("leaving_used", "src/core/event.c", "    server->state = MS_SERVER_LEAVING;",
     "    server->state = server->state;", "no new work for a leaving server"),
    ("never_quarantined", "src/core/health.c",
     "    if (server->failed_job_count >= sched->limits.server_fail_jobs) {", "    if (false) {",
     "bad servers are found"),
    ("post_sent_again", "src/platform/http.c", "    http->send_once = body != NULL;",
     "    http->send_once = false;", "a request is sent once"),
    ("restart_renewed_late", "src/batch/engine_server.c",
     "    server->next_renewal_at = engine->now;\n    if (!ms_list", "    if (!ms_list",
     "late orders to an earlier incarnation are refused"),
    ("acks_unseen", "src/batch/engine_server.c", "    return !server->unresponsive &&",
     "    return true ||", "no end is acknowledged unseen"),
    ("restart_short_lease", "src/batch/engine_lease.c",
     "server->clock_ms + engine->limits.lease_max_ms", "server->clock_ms + engine->limits.lease_ms",
     "a run is given up only when its lease has expired"),
    ("late_rule_wins", "src/logstate/logstate.c", "    if (current != change->replaces) {",
     "    if (false) {", "configuration never reverts"),
    ("old_snapshot_wins", "src/logstate/snapshot.c",
     "    if (state->complete && snapshot->as_of <= state->next_offset) {", "    if (false) {",
     "configuration never reverts"),
    ("holder_stays", "src/membership/claim.c",
     "        if (host->alive && host->is_leader && outranks(view, host)) {",
     "        if (false && outranks(view, host)) {", "one holder"),
]


def prepare():
    os.makedirs(COPY, exist_ok=True)
    for name in ("src", "include", "platform", "tests", "examples", "bench", "Makefile"):
        source, target = os.path.join(ROOT, name), os.path.join(COPY, name)
        if os.path.isdir(source):
            shutil.rmtree(target, ignore_errors=True)  # drop files that are gone from the source
            shutil.copytree(source, target, copy_function=shutil.copy)
        else:
            shutil.copy(source, target)
    build()


def build():
    subprocess.run(["make", "-s", "-j6", "tests", "WARN="], cwd=COPY, check=True,
                   stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)


def caught_by():
    """Returns the first words of the command that fails first, or None if all pass."""
    for command in TESTS:
        try:
            result = subprocess.run(command, cwd=COPY, capture_output=True, timeout=TEST_TIMEOUT_S,
                                    check=False)
            if result.returncode != 0:
                return " ".join(command[:2])
        except subprocess.TimeoutExpired:
            return " ".join(command[:2]) + " (time limit)"
    return None


def main():
    prepare()
    if caught_by() is not None:
        print("the tests fail without any mutant")
        return 1
    missed = 0
    wanted = sys.argv[1:]
    mutants = [m for m in MUTANTS if not wanted or m[0] in wanted]
    for name, path, old, new, promise in mutants:
        target = os.path.join(COPY, path)
        with open(target, encoding="utf-8") as file:
            text = file.read()
        if old not in text:
            print(f"mutant={name} error=\"its text is not in {path}\"")
            missed += 1
            continue
        with open(target, "w", encoding="utf-8") as file:
            file.write(text.replace(old, new))
        build()
        test = caught_by()
        missed += test is None
        print(f"mutant={name} promise=\"{promise}\" caught_by=\"{test or 'nothing'}\"", flush=True)
        with open(target, "w", encoding="utf-8") as file:
            file.write(text)
    print(f"mutants={len(mutants)} caught={len(mutants) - missed} missed={missed}")
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())

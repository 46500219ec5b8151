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
          "replay-quarantine", "replay-leaving", "process-leases_of_a_slow_leader"]]
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
     "        return allowed ? unit->count : 0;", "        return allowed ? unit->count : unit->count;",
     "no gang in part"),
    ("late_copy_forgotten", "src/batch/engine_late_start.c",
     "    return *server != NULL ? MS_LATE_START_ONE_SERVER : MS_LATE_START_NONE;",
     "    return MS_LATE_START_NONE;", "no second run of a task from a late start"),
    ("end_not_held", "src/batch/engine_late_start.c",
     "    if (until <= engine->now) {\n        return;", "    if (true) {\n        return;",
     "no second run of a task from a late start"),
    ("late_copy_not_stored", "src/batch/engine_store.c",
     "    ms_late_start_pack(engine, job, &record, servers);\n", "",
     "no second run of a task from a late start"),
    ("late_copy_not_assumed", "src/batch/engine_store.c",
     "    if (!confirmed && !answered) {", "    if (false) {",
     "no second run of a task from a late start"),
    ("advice_limit_fixed", "src/batch/advice_pacing.c",
     "LIMIT_FACTOR * all_ms +", "0 * all_ms +", "jobs of an advised queue start"),
    ("advice_never_shrinks", "src/batch/advice_pacing.c",
     "pacing->slowness_percent = MIN(2 * slowness_percent(pacing), SLOWNESS_MAX);",
     "pacing->slowness_percent = SLOWNESS_MIN;", "jobs of an advised queue start"),
    ("early_cancel_of_others", "src/batch/early_cancels.c",
     "(item->any_account || strcmp(item->account, spec->account) == 0)", "(item->queue[0] != 0)",
     "nobody keeps out another account's job"),
    ("early_cancel_not_stored", "src/batch/engine_job.c",
     "        if (stored->phase == MS_PHASE_OPEN) {", "        if (false) {",
     "no start long after its job was cancelled"),
    ("long_running_stopped_beyond_limit", "src/batch/engine_capacity.c",
     "    return away < step->spec->max_unavailable;", "    return away < UINT32_MAX;",
     "no more tasks of a step away than may be"),
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
    ("acks_unseen", "src/batch/engine_renewal.c", "    return !server->unresponsive &&",
     "    return true ||", "no end is acknowledged unseen"),
    ("restart_short_lease", "src/batch/engine_lease.c",
     "server->clock_ms + engine->limits.lease_max_ms", "server->clock_ms + engine->limits.lease_ms",
     "a run is given up only when its lease has expired"),
    ("late_start_short_wait", "src/batch/engine_lease.c",
     "longest_lease_end(engine) + MS_ORDER_TIMEOUT_MS + MS_ORDER_LATE_MS",
     "longest_lease_end(engine)", "a late start is waited for after a known restart"),
    ("stopped_start_forgotten", "src/batch/engine_server.c",
     "task->start_pending && !task->seen_in_report", "false",
     "a start under way is not forgotten when its task is stopped"),
    ("successor_counts_our_lease", "src/batch/engine_lease.c",
     "    if (!server->earlier_start_uncertain) {", "    if (true) {",
     "a run is given up only when its lease has expired"),
    ("unanswered_start_counts_our_lease", "src/batch/engine_task_order.c",
     "    if (start && (result == MS_ORDER_NO_ANSWER ||", "    if (start && (false ||",
     "a run is given up only when its lease has expired"),
    ("first_renewal_extends", "src/batch/engine_lease.c",
     "    bool uncertain = !server->fence_confirmed || (server->unresponsive && busy);",
     "    bool uncertain = server->unresponsive && busy;",
     "a run is given up only when its lease has expired"),
    ("renewal_of_unresponsive_extends", "src/batch/engine_lease.c",
     "    bool uncertain = !server->fence_confirmed || (server->unresponsive && busy);",
     "    bool uncertain = !server->fence_confirmed && (busy || !busy);",
     "a run is given up only when its lease has expired"),
    ("state_is_no_sign_of_life", "src/entry/log_streams.c",
     "        ms_leader_job_state_applied(entry);\n", "",
     "a run is given up only when its lease has expired"),
    ("restored_start_lost_at_restart", "src/batch/engine_store.c",
     "    task->order_unanswered = !confirmed;", "    task->order_unanswered = false;",
     "a run is given up only when its lease has expired"),
    ("cap_not_placed", "src/batch/account.c",
     "    if (!account->capped) {\n        return limit;", "    if (true) {\n        return limit;",
     "no start above the cap"),
    ("cap_not_ordered", "src/batch/engine_task_order.c",
     "    if (ms_account_is_over_cap(ms_batch_task_job(task)->account)) {", "    if (false) {",
     "no start above the cap"),
    ("failures_counted_per_member", "src/batch/engine_task.c",
     "    if (task->failed_run == run) {", "    if (false) {", "a gang is tried as often as allowed"),
    ("failed_run_not_stored", "src/batch/engine_store.c",
     "    if (task->failed_run != 0) {", "    if (false) {", "a gang is tried as often as allowed"),
    ("started_when_placed", "src/batch/engine_place.c",
     "    unit->step->unplaced_since = 0;\n    unit->step->ample_since = 0;\n    ms_engine_mark_dirty(",
     "    unit->step->occurrence->job->started = true;\n    unit->step->ample_since = 0;\n    ms_engine_mark_dirty(",
     "a job waits until a server has started it"),
    ("start_not_stored", "src/batch/engine_job.c",
     "        ms_list_remove(&job->started_link);\n        ms_engine_mark_dirty(engine, job, false);",
     "        ms_list_remove(&job->started_link);", "a job waits until a server has started it"),
    ("attempts_not_checked", "src/batch/engine.c",
     "        ms_batch_job_update_phase(engine, MS_CONTAINER_OF(link,", "        (void)(MS_CONTAINER_OF(link,",
     "no start after the last attempt"),
    ("fence_not_raised", "src/batch/engine_task_order.c",
     "    if (start && server->fence_acknowledges) {", "    if (false) {", "no end is acknowledged unseen"),
    ("acks_beside_starts", "src/batch/engine_renewal.c",
     "some_new && !has_pending_start(server) &&", "some_new &&", "no end is acknowledged unseen"),
    ("overtaken_is_fenced", "src/batch/engine_server.c",
     "    return action->fence < ms_batch_server_fence(engine, server);", "    return false && action->fence > 0;",
     "a leader resigns only for a later one"),
    ("starts_not_withdrawn", "src/batch/engine_task_order.c",
     "    if (task->state != MS_BATCH_TASK_STARTING || !task->order_pending || task->start_withdrawn) {",
     "    if (true) {", "no start long after its job was cancelled"),
    ("unanswered_not_counted", "src/batch/engine_task_order.c",
     "        task->order_unanswered = true;",
     "        task->order_unanswered = true;\n"
     "        ms_resources_add(&ms_batch_task_job(task)->account->allocated,\n"
     "                         &task->step->spec->task_resources, -1);", "no start above the cap"),
    ("restored_not_counted", "src/batch/engine_store.c",
     "    ms_batch_task_assign(engine, task, server);",
     "    ms_batch_task_assign(engine, task, server);\n"
     "    ms_resources_add(&ms_batch_task_job(task)->account->allocated,\n"
     "                     &task->step->spec->task_resources, -1);", "no start above the cap"),
    ("cap_room_not_reserved", "src/batch/engine_cap.c",
     "    bool reserved = ms_account_reserve(account, request, unit->count);",
     "    bool reserved = true;", "no gang starves under its account's cap"),
    ("cap_not_reclaimed", "src/batch/engine_cap.c",
     "    if (cost_max != MS_NO_PREEMPTION && ", "    if (false && ", "guarantee met at the cap"),
    ("later_step_unchecked", "src/batch/account.c",
     "rule != NULL && i < spec->step_count; i++", "rule != NULL && i < 1; i++",
     "what can never run is rejected"),
    ("rate_ignored", "src/batch/account_order.c",
     "    return MAX(arrival_us, previous_us + US_PER_S / (int64_t)weight);", "    return arrival_us;",
     "an account that sends too much delays its own work"),
    ("rate_saved_up", "src/batch/account_order.c",
     "    return MAX(arrival_us, previous_us + US_PER_S / (int64_t)weight);",
     "    return previous_us + US_PER_S / (int64_t)weight;", "a rate is not saved up"),
    ("one_clock_trusted", "src/batch/account_order.c",
     "        return MIN(ahead_of_clock, ahead_of_arrival);\n    }\n"
     "    return MIN(MAX(ahead_of_clock, ahead_of_arrival), 0);",
     "        return ahead_of_clock;\n    }\n    return ahead_of_clock;",
     "a wrong clock does not make work late or overdue"),
    ("share_of_cores_only", "src/batch/account_order.c",
     "    dominant = MAX(dominant, permille(allocated->memory_mb, capacity->memory_mb));\n", "",
     "the dominant resource counts"),
    ("weight_not_in_share", "src/batch/account_order.c",
     "    return dominant * total_weight / (int64_t)weight;", "    return dominant;",
     "shares are weighted"),
    ("no_weight_is_none", "src/batch/account_order.c",
     "    return rule != NULL && rule->weight > 0 ? rule->weight : 1;",
     "    return rule != NULL && rule->weight > 0 ? rule->weight : 1000;",
     "a missing weight counts as 1"),
    ("guarantee_after_share", "src/batch/account_order.c",
     "    if (a->within_guarantee != b->within_guarantee) {", "    if (false) {",
     "guarantees stand above shares"),
    ("beyond_rate_not_last", "src/batch/account_order.c",
     "    if (ahead_ms > MS_ORDER_AHEAD_MAX_MS) {", "    if (false) {",
     "work beyond the rate goes last"),
    ("never_overdue", "src/batch/account_order.c",
     "    else if (ahead_ms < -MS_ORDER_SHARE_WAIT_MAX_MS) {", "    else if (false) {",
     "an account above its share is not starved"),
    ("overdue_by_share", "src/batch/account_order.c",
     "        rank->order_class = MS_ORDER_OVERDUE;\n        rank->share_step = 0;",
     "        rank->order_class = MS_ORDER_OVERDUE;", "the wait behind later work is bounded"),
    ("share_ignored", "src/batch/account_order.c",
     "    if (a->share_step != b->share_step) {", "    if (false) {",
     "the account below its share goes first"),
    ("weights_always", "src/batch/engine_order.c",
     "    engine->has_weights = ms_order_has_weights(engine->policy);", "    engine->has_weights = true;",
     "without weights the order is that of arrival"),
    ("order_of_learning", "src/batch/engine_order.c",
     "    g_ptr_array_sort(jobs, compare_arrivals);\n", "", "a new leader arrives at the same order"),
    ("beyond_rate_preempts", "src/batch/engine_capacity.c",
     "        return !pass->own_account_only || task_job->account == job->account;",
     "        return true;", "work beyond the rate preempts its own account only"),
    ("beyond_rate_never_preempts", "src/batch/engine_capacity.c",
     "        return !pass->own_account_only || task_job->account == job->account;",
     "        return !pass->own_account_only;", "work beyond the rate preempts its own account"),
    ("beyond_rate_not_lent", "src/batch/engine_place.c",
     "    while (unit->count > 0 && ms_plan_unit(pass, MS_LEVEL_FREE) != MS_NO_PLAN) {",
     "    while (unit->count > 0 && !pass->own_account_only &&\n"
     "           ms_plan_unit(pass, MS_LEVEL_FREE) != MS_NO_PLAN) {", "idle capacity is lent"),
    ("retries_charged", "src/batch/engine_place.c",
     "    unit->step->unplaced_since = 0;\n    unit->step->ample_since = 0;",
     "    job->virtual_us += job->started ? 1000000 : 0;\n"
     "    unit->step->unplaced_since = 0;", "retries are charged once"),
    ("guarantee_held_to_rate", "src/batch/engine_place.c",
     "        !pass->within_guarantee && step->rank.order_class == MS_ORDER_BEYOND_RATE;",
     "        step->rank.order_class == MS_ORDER_BEYOND_RATE;",
     "guarantees stand above rates"),
    ("heavy_task_condemns", "src/batch/engine_speed.c",
     "evidence->several_steps && evidence->normal == 0 &&", "evidence->lagging > 0 || ",
     "one task with much work makes no server slow"),
    ("gang_blames_all", "src/batch/engine_speed.c",
     "    return step->spec->gang && engine->now < step->slow_server_until &&",
     "    return false && engine->now < step->slow_server_until &&",
     "a gang condemns no sound server"),
    ("gang_stays", "src/batch/engine_speed.c", "        return certain || task->step->spec->gang;",
     "        return certain;", "runs leave a server that stays slow"),
    ("room_counted_twice", "src/batch/engine_speed.c", "        claim_room(engine, task);", "        ;",
     "a stop on a slow server has room elsewhere"),
    ("stop_without_room", "src/batch/slow_stop.c",
     "(run->has_room || run->redo_ms <= REAL_PROGRESS_MS)", "(run->has_room || true)",
     "a stop on a slow server has room elsewhere"),
    ("lost_work_ignored", "src/batch/slow_stop.c", "weight.gain_ms * 100 >= lost_ms * price",
     "weight.gain_ms * 100 >= 0 * price", "a stop on a slow server pays"),
    ("slowness_never_ends", "src/batch/slow_stop.c",
     "    return MAX(SLOW_TYPICAL_MS - slow_for_ms, SLOW_REMAINING_MIN_MS);",
     "    return SLOW_LASTING_MS;", "a stop on a slow server pays"),
    ("slowness_always_ends", "src/batch/slow_stop.c", "    if (slow_for_ms >= SLOW_LASTING_MS) {",
     "    if (false) {", "runs leave a server that stays slow"),
    ("slow_run_stalls", "src/batch/engine_health.c", "ms_speed_percent_ms(task) * STALL_PERCENTS",
     "ms_speed_percent_ms(task) * 0", "a slow run is not taken for a stalled one"),
    ("restored_is_rate", "src/batch/run_speed.c", "    if (percent == 0) {", "    if (percent > 100) {",
     "restored progress is no rate"),
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

/*
 * logs.c - the command "mustardspread logs": analyses log files of
 * mustardspread-entryd.
 *
 * explain ID FILE...   prints the log lines about one stored job in order of time,
 *                      then its outcome and the causes of failures and delays
 * summary FILE...      counts refusals, slow starts, stops, lost runs, changes of
 *                      leader and lost dependencies
 *
 * Times of different hosts are compared without correction.  The clocks of hosts
 * differ only a little, and the order of events on one host is always right.
 */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "cli/cli.h"
#include "cli/log_lines.h"

#define SLOW_START_MS 1000   /* a task that waited longer for its start is slow */
#define SIMILAR_LINES_MS 100 /* similar lines within this time are printed once */
#define ROWS_MAX 10          /* rows of one printed table of counts */

/* What the log lines about one job say.  Times are in milliseconds of Unix time. */
struct job_history {
    const char *id;
    int64_t began_at;    /* first line about the job */
    int64_t accepted_at; /* 0: no such line */
    int64_t ended_at;    /* 0: no such line */
    const char *outcome;
    const char *refusal; /* reason of the last refusal, or NULL */
    uint32_t refusals;
    int64_t longest_first_wait_ms; /* longest wait of a task for its first start */
    uint32_t starts;               /* of all tasks and runs */
    int64_t longest_unplaced_ms;   /* longest time without a start while tasks waited */
    int64_t fewest_servers;        /* usable while it waited that long; -1: no such line */
    int64_t most_excluded;         /* servers that were not usable then */
    int64_t most_free_tasks;       /* tasks of it that would have fitted at once then */
    uint32_t over_cap_lines;       /* that say that it did not fit under its account's cap */
    GHashTable *waits;             /* why its tasks waited, such as "preempt=too_costly" -> lines */
    GHashTable *causes; /* why runs ended early, such as "stopped: slow_server" -> count */
};

/* Adds 1 to the count of "KIND REASON" in COUNTS. */
static void
increment(GHashTable *counts, const char *kind, const char *reason)
{
    char *key = g_strdup_printf("%s %s", kind, reason);
    guint old_count = GPOINTER_TO_UINT(g_hash_table_lookup(counts, key));
    g_hash_table_replace(counts, key, GUINT_TO_POINTER(old_count + 1));
}

static GHashTable *
new_counts(void)
{
    return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

/* Row of a printed table of counts. */
struct row {
    const char *name;
    guint count;
};

/* Orders rows by falling count, then by name. */
static gint
compare_rows(gconstpointer left, gconstpointer right)
{
    const struct row *a = left;
    const struct row *b = right;
    if (a->count != b->count) {
        return a->count > b->count ? -1 : 1;
    }
    return strcmp(a->name, b->name);
}

/* Prints the ROWS_MAX largest of COUNTS, one a line. */
static void
print_counts(GHashTable *counts, const char *indent)
{
    GArray *rows = g_array_new(FALSE, FALSE, sizeof(struct row));
    GHashTableIter iterator;
    gpointer key = NULL;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, counts);
    while (g_hash_table_iter_next(&iterator, &key, &value)) {
        struct row row = {key, GPOINTER_TO_UINT(value)};
        g_array_append_val(rows, row);
    }
    g_array_sort(rows, compare_rows);
    for (guint i = 0; i < MIN(rows->len, ROWS_MAX); i++) {
        const struct row *row = &g_array_index(rows, struct row, i);
        printf("%s%u %s\n", indent, row->count, row->name);
    }
    if (rows->len > ROWS_MAX) {
        printf("%s(and %u more kinds)\n", indent, rows->len - ROWS_MAX);
    }
    g_array_unref(rows);
}

/* Whether LINE names the job ID: as id, in the name of a task, or at the end of a path. */
static bool
is_about_job(const struct log_line *line, const char *id)
{
    const char *task = log_line_text(line, "task");
    const char *path = log_line_text(line, "path");
    const char *slash = strrchr(path, '/');
    size_t length = strlen(id);
    return strcmp(log_line_text(line, "id"), id) == 0 ||
           (strncmp(task, id, length) == 0 && task[length] == '.') ||
           (slash != NULL && strcmp(slash + 1, id) == 0);
}

/* Prints those of the COUNT keys KEYS that LINE has. */
static void
print_keys(const struct log_line *line, const char *const *keys, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        const char *value = log_line_text(line, keys[i]);
        if (value[0] != '\0') {
            printf(" %s=%s", keys[i], value);
        }
    }
}

/*
 * Prints LINE: the time since BEGAN_AT, host, event and known keys.  SIMILAR_COUNT
 * similar lines that follow it are not printed.
 */
static void
print_line(const struct log_line *line, int64_t began_at, uint32_t similar_count)
{
    static const char *const keys[] = {
        "method", "status",   "reason",        "took_ms",   "task",   "run",     "server",
        "how",    "after_ms", "waited_ms",     "percent",   "core_s", "order",   "result",
        "peer",   "outcome",  "config_age_ms", "later_run", "dc",     "failures"};
    static const char *const wait_keys[] = {
        "count",         "unplaced_ms",    "servers",       "excluded",         "free_tasks",
        "free",          "preempt",        "preempt_cost",  "preempt_cost_max", "reserve",
        "reserved_idle", "releasing",      "backoff",       "waiting",          "stopping",
        "server_state",  "lease_left_ms",  "account",       "used_cpu_millis",  "used_memory_mb",
        "used_accels",   "cap_cpu_millis", "cap_memory_mb", "cap_accels"};
    printf("%+8" PRId64 " ms  %-24s %s", line->time_ms - began_at, log_line_text(line, "host"),
           log_line_text(line, "event"));
    print_keys(line, keys, G_N_ELEMENTS(keys));
    print_keys(line, wait_keys, G_N_ELEMENTS(wait_keys));
    if (similar_count > 0) {
        printf(" (and %u similar)", similar_count);
    }
    printf("\n");
}

/* Whether A and B have the same values for the COUNT keys KEYS. */
static bool
have_equal_values(const struct log_line *a, const struct log_line *b, const char *const *keys,
                  size_t count)
{
    for (size_t i = 0; i < count; i++) {
        if (strcmp(log_line_text(a, keys[i]), log_line_text(b, keys[i])) != 0) {
            return false;
        }
    }
    return true;
}

/* Whether LINE, which is repeated every second or so, tells why tasks still wait. */
static bool
is_wait(const struct log_line *line)
{
    return log_line_is_event(line, "waiting") || log_line_is_event(line, "gang_blocked");
}

/*
 * Whether A and the later B report the same event for different tasks, or the same reason
 * to wait.
 */
static bool
are_similar(const struct log_line *a, const struct log_line *b)
{
    static const char *const wait_keys[] = {"event",   "free",    "releasing",
                                            "preempt", "reserve", "server"};
    static const char *const keys[] = {"event", "host",   "reason", "how",
                                       "run",   "result", "method", "status"};
    if (is_wait(a) && is_wait(b)) {
        return have_equal_values(a, b, wait_keys, G_N_ELEMENTS(wait_keys));
    }
    return b->time_ms - a->time_ms <= SIMILAR_LINES_MS &&
           have_equal_values(a, b, keys, G_N_ELEMENTS(keys));
}

/* Records the HTTP answer to a submission; answers to other requests are ignored. */
static void
record_answer(struct job_history *history, const struct log_line *line)
{
    if (strcmp(log_line_text(line, "method"), "post") != 0) {
        return;
    }
    if (log_line_number(line, "status") < 300) {
        history->accepted_at = history->accepted_at == 0 ? line->time_ms : history->accepted_at;
        return;
    }
    history->refusal = log_line_text(line, "reason");
    history->refusals++;
}

/* Records what the placement levels said of tasks that wait. */
static void
record_waiting(struct job_history *history, const struct log_line *line)
{
    int64_t servers = log_line_number(line, "servers");
    history->longest_unplaced_ms =
        MAX(history->longest_unplaced_ms, log_line_number(line, "unplaced_ms"));
    history->fewest_servers =
        history->fewest_servers < 0 ? servers : MIN(history->fewest_servers, servers);
    history->most_excluded = MAX(history->most_excluded, log_line_number(line, "excluded"));
    history->most_free_tasks = MAX(history->most_free_tasks, log_line_number(line, "free_tasks"));
    if (strcmp(log_line_text(line, "free"), "backoff") == 0) {
        increment(history->waits, "waiting:", "backoff after a failed run or a refusal");
        return;
    }
    history->over_cap_lines += strcmp(log_line_text(line, "free"), "over_cap") == 0;
    char *outcomes =
        g_strdup_printf("free=%s releasing=%s preempt=%s reserve=%s", log_line_text(line, "free"),
                        log_line_text(line, "releasing"), log_line_text(line, "preempt"),
                        log_line_text(line, "reserve"));
    increment(history->waits, "waiting:", outcomes);
    g_free(outcomes);
}

/* Records which member kept the gang from being placed. */
static void
record_gang_blocked(struct job_history *history, const struct log_line *line)
{
    history->longest_unplaced_ms =
        MAX(history->longest_unplaced_ms, log_line_number(line, "unplaced_ms"));
    char *member = g_strdup_printf("a member on %s, which is %s", log_line_text(line, "server"),
                                   log_line_text(line, "server_state"));
    increment(history->waits, "gang blocked by", member);
    g_free(member);
}

/* Updates HISTORY by a line about its job. */
static void
record_line(struct job_history *history, const struct log_line *line)
{
    if (log_line_is_event(line, "answer")) {
        record_answer(history, line);
    }
    else if (log_line_is_event(line, "place")) {
        history->starts++;
        if (log_line_number(line, "run") == 1) {
            history->longest_first_wait_ms =
                MAX(history->longest_first_wait_ms, log_line_number(line, "waited_ms"));
        }
    }
    else if (log_line_is_event(line, "waiting")) {
        record_waiting(history, line);
    }
    else if (log_line_is_event(line, "gang_blocked")) {
        record_gang_blocked(history, line);
    }
    else if (log_line_is_event(line, "stop")) {
        increment(history->causes, "stopped:", log_line_text(line, "reason"));
    }
    else if (log_line_is_event(line, "run_lost")) {
        increment(history->causes, "lost:", log_line_text(line, "reason"));
    }
    else if (log_line_is_event(line, "run_end") &&
             strcmp(log_line_text(line, "how"), "failed") == 0) {
        increment(history->causes, "failed on", log_line_text(line, "server"));
    }
    else if (log_line_is_event(line, "job_end") || log_line_is_event(line, "job_cancel")) {
        const char *outcome = log_line_text(line, "outcome");
        history->outcome = outcome[0] != '\0' ? outcome : "cancelled";
        history->ended_at = line->time_ms;
    }
}

/* Prints why the job waited, if any line tells. */
static void
print_waits(const struct job_history *history)
{
    if (g_hash_table_size(history->waits) == 0) {
        return;
    }
    printf("waited up to %" PRId64 " ms without a start", history->longest_unplaced_ms);
    if (history->fewest_servers >= 0) {
        printf("; at least %" PRId64 " servers usable, at most %" PRId64
               " excluded, at most %" PRId64 " of its tasks would have fitted",
               history->fewest_servers, history->most_excluded, history->most_free_tasks);
    }
    printf("; lines by reason:\n");
    print_counts(history->waits, "  ");
    if (history->over_cap_lines > 0) {
        printf("in %u of these lines its tasks would have brought its account over its cap\n",
               history->over_cap_lines);
    }
}

/* Prints whether the job was accepted, how it ended and what delayed it. */
static void
print_verdict(const struct job_history *history)
{
    if (history->accepted_at == 0) {
        if (history->refusals == 0) {
            printf("verdict: these files contain no answer to its submission\n");
            return;
        }
        printf("verdict: not accepted; %u refusals, the last one: %s\n", history->refusals,
               history->refusal);
        return;
    }
    printf("verdict: accepted after %" PRId64 " ms and %u refusals",
           history->accepted_at - history->began_at, history->refusals);
    if (history->refusals > 0) {
        printf(" (the last one: %s)", history->refusal);
    }
    if (history->ended_at > 0) {
        printf("; %s after %" PRId64 " ms", history->outcome,
               history->ended_at - history->began_at);
    }
    else {
        printf("; these files do not contain its end");
    }
    printf("; %u starts, the longest wait for a first one %" PRId64 " ms\n", history->starts,
           history->longest_first_wait_ms);
    print_counts(history->causes, "  ");
}

/* Whether LINE reports an order sent to a server; the decision has a line of its own. */
static bool
is_order(const struct log_line *line)
{
    return log_line_is_event(line, "order_stop") || log_line_is_event(line, "order_start");
}

/* Frees what HISTORY owns. */
static void
free_history(struct job_history *history)
{
    g_hash_table_destroy(history->waits);
    g_hash_table_destroy(history->causes);
}

/* Prints the history of the job ID; returns an exit code. */
static int
explain(const char *id, GPtrArray *lines)
{
    struct job_history history = {
        .id = id, .fewest_servers = -1, .waits = new_counts(), .causes = new_counts()};
    const struct log_line *pending = NULL; /* read, not printed yet */
    uint32_t similar_count = 0;            /* lines since `pending` that are similar to it */
    for (guint i = 0; i < lines->len; i++) {
        const struct log_line *line = g_ptr_array_index(lines, i);
        if (!is_about_job(line, id) || is_order(line)) {
            continue;
        }
        history.began_at = history.began_at == 0 ? line->time_ms : history.began_at;
        record_line(&history, line);
        if (pending != NULL && are_similar(pending, line)) {
            similar_count++;
            continue;
        }
        if (pending != NULL) {
            print_line(pending, history.began_at, similar_count);
        }
        pending = line;
        similar_count = 0;
    }
    if (pending == NULL) {
        fprintf(stderr, "mustardspread: no line in these files is about %s\n", id);
        free_history(&history);
        return MS_EXIT_FAILED;
    }
    print_line(pending, history.began_at, similar_count);
    print_verdict(&history);
    print_waits(&history);
    free_history(&history);
    return MS_EXIT_OK;
}

/* What "logs summary" prints.  Keys of the hash tables are given in quotes. */
struct summary {
    GHashTable *refusals;     /* "STATUS REASON" -> count */
    GHashTable *stops;        /* "stopped: REASON" -> count */
    GHashTable *lost_runs;    /* "lost: REASON" -> count */
    GHashTable *dependencies; /* "EVENT REASON" of lost dependencies -> count */
    uint32_t leader_starts;   /* times that a host began to place work as leader */
    uint32_t starts;
    uint32_t slow_starts;
    int64_t longest_wait_ms; /* of a task for a start */
    char *longest_wait_task; /* the task that waited so long, or NULL */
    int64_t wasted_core_s;   /* work lost by stops of tasks that take no checkpoints */
};

/* Adds one line to the counts. */
static void
add_to_summary(struct summary *summary, const struct log_line *line)
{
    if (log_line_is_event(line, "answer") && log_line_number(line, "status") >= 400) {
        increment(summary->refusals, log_line_text(line, "status"), log_line_text(line, "reason"));
    }
    else if (log_line_is_event(line, "place")) {
        int64_t waited_ms = log_line_number(line, "waited_ms");
        summary->starts++;
        summary->slow_starts += waited_ms > SLOW_START_MS;
        if (waited_ms > summary->longest_wait_ms) {
            g_free(summary->longest_wait_task);
            summary->longest_wait_ms = waited_ms;
            summary->longest_wait_task = g_strdup(log_line_text(line, "task"));
        }
    }
    else if (log_line_is_event(line, "stop") && log_line_text(line, "task")[0] != '\0') {
        increment(summary->stops, "stopped:", log_line_text(line, "reason"));
        if (log_line_number(line, "checkpoints") == 0) {
            summary->wasted_core_s += log_line_number(line, "core_s");
        }
    }
    else if (log_line_is_event(line, "run_lost")) {
        increment(summary->lost_runs, "lost:", log_line_text(line, "reason"));
    }
    else if (log_line_is_event(line, "log_lost") || log_line_is_event(line, "server_silent") ||
             log_line_is_event(line, "quarantine") || log_line_is_event(line, "lead_end")) {
        increment(summary->dependencies, log_line_text(line, "event"),
                  log_line_text(line, "reason"));
    }
    else if (log_line_is_event(line, "lead") &&
             strcmp(log_line_text(line, "state"), "placing") == 0) {
        summary->leader_starts++;
    }
}

/* Prints the summary of LINES; SKIPPED is the number of lines that could not be parsed. */
static int
summarize(GPtrArray *lines, uint32_t skipped)
{
    struct summary summary = {.refusals = new_counts(),
                              .stops = new_counts(),
                              .lost_runs = new_counts(),
                              .dependencies = new_counts()};
    for (guint i = 0; i < lines->len; i++) {
        add_to_summary(&summary, g_ptr_array_index(lines, i));
    }
    printf("log lines: %u, other lines: %u\n", lines->len, skipped);
    printf("refusals by status and reason:\n");
    print_counts(summary.refusals, "  ");
    printf("starts: %u, of which %u waited over %d ms", summary.starts, summary.slow_starts,
           SLOW_START_MS);
    if (summary.longest_wait_task != NULL) {
        printf("; the longest: %s, %" PRId64 " ms", summary.longest_wait_task,
               summary.longest_wait_ms);
    }
    printf("\nstops, with %" PRId64 " core-seconds of work without a checkpoint:\n",
           summary.wasted_core_s);
    print_counts(summary.stops, "  ");
    printf("lost runs:\n");
    print_counts(summary.lost_runs, "  ");
    printf("lost dependencies:\n");
    print_counts(summary.dependencies, "  ");
    printf("times a host became leader: %u\n", summary.leader_starts);
    g_hash_table_destroy(summary.refusals);
    g_hash_table_destroy(summary.stops);
    g_hash_table_destroy(summary.lost_runs);
    g_hash_table_destroy(summary.dependencies);
    g_free(summary.longest_wait_task);
    return MS_EXIT_OK;
}

int
cli_logs(struct cli *cli, int argc, char **argv)
{
    bool is_explain = argc >= 3 && strcmp(argv[0], "explain") == 0;
    bool is_summary = argc >= 2 && strcmp(argv[0], "summary") == 0;
    uint32_t skipped = 0;
    (void)cli;
    if (!is_explain && !is_summary) {
        fprintf(stderr, "usage: mustardspread logs explain ID FILE...\n"
                        "       mustardspread logs summary FILE...\n");
        return MS_EXIT_USAGE;
    }
    GPtrArray *lines = log_lines_read(argv + (is_explain ? 2 : 1), &skipped);
    if (lines == NULL) {
        return MS_EXIT_FAILED;
    }
    int result = is_explain ? explain(argv[1], lines) : summarize(lines, skipped);
    g_ptr_array_unref(lines);
    return result;
}

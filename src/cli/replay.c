/*
 * replay.c - the command "mustardspread replay": applies the events of a trace
 * to a new scheduler.
 *
 * Prints each event and, indented, the actions that it caused.  Lines that start
 * with "#" are copied to the output.  "? stats", "? explain ID" and "? check"
 * print statistics, the explanation of a job and the result of the invariant
 * checker.
 */
#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "cli/cli.h"
#include "mustardspread/mustardspread.h"

#define ERROR_MAX 256

static void
print_stats(const struct ms_sched *sched)
{
    struct ms_sched_stats stats;
    ms_sched_stats(sched, &stats);
    printf("  stats servers=%u quarantined=%u accels_free=%u waiting=%u running=%u stranded=%u"
           " guarantees_unmet=%u\n",
           stats.servers, stats.quarantined, stats.accels_free, stats.waiting, stats.running,
           stats.stranded, stats.guarantees_unmet);
}

/* Prints the result of a "?" line; QUERY is the text after the "?". */
static void
print_query(const struct ms_sched *sched, const char *query)
{
    char text[ERROR_MAX * 2];
    if (strcmp(query, "stats") == 0) {
        print_stats(sched);
    }
    else if (strcmp(query, "check") == 0) {
        bool valid = ms_sched_check(sched, text, sizeof(text)) == MS_OK;
        printf("  check %s\n", valid ? "ok" : text);
    }
    else if (g_str_has_prefix(query, "explain ")) {
        if (ms_sched_explain(sched, query + strlen("explain "), text, sizeof(text)) != MS_OK) {
            g_strlcpy(text, "unknown job", sizeof(text));
        }
        printf("  explain %s\n", text);
    }
}

/* Prints the actions that the last event caused. */
static void
print_actions(const struct ms_sched *sched)
{
    for (size_t i = 0; i < ms_sched_action_count(sched); i++) {
        char *line = ms_trace_action(ms_sched_action(sched, i));
        printf("  %s\n", line);
        ms_trace_release(line);
    }
}

/*
 * Applies the event in TEXT, the line NUMBER of the trace, and prints its actions.
 * Returns false when the line is malformed or an invariant is violated afterwards.
 * BUFFER (MS_OUTPUT_MAX bytes) holds the data that the event points to.
 */
static bool
run_event(struct ms_sched *sched, const char *text, uint8_t *buffer, unsigned int number)
{
    struct ms_event event;
    int64_t now = 0;
    char error[ERROR_MAX];
    if (ms_trace_parse(text, &event, &now, buffer, MS_OUTPUT_MAX, error, sizeof(error)) != MS_OK) {
        fprintf(stderr, "mustardspread: line %u: %s\n", number, error);
        return false;
    }
    printf("%s\n", text);
    enum ms_result result = ms_sched_step(sched, &event, now);
    if (result != MS_OK) {
        printf("  refused %s\n", ms_result_name(result));
    }
    print_actions(sched);
    if (ms_sched_check(sched, error, sizeof(error)) != MS_OK) {
        fprintf(stderr, "mustardspread: line %u: %s\n", number, error);
        return false;
    }
    return true;
}

int
cli_replay(struct cli *cli, int argc, char **argv)
{
    char *dc = "dc-1";
    const GOptionEntry entries[] = {
        {"dc", 0, 0, G_OPTION_ARG_STRING, &dc, "Data centre of the trace", "NAME"},
        G_OPTION_ENTRY_NULL};
    gchar *text = NULL;
    GError *failure = NULL;
    bool valid = true;
    if (!cli_options(cli, entries, "replay FILE", &argc, &argv) || argc != 1) {
        fprintf(stderr, "usage: mustardspread replay [--dc NAME] FILE\n");
        return MS_EXIT_USAGE;
    }
    if (!g_file_get_contents(argv[0], &text, NULL, &failure)) {
        fprintf(stderr, "mustardspread: %s\n", failure->message);
        g_error_free(failure);
        return MS_EXIT_USAGE;
    }
    struct ms_sched *sched = ms_sched_new(dc, NULL, NULL);
    uint8_t *buffer = g_malloc(MS_OUTPUT_MAX);
    char **lines = g_strsplit(text, "\n", -1);
    for (unsigned int i = 0; lines[i] != NULL && valid; i++) {
        char *line = g_strstrip(lines[i]);
        if (line[0] == '#') {
            puts(line);
        }
        else if (line[0] == '?') {
            print_query(sched, g_strstrip(line + 1));
        }
        else if (line[0] != '\0') {
            valid = run_event(sched, line, buffer, i + 1);
        }
    }
    g_strfreev(lines);
    g_free(buffer);
    g_free(text);
    ms_sched_free(sched);
    return valid ? MS_EXIT_OK : MS_EXIT_FAILED;
}

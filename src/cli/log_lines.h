/*
 * log_lines.h - reader for log files of the daemons.
 */
#ifndef MS_CLI_LOG_LINES_H
#define MS_CLI_LOG_LINES_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* One log line: "time=... level=... host=... event=... key=value ...". */
struct log_line {
    int64_t time_ms;      /* value of `time`, in milliseconds of Unix time */
    uint32_t input_index; /* position in the input; orders lines with equal times */
    GHashTable *keys;     /* key -> value, both strings; the quotes of values are removed */
};

/* Returns the value of KEY, or "" when it is missing. */
const char *log_line_text(const struct log_line *line, const char *key);

/* Returns the value of KEY as an integer, or 0 when it is missing or not a number. */
int64_t log_line_number(const struct log_line *line, const char *key);

/* Whether the value of `event` is EVENT. */
bool log_line_is_event(const struct log_line *line, const char *event);

/*
 * Reads the log lines in FILES (NULL-terminated; "-" is standard input) and returns
 * them as struct log_line, sorted by time.  Text before "time=" on a line is ignored.
 * Lines without a valid time or an event are left out; *SKIPPED is their number.
 * When a file cannot be opened, prints an error and returns NULL.  The caller frees
 * the array with g_ptr_array_unref().
 */
GPtrArray *log_lines_read(char **files, uint32_t *skipped);

#endif

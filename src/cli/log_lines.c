/*
 * log_lines.c - reader for log files of the daemons.
 */
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli/log_lines.h"

#define FIRST_KEY "time=" /* what stands before it on a line is not part of the log line */

const char *
log_line_text(const struct log_line *line, const char *key)
{
    const char *value = g_hash_table_lookup(line->keys, key);
    return value != NULL ? value : "";
}

int64_t
log_line_number(const struct log_line *line, const char *key)
{
    return g_ascii_strtoll(log_line_text(line, key), NULL, 10);
}

bool
log_line_is_event(const struct log_line *line, const char *event)
{
    return strcmp(log_line_text(line, "event"), event) == 0;
}

static void
free_line(gpointer opaque)
{
    struct log_line *line = opaque;
    g_hash_table_destroy(line->keys);
    g_free(line);
}

/* Parses one key=value at *TEXT and moves *TEXT past it; false when there is none. */
static bool
parse_pair(const char **text, char **key, char **value)
{
    const char *position = *text + strspn(*text, " ");
    size_t length = strcspn(position, "= ");
    if (length == 0 || position[length] != '=') {
        return false;
    }
    *key = g_strndup(position, length);
    position += length + 1;
    bool quoted = *position == '"';
    position += quoted;
    length = strcspn(position, quoted ? "\"" : " ");
    *value = g_strndup(position, length);
    position += length;
    *text = position + (quoted && *position == '"');
    return true;
}

/* Converts an ISO 8601 time to milliseconds of Unix time; -1 when TEXT is not one. */
static int64_t
parse_time(const char *text)
{
    GDateTime *time = g_date_time_new_from_iso8601(text, NULL);
    if (time == NULL) {
        return -1;
    }
    int64_t time_ms = g_date_time_to_unix(time) * 1000 + g_date_time_get_microsecond(time) / 1000;
    g_date_time_unref(time);
    return time_ms;
}

/* Parses one line of a file; NULL when it has no valid time or no event. */
static struct log_line *
parse_line(const char *text)
{
    const char *position = strstr(text, FIRST_KEY);
    char *key = NULL;
    char *value = NULL;
    if (position == NULL) {
        return NULL;
    }
    struct log_line *line = g_new0(struct log_line, 1);
    line->keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    while (parse_pair(&position, &key, &value)) {
        g_hash_table_replace(line->keys, key, value);
    }
    line->time_ms = parse_time(log_line_text(line, "time"));
    if (line->time_ms < 0 || log_line_text(line, "event")[0] == '\0') {
        free_line(line);
        return NULL;
    }
    return line;
}

/* Compares two lines by time, then by position in the input. */
static gint
compare_lines(gconstpointer left, gconstpointer right)
{
    const struct log_line *a = *(struct log_line *const *)left;
    const struct log_line *b = *(struct log_line *const *)right;
    if (a->time_ms != b->time_ms) {
        return a->time_ms < b->time_ms ? -1 : 1;
    }
    return a->input_index < b->input_index ? -1 : a->input_index > b->input_index;
}

/* Appends the log lines of FILE to LINES and adds the number of other lines to *SKIPPED. */
static void
read_file(FILE *file, GPtrArray *lines, uint32_t *skipped)
{
    char *text = NULL;
    size_t size = 0;
    while (getline(&text, &size, file) >= 0) {
        g_strchomp(text);
        struct log_line *line = parse_line(text);
        if (line == NULL) {
            ++*skipped;
            continue;
        }
        line->input_index = lines->len;
        g_ptr_array_add(lines, line);
    }
    free(text);
}

GPtrArray *
log_lines_read(char **files, uint32_t *skipped)
{
    GPtrArray *lines = g_ptr_array_new_with_free_func(free_line);
    *skipped = 0;
    for (char **path = files; *path != NULL; path++) {
        bool is_stdin = strcmp(*path, "-") == 0;
        FILE *file = is_stdin ? stdin : fopen(*path, "r");
        if (file == NULL) {
            fprintf(stderr, "mustardspread: %s: %s\n", *path, g_strerror(errno));
            g_ptr_array_unref(lines);
            return NULL;
        }
        read_file(file, lines, skipped);
        if (!is_stdin) {
            fclose(file);
        }
    }
    g_ptr_array_sort(lines, compare_lines);
    return lines;
}

/*
 * rules.h - the operators' rules file.
 *
 * One rule a line, each with a comment that names who asked for it:
 *
 *     account NAME [share=N]                                     # who
 *     guarantee NAME account=A dc=D tasks=N accels=N
 *               [adjacent=server|rack|dc]                        # who
 *     limit ACCOUNT [accels=N] [running=N] [queued=N]            # who
 *     datacentre NAME in|out                                     # who
 *
 * (a guarantee stands on one line).  Empty lines and lines that start with
 * "#" are passed over.  The key of a rule is its first two words.
 */
#ifndef MS_RULES_H
#define MS_RULES_H

#include <glib.h>

#include "mustardspread/mustardspread.h"

#define MS_RULE_LINE_MAX 512               /* bytes of one line */
#define MS_RULE_KEY_MAX (MS_NAME_MAX + 16) /* bytes of "kind name" */

struct ms_rule_line {
    unsigned int number; /* line in the file, from 1 */
    struct ms_rule rule;
    char key[MS_RULE_KEY_MAX];
    char text[MS_RULE_LINE_MAX];      /* without the comment, blanks folded */
    char requester[MS_RULE_LINE_MAX]; /* the comment */
};

/* Parses one line.  On MS_E_INVALID ERROR says why. */
enum ms_result ms_rule_line_parse(const char *line, struct ms_rule_line *out, char *error,
                                  size_t size);

/*
 * Parses a file's TEXT into an array of struct ms_rule_line, to be freed with
 * g_array_unref().  On an error returns NULL, and ERROR begins with "line N:".
 */
GArray *ms_rules_parse(const char *text, char *error, size_t size);

/* A backend server's size, as far as guarantees are concerned. */
struct ms_server_size {
    char dc[MS_NAME_MAX];
    struct ms_server_event server;
};

/*
 * Checks that all guarantees in LINES (struct ms_rule_line) can hold at once on
 * SERVERS (struct ms_server_size).  On MS_E_CONFLICT ERROR names the first line
 * that cannot be met beside the ones before it.
 */
enum ms_result ms_rules_check_guarantees(const GArray *lines, const GArray *servers, char *error,
                                         size_t size);

#endif

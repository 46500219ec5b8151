/*
 * rules_file.h - parser of the operators' rules file.
 *
 * Each line is one rule, followed by a comment that names who asked for it:
 *
 *     account NAME [share=N]                                     # who
 *     guarantee NAME account=A dc=D tasks=N accels=N
 *               [adjacent=server|rack|dc]                        # who
 *     limit ACCOUNT [accels=N] [running=N] [queued=N]            # who
 *     datacentre NAME in|out                                     # who
 *
 * (a guarantee is written on a single line).  Empty lines and lines that start
 * with "#" are ignored.  The first two words of a rule are its key; a file must
 * not contain two rules with the same key.
 */
#ifndef MS_RULES_FILE_H
#define MS_RULES_FILE_H

#include <glib.h>

#include "mustardspread/mustardspread.h"

#define MS_RULE_LINE_MAX 512               /* bytes of one line, including the NUL */
#define MS_RULE_KEY_MAX (MS_NAME_MAX + 16) /* bytes of a key, including the NUL */

/* One parsed line of the rules file. */
struct ms_rule_line {
    unsigned int line_number; /* in the file, from 1; 0: ms_rule_line_parse() was called alone */
    struct ms_rule rule;
    char key[MS_RULE_KEY_MAX];        /* "KIND NAME" */
    char text[MS_RULE_LINE_MAX];      /* the rule without comment, words separated by one space */
    char requester[MS_RULE_LINE_MAX]; /* text of the comment: who asked for the rule */
};

/*
 * Parses one line, which must be a rule with its comment.  On MS_E_INVALID, the
 * reason is written to ERROR (SIZE bytes).
 */
enum ms_result ms_rule_line_parse(const char *line, struct ms_rule_line *out, char *error,
                                  size_t size);

/*
 * Parses the TEXT of a rules file into an array of struct ms_rule_line; the
 * caller frees it with g_array_unref().  On an error returns NULL and writes
 * "line N: REASON" to ERROR (SIZE bytes).
 */
GArray *ms_rules_parse(const char *text, char *error, size_t size);

/* A backend server and its capacity, for the check of guarantees. */
struct ms_dc_server {
    char dc[MS_NAME_MAX];
    struct ms_server_event server;
};

/*
 * Checks that all guarantees in LINES (struct ms_rule_line) can be met at the
 * same time on SERVERS (struct ms_dc_server).  Returns MS_E_CONFLICT if not;
 * ERROR (SIZE bytes) then names the first guarantee that cannot be met together
 * with those before it.
 */
enum ms_result ms_rules_check_guarantees(const GArray *lines, const GArray *servers, char *error,
                                         size_t size);

#endif

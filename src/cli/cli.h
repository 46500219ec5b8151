/*
 * cli.h - declarations shared by the subcommands of mustardspread.
 */
#ifndef MS_CLI_H
#define MS_CLI_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

/* Exit codes of the program.  Scripts depend on them. */
enum ms_exit {
    MS_EXIT_OK = 0,
    MS_EXIT_FAILED = 1,      /* the job ran and failed, or the command failed */
    MS_EXIT_USAGE = 2,       /* the command line is wrong */
    MS_EXIT_NOT_RUN = 3,     /* refused; the job did not run */
    MS_EXIT_UNKNOWN = 4,     /* unknown whether the job ran or the change was applied */
    MS_EXIT_UNREACHABLE = 5, /* no entry host answered */
    MS_EXIT_CONFLICT = 6,    /* a conflicting change was applied first */
    MS_EXIT_UNCONFIRMED = 7, /* applied, but not confirmed by every host */
    MS_EXIT_PENDING = 8,     /* the job has no outcome yet */
};

/* Options common to all subcommands. */
struct cli {
    char *host;          /* IP:PORT of an entry host */
    gboolean json;       /* print the JSON of the reply */
    char **option_words; /* argument array of cli_options(); freed by main() */
};

/* The reply of an entry host; the caller frees body with json_decref(). */
struct cli_reply {
    long status;  /* HTTP status; 0 when there was no reply */
    json_t *body; /* NULL when there was no reply or it was not JSON */
};

/*
 * Sends the HTTP request METHOD PATH with BODY (may be NULL) to the host of CLI
 * and waits for the reply for at most TIMEOUT_MS.
 */
struct cli_reply cli_request(const struct cli *cli, const char *method, const char *path,
                             const char *body, long timeout_ms);

/*
 * Prints the error message of REPLY, or that there was no reply, to standard error
 * and returns the exit code for it.
 */
int cli_print_error(const struct cli *cli, const struct cli_reply *reply);

/* Prints BODY as indented JSON. */
void cli_print_json(const json_t *body);

/* Returns the string member KEY of OBJECT, or "". */
const char *cli_json_text(const json_t *object, const char *key);

/*
 * The subcommands.  ARGV[0] is the argument that follows the name of the
 * subcommand.  Each returns an exit code of enum ms_exit.
 */
int cli_job(struct cli *cli, int argc, char **argv);
int cli_rules(struct cli *cli, int argc, char **argv);
int cli_dc(struct cli *cli, int argc, char **argv);
int cli_status(struct cli *cli, int argc, char **argv);
int cli_explain(struct cli *cli, int argc, char **argv);
int cli_state(struct cli *cli, int argc, char **argv);
int cli_replay(struct cli *cli, int argc, char **argv);
int cli_logs(struct cli *cli, int argc, char **argv);

/*
 * Parses the options ENTRIES, which may be mixed with other arguments.  *ARGC
 * and *ARGV are replaced by the remaining arguments; *ARGV belongs to CLI.  USAGE
 * is shown by --help.  On an error prints a message and returns false.
 */
bool cli_options(struct cli *cli, const GOptionEntry *entries, const char *usage, int *argc,
                 char ***argv);

#endif

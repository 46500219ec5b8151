/*
 * job.c - the command "mustardspread job": submits, queries and cancels jobs.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli/cli.h"
#include "mustardspread/mustardspread.h"

#define WAIT_DEFAULT_MS 60000
#define REPLY_SLACK_MS 15000L /* time for the reply beyond the requested wait */

/* Options of "job submit". */
struct submit_options {
    char *account;
    char *key;
    gint tasks;
    gint accels;
    char *adjacent;
    char *job_class;
    gboolean idempotent;
    gboolean checkpointable;
    gboolean detach;
    gint64 declared_ms;
    gint64 start_within_ms;
    gint64 wait_ms;
    char *payload;
};

/* Prints the outcome of a job in REPLY, or the error, and returns the exit code for it. */
static int
print_outcome(const struct cli *cli, const struct cli_reply *reply)
{
    enum ms_outcome_code code = MS_OUTCOME_UNAVAILABLE;
    enum ms_ran ran = MS_RAN_UNKNOWN;
    const char *outcome = cli_json_text(reply->body, "outcome");
    if (reply->body == NULL || outcome[0] == '\0') {
        return cli_print_error(cli, reply);
    }
    if (cli->json) {
        cli_print_json(reply->body);
    }
    else {
        printf("%s outcome=%s ran=%s dc=%s server=%s detail=\"%s\"\n",
               cli_json_text(reply->body, "id"), outcome, cli_json_text(reply->body, "ran"),
               cli_json_text(reply->body, "dc"), cli_json_text(reply->body, "server"),
               cli_json_text(reply->body, "detail"));
        if (cli_json_text(reply->body, "output")[0] != '\0') {
            puts(cli_json_text(reply->body, "output"));
        }
    }
    if (strcmp(outcome, "pending") == 0) {
        return MS_EXIT_PENDING;
    }
    ms_outcome_parse(outcome, &code);
    ms_ran_parse(cli_json_text(reply->body, "ran"), &ran);
    if (code == MS_OUTCOME_DONE) {
        return MS_EXIT_OK;
    }
    if (ran == MS_RAN_UNKNOWN) {
        return MS_EXIT_UNKNOWN;
    }
    return ran == MS_RAN_NO ? MS_EXIT_NOT_RUN : MS_EXIT_FAILED;
}

/* Sets the member KEY of ROOT unless VALUE is NULL. */
static void
set_json_text(json_t *root, const char *key, const char *value)
{
    if (value != NULL) {
        json_object_set_new(root, key, json_string(value));
    }
}

/* Returns the JSON body of a submission; the caller frees it with free(). */
static char *
format_submit_body(const struct submit_options *options)
{
    json_t *root = json_object();
    set_json_text(root, "account", options->account);
    set_json_text(root, "key", options->key);
    set_json_text(root, "adjacent", options->adjacent);
    set_json_text(root, "class", options->job_class);
    set_json_text(root, "payload", options->payload);
    json_object_set_new(root, "tasks", json_integer(options->tasks));
    json_object_set_new(root, "accels", json_integer(options->accels));
    json_object_set_new(root, "idempotent", json_boolean(options->idempotent));
    json_object_set_new(root, "checkpointable", json_boolean(options->checkpointable));
    json_object_set_new(root, "detached", json_boolean(options->detach));
    json_object_set_new(root, "declared_ms", json_integer(options->declared_ms));
    json_object_set_new(root, "start_within_ms", json_integer(options->start_within_ms));
    json_object_set_new(root, "wait_ms", json_integer(options->wait_ms));
    char *text = json_dumps(root, JSON_COMPACT);
    json_decref(root);
    return text;
}

static int
submit(struct cli *cli, int argc, char **argv)
{
    struct submit_options options = {.tasks = 1, .wait_ms = WAIT_DEFAULT_MS};
    const GOptionEntry entries[] = {
        {"account", 'a', 0, G_OPTION_ARG_STRING, &options.account, "Client account", "NAME"},
        {"key", 'k', 0, G_OPTION_ARG_STRING, &options.key, "Request key, unique in the account",
         "KEY"},
        {"tasks", 't', 0, G_OPTION_ARG_INT, &options.tasks, "Tasks of the gang (1)", "N"},
        {"accels", 'g', 0, G_OPTION_ARG_INT, &options.accels, "Accelerators of each task (0)", "N"},
        {"adjacent", 0, 0, G_OPTION_ARG_STRING, &options.adjacent, "server, rack or dc", "LEVEL"},
        {"class", 'c', 0, G_OPTION_ARG_STRING, &options.job_class, "urgent, normal or batch",
         "CLASS"},
        {"idempotent", 'i', 0, G_OPTION_ARG_NONE, &options.idempotent,
         "It is safe to run the job more than once", NULL},
        {"checkpointable", 0, 0, G_OPTION_ARG_NONE, &options.checkpointable,
         "Tasks can be checkpointed", NULL},
        {"detach", 'd', 0, G_OPTION_ARG_NONE, &options.detach,
         "Return when the job is accepted; it outlives the connection", NULL},
        {"declared-ms", 0, 0, G_OPTION_ARG_INT64, &options.declared_ms, "Expected run time", "MS"},
        {"start-within-ms", 0, 0, G_OPTION_ARG_INT64, &options.start_within_ms,
         "Give up if the job has not started within this time", "MS"},
        {"wait-ms", 'w', 0, G_OPTION_ARG_INT64, &options.wait_ms,
         "Longest wait for the outcome (60000)", "MS"},
        {"payload", 'p', 0, G_OPTION_ARG_STRING, &options.payload, "Text passed to the tasks",
         "TEXT"},
        G_OPTION_ENTRY_NULL};
    if (!cli_options(cli, entries, "job submit", &argc, &argv)) {
        return MS_EXIT_USAGE;
    }
    if (options.account == NULL || options.key == NULL || argc > 0) {
        fprintf(stderr,
                "mustardspread: job submit requires --account and --key and takes no arguments\n");
        return MS_EXIT_USAGE;
    }
    char *body = format_submit_body(&options);
    struct cli_reply reply =
        cli_request(cli, "POST", "/v1/jobs", body, (long)options.wait_ms + REPLY_SLACK_MS);
    int result = print_outcome(cli, &reply);
    free(body);
    json_decref(reply.body);
    return result;
}

/* Sends METHOD for the job ID and prints the outcome; WAIT_MS: longest wait for it. */
static int
request_outcome(struct cli *cli, const char *method, const char *id, gint64 wait_ms)
{
    char *path = g_strdup_printf("/v1/jobs/%s?wait_ms=%" G_GINT64_FORMAT, id, wait_ms);
    struct cli_reply reply = cli_request(cli, method, path, NULL, (long)wait_ms + REPLY_SLACK_MS);
    int result = print_outcome(cli, &reply);
    json_decref(reply.body);
    g_free(path);
    return result;
}

int
cli_job(struct cli *cli, int argc, char **argv)
{
    if (argc >= 1 && strcmp(argv[0], "submit") == 0) {
        return submit(cli, argc - 1, argv + 1);
    }
    if (argc == 2 && strcmp(argv[0], "status") == 0) {
        return request_outcome(cli, "GET", argv[1], 0);
    }
    if (argc == 2 && strcmp(argv[0], "wait") == 0) {
        return request_outcome(cli, "GET", argv[1], WAIT_DEFAULT_MS);
    }
    if (argc == 2 && strcmp(argv[0], "cancel") == 0) {
        return request_outcome(cli, "DELETE", argv[1], 10000);
    }
    fprintf(stderr, "usage: mustardspread job submit ... | status ID | wait ID | cancel ID\n");
    return MS_EXIT_USAGE;
}

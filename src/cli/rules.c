/*
 * rules.c - the commands "mustardspread rules" and "mustardspread dc".
 */
#include <stdio.h>
#include <string.h>

#include "cli/cli.h"
#include "config/rules_file.h"

#define APPLY_TIMEOUT_MS 20000L
#define SHOW_TIMEOUT_MS 10000L
#define ERROR_MAX 512

/* Prints " LABEL=NAME,NAME,..." from a JSON array of strings. */
static void
print_names(const char *label, const json_t *names)
{
    size_t index = 0;
    json_t *name = NULL;
    printf(" %s=", label);
    json_array_foreach((json_t *)names, index, name)
    {
        printf("%s%s", index > 0 ? "," : "", json_string_value(name));
    }
}

/* Prints the reasons why changes were rejected. */
static void
print_rejected(const json_t *reasons)
{
    size_t index = 0;
    json_t *reason = NULL;
    json_array_foreach((json_t *)reasons, index, reason)
    {
        fprintf(stderr, "mustardspread: rejected: %s\n", json_string_value(reason));
    }
}

/* Prints the result of a change of the rules, or the error, and returns the exit code for it. */
static int
print_change_result(const struct cli *cli, const struct cli_reply *reply)
{
    const char *state = cli_json_text(reply->body, "state");
    if (state[0] == '\0') {
        return cli_print_error(cli, reply);
    }
    if (cli->json) {
        cli_print_json(reply->body);
    }
    else {
        const json_t *version = json_object_get(reply->body, "version");
        printf("state=\"%s\"", state);
        if (version != NULL) {
            printf(" version=%" JSON_INTEGER_FORMAT, json_integer_value(version));
            print_names("confirmed", json_object_get(reply->body, "confirmed"));
            print_names("unconfirmed", json_object_get(reply->body, "unconfirmed"));
        }
        printf("\n");
    }
    print_rejected(json_object_get(reply->body, "lost"));
    if (reply->status == 409) {
        return MS_EXIT_CONFLICT;
    }
    if (reply->status == 504) {
        return MS_EXIT_UNKNOWN;
    }
    return json_array_size(json_object_get(reply->body, "unconfirmed")) > 0 ? MS_EXIT_UNCONFIRMED
                                                                            : MS_EXIT_OK;
}

/* Sends the rules in TEXT to the host; QUERY sets the parameters "replace" and "check". */
static int
post_rules(struct cli *cli, const char *query, const char *text)
{
    char *path = g_strdup_printf("/v1/rules?%s", query);
    struct cli_reply reply = cli_request(cli, "POST", path, text, APPLY_TIMEOUT_MS);
    int result = print_change_result(cli, &reply);
    json_decref(reply.body);
    g_free(path);
    return result;
}

/* Checks the syntax of the rules file PATH, then sends it to the host. */
static int
post_rules_file(struct cli *cli, const char *query, const char *path)
{
    char error[ERROR_MAX];
    gchar *text = NULL;
    GError *failure = NULL;
    if (!g_file_get_contents(path, &text, NULL, &failure)) {
        fprintf(stderr, "mustardspread: %s\n", failure->message);
        g_error_free(failure);
        return MS_EXIT_USAGE;
    }
    GArray *lines = ms_rules_parse(text, error, sizeof(error));
    if (lines == NULL) {
        fprintf(stderr, "mustardspread: %s: %s\n", path, error);
        g_free(text);
        return MS_EXIT_FAILED;
    }
    g_array_unref(lines);
    int result = post_rules(cli, query, text);
    g_free(text);
    return result;
}

static int
show_rules(struct cli *cli)
{
    struct cli_reply reply = cli_request(cli, "GET", "/v1/rules", NULL, SHOW_TIMEOUT_MS);
    const json_t *rules = json_object_get(reply.body, "rules");
    size_t index = 0;
    json_t *rule = NULL;
    int result = MS_EXIT_OK;
    if (rules == NULL) {
        result = cli_print_error(cli, &reply);
    }
    else if (cli->json) {
        cli_print_json(reply.body);
    }
    else {
        json_array_foreach((json_t *)rules, index, rule)
        {
            printf("%s # %s\n", cli_json_text(rule, "line"), cli_json_text(rule, "requester"));
        }
    }
    json_decref(reply.body);
    return result;
}

static int
show_history(struct cli *cli)
{
    struct cli_reply reply = cli_request(cli, "GET", "/v1/rules/history", NULL, SHOW_TIMEOUT_MS);
    const json_t *changes = json_object_get(reply.body, "history");
    size_t index = 0;
    json_t *change = NULL;
    int result = MS_EXIT_OK;
    if (changes == NULL) {
        result = cli_print_error(cli, &reply);
    }
    else if (cli->json) {
        cli_print_json(reply.body);
    }
    else {
        json_array_foreach((json_t *)changes, index, change)
        {
            bool applied = json_is_true(json_object_get(change, "taken"));
            printf("version=%" JSON_INTEGER_FORMAT
                   " taken=%s key=\"%s\" line=\"%s\" by=\"%s\"%s%s\n",
                   json_integer_value(json_object_get(change, "version")), applied ? "yes" : "no",
                   cli_json_text(change, "key"), cli_json_text(change, "line"),
                   cli_json_text(change, "requester"),
                   applied ? "" : " reason=", cli_json_text(change, "reason"));
        }
    }
    json_decref(reply.body);
    return result;
}

int
cli_rules(struct cli *cli, int argc, char **argv)
{
    if (argc == 2 && strcmp(argv[0], "check") == 0) {
        return post_rules_file(cli, "replace=1&check=1", argv[1]);
    }
    if (argc == 2 && strcmp(argv[0], "apply") == 0) {
        return post_rules_file(cli, "replace=1", argv[1]);
    }
    if (argc == 1 && strcmp(argv[0], "show") == 0) {
        return show_rules(cli);
    }
    if (argc == 1 && strcmp(argv[0], "history") == 0) {
        return show_history(cli);
    }
    fprintf(stderr, "usage: mustardspread rules check FILE | apply FILE | show | history\n");
    return MS_EXIT_USAGE;
}

int
cli_dc(struct cli *cli, int argc, char **argv)
{
    char *by = NULL;
    const GOptionEntry entries[] = {
        {"by", 'b', 0, G_OPTION_ARG_STRING, &by, "Who asked for the change", "WHO"},
        G_OPTION_ENTRY_NULL};
    if (!cli_options(cli, entries, "dc out|in NAME", &argc, &argv)) {
        return MS_EXIT_USAGE;
    }
    bool valid = argc == 2 && (strcmp(argv[0], "out") == 0 || strcmp(argv[0], "in") == 0);
    if (!valid || by == NULL) {
        fprintf(stderr, "usage: mustardspread dc out NAME --by WHO | in NAME --by WHO\n");
        return MS_EXIT_USAGE;
    }
    char *line = g_strdup_printf("datacentre %s %s # %s", argv[1], argv[0], by);
    int result = post_rules(cli, "replace=0", line);
    g_free(line);
    return result;
}

/*
 * status.c - the commands "mustardspread status", "explain" and "state".
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli/cli.h"

#define TIMEOUT_MS 10000L

/* Returns the integer member KEY of OBJECT, or 0. */
static json_int_t
json_number(const json_t *object, const char *key)
{
    return json_integer_value(json_object_get(object, key));
}

/* Returns "yes" when the member KEY of OBJECT is true, otherwise "no". */
static const char *
yes_no(const json_t *object, const char *key)
{
    return json_is_true(json_object_get(object, key)) ? "yes" : "no";
}

/* Prints one line for the host that answered, each data centre and each other host. */
static void
print_status(const json_t *body)
{
    size_t index = 0;
    json_t *item = NULL;
    printf("host %s dc=%s places=%s epoch=%" JSON_INTEGER_FORMAT
           " log_reachable=%s applied=%" JSON_INTEGER_FORMAT " pending=%" JSON_INTEGER_FORMAT
           " draining=%s\n",
           cli_json_text(body, "name"), cli_json_text(body, "dc"), yes_no(body, "places"),
           json_number(body, "epoch"), yes_no(body, "log_reachable"), json_number(body, "applied"),
           json_number(body, "pending"), yes_no(body, "draining"));
    json_array_foreach(json_object_get(body, "dcs"), index, item)
    {
        printf("dc %s region=%s out=%s placed_by=%s servers=%" JSON_INTEGER_FORMAT
               " accels=%" JSON_INTEGER_FORMAT " accels_free=%" JSON_INTEGER_FORMAT
               " waiting=%" JSON_INTEGER_FORMAT " running=%" JSON_INTEGER_FORMAT
               " quarantined=%" JSON_INTEGER_FORMAT " guarantees_unmet=%" JSON_INTEGER_FORMAT "\n",
               cli_json_text(item, "name"), cli_json_text(item, "region"), yes_no(item, "out"),
               cli_json_text(item, "placed_by"), json_number(item, "servers"),
               json_number(item, "accels"), json_number(item, "accels_free"),
               json_number(item, "waiting"), json_number(item, "running"),
               json_number(item, "quarantined"), json_number(item, "guarantees_unmet"));
    }
    json_array_foreach(json_object_get(body, "hosts"), index, item)
    {
        printf("peer %s dc=%s alive=%s places=%s applied=%" JSON_INTEGER_FORMAT
               " log_reachable=%s draining=%s\n",
               cli_json_text(item, "name"), cli_json_text(item, "dc"), yes_no(item, "alive"),
               yes_no(item, "places"), json_number(item, "applied"), yes_no(item, "log_reachable"),
               yes_no(item, "draining"));
    }
}

int
cli_status(struct cli *cli, int argc, char **argv)
{
    (void)argv;
    if (argc != 0) {
        fprintf(stderr, "mustardspread: status takes no arguments\n");
        return MS_EXIT_USAGE;
    }
    struct cli_reply reply = cli_request(cli, "GET", "/v1/status", NULL, TIMEOUT_MS);
    int result = MS_EXIT_OK;
    if (reply.body == NULL) {
        result = cli_print_error(cli, &reply);
    }
    else if (cli->json) {
        cli_print_json(reply.body);
    }
    else {
        print_status(reply.body);
    }
    json_decref(reply.body);
    return result;
}

int
cli_explain(struct cli *cli, int argc, char **argv)
{
    if (argc != 1) {
        fprintf(stderr, "usage: mustardspread explain ACCOUNT/KEY\n");
        return MS_EXIT_USAGE;
    }
    char *path = g_strdup_printf("/v1/jobs/%s?explain=1", argv[0]);
    struct cli_reply reply = cli_request(cli, "GET", path, NULL, TIMEOUT_MS);
    int result = MS_EXIT_OK;
    if (reply.body == NULL || reply.status != 200) {
        result = cli_print_error(cli, &reply);
    }
    else {
        fputs(cli_json_text(reply.body, "explanation"), stdout);
    }
    json_decref(reply.body);
    g_free(path);
    return result;
}

/* Writes the applied state of the host to the file PATH. */
static int
save_state(struct cli *cli, const char *path)
{
    struct cli_reply reply = cli_request(cli, "GET", "/v1/state", NULL, TIMEOUT_MS);
    int result = MS_EXIT_OK;
    if (json_object_get(reply.body, "state") == NULL) {
        result = cli_print_error(cli, &reply);
    }
    else if (json_dump_file(reply.body, path, JSON_COMPACT) != 0) {
        fprintf(stderr, "mustardspread: cannot write %s\n", path);
        result = MS_EXIT_FAILED;
    }
    json_decref(reply.body);
    return result;
}

/* Sends the state in the file PATH to the host. */
static int
load_state(struct cli *cli, const char *path)
{
    gchar *text = NULL;
    GError *failure = NULL;
    if (!g_file_get_contents(path, &text, NULL, &failure)) {
        fprintf(stderr, "mustardspread: %s\n", failure->message);
        g_error_free(failure);
        return MS_EXIT_USAGE;
    }
    struct cli_reply reply = cli_request(cli, "POST", "/v1/state", text, TIMEOUT_MS);
    int result = MS_EXIT_OK;
    if (json_object_get(reply.body, "applied") == NULL) {
        result = cli_print_error(cli, &reply);
    }
    else {
        printf("applied=%" JSON_INTEGER_FORMAT "\n", json_number(reply.body, "applied"));
    }
    json_decref(reply.body);
    g_free(text);
    return result;
}

int
cli_state(struct cli *cli, int argc, char **argv)
{
    if (argc == 2 && strcmp(argv[0], "save") == 0) {
        return save_state(cli, argv[1]);
    }
    if (argc == 2 && strcmp(argv[0], "load") == 0) {
        return load_state(cli, argv[1]);
    }
    fprintf(stderr, "usage: mustardspread state save FILE | load FILE\n");
    return MS_EXIT_USAGE;
}

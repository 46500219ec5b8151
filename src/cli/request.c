/*
 * request.c - requests to an entry host.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>

#include "cli/cli.h"

#define CONNECT_TIMEOUT_MS 2000L

static size_t
collect(char *data, size_t size, size_t count, void *opaque)
{
    g_string_append_len(opaque, data, (gssize)(size * count));
    return size * count;
}

struct cli_reply
cli_request(const struct cli *cli, const char *method, const char *path, const char *body,
            long timeout_ms)
{
    struct cli_reply reply = {0};
    GString *answer = g_string_new(NULL);
    char *url = g_strdup_printf("http://%s%s", cli->host, path);
    struct curl_slist *headers = curl_slist_append(NULL, "Content-Type: application/json");
    headers = curl_slist_append(headers, "Expect:");
    CURL *easy = curl_easy_init();
    curl_easy_setopt(easy, CURLOPT_URL, url);
    curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, method);
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, timeout_ms);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, collect);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, answer);
    if (body != NULL) {
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body);
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, (long)strlen(body));
    }
    if (curl_easy_perform(easy) == CURLE_OK) {
        curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &reply.status);
        reply.body = json_loadb(answer->str, answer->len, 0, NULL);
    }
    curl_easy_cleanup(easy);
    curl_slist_free_all(headers);
    g_free(url);
    g_string_free(answer, TRUE);
    return reply;
}

const char *
cli_text(const json_t *object, const char *key)
{
    const char *value = json_string_value(json_object_get(object, key));
    return value != NULL ? value : "";
}

void
cli_print_json(const json_t *body)
{
    char *text = json_dumps(body, JSON_INDENT(2));
    puts(text);
    free(text);
}

int
cli_fail(const struct cli *cli, const struct cli_reply *reply)
{
    if (reply->body == NULL) {
        fprintf(stderr, "mustardspread: the entry host %s did not answer\n", cli->host);
        return MS_EXIT_UNREACHABLE;
    }
    fprintf(stderr, "mustardspread: %s\n", cli_text(reply->body, "error"));
    return reply->status == 503 ? MS_EXIT_NOT_RUN : MS_EXIT_FAILED;
}

bool
cli_options(struct cli *cli, const GOptionEntry *entries, const char *usage, int *argc,
            char ***argv)
{
    GError *error = NULL;
    GOptionContext *context = g_option_context_new(usage);
    g_option_context_add_main_entries(context, entries, NULL);
    /* GLib takes the first word for the program's name. */
    char **words = g_new0(char *, (gsize)*argc + 2);
    words[0] = "mustardspread";
    for (int i = 0; i < *argc; i++) {
        words[i + 1] = (*argv)[i];
    }
    int count = *argc + 1;
    g_free(cli->words);
    cli->words = words;
    bool good = g_option_context_parse(context, &count, &words, &error);
    if (!good) {
        fprintf(stderr, "mustardspread: %s\n", error->message);
        g_error_free(error);
    }
    *argc = count - 1;
    *argv = words + 1;
    g_option_context_free(context);
    return good;
}

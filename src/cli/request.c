/*
 * request.c - HTTP requests to an entry host, their replies and command options.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>

#include "cli/cli.h"

#define CONNECT_TIMEOUT_MS 2000L

/* Write callback of libcurl: appends the data to the GString OPAQUE. */
static size_t
append_to_string(char *data, size_t size, size_t count, void *opaque)
{
    g_string_append_len(opaque, data, (gssize)(size * count));
    return size * count;
}

struct cli_reply
cli_request(const struct cli *cli, const char *method, const char *path, const char *body,
            long timeout_ms)
{
    struct cli_reply reply = {0};
    GString *response = g_string_new(NULL);
    char *url = g_strdup_printf("http://%s%s", cli->host, path);
    struct curl_slist *headers = curl_slist_append(NULL, "Content-Type: application/json");
    /* Stops libcurl from waiting for "100 Continue" before it sends a large body. */
    headers = curl_slist_append(headers, "Expect:");
    CURL *curl = curl_easy_init();
    curl_easy_setopt(curl, CURLOPT_URL, url);
    curl_easy_setopt(curl, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, method);
    curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, timeout_ms);
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, append_to_string);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, response);
    if (body != NULL) {
        curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body);
        curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE, (long)strlen(body));
    }
    if (curl_easy_perform(curl) == CURLE_OK) {
        curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &reply.status);
        reply.body = json_loadb(response->str, response->len, 0, NULL);
    }
    curl_easy_cleanup(curl);
    curl_slist_free_all(headers);
    g_free(url);
    g_string_free(response, TRUE);
    return reply;
}

const char *
cli_json_text(const json_t *object, const char *key)
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
cli_print_error(const struct cli *cli, const struct cli_reply *reply)
{
    if (reply->body == NULL) {
        fprintf(stderr, "mustardspread: the entry host %s did not answer\n", cli->host);
        return MS_EXIT_UNREACHABLE;
    }
    fprintf(stderr, "mustardspread: %s\n", cli_json_text(reply->body, "error"));
    return reply->status == 503 ? MS_EXIT_NOT_RUN : MS_EXIT_FAILED;
}

bool
cli_options(struct cli *cli, const GOptionEntry *entries, const char *usage, int *argc,
            char ***argv)
{
    GError *error = NULL;
    GOptionContext *context = g_option_context_new(usage);
    g_option_context_add_main_entries(context, entries, NULL);
    /* GLib expects the name of the program in the first element. */
    char **words = g_new0(char *, (gsize)*argc + 2);
    words[0] = "mustardspread";
    for (int i = 0; i < *argc; i++) {
        words[i + 1] = (*argv)[i];
    }
    int count = *argc + 1;
    g_free(cli->option_words);
    cli->option_words = words;
    bool valid = g_option_context_parse(context, &count, &words, &error);
    if (!valid) {
        fprintf(stderr, "mustardspread: %s\n", error->message);
        g_error_free(error);
    }
    *argc = count - 1;
    *argv = words + 1;
    g_option_context_free(context);
    return valid;
}

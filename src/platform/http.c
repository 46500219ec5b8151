/*
 * http.c - one HTTP exchange with JSON bodies, over libcurl.
 */
#include <stdlib.h>
#include <string.h>

#include "platform/http.h"

static size_t
collect(char *data, size_t size, size_t count, void *opaque)
{
    g_byte_array_append(opaque, (const guint8 *)data, (guint)(size * count));
    return size * count;
}

/* Notes the ETag among the headers of the answer. */
static size_t
read_header(char *data, size_t size, size_t count, void *opaque)
{
    struct ms_http *http = opaque;
    char *line = g_strndup(data, size * count);
    if (g_ascii_strncasecmp(line, "etag:", 5) == 0) {
        g_strlcpy(http->tag, g_strstrip(line + 5), sizeof(http->tag));
    }
    g_free(line);
    return size * count;
}

struct ms_http *
ms_http_new(void)
{
    struct ms_http *http = g_new0(struct ms_http, 1);
    http->easy = curl_easy_init();
    if (http->easy == NULL) {
        g_free(http);
        return NULL;
    }
    http->answer = g_byte_array_new();
    http->headers = curl_slist_append(NULL, "Content-Type: application/json");
    http->headers = curl_slist_append(http->headers, "Expect:");
    http->headers = curl_slist_append(http->headers, "Accept:");
    return http;
}

void
ms_http_free(struct ms_http *http)
{
    if (http == NULL) {
        return;
    }
    curl_easy_cleanup(http->easy);
    curl_slist_free_all(http->headers);
    curl_slist_free_all(http->conditional);
    curl_slist_free_all(http->extra);
    g_byte_array_unref(http->answer);
    free(http->body);
    g_free(http);
}

void
ms_http_prepare(struct ms_http *http, const char *url, json_t *body, long timeout_ms, bool fresh)
{
    g_byte_array_set_size(http->answer, 0);
    free(http->body);
    http->body = NULL;
    http->tag[0] = '\0';
    curl_slist_free_all(http->extra);
    http->extra = NULL;
    curl_easy_reset(http->easy);
    curl_easy_setopt(http->easy, CURLOPT_URL, url);
    curl_easy_setopt(http->easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(http->easy, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(http->easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(http->easy, CURLOPT_CONNECTTIMEOUT_MS, MS_CONNECT_TIMEOUT_MS);
    curl_easy_setopt(http->easy, CURLOPT_TIMEOUT_MS, timeout_ms);
    curl_easy_setopt(http->easy, CURLOPT_FRESH_CONNECT, fresh ? 1L : 0L);
    curl_easy_setopt(http->easy, CURLOPT_WRITEFUNCTION, collect);
    curl_easy_setopt(http->easy, CURLOPT_WRITEDATA, http->answer);
    curl_easy_setopt(http->easy, CURLOPT_PRIVATE, http);
    curl_easy_setopt(http->easy, CURLOPT_HTTPHEADER, http->headers);
    if (body == NULL) {
        return;
    }
    http->body = json_dumps(body, JSON_COMPACT);
    http->body_length = strlen(http->body);
    json_decref(body);
    curl_easy_setopt(http->easy, CURLOPT_POST, 1L);
    curl_easy_setopt(http->easy, CURLOPT_POSTFIELDS, http->body);
    curl_easy_setopt(http->easy, CURLOPT_POSTFIELDSIZE, (long)http->body_length);
}

void
ms_http_raw_body(struct ms_http *http, const void *body, size_t length)
{
    free(http->body);
    http->body = malloc(length + 1);
    if (http->body == NULL) {
        g_error("out of memory");
    }
    memcpy(http->body, body, length);
    http->body_length = length;
    curl_easy_setopt(http->easy, CURLOPT_POST, 1L);
    curl_easy_setopt(http->easy, CURLOPT_POSTFIELDS, http->body);
    curl_easy_setopt(http->easy, CURLOPT_POSTFIELDSIZE, (long)length);
}

void
ms_http_header(struct ms_http *http, const char *name, const char *value)
{
    char *header = g_strdup_printf("%s: %s", name, value);
    if (http->extra == NULL) {
        for (struct curl_slist *item = http->headers; item != NULL; item = item->next) {
            http->extra = curl_slist_append(http->extra, item->data);
        }
    }
    http->extra = curl_slist_append(http->extra, header);
    curl_easy_setopt(http->easy, CURLOPT_HTTPHEADER, http->extra);
    g_free(header);
}

bool
ms_http_unsent(const struct ms_http *http, CURLcode code)
{
    curl_off_t sent = 0;
    long request = 0;
    curl_easy_getinfo(http->easy, CURLINFO_REQUEST_SIZE, &request);
    curl_easy_getinfo(http->easy, CURLINFO_SIZE_UPLOAD_T, &sent);
    return code != CURLE_OK && request == 0 && sent == 0;
}

void
ms_http_if_changed(struct ms_http *http, const char *tag)
{
    curl_easy_setopt(http->easy, CURLOPT_HEADERFUNCTION, read_header);
    curl_easy_setopt(http->easy, CURLOPT_HEADERDATA, http);
    if (tag[0] == '\0') {
        return;
    }
    char *header = g_strdup_printf("If-None-Match: %s", tag);
    curl_slist_free_all(http->conditional);
    http->conditional = curl_slist_append(NULL, header);
    curl_easy_setopt(http->easy, CURLOPT_HTTPHEADER, http->conditional);
    g_free(header);
}

void
ms_http_tag(const struct ms_http *http, char *tag, size_t size)
{
    if (http->tag[0] != '\0') {
        g_strlcpy(tag, http->tag, size);
    }
}

json_t *
ms_http_finish(struct ms_http *http, CURLcode code, long *status)
{
    *status = 0;
    if (code != CURLE_OK) {
        return NULL;
    }
    curl_easy_getinfo(http->easy, CURLINFO_RESPONSE_CODE, status);
    return json_loadb((const char *)http->answer->data, http->answer->len, 0, NULL);
}

json_t *
ms_http_run(struct ms_http *http, long *status)
{
    return ms_http_finish(http, curl_easy_perform(http->easy), status);
}

size_t
ms_http_bytes(const struct ms_http *http)
{
    long request = 0;
    long header = 0;
    curl_easy_getinfo(http->easy, CURLINFO_REQUEST_SIZE, &request);
    curl_easy_getinfo(http->easy, CURLINFO_HEADER_SIZE, &header);
    size_t body = http->body != NULL ? http->body_length : 0;
    return (size_t)request + (size_t)header + http->answer->len + body;
}

void
ms_json_text(const json_t *object, const char *key, char *out, size_t size)
{
    const char *value = json_string_value(json_object_get(object, key));
    g_strlcpy(out, value != NULL ? value : "", size);
}

int64_t
ms_json_int(const json_t *object, const char *key, int64_t fallback)
{
    const json_t *value = json_object_get(object, key);
    return json_is_integer(value) ? json_integer_value(value) : fallback;
}

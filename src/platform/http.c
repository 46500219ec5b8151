/*
 * http.c - one HTTP exchange with JSON bodies, over libcurl.
 */
#include <stdlib.h>
#include <string.h>

#include "platform/http.h"

/* libcurl callback: appends a part of the response body to the buffer OPAQUE. */
static size_t
append_body(char *data, size_t size, size_t count, void *opaque)
{
    g_byte_array_append(opaque, (const guint8 *)data, (guint)(size * count));
    return size * count;
}

/* libcurl callback: keeps the ETag when DATA is that header. */
static size_t
read_etag_header(char *data, size_t size, size_t count, void *opaque)
{
    struct ms_http *http = opaque;
    char *line = g_strndup(data, size * count);
    if (g_ascii_strncasecmp(line, "etag:", 5) == 0) {
        g_strlcpy(http->etag, g_strstrip(line + 5), sizeof(http->etag));
    }
    g_free(line);
    return size * count;
}

/* Whether any of the prepared request was sent. */
static bool
was_sent(const struct ms_http *http)
{
    curl_off_t uploaded = 0;
    long request_size = 0;
    curl_easy_getinfo(http->curl, CURLINFO_REQUEST_SIZE, &request_size);
    curl_easy_getinfo(http->curl, CURLINFO_SIZE_UPLOAD_T, &uploaded);
    return request_size > 0 || uploaded > 0;
}

/*
 * libcurl callback: the request is about to be sent, over a new or a reused connection.
 * libcurl sends a request again when a reused connection is closed without an answer.  One that
 * is to be sent once ends with an error instead: the server may carry out the first copy later,
 * so that the answer to a second one would not tell what becomes of the request.
 */
static int
before_send(void *opaque, char *peer_ip, char *own_ip, int peer_port, int own_port)
{
    struct ms_http *http = opaque;
    (void)peer_ip;
    (void)own_ip;
    (void)peer_port;
    (void)own_port;
    bool sent_before = http->send_count > 0 && was_sent(http);
    if (sent_before && http->send_once) {
        return CURL_PREREQFUNC_ABORT;
    }
    if (sent_before || http->send_count == 0) {
        http->send_count++;
    }
    return CURL_PREREQFUNC_OK;
}

struct ms_http *
ms_http_new(void)
{
    struct ms_http *http = g_new0(struct ms_http, 1);
    http->curl = curl_easy_init();
    if (http->curl == NULL) {
        g_free(http);
        return NULL;
    }
    ms_list_link_init(&http->loop_link);
    http->response_body = g_byte_array_new();
    http->default_headers = curl_slist_append(NULL, "Content-Type: application/json");
    /* An empty value keeps libcurl from sending the header. */
    http->default_headers = curl_slist_append(http->default_headers, "Expect:");
    http->default_headers = curl_slist_append(http->default_headers, "Accept:");
    return http;
}

void
ms_http_free(struct ms_http *http)
{
    if (http == NULL) {
        return;
    }
    curl_easy_cleanup(http->curl);
    curl_slist_free_all(http->default_headers);
    curl_slist_free_all(http->conditional_headers);
    curl_slist_free_all(http->request_headers);
    g_byte_array_unref(http->response_body);
    free(http->request_body);
    g_free(http);
}

void
ms_http_prepare(struct ms_http *http, const char *url, json_t *body, long timeout_ms,
                bool fresh_connection)
{
    g_byte_array_set_size(http->response_body, 0);
    free(http->request_body);
    http->request_body = NULL;
    http->etag[0] = '\0';
    curl_slist_free_all(http->request_headers);
    http->request_headers = NULL;
    http->send_once = body != NULL;
    http->send_count = 0;
    curl_easy_reset(http->curl);
    curl_easy_setopt(http->curl, CURLOPT_URL, url);
    curl_easy_setopt(http->curl, CURLOPT_PREREQFUNCTION, before_send);
    curl_easy_setopt(http->curl, CURLOPT_PREREQDATA, http);
    curl_easy_setopt(http->curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(http->curl, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(http->curl, CURLOPT_TCP_NODELAY, 1L);
    http->timeout_ms = timeout_ms;
    curl_easy_setopt(http->curl, CURLOPT_TIMEOUT_MS, timeout_ms);
    ms_http_set_connect_timeout(http, MS_CONNECT_TIMEOUT_MS);
    curl_easy_setopt(http->curl, CURLOPT_FRESH_CONNECT, fresh_connection ? 1L : 0L);
    curl_easy_setopt(http->curl, CURLOPT_WRITEFUNCTION, append_body);
    curl_easy_setopt(http->curl, CURLOPT_WRITEDATA, http->response_body);
    curl_easy_setopt(http->curl, CURLOPT_PRIVATE, http);
    curl_easy_setopt(http->curl, CURLOPT_HTTPHEADER, http->default_headers);
    if (body == NULL) {
        return;
    }
    http->request_body = json_dumps(body, JSON_COMPACT);
    http->request_length = strlen(http->request_body);
    json_decref(body);
    curl_easy_setopt(http->curl, CURLOPT_POST, 1L);
    curl_easy_setopt(http->curl, CURLOPT_POSTFIELDS, http->request_body);
    curl_easy_setopt(http->curl, CURLOPT_POSTFIELDSIZE, (long)http->request_length);
}

void
ms_http_set_connect_timeout(struct ms_http *http, long timeout_ms)
{
    http->connect_timeout_ms = timeout_ms;
    curl_easy_setopt(http->curl, CURLOPT_CONNECTTIMEOUT_MS, timeout_ms);
}

void
ms_http_set_raw_body(struct ms_http *http, const void *body, size_t length)
{
    free(http->request_body);
    http->request_body = malloc(length + 1);
    if (http->request_body == NULL) {
        g_error("out of memory");
    }
    memcpy(http->request_body, body, length);
    http->request_length = length;
    http->send_once = true;
    curl_easy_setopt(http->curl, CURLOPT_POST, 1L);
    curl_easy_setopt(http->curl, CURLOPT_POSTFIELDS, http->request_body);
    curl_easy_setopt(http->curl, CURLOPT_POSTFIELDSIZE, (long)length);
}

void
ms_http_allow_resend(struct ms_http *http)
{
    http->send_once = false;
}

void
ms_http_add_header(struct ms_http *http, const char *name, const char *value)
{
    char *header = g_strdup_printf("%s: %s", name, value);
    if (http->request_headers == NULL) {
        for (struct curl_slist *item = http->default_headers; item != NULL; item = item->next) {
            http->request_headers = curl_slist_append(http->request_headers, item->data);
        }
    }
    http->request_headers = curl_slist_append(http->request_headers, header);
    curl_easy_setopt(http->curl, CURLOPT_HTTPHEADER, http->request_headers);
    g_free(header);
}

bool
ms_http_not_sent(const struct ms_http *http, CURLcode code)
{
    return code != CURLE_OK && !was_sent(http);
}

void
ms_http_set_if_none_match(struct ms_http *http, const char *etag)
{
    curl_easy_setopt(http->curl, CURLOPT_HEADERFUNCTION, read_etag_header);
    curl_easy_setopt(http->curl, CURLOPT_HEADERDATA, http);
    if (etag[0] == '\0') {
        return;
    }
    char *header = g_strdup_printf("If-None-Match: %s", etag);
    curl_slist_free_all(http->conditional_headers);
    http->conditional_headers = curl_slist_append(NULL, header);
    curl_easy_setopt(http->curl, CURLOPT_HTTPHEADER, http->conditional_headers);
    g_free(header);
}

void
ms_http_get_etag(const struct ms_http *http, char *etag, size_t size)
{
    if (http->etag[0] != '\0') {
        g_strlcpy(etag, http->etag, size);
    }
}

json_t *
ms_http_parse_response(struct ms_http *http, CURLcode code, long *status)
{
    *status = 0;
    if (code != CURLE_OK) {
        return NULL;
    }
    curl_easy_getinfo(http->curl, CURLINFO_RESPONSE_CODE, status);
    return json_loadb((const char *)http->response_body->data, http->response_body->len, 0, NULL);
}

json_t *
ms_http_run(struct ms_http *http, long *status)
{
    return ms_http_parse_response(http, curl_easy_perform(http->curl), status);
}

size_t
ms_http_transferred_bytes(const struct ms_http *http)
{
    long request_size = 0;
    long header_size = 0;
    curl_easy_getinfo(http->curl, CURLINFO_REQUEST_SIZE, &request_size);
    curl_easy_getinfo(http->curl, CURLINFO_HEADER_SIZE, &header_size);
    size_t body_size = http->request_body != NULL ? http->request_length : 0;
    return (size_t)request_size + (size_t)header_size + http->response_body->len + body_size;
}

void
ms_json_copy_string(const json_t *object, const char *key, char *out, size_t size)
{
    const char *value = json_string_value(json_object_get(object, key));
    g_strlcpy(out, value != NULL ? value : "", size);
}

int64_t
ms_json_get_int(const json_t *object, const char *key, int64_t fallback)
{
    const json_t *value = json_object_get(object, key);
    return json_is_integer(value) ? json_integer_value(value) : fallback;
}

/*
 * http.h - one HTTP exchange with JSON bodies, over libcurl.
 */
#ifndef MS_HTTP_H
#define MS_HTTP_H

#include <stdbool.h>

#include <curl/curl.h>
#include <glib.h>
#include <jansson.h>

/* Shortest time to set up a connection before the attempt is given up. */
#define MS_CONNECT_TIMEOUT_MS 500L

/* A request and the buffers of its answer; reusable. */
struct ms_http {
    CURL *easy;
    struct curl_slist *headers;
    GByteArray *answer;
    char *body; /* freed with free(): JSON text */
    size_t body_length;
    struct curl_slist *conditional; /* headers of a conditional request */
    struct curl_slist *extra;       /* headers of this request only, or NULL */
    char tag[64];                   /* ETag of the answer, "" when none */
    void *owner;                    /* for the caller's own use */
};

/* Creates a handle; NULL when libcurl cannot. */
struct ms_http *ms_http_new(void);
void ms_http_free(struct ms_http *http);

/*
 * Prepares a request: POST with BODY (a reference is taken over), or GET when
 * BODY is NULL.  The answer has to be whole within TIMEOUT_MS.  FRESH asks for
 * a new connection.
 */
void ms_http_prepare(struct ms_http *http, const char *url, json_t *body, long timeout_ms,
                     bool fresh);

/* Gives the prepared request the raw BODY, which is copied; it becomes a POST. */
void ms_http_raw_body(struct ms_http *http, const void *body, size_t length);

/* Adds "NAME: VALUE" to the headers of the prepared request. */
void ms_http_header(struct ms_http *http, const char *name, const char *value);

/*
 * Whether a failed exchange certainly reached nobody: no connection was made.
 */
bool ms_http_unsent(const struct ms_http *http, CURLcode code);

/*
 * Makes the prepared request conditional: an answer whose ETag is TAG is not
 * sent again.  An empty TAG asks for it in any case.
 */
void ms_http_if_changed(struct ms_http *http, const char *tag);

/* The ETag of the last answer, if it had one; otherwise TAG is left as it is. */
void ms_http_tag(const struct ms_http *http, char *tag, size_t size);

/* Runs the prepared request and waits; see ms_http_finish() for the result. */
json_t *ms_http_run(struct ms_http *http, long *status);

/*
 * Reads the answer of a finished request.  Returns the JSON body (owned by the
 * caller) and sets *STATUS, or NULL when there is none; *STATUS is 0 when the
 * exchange itself failed.
 */
json_t *ms_http_finish(struct ms_http *http, CURLcode code, long *status);

/* Bytes sent and received by the finished exchange, headers included. */
size_t ms_http_bytes(const struct ms_http *http);

/* Text member KEY of OBJECT copied to OUT; "" when absent. */
void ms_json_text(const json_t *object, const char *key, char *out, size_t size);
int64_t ms_json_int(const json_t *object, const char *key, int64_t fallback);

#endif

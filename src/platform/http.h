/*
 * http.h - one HTTP exchange with JSON bodies, over libcurl.
 *
 * Usage: ms_http_prepare(), then any of the functions that change the prepared
 * request, then either ms_http_run(), which blocks, or ms_http_loop_add()
 * (http_loop.h) and ms_http_parse_response() when the exchange has ended.
 */
#ifndef MS_HTTP_H
#define MS_HTTP_H

#include <stdbool.h>

#include <curl/curl.h>
#include <glib.h>
#include <jansson.h>

#include "core/list.h"

/* Time limit for setting up a connection, unless the caller sets another one. */
#define MS_CONNECT_TIMEOUT_MS 500L

/* A request and its response; reusable for further exchanges. */
struct ms_http {
    CURL *curl;
    struct curl_slist *default_headers;
    GByteArray *response_body;
    char *request_body; /* freed with free() */
    size_t request_length;
    struct curl_slist *conditional_headers; /* headers of a conditional request, or NULL */
    struct curl_slist *request_headers;     /* default and added headers, NULL if none was added */
    char etag[64];                          /* of the response, "" when it has none */
    int64_t timeout_ms;                     /* for the whole exchange */
    int64_t connect_timeout_ms;             /* until the request is sent */
    bool send_once;                         /* see ms_http_allow_resend() */
    unsigned int send_count;                /* how often the request was sent, or is about to be */
    /* Used by the loop (http_loop.c) in which the exchange takes place. */
    struct ms_list_link loop_link;
    int64_t loop_added_at;   /* when the exchange began */
    int64_t loop_stalled_ms; /* total of the loop's stalls at that time */
    bool loop_request_sent;  /* the connection is open and the request was sent */
    void *user_data;         /* not used by this module */
};

/* Creates a handle; NULL when libcurl fails. */
struct ms_http *ms_http_new(void);
void ms_http_free(struct ms_http *http);

/*
 * Prepares a request: POST with BODY, of which it takes ownership, or GET when
 * BODY is NULL.  The whole exchange must end within TIMEOUT_MS.  With
 * FRESH_CONNECTION no open connection is reused.  A POST is sent once unless
 * ms_http_allow_resend() is called; other requests may be sent again.
 */
void ms_http_prepare(struct ms_http *http, const char *url, json_t *body, long timeout_ms,
                     bool fresh_connection);

/* Sets the time limit for setting up a connection for the prepared request. */
void ms_http_set_connect_timeout(struct ms_http *http, long timeout_ms);

/* Makes the prepared request a POST with the bytes of BODY, which are copied. */
void ms_http_set_raw_body(struct ms_http *http, const void *body, size_t length);

/*
 * Lets the prepared POST be sent again, on a new connection, when a connection that was used
 * before is closed without an answer.  Only for requests whose answer means the same whatever
 * becomes of another copy, which the server may carry out later.
 */
void ms_http_allow_resend(struct ms_http *http);

/* Adds "NAME: VALUE" to the headers of the prepared request. */
void ms_http_add_header(struct ms_http *http, const char *name, const char *value);

/*
 * Whether the exchange failed (CODE) before any byte of the request was sent, so
 * that the peer cannot have acted on it.
 */
bool ms_http_not_sent(const struct ms_http *http, CURLcode code);

/*
 * Makes the prepared request conditional: if the content still has the tag ETAG, the
 * response may be 304 without a body.  Replaces all other headers of the request.  With
 * ETAG "" the request stays unconditional and keeps its headers.  The ETag of the
 * response is kept in either case, see ms_http_get_etag().
 */
void ms_http_set_if_none_match(struct ms_http *http, const char *etag);

/*
 * Copies the ETag of the last response to ETAG (SIZE bytes), which is unchanged if
 * there is none.  It is only read if ms_http_set_if_none_match() was called.
 */
void ms_http_get_etag(const struct ms_http *http, char *etag, size_t size);

/* Performs the prepared request and blocks until it ends; result as ms_http_parse_response(). */
json_t *ms_http_run(struct ms_http *http, long *status);

/*
 * Reads the response of an exchange that ended with CODE.  Sets *STATUS to the
 * HTTP status, or to 0 when the exchange failed.  Returns the JSON body, owned
 * by the caller, or NULL when there is none.
 */
json_t *ms_http_parse_response(struct ms_http *http, CURLcode code, long *status);

/* Bytes sent and received by the finished exchange, headers included. */
size_t ms_http_transferred_bytes(const struct ms_http *http);

/* Copies the string member KEY of OBJECT to OUT, cut to SIZE bytes; "" when absent. */
void ms_json_copy_string(const json_t *object, const char *key, char *out, size_t size);

/* The integer member KEY of OBJECT; FALLBACK when absent or of another type. */
int64_t ms_json_get_int(const json_t *object, const char *key, int64_t fallback);

#endif

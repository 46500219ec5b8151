/*
 * servers.h - port: calls to backend servers and to the advice service, and
 * entries of the directory of servers.
 *
 * The adapter in platform/ defines these functions.
 */
#ifndef MS_PORT_SERVERS_H
#define MS_PORT_SERVERS_H

#include "batch/engine.h"
#include "platform/http.h"

/*
 * Prepares HTTP to send ORDER (MS_ENGINE_START, MS_ENGINE_STOP or
 * MS_ENGINE_RENEW_LEASE) to its server.
 */
void ms_server_prepare_order(struct ms_http *http, const struct ms_engine_action *order);

/*
 * Reads the answer to ORDER; CODE is libcurl's result of the call.  *CLOCK_MS is
 * set to the server's clock, or to 0 when the answer has none.  *REPORT is set
 * for a successful MS_ENGINE_RENEW_LEASE, else to NULL; freed with
 * ms_server_report_free().
 */
enum ms_order_result ms_server_read_answer(const struct ms_http *http, CURLcode code,
                                           const struct ms_engine_action *order, int64_t *clock_ms,
                                           struct ms_server_report **report);

/* Prepares HTTP to send QUERY (MS_ENGINE_QUERY_ADVICE) to the advice service. */
void ms_advice_prepare_request(struct ms_http *http, const struct ms_engine_action *query);

/*
 * Decodes the advice service's answer: an array of struct ms_advised_server, or
 * NULL when the answer is malformed.
 */
GArray *ms_advice_decode_answer(const char *text, size_t length);

/*
 * Decodes a record of the directory.  Returns MS_E_INVALID, with the field in
 * ERROR (SIZE bytes), when it does not describe a usable server.
 */
enum ms_result ms_directory_decode(const char *key, GBytes *value, struct ms_directory_entry *entry,
                                   char *error, size_t size);

#endif

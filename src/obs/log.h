/*
 * log.h - structured logs: one line of key=value pairs for each event.
 *
 * ms_log() goes through GLib's logging.  A thread of its own writes the lines
 * to standard output, a few times a second; when its ring is full the line is counted as lost.
 */
#ifndef MS_LOG_H
#define MS_LOG_H

#include <glib.h>

#include "obs/counters.h"

struct ms_log;

/*
 * Starts the log thread and makes it the writer of GLib's logging.  HOST goes
 * into every line.  COUNTERS must outlive the log.  NULL when that fails.
 */
struct ms_log *ms_log_start(const char *host, struct ms_counters *counters);

/* Writes what is queued, ends the thread and frees LOG.  NULL is allowed. */
void ms_log_stop(struct ms_log *log);

/*
 * Logs one event.  FORMAT gives "event=NAME key=value ..."; values with blanks
 * are to be quoted with ms_log_quote().
 */
#define ms_log(level, ...) g_log(G_LOG_DOMAIN, level, __VA_ARGS__)

#define MS_LOG_INFO G_LOG_LEVEL_INFO
#define MS_LOG_NOTICE G_LOG_LEVEL_MESSAGE
#define MS_LOG_WARNING G_LOG_LEVEL_WARNING

/* TEXT in double quotes, with quotes and line ends escaped; freed with g_free(). */
char *ms_log_quote(const char *text);

#endif

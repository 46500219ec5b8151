/*
 * log.h - structured logs: one line of key=value pairs for each event.
 *
 * ms_log() uses GLib's logging.  A separate thread writes the lines to standard
 * output every 100 ms, so that callers do not block on output.  If its ring is
 * full, a line is dropped and counted in MS_COUNT_LOG_LINES_LOST.  Fatal errors
 * are written to standard error at once.
 */
#ifndef MS_LOG_H
#define MS_LOG_H

#include <glib.h>

#include "obs/counters.h"

struct ms_log;

/*
 * Starts the log thread and installs it as the writer of GLib's logging; may be
 * called once per process.  Every line contains HOST.  COUNTERS must outlive
 * the log.  Returns NULL on failure.
 */
struct ms_log *ms_log_start(const char *host, struct ms_counters *counters);

/*
 * Writes all queued lines and ends the thread.  Lines logged afterwards are not
 * written, except fatal errors.  LOG is not freed, as GLib keeps using it.  NULL is
 * allowed.
 */
void ms_log_stop(struct ms_log *log);

/*
 * Logs one event.  The format has the form "event=NAME key=value ...".  Values
 * that may contain blanks are quoted with ms_log_quote().
 */
#define ms_log(level, ...) g_log(G_LOG_DOMAIN, level, __VA_ARGS__)

#define MS_LOG_INFO G_LOG_LEVEL_INFO
#define MS_LOG_NOTICE G_LOG_LEVEL_MESSAGE
#define MS_LOG_WARNING G_LOG_LEVEL_WARNING

/* Returns TEXT in double quotes, escaped by g_strescape(); to be freed with g_free(). */
char *ms_log_quote(const char *text);

#endif

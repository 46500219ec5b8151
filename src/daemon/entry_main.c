/*
 * entry_main.c - mustardspread-entryd, the daemon of an entry host: command line,
 * settings file, signals.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <curl/curl.h>
#include <glib.h>

#include "entry/entry.h"
#include "obs/log.h"

#define EXIT_USAGE 2
#define ERROR_MAX 512 /* bytes of an error message, with its NUL */
#define SETTINGS_VARIABLE "MUSTARDSPREAD_NODE_FILE"
#define FINISH_POLL_NS 50000000L /* between two checks whether the shutdown is over */

struct options {
    char *settings_path;
    gboolean check_settings;
    gboolean version;
};

static bool
parse_options(int argc, char **argv, struct options *options)
{
    GOptionEntry entries[] = {
        {"settings", 's', 0, G_OPTION_ARG_FILENAME, &options->settings_path,
         "Settings file (TOML); default: the path in " SETTINGS_VARIABLE, "FILE"},
        {"check-settings", 0, 0, G_OPTION_ARG_NONE, &options->check_settings,
         "Check the settings file and exit", NULL},
        {"version", 0, 0, G_OPTION_ARG_NONE, &options->version, "Print the version and exit", NULL},
        G_OPTION_ENTRY_NULL};
    GError *error = NULL;
    GOptionContext *context = g_option_context_new("- entry host of stored jobs");
    g_option_context_add_main_entries(context, entries, NULL);
    bool ok = g_option_context_parse(context, &argc, &argv, &error);
    if (!ok) {
        fprintf(stderr, "mustardspread-entryd: %s\n", error->message);
        g_error_free(error);
    }
    else if (argc > 1) {
        fprintf(stderr, "mustardspread-entryd: unexpected argument %s\n", argv[1]);
        ok = false;
    }
    g_option_context_free(context);
    if (ok && options->settings_path == NULL) {
        options->settings_path = g_strdup(g_getenv(SETTINGS_VARIABLE));
    }
    if (ok && !options->version && options->settings_path == NULL) {
        fprintf(stderr,
                "mustardspread-entryd: --settings FILE or " SETTINGS_VARIABLE " is required\n");
        ok = false;
    }
    return ok;
}

/* Reads and checks the settings file.  Returns its text, freed with g_free(), or NULL. */
static char *
load_settings(const char *path, struct ms_entry_settings *settings, char *error, size_t size)
{
    gchar *text = NULL;
    GError *read_error = NULL;
    if (!g_file_get_contents(path, &text, NULL, &read_error)) {
        snprintf(error, size, "%s", read_error->message);
        g_error_free(read_error);
        return NULL;
    }
    if (ms_entry_settings_parse(text, settings, error, size) != MS_OK) {
        g_free(text);
        return NULL;
    }
    return text;
}

/* On SIGHUP: checks the settings file and logs the result.  A change needs a restart. */
static void
check_changed_settings(const char *path, const char *text)
{
    struct ms_entry_settings changed;
    char error[ERROR_MAX];
    char *changed_text = load_settings(path, &changed, error, sizeof(error));
    if (changed_text == NULL) {
        ms_log(MS_LOG_WARNING, "event=reload outcome=rejected error=\"%s\"", error);
        return;
    }
    bool same = strcmp(changed_text, text) == 0;
    ms_log(MS_LOG_NOTICE, "event=reload outcome=%s", same ? "unchanged" : "needs_restart");
    g_free(changed_text);
}

/* Handles signals until the graceful shutdown is over; SIGTERM and SIGINT begin it. */
static void
wait_for_shutdown(struct ms_entry *entry, const sigset_t *signals, const char *path,
                  const char *text)
{
    bool stopping = false;
    struct timespec poll = {.tv_nsec = FINISH_POLL_NS};
    while (!ms_entry_finished(entry)) {
        int signal_number = 0;
        if (stopping) {
            signal_number = sigtimedwait(signals, NULL, &poll);
        }
        else {
            signal_number = sigwaitinfo(signals, NULL);
        }
        if (signal_number < 0) {
            continue;
        }
        ms_log(MS_LOG_NOTICE, "event=signal number=%d", signal_number);
        if (signal_number == SIGHUP) {
            check_changed_settings(path, text);
            continue;
        }
        stopping = true;
        ms_entry_shutdown(entry);
    }
}

/* Runs the daemon until it is told to stop; returns the exit status. */
static int
serve(const char *path, const char *text, const struct ms_entry_settings *settings)
{
    static struct ms_counters counters;
    char error[ERROR_MAX];
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals, NULL);
    signal(SIGPIPE, SIG_IGN);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    struct ms_log *log = ms_log_start(settings->name, &counters);
    struct ms_entry *entry = ms_entry_start(settings, &counters, error, sizeof(error));
    if (entry == NULL) {
        fprintf(stderr, "mustardspread-entryd: %s\n", error);
        ms_log_stop(log);
        return EXIT_FAILURE;
    }
    ms_log(MS_LOG_NOTICE, "event=start version=%s dc=%s callers=%s log=%s", MS_VERSION,
           settings->dc, settings->caller_address, settings->log_address);
    wait_for_shutdown(entry, &signals, path, text);
    ms_entry_stop(entry);
    ms_log(MS_LOG_NOTICE, "event=stop");
    ms_log_stop(log);
    return EXIT_SUCCESS;
}

int
main(int argc, char **argv)
{
    struct options options = {NULL, FALSE, FALSE};
    struct ms_entry_settings settings;
    char error[ERROR_MAX];
    if (!parse_options(argc, argv, &options)) {
        return EXIT_USAGE;
    }
    if (options.version) {
        printf("mustardspread-entryd %s\n", MS_VERSION);
        return EXIT_SUCCESS;
    }
    char *text = load_settings(options.settings_path, &settings, error, sizeof(error));
    if (text == NULL) {
        fprintf(stderr, "mustardspread-entryd: %s: %s\n", options.settings_path, error);
        return EXIT_USAGE;
    }
    if (options.check_settings) {
        printf("settings: good\n");
        g_free(text);
        return EXIT_SUCCESS;
    }
    int result = serve(options.settings_path, text, &settings);
    g_free(text);
    return result;
}

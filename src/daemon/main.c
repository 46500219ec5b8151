/*
 * main.c - entry point of the daemon mustardspreadd.
 */
#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <curl/curl.h>
#include <glib.h>

#include "config/settings.h"
#include "node/node.h"
#include "obs/log.h"

#define EXIT_USAGE 2
#define SHUTDOWN_POLL_MS 50 /* interval of checks for the end of a shutdown */
#define ERROR_MAX 512

/* Command line options. */
struct options {
    char *settings_path;
    char *record_path;
    gboolean check_settings;
    gboolean version;
};

/* Parses the command line.  On an error prints a message and returns false. */
static bool
parse_options(int argc, char **argv, struct options *options)
{
    GOptionEntry entries[] = {
        {"settings", 's', 0, G_OPTION_ARG_FILENAME, &options->settings_path, "Settings file (TOML)",
         "FILE"},
        {"check-settings", 0, 0, G_OPTION_ARG_NONE, &options->check_settings,
         "Check the settings file and exit", NULL},
        {"record", 0, 0, G_OPTION_ARG_FILENAME, &options->record_path,
         "Write a trace of the decision core's events", "FILE"},
        {"version", 0, 0, G_OPTION_ARG_NONE, &options->version, "Print the version and exit", NULL},
        G_OPTION_ENTRY_NULL};
    GError *error = NULL;
    GOptionContext *context = g_option_context_new("- entry host of mustardspread");
    g_option_context_add_main_entries(context, entries, NULL);
    bool valid = g_option_context_parse(context, &argc, &argv, &error);
    if (!valid) {
        fprintf(stderr, "mustardspreadd: %s\n", error->message);
        g_error_free(error);
    }
    else if (argc > 1) {
        fprintf(stderr, "mustardspreadd: unexpected argument %s\n", argv[1]);
        valid = false;
    }
    else if (!options->version && options->settings_path == NULL) {
        fprintf(stderr, "mustardspreadd: --settings FILE is required\n");
        valid = false;
    }
    g_option_context_free(context);
    return valid;
}

/* Reads the settings file PATH.  On an error prints a message and returns false. */
static bool
load_settings(const char *path, struct ms_settings *settings)
{
    char error[ERROR_MAX];
    gchar *text = NULL;
    GError *failure = NULL;
    if (!g_file_get_contents(path, &text, NULL, &failure)) {
        fprintf(stderr, "mustardspreadd: %s\n", failure->message);
        g_error_free(failure);
        return false;
    }
    bool valid = ms_settings_parse(text, settings, error, sizeof(error)) == MS_OK;
    if (!valid) {
        fprintf(stderr, "mustardspreadd: %s: %s\n", path, error);
    }
    g_free(text);
    return valid;
}

/*
 * Waits until NODE has finished, then returns EXIT_SUCCESS.  The first signal starts
 * a graceful shutdown; a second one makes this return EXIT_FAILURE at once.
 */
static int
run_until_shutdown(struct ms_node *node, const sigset_t *signals)
{
    bool shutting_down = false;
    struct timespec poll_interval = {.tv_nsec = SHUTDOWN_POLL_MS * 1000000L};
    while (!ms_node_finished(node)) {
        int signal_number = sigtimedwait(signals, NULL, &poll_interval);
        if (signal_number < 0) {
            continue;
        }
        ms_log(MS_LOG_NOTICE, "event=signal number=%d", signal_number);
        if (shutting_down) {
            return EXIT_FAILURE;
        }
        shutting_down = true;
        ms_node_shutdown(node);
    }
    return EXIT_SUCCESS;
}

/* Runs the daemon until it is stopped; returns its exit code. */
static int
serve(const struct ms_settings *settings, const char *record_path)
{
    static struct ms_counters counters;
    char error[ERROR_MAX];
    sigset_t signals;
    FILE *record = NULL;
    int result = EXIT_FAILURE;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, NULL);
    signal(SIGPIPE, SIG_IGN);
    if (record_path != NULL) {
        record = fopen(record_path, "w");
        if (record == NULL) {
            fprintf(stderr, "mustardspreadd: %s: %s\n", record_path, strerror(errno));
            return EXIT_FAILURE;
        }
        setvbuf(record, NULL, _IOLBF, 0);
    }
    struct ms_log *log = ms_log_start(settings->name, &counters);
    struct ms_node *node = ms_node_start(settings, &counters, record, error, sizeof(error));
    if (node == NULL) {
        ms_log(MS_LOG_WARNING, "event=start_failed reason=\"%s\"", error);
        goto done;
    }
    ms_log(MS_LOG_NOTICE, "event=started dc=%s callers=%s peers=%s version=%s", settings->dc,
           settings->caller_address, settings->peer_address, MS_VERSION);
    result = run_until_shutdown(node, &signals);
    if (result != EXIT_SUCCESS) {
        /* Ends at once, without waiting for the threads of the node. */
        ms_log_stop(log);
        _exit(result);
    }
    ms_node_stop(node);
    ms_log(MS_LOG_NOTICE, "event=stopped");

done:
    ms_log_stop(log);
    if (record != NULL) {
        fclose(record);
    }
    return result;
}

int
main(int argc, char **argv)
{
    struct options options = {0};
    struct ms_settings settings;
    int result = EXIT_USAGE;
    if (!parse_options(argc, argv, &options)) {
        return EXIT_USAGE;
    }
    if (options.version) {
        printf("mustardspreadd %s\n", MS_VERSION);
        return EXIT_SUCCESS;
    }
    if (!load_settings(options.settings_path, &settings)) {
        goto done;
    }
    if (options.check_settings) {
        printf("%s: the settings are valid\n", options.settings_path);
        result = EXIT_SUCCESS;
    }
    else {
        curl_global_init(CURL_GLOBAL_DEFAULT);
        result = serve(&settings, options.record_path);
        curl_global_cleanup();
    }
    ms_settings_clear(&settings);

done:
    g_free(options.settings_path);
    g_free(options.record_path);
    return result;
}

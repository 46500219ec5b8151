/*
 * main.c - mustardspread, the command line for operators and callers.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>

#include "cli/cli.h"
#include "mustardspread/mustardspread.h"

#define DEFAULT_HOST "127.0.0.1:7070"

static const char usage_text[] =
    "usage: mustardspread [--host IP:PORT] [--json] COMMAND ...\n"
    "\n"
    "  rules check FILE             check a rules file; nothing is applied\n"
    "  rules apply FILE             replace all rules by those in FILE\n"
    "  rules show                   rules in force\n"
    "  rules history                changes, applied and rejected\n"
    "  dc out NAME --by WHO         take a data centre out of service\n"
    "  dc in NAME --by WHO          put it back into service\n"
    "  job submit ...               run a job (see job submit --help)\n"
    "  job status ID                outcome or state of a job\n"
    "  job wait ID                  wait for the outcome of a job\n"
    "  job cancel ID                cancel a job\n"
    "  explain ID                   why a job waits or where it ran\n"
    "  status                       hosts and data centres\n"
    "  state save FILE              save the applied state of a host to a file\n"
    "  state load FILE              load it into a host that cannot reach the log\n"
    "  replay FILE                  replay a trace of the decision core\n"
    "  logs explain ID FILE...      history of a stored job from hosts' logs\n"
    "  logs summary FILE...         refusals, stops and losses in hosts' logs\n"
    "\n"
    "The host can also be set in the environment variable MUSTARDSPREAD_HOST.\n"
    "Exit codes: 0 done, 1 failed, 2 usage, 3 not run, 4 unknown, 5 unreachable,\n"
    "6 conflicting change, 7 not confirmed by every host, 8 no outcome yet.\n";

struct command {
    const char *name;
    int (*run)(struct cli *cli, int argc, char **argv);
};

static const struct command commands[] = {
    {"rules", cli_rules}, {"dc", cli_dc},           {"job", cli_job},       {"status", cli_status},
    {"state", cli_state}, {"explain", cli_explain}, {"replay", cli_replay}, {"logs", cli_logs},
};

static const struct command *
find_command(const char *name)
{
    for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
        if (strcmp(commands[i].name, name) == 0) {
            return &commands[i];
        }
    }
    return NULL;
}

/* Parses the options before the command.  Returns the index of the command in ARGV, or -1. */
static int
parse_global_options(struct cli *cli, int argc, char **argv)
{
    int i = 1;
    for (; i < argc && argv[i][0] == '-'; i++) {
        if (strcmp(argv[i], "--host") == 0 && i + 1 < argc) {
            cli->host = argv[++i];
        }
        else if (strcmp(argv[i], "--json") == 0) {
            cli->json = TRUE;
        }
        else if (strcmp(argv[i], "--version") == 0) {
            printf("mustardspread %s\n", MS_VERSION);
            exit(MS_EXIT_OK);
        }
        else if (strcmp(argv[i], "--help") == 0) {
            fputs(usage_text, stdout);
            exit(MS_EXIT_OK);
        }
        else {
            fprintf(stderr, "mustardspread: unknown option %s\n", argv[i]);
            return -1;
        }
    }
    return i < argc ? i : -1;
}

int
main(int argc, char **argv)
{
    struct cli cli = {.host = getenv("MUSTARDSPREAD_HOST")};
    if (cli.host == NULL) {
        cli.host = DEFAULT_HOST;
    }
    int index = parse_global_options(&cli, argc, argv);
    const struct command *command = index > 0 ? find_command(argv[index]) : NULL;
    if (command == NULL) {
        if (index > 0) {
            fprintf(stderr, "mustardspread: unknown command %s\n", argv[index]);
        }
        fputs(usage_text, stderr);
        return MS_EXIT_USAGE;
    }
    curl_global_init(CURL_GLOBAL_DEFAULT);
    int result = command->run(&cli, argc - index - 1, argv + index + 1);
    curl_global_cleanup();
    g_free(cli.option_words);
    return result;
}

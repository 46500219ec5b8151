/*
 * readers.c - fuzzes the readers of what others write: directory entries, configurations,
 * jobs of callers, answers of the advice service, lists, and records of the log.
 *
 *     reader-fuzz FIRST_SEED LAST_SEED
 *
 * Each seed mutates a valid document a few times and passes it to its reader, which may
 * reject it but must not crash.  What it accepts has to be in range.  Prints the number of
 * documents and how many were accepted.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "batch/job_table.h"
#include "batch/policy.h"
#include "config/address.h"
#include "platform/json_list.h"
#include "ports/caller_api.h"
#include "ports/operator_records.h"
#include "ports/servers.h"

#define ERROR_MAX 256
#define DOCUMENTS_PER_SEED 20
#define MUTATIONS_MAX 6
#define NESTING_MAX 100000
#define AMOUNT_MAX ((int64_t)1 << 52) /* no accepted number may be larger */

enum reader {
    READER_DIRECTORY = 0, /* entry of a backend server */
    READER_POLICY,        /* configuration */
    READER_JOB,           /* job of a caller */
    READER_ADVICE,        /* answer of the advice service */
    READER_LIST,          /* list with items of many writers */
    READER_RECORD,        /* record of the jobs stream */
    READER_COUNT
};

static const char *const documents[READER_COUNT] = {
    [READER_DIRECTORY] =
        "{\"service\":\"s\",\"address\":\"10.0.0.1:8080\",\"zone\":\"z\",\"state\":\"ready\","
        "\"capacity\":{\"cpu\":128000,\"memMb\":1024,\"gpu\":8},\"labels\":[\"a\",\"r1-3\"],"
        "\"clockMs\":5,\"born\":1700000000000,\"coldRemainingMs\":0,\"remainingMs\":900}",
    [READER_POLICY] =
        "{\"version\":3,\"routes\":[{\"name\":\"q\",\"hostname\":\"h\",\"pathPrefix\":\"/a/\","
        "\"service\":\"s\",\"priority\":1,\"maxAttempts\":2,\"stretch\":1.5,"
        "\"targetLatencyMs\":600,\"advice\":{\"validMs\":5}}],"
        "\"tenants\":[{\"name\":\"t\",\"apiKeys\":[\"k\"],\"guaranteed\":{\"gpu\":72}}]}",
    [READER_JOB] = "{\"taskSpec\":\"text\",\"steps\":[{\"count\":4,\"cpu\":500,\"memMb\":256,"
                   "\"estimatedMs\":900,\"affinity\":\"r1-3\"},{\"count\":20,\"cpu\":2000,"
                   "\"after\":[0],\"checkpoints\":true,\"gang\":true}],\"repeatCount\":2,"
                   "\"startTimeMs\":1700000000000,\"intervalMs\":3000}",
    [READER_ADVICE] = "{\"good\":[[\"i-1\",\"ticket\"],[\"i-2\",\"other\"]]}",
    [READER_LIST] = "{\"items\":[{\"key\":\"a\",\"value\":\"e30=\"},{\"key\":\"b\"}],\"end\":7}",
    [READER_RECORD] = "",
};

static const char *const odd_pieces[] = {
    "99999999999999999999",
    "-1",
    "1e999",
    "9223372036854775807",
    "\xff\xfe",
    "\\u0000",
    "null",
    "\"10.0.0.1:65536\"",
    "{}",
    "\"\"",
    "[[[[[[[[",
    "}",
    "\"",
    ",",
    "0.1",
    ":",
    "\\ud800",
    "true",
    "[",
    "]",
    "{",
};

/* Replaces, inserts, removes or repeats a part of TEXT, or nests it deeply. */
static void
mutate(GRand *random, GString *text)
{
    gssize at = g_rand_int_range(random, 0, (gint32)text->len + 1);
    gssize length_max = g_rand_int_range(random, 1, 24);
    gssize length = MIN(length_max, (gssize)text->len - at);
    const char *piece = odd_pieces[g_rand_int_range(random, 0, G_N_ELEMENTS(odd_pieces))];
    switch (g_rand_int_range(random, 0, 6)) {
    case 0:
        g_string_erase(text, at, length);
        break;
    case 1:
        g_string_insert(text, at, piece);
        break;
    case 2: {
        char *copy = g_strndup(text->str + at, (gsize)length);
        g_string_insert(text, at, copy);
        g_free(copy);
        break;
    }
    case 3:
        if (at < (gssize)text->len) {
            text->str[at] = (char)g_rand_int_range(random, 0, 256);
        }
        break;
    case 4: {
        /* Replaces a number. */
        char *digit = strpbrk(text->str + at, "0123456789");
        if (digit != NULL) {
            gssize position = digit - text->str;
            g_string_erase(text, position, (gssize)strspn(digit, "0123456789"));
            g_string_insert(text, position, piece);
        }
        break;
    }
    default: {
        gint32 depth = g_rand_boolean(random) ? 100 : g_rand_int_range(random, 1, NESTING_MAX);
        char *brackets = g_strnfill((gsize)depth, g_rand_boolean(random) ? '[' : '{');
        g_string_insert(text, at, brackets);
        g_free(brackets);
        break;
    }
    }
}

static void
check(bool condition, const char *what)
{
    if (!condition) {
        fprintf(stderr, "accepted out of range: %s\n", what);
        abort();
    }
}

static bool
read_directory(const GString *text)
{
    struct ms_directory_entry entry;
    struct sockaddr_in address;
    char error[ERROR_MAX];
    GBytes *bytes = g_bytes_new(text->str, text->len);
    bool accepted = ms_directory_decode("i-1", bytes, &entry, error, sizeof(error)) == MS_OK;
    g_bytes_unref(bytes);
    if (accepted) {
        check(ms_address_parse(entry.address, &address), "address");
        check(entry.capacity.cpu_millis >= 0 && entry.capacity.cpu_millis <= AMOUNT_MAX, "cpu");
        check(entry.shutdown_in_ms >= 0 && entry.shutdown_in_ms <= AMOUNT_MAX, "shutdown");
    }
    return accepted;
}

static bool
read_policy(const GString *text)
{
    char error[ERROR_MAX];
    GBytes *bytes = g_bytes_new(text->str, text->len);
    struct ms_policy *policy = ms_policy_decode(bytes, error, sizeof(error));
    bool accepted = policy != NULL;
    g_bytes_unref(bytes);
    if (accepted) {
        check(ms_policy_find_account_by_key(policy, "") == NULL, "empty key");
        ms_policy_free(policy);
    }
    return accepted;
}

static bool
read_job(const GString *text)
{
    struct ms_batch_spec spec;
    char error[ERROR_MAX];
    if (ms_api_decode_job(text->str, text->len, &spec, error, sizeof(error)) != MS_OK) {
        return false;
    }
    for (size_t i = 0; i < spec.step_count; i++) {
        check(spec.steps[i].task_count <= MS_BATCH_TASKS_MAX, "task count");
        check(spec.steps[i].estimate_ms <= AMOUNT_MAX, "estimate");
    }
    ms_batch_spec_clear(&spec);
    return true;
}

static bool
read_advice(const GString *text)
{
    GArray *rows = ms_advice_decode_answer(text->str, text->len);
    bool accepted = rows != NULL;
    if (accepted) {
        g_array_unref(rows);
    }
    return accepted;
}

static bool
read_list(const GString *text)
{
    size_t skipped = 0;
    json_t *root = ms_json_load_list(text->str, text->len, "items", &skipped);
    bool accepted = root != NULL;
    json_decref(root);
    return accepted;
}

static bool
read_record(GRand *random, const GString *text)
{
    static const char *const keys[] = {"j/1", "s/1", "c/1", "h/1", "lead", "", "x", "j/"};
    struct ms_job_table *table = ms_job_table_new();
    struct ms_stored_job *job = NULL;
    const char *key = keys[g_rand_int_range(random, 0, G_N_ELEMENTS(keys))];
    bool accepted = ms_job_table_apply(table, key, (const uint8_t *)text->str, text->len, &job) !=
                    MS_CHANGED_UNREADABLE;
    ms_job_table_free(table);
    return accepted;
}

/* A valid record of the log, as random bytes are rarely one. */
static void
append_record(GRand *random, GString *text)
{
    size_t length = 0;
    uint8_t *bytes = ms_leader_record_pack("host/1", g_rand_int(random), MS_LEADER_RENEW, &length);
    g_string_append_len(text, (const char *)bytes, (gssize)length);
    g_free(bytes);
}

static bool
read_document(GRand *random, enum reader reader, const GString *text)
{
    switch (reader) {
    case READER_DIRECTORY:
        return read_directory(text);
    case READER_POLICY:
        return read_policy(text);
    case READER_JOB:
        return read_job(text);
    case READER_ADVICE:
        return read_advice(text);
    case READER_LIST:
        return read_list(text);
    case READER_RECORD:
        return read_record(random, text);
    case READER_COUNT:
        break;
    }
    return false;
}

int
main(int argc, char **argv)
{
    if (argc != 3) {
        fprintf(stderr, "usage: reader-fuzz FIRST_SEED LAST_SEED\n");
        return EXIT_FAILURE;
    }
    guint64 count = 0;
    guint64 accepted = 0;
    for (guint32 seed = (guint32)atoi(argv[1]); seed <= (guint32)atoi(argv[2]); seed++) {
        GRand *random = g_rand_new_with_seed(seed);
        for (int i = 0; i < DOCUMENTS_PER_SEED; i++, count++) {
            enum reader reader = (enum reader)g_rand_int_range(random, 0, READER_COUNT);
            GString *text = g_string_new(documents[reader]);
            if (reader == READER_RECORD) {
                append_record(random, text);
            }
            for (int k = g_rand_int_range(random, 0, MUTATIONS_MAX + 1); k > 0; k--) {
                mutate(random, text);
            }
            accepted += read_document(random, reader, text);
            g_string_free(text, TRUE);
        }
        g_rand_free(random);
    }
    printf("%" G_GUINT64_FORMAT " documents, %" G_GUINT64_FORMAT " accepted, 0 failed\n", count,
           accepted);
    return EXIT_SUCCESS;
}

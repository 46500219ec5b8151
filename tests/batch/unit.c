/*
 * unit.c - unit tests of stored jobs: log records, the job table, the policy, the settings
 * of the entry host and the decoders of the platform adapter.  Runs those of the other
 * unit_*.c files, too.
 */
#include <check.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "batch/policy.h"
#include "batch/job_table.h"
#include "batch/unit.h"
#include "entry/settings.h"
#include "platform/json_list.h"
#include "ports/caller_api.h"
#include "ports/operator_records.h"
#include "ports/servers.h"

#define TEXT_MAX 256
#define ODD_DEPTH 100000 /* brackets of an odd entry */

/* ---- records and job table ---- */

START_TEST(spec_round_trip)
{
    struct ms_batch_spec spec;
    struct ms_batch_spec copy;
    struct ms_batch_spec truncated;
    size_t length = 0;
    simple_spec(&spec, "job", "q0", 3, 2);
    spec.steps[0].gang = true;
    g_strlcpy(spec.steps[0].rack, "rack-1", sizeof(spec.steps[0].rack));
    uint8_t *bytes = ms_batch_spec_pack(&spec, &length);
    ck_assert_int_eq(ms_batch_spec_unpack("job", bytes, length, &copy), MS_OK);
    ck_assert_uint_eq(copy.steps[0].task_count, 3);
    ck_assert(copy.steps[0].gang);
    ck_assert_str_eq(copy.steps[0].rack, "rack-1");
    ck_assert_str_eq(copy.payload, "payload");
    ck_assert_int_eq(ms_batch_spec_unpack("job", bytes, length - 1, &truncated), MS_E_INVALID);
    g_free(bytes);
    ms_batch_spec_clear(&spec);
    ms_batch_spec_clear(&copy);
}
END_TEST

START_TEST(spec_errors_name_the_field)
{
    struct ms_batch_spec spec;
    char error[TEXT_MAX];
    simple_spec(&spec, "a.b", "q0", 1, 1);
    ck_assert_int_eq(ms_batch_spec_check(&spec, error, sizeof(error)), MS_E_INVALID);
    ck_assert_ptr_nonnull(strstr(error, "id"));
    g_strlcpy(spec.id, "ab", sizeof(spec.id));
    spec.steps[0].task_count = 0;
    ck_assert_int_eq(ms_batch_spec_check(&spec, error, sizeof(error)), MS_E_INVALID);
    ck_assert_ptr_nonnull(strstr(error, "step 0: count"));
    ms_batch_spec_clear(&spec);
}
END_TEST

START_TEST(task_names_are_parsed)
{
    char name[MS_TASK_NAME_MAX];
    char id[MS_JOB_ID_MAX];
    uint32_t occurrence = 0;
    uint32_t step = 0;
    uint32_t index = 0;
    ms_task_name_format(name, "abc", 1, 2, 3);
    ck_assert_int_eq(ms_task_name_parse(name, id, &occurrence, &step, &index), MS_OK);
    ck_assert_str_eq(id, "abc");
    ck_assert_uint_eq(occurrence * 100 + step * 10 + index, 123);
    ck_assert_int_eq(ms_task_name_parse("abc.1.2", id, &occurrence, &step, &index), MS_E_INVALID);
    ck_assert_int_eq(ms_task_name_parse("abc.1.2.3x", id, &occurrence, &step, &index),
                     MS_E_INVALID);
    ck_assert_int_eq(ms_task_name_parse(".1.2.3", id, &occurrence, &step, &index), MS_E_INVALID);
}
END_TEST

/* Applies a LeadRecord to TABLE; returns what it has changed. */
static enum ms_table_change
apply_leader_record(struct ms_job_table *table, const char *leader, uint64_t epoch,
                    enum ms_leader_record_kind kind)
{
    size_t length = 0;
    struct ms_stored_job *job = NULL;
    uint8_t *bytes = ms_leader_record_pack(leader, epoch, kind, &length);
    enum ms_table_change changed = ms_job_table_apply(table, MS_KEY_LEADER, bytes, length, &job);
    g_free(bytes);
    return changed;
}

/* Two hosts may claim the same epoch; all readers of the log must agree on one leader. */
START_TEST(first_claim_of_epoch_wins)
{
    struct ms_job_table *table = ms_job_table_new();
    ck_assert_int_eq(apply_leader_record(table, "a", 1, MS_LEADER_CLAIM), MS_CHANGED_LEADER);
    ck_assert_int_eq(apply_leader_record(table, "b", 1, MS_LEADER_CLAIM), MS_CHANGED_NOTHING);
    ck_assert_str_eq(table->leader.name, "a");
    ck_assert_int_eq(apply_leader_record(table, "c", 2, MS_LEADER_CLAIM), MS_CHANGED_LEADER);
    ck_assert_int_eq(apply_leader_record(table, "a", 1, MS_LEADER_RENEW), MS_CHANGED_NOTHING);
    ck_assert_int_eq(apply_leader_record(table, "b", 2, MS_LEADER_CLAIM), MS_CHANGED_NOTHING);
    ck_assert_str_eq(table->leader.name, "c");
    ck_assert_int_eq(apply_leader_record(table, "c", 2, MS_LEADER_RESIGN), MS_CHANGED_LEADER);
    ck_assert(table->leader.resigned);
    ms_job_table_free(table);
}
END_TEST

/*
 * The log may deliver a record twice or late: neither a copy of its JobRecord nor a late
 * cancellation may change the phase of a job that has ended.  Malformed records are ignored.
 */
START_TEST(duplicate_records_change_nothing)
{
    struct ms_job_table *table = ms_job_table_new();
    struct ms_stored_job *job = NULL;
    struct ms_batch_spec spec;
    /* StateRecord: phase = MS_PHASE_SUCCEEDED, begun = true */
    static const uint8_t succeeded_state[] = {0x08, 0x01, 0x10, 0x01};
    size_t length = 0;
    simple_spec(&spec, "job", "q0", 1, 1);
    uint8_t *bytes = ms_batch_spec_pack(&spec, &length);
    ck_assert_int_eq(ms_job_table_apply(table, "j/job", bytes, length, &job), MS_CHANGED_ACCEPTED);
    ck_assert_uint_eq(ms_job_table_count_waiting(table, "q0"), 1);
    ck_assert_int_eq(
        ms_job_table_apply(table, "s/job", succeeded_state, sizeof(succeeded_state), &job),
        MS_CHANGED_STATE);
    ck_assert_int_eq(ms_job_table_apply(table, "j/job", bytes, length, &job), MS_CHANGED_NOTHING);
    ck_assert_int_eq(ms_job_table_apply(table, "c/job", bytes, 1, &job), MS_CHANGED_CANCELLED);
    ck_assert_int_eq(ms_stored_job_phase(job), MS_PHASE_SUCCEEDED);
    ck_assert_uint_eq(ms_job_table_count_waiting(table, "q0"), 0);
    ck_assert_int_eq(ms_job_table_apply(table, "j/other", bytes, 3, &job), MS_CHANGED_UNREADABLE);
    ck_assert_int_eq(ms_job_table_apply(table, "x/job", bytes, 3, &job), MS_CHANGED_UNREADABLE);
    g_free(bytes);
    ms_batch_spec_clear(&spec);
    ms_job_table_free(table);
}
END_TEST

/* A host that missed removals must not take the removed jobs for open ones. */
START_TEST(snapshot_drops_jobs_that_it_does_not_have)
{
    struct ms_job_table *table = ms_job_table_new();
    struct ms_stored_job *job = NULL;
    struct ms_batch_spec spec;
    size_t length = 0;
    simple_spec(&spec, "job", "q0", 1, 1);
    uint8_t *bytes = ms_batch_spec_pack(&spec, &length);
    ms_job_table_apply(table, "j/kept", bytes, length, &job);
    ms_job_table_apply(table, "j/removed", bytes, length, &job);
    ms_job_table_begin_snapshot(table);
    ms_job_table_apply(table, "j/kept", bytes, length, &job);
    ms_job_table_apply(table, "j/new", bytes, length, &job);
    ck_assert_uint_eq(ms_job_table_end_snapshot(table), 1);
    ck_assert_ptr_null(ms_job_table_find(table, "removed"));
    ck_assert_ptr_nonnull(ms_job_table_find(table, "kept"));
    ck_assert_ptr_nonnull(ms_job_table_find(table, "new"));
    g_free(bytes);
    ms_batch_spec_clear(&spec);
    ms_job_table_free(table);
}
END_TEST

/* ---- decoders of the platform adapter, settings ---- */

START_TEST(jobs_are_decoded)
{
    static const char body[] =
        "{\"taskSpec\":\"t\",\"steps\":[{\"count\":4,\"cpu\":500,\"memMb\":256,\"gang\":true},"
        "{\"count\":2,\"gpu\":1,\"after\":[0],\"affinity\":\"r1\",\"antiAffinity\":1}],"
        "\"repeatCount\":2,\"startTimeMs\":1700000000000,\"intervalMs\":500}";
    struct ms_batch_spec spec;
    char error[TEXT_MAX];
    ck_assert_int_eq(ms_api_decode_job(body, strlen(body), &spec, error, sizeof(error)), MS_OK);
    ck_assert_uint_eq(spec.step_count, 2);
    ck_assert_int_eq(spec.steps[0].task_resources.cpu_millis, 500);
    ck_assert(spec.steps[0].gang);
    ck_assert_str_eq(spec.steps[1].rack, "r1");
    ck_assert_uint_eq(spec.steps[1].per_server_max, 1);
    ck_assert_uint_eq(spec.steps[1].depends_on[0], 0);
    ck_assert_int_eq(spec.start_ms, 1700000000000);
    ms_batch_spec_clear(&spec);
}
END_TEST

START_TEST(malformed_jobs_are_rejected_by_field)
{
    static const char *const cases[][2] = {
        {"{\"steps\":[]}", "taskSpec"},
        {"{\"taskSpec\":\"t\",\"steps\":3}", "steps"},
        {"{\"taskSpec\":\"t\",\"steps\":[{\"count\":\"x\"}]}", "count"},
        {"{\"taskSpec\":\"t\",\"steps\":[{\"count\":1,\"gpu\":-1}]}", "gpu"},
        {"{\"taskSpec\":\"t\",\"steps\":[{\"count\":1,\"after\":[-1]}]}", "after"},
        {"[1]", "not an object"},
        {"{", "line 1"},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct ms_batch_spec spec;
        char error[TEXT_MAX];
        ck_assert_int_eq(
            ms_api_decode_job(cases[i][0], strlen(cases[i][0]), &spec, error, sizeof(error)),
            MS_E_INVALID);
        ck_assert_msg(strstr(error, cases[i][1]) != NULL, "%s: %s", cases[i][0], error);
    }
}
END_TEST

START_TEST(policy_is_decoded)
{
    static const char text[] =
        "{\"version\":7,\"routes\":[{\"name\":\"r\",\"hostname\":\"h.example\",\"pathPrefix\":"
        "\"/a/\",\"service\":\"s\",\"priority\":2,\"maxAttempts\":3,\"stretch\":1.5,"
        "\"targetLatencyMs\":600},{\"name\":\"long\",\"hostname\":\"h.example\",\"pathPrefix\":"
        "\"/a/b/\",\"service\":\"s\",\"public\":true}],\"tenants\":[{\"name\":\"t\",\"apiKeys\":"
        "[\"k1\",\"k2\",7,\"\"],\"guaranteed\":{\"gpu\":72}}]}";
    char error[TEXT_MAX];
    GBytes *bytes = g_bytes_new_static(text, strlen(text));
    struct ms_policy *policy = ms_policy_decode(bytes, error, sizeof(error));
    ck_assert_ptr_nonnull(policy);
    ck_assert_uint_eq(policy->version, 7);
    ck_assert_str_eq(ms_policy_find_route(policy, "h.example:80", "/a/b/c")->name, "long");
    ck_assert_str_eq(ms_policy_find_route(policy, "H.example", "/a/x")->name, "r");
    ck_assert_ptr_null(ms_policy_find_route(policy, "h.example", "/b"));
    ck_assert_ptr_null(ms_policy_find_route(policy, "other", "/a/x"));
    ck_assert_int_eq(ms_policy_find_account_by_key(policy, "k2")->guaranteed_accels, 72);
    ck_assert_ptr_null(ms_policy_find_account_by_key(policy, "k3"));
    ck_assert_ptr_null(ms_policy_find_account_by_key(policy, ""));
    ms_policy_free(policy);
    g_bytes_unref(bytes);
    bytes = g_bytes_new_static("{\"version\":\"x\"}", 15);
    ck_assert_ptr_null(ms_policy_decode(bytes, error, sizeof(error)));
    ck_assert_ptr_nonnull(strstr(error, "version"));
    g_bytes_unref(bytes);
}
END_TEST

/* A malformed directory entry must be rejected as a whole, with an error that names the field. */
START_TEST(malformed_directory_entries_are_rejected_by_field)
{
    static const char valid[] =
        "{\"service\":\"s\",\"address\":\"1.2.3.4:5\",\"zone\":\"z\",\"state\":\"draining\","
        "\"remainingMs\":900,\"capacity\":{\"cpu\":1,\"memMb\":2,\"gpu\":3},"
        "\"labels\":[\"a\",\"r1-3\"],\"clockMs\":5,\"born\":9}";
    static const char *const malformed[][2] = {
        {"\xff\xfe", "the record"},
        {"{\"service\":1}", "service"},
        {"{\"service\":\"s\",\"address\":\"1.2.3.4:5\",\"zone\":\"z\",\"state\":\"odd\"}", "state"},
        {"{\"service\":\"s\",\"address\":\"1.2.3.4:5\",\"zone\":\"z\",\"state\":\"ready\","
         "\"capacity\":{\"cpu\":\"x\"}}",
         "capacity"},
    };
    struct ms_directory_entry entry;
    char error[TEXT_MAX];
    GBytes *bytes = g_bytes_new_static(valid, strlen(valid));
    ck_assert_int_eq(ms_directory_decode("i-1", bytes, &entry, error, sizeof(error)), MS_OK);
    ck_assert(entry.draining);
    ck_assert_str_eq(entry.rack, "r1-3");
    ck_assert_int_eq(entry.start_unix_ms, 9);
    g_bytes_unref(bytes);
    for (size_t i = 0; i < G_N_ELEMENTS(malformed); i++) {
        bytes = g_bytes_new_static(malformed[i][0], strlen(malformed[i][0]));
        ck_assert_int_eq(ms_directory_decode("i-1", bytes, &entry, error, sizeof(error)),
                         MS_E_INVALID);
        ck_assert_ptr_nonnull(strstr(error, malformed[i][1]));
        g_bytes_unref(bytes);
    }
}
END_TEST

/*
 * Entries of another writer: nested very deeply, with numbers or ports out of range.  None may
 * describe a server, as sums of capacity would overflow and the address could not be called.
 */
START_TEST(odd_directory_entries_are_rejected)
{
    static const char format[] = "{\"service\":\"s\",\"address\":\"%s\",\"zone\":\"z\","
                                 "\"state\":\"ready\",\"capacity\":{\"cpu\":%s,\"memMb\":2,"
                                 "\"gpu\":3},\"labels\":[],\"born\":%s}";
    static const struct {
        const char *address;
        const char *cpu;
        const char *born;
        bool valid;
    } cases[] = {
        {"1.2.3.4:5", "1", "9", true},
        {"1.2.3.4:65535", "1", "9", true},
        {"1.2.3.4:0", "1", "9", false},
        {"1.2.3.4:65536", "1", "9", false},
        {"1.2.3.4:-1", "1", "9", false},
        {"1.2.3.4:99999999999999999999", "1", "9", false},
        {"1.2.3.4:5/path", "1", "9", false},
        {"1.2.3.4.5:6", "1", "9", false},
        {"name:5", "1", "9", false},
        {":5", "1", "9", false},
        {"1.2.3.4:5", "9223372036854775807", "9", false},
        {"1.2.3.4:5", "99999999999999999999", "9", false},
        {"1.2.3.4:5", "-1", "9", false},
        {"1.2.3.4:5", "1e3", "9", false},
        {"1.2.3.4:5", "1", "9223372036854775807", false},
        {"1.2.3.4:5", "1", "-9", false},
        {"1.2.3.4:5", "1", "\"9\"", false},
        {"1.2.3.4:5", "1", "1e999", false},
    };
    struct ms_directory_entry entry;
    char error[TEXT_MAX];
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        char *text = g_strdup_printf(format, cases[i].address, cases[i].cpu, cases[i].born);
        GBytes *bytes = g_bytes_new_take(text, strlen(text));
        ck_assert_msg((ms_directory_decode("i-1", bytes, &entry, error, sizeof(error)) == MS_OK) ==
                          cases[i].valid,
                      "%s", text);
        ck_assert_int_eq(ms_directory_decode("", bytes, &entry, error, sizeof(error)),
                         MS_E_INVALID);
        g_bytes_unref(bytes);
    }
    GString *deep = g_string_new("{\"service\":");
    for (int i = 0; i < ODD_DEPTH; i++) {
        g_string_append_c(deep, '[');
    }
    GBytes *bytes = g_string_free_to_bytes(deep);
    ck_assert_int_eq(ms_directory_decode("i-1", bytes, &entry, error, sizeof(error)), MS_E_INVALID);
    g_bytes_unref(bytes);
}
END_TEST

/*
 * One odd item of a list must not hide the others: the readers of the list would stop to
 * follow it.
 */
START_TEST(odd_items_of_a_list_are_left_out)
{
    GString *deep = g_string_new(NULL);
    for (int i = 0; i < ODD_DEPTH; i++) {
        g_string_append(deep, "[{\"a\":");
    }
    g_string_append_c(deep, '1');
    for (int i = 0; i < ODD_DEPTH; i++) {
        g_string_append(deep, "}]");
    }
    const char *const odd_items[] = {
        deep->str, "99999999999999999999", "1e999", "\"\xff\xfe\"", "\"a\\u0000b\"", "nonsense", "",
    };
    for (size_t i = 0; i < G_N_ELEMENTS(odd_items); i++) {
        char *text =
            g_strdup_printf("{ \"end\":7, \"items\" : [ {\"k\":\"a,]}\"},%s, {\"k\":\"\\\"b\"} "
                            "], \"hasMore\":true}",
                            odd_items[i]);
        size_t skipped = 0;
        json_t *root = ms_json_load_list(text, strlen(text), "items", &skipped);
        json_t *items = json_object_get(root, "items");
        ck_assert_uint_eq(skipped, 1);
        ck_assert_uint_eq(json_array_size(items), 2);
        ck_assert_str_eq(json_string_value(json_object_get(json_array_get(items, 0), "k")), "a,]}");
        ck_assert_str_eq(json_string_value(json_object_get(json_array_get(items, 1), "k")), "\"b");
        ck_assert_int_eq(json_integer_value(json_object_get(root, "end")), 7);
        ck_assert(json_is_true(json_object_get(root, "hasMore")));
        json_decref(root);
        /* An answer that was cut off is not taken for a shorter list. */
        for (size_t length = 0; length < MIN(strlen(text), 400); length++) {
            ck_assert_ptr_null(ms_json_load_list(text, length, "items", &skipped));
        }
        g_free(text);
    }
    g_string_free(deep, TRUE);
}
END_TEST

START_TEST(entry_settings_errors_name_the_key)
{
    struct ms_entry_settings settings;
    char error[TEXT_MAX];
    ck_assert_int_eq(ms_entry_settings_parse("nonsense = 1\n", &settings, error, sizeof(error)),
                     MS_E_INVALID);
    ck_assert_ptr_nonnull(strstr(error, "nonsense"));
    ck_assert_int_eq(ms_entry_settings_parse("name = \n", &settings, error, sizeof(error)),
                     MS_E_INVALID);
    ck_assert_ptr_nonnull(strstr(error, "line 1"));
    ck_assert_int_eq(ms_entry_settings_parse("name = \"a\"\n", &settings, error, sizeof(error)),
                     MS_E_INVALID);
    ck_assert_ptr_nonnull(strstr(error, "dc"));
}
END_TEST

/* What a leader may assume of backend servers: leases, orders, restarts, changes of the leader. */
static Suite *
server_suite(void)
{
    Suite *suite = suite_create("servers");
    suite_add_tcase(suite, lease_cases());
    suite_add_tcase(suite, takeover_cases());
    suite_add_tcase(suite, term_cases());
    suite_add_tcase(suite, withheld_cases());
    suite_add_tcase(suite, restart_cases());
    suite_add_tcase(suite, withdraw_cases());
    suite_add_tcase(suite, fence_cases());
    suite_add_tcase(suite, successor_cases());
    suite_add_tcase(suite, late_cases());
    suite_add_tcase(suite, late_copy_cases());
    suite_add_tcase(suite, server_cases());
    suite_add_tcase(suite, closed_cases());
    return suite;
}

/* Runs of many seeds with answers that are lost, which take most of the time. */
static Suite *
lost_answer_suite(void)
{
    Suite *suite = suite_create("answers");
    suite_add_tcase(suite, lost_answer_cases());
    return suite;
}

int
main(void)
{
    /* Read by tcase_create().  Only a test that hangs is to be ended: all bounds are in simulated
     * time, and the default of 4 s was too short for a sanitizer build on a busy machine. */
    setenv("CK_DEFAULT_TIMEOUT", "60", 0);
    Suite *suite = suite_create("jobs");
    TCase *cases = tcase_create("all");
    tcase_add_test(cases, spec_round_trip);
    tcase_add_test(cases, spec_errors_name_the_field);
    tcase_add_test(cases, task_names_are_parsed);
    tcase_add_test(cases, first_claim_of_epoch_wins);
    tcase_add_test(cases, duplicate_records_change_nothing);
    tcase_add_test(cases, snapshot_drops_jobs_that_it_does_not_have);
    tcase_add_test(cases, jobs_are_decoded);
    tcase_add_test(cases, malformed_jobs_are_rejected_by_field);
    tcase_add_test(cases, policy_is_decoded);
    tcase_add_test(cases, malformed_directory_entries_are_rejected_by_field);
    tcase_add_test(cases, odd_directory_entries_are_rejected);
    tcase_add_test(cases, odd_items_of_a_list_are_left_out);
    tcase_add_test(cases, entry_settings_errors_name_the_key);
    suite_add_tcase(suite, cases);
    suite_add_tcase(suite, engine_cases());
    suite_add_tcase(suite, retention_cases());
    suite_add_tcase(suite, advice_cases());
    suite_add_tcase(suite, early_cancel_cases());
    suite_add_tcase(suite, advice_pacing_cases());
    suite_add_tcase(suite, log_cases());
    suite_add_tcase(suite, placement_cases());
    suite_add_tcase(suite, health_cases());
    suite_add_tcase(suite, speed_cases());
    suite_add_tcase(suite, account_cases());
    suite_add_tcase(suite, account_order_cases());
    suite_add_tcase(suite, load_cases());
    suite_add_tcase(suite, attempts_cases());
    suite_add_tcase(suite, started_cases());
    SRunner *runner = srunner_create(suite);
    srunner_add_suite(runner, server_suite());
    srunner_add_suite(runner, lost_answer_suite());
    srunner_run_all(runner, CK_NORMAL);
    int failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

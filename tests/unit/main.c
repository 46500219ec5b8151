/*
 * main.c - unit tests of the parts that need no running daemon: log state, rules,
 * settings, leadership claims, framing, request bodies, traces.
 */
#include <check.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "caller/job_json.h"
#include "config/rules_file.h"
#include "config/settings.h"
#include "logstate/logstate.h"
#include "membership/claim.h"
#include "unit/unit.h"
#include "wire/convert.h"
#include "wire/frame.h"

#define TEXT_MAX 512

/* ---- log state ---- */

static void
apply_record(struct ms_logstate *state, Ms__Wire__LogRecord *record)
{
    record->writer = "test";
    GByteArray *bytes = ms_log_record_pack(record);
    ck_assert_int_eq(ms_logstate_apply(state, ms_logstate_next_offset(state), bytes->data,
                                       bytes->len, NULL, NULL),
                     MS_OK);
    g_byte_array_unref(bytes);
}

static void
apply_rule(struct ms_logstate *state, char *key, char *line, uint64_t replaces,
           uint64_t guarantees_version)
{
    Ms__Wire__LogRecord record = MS__WIRE__LOG_RECORD__INIT;
    Ms__Wire__RuleChange rule = MS__WIRE__RULE_CHANGE__INIT;
    rule.key = key;
    rule.line = line;
    rule.replaces = replaces;
    rule.guarantees_version = guarantees_version;
    rule.requester = "Mila";
    record.body_case = MS__WIRE__LOG_RECORD__BODY_RULE;
    record.rule = &rule;
    apply_record(state, &record);
}

static void
apply_token(struct ms_logstate *state, char *id, char *holder, uint64_t epoch)
{
    Ms__Wire__LogRecord record = MS__WIRE__LOG_RECORD__INIT;
    Ms__Wire__Token token = MS__WIRE__TOKEN__INIT;
    token.id = id;
    token.dc = "dc-1";
    token.holder = holder;
    token.epoch = epoch;
    record.body_case = MS__WIRE__LOG_RECORD__BODY_TOKEN;
    record.token = &token;
    apply_record(state, &record);
}

/* A rule change that names an outdated version must not overwrite a newer rule. */
START_TEST(rules_outdated_change_is_rejected)
{
    struct ms_logstate *state = ms_logstate_new();
    apply_rule(state, "account a", "account a share=1", 0, 0);
    apply_rule(state, "account a", "account a share=2", 1, 0);
    apply_rule(state, "account a", "account a share=3", 1, 0); /* replaces an outdated version */
    const struct ms_rule_entry *entry = ms_logstate_rule(state, "account a");
    ck_assert_uint_eq(entry->parsed.rule.share, 2);
    ck_assert_uint_eq(entry->version, 2);
    const struct ms_rule_history_entry *last =
        g_queue_peek_tail((GQueue *)ms_logstate_rule_history(state));
    ck_assert(!last->accepted);
    ck_assert_ptr_nonnull(strstr(last->reason, "version 2"));
    ms_logstate_free(state);
}
END_TEST

/*
 * The writer of a guarantee checks that all guarantees fit together.  If another
 * one was added since that check, the change must be rejected.
 */
START_TEST(guarantees_are_checked_against_current_set)
{
    struct ms_logstate *state = ms_logstate_new();
    char *first_line = "guarantee g1 account=a dc=d tasks=1 accels=1";
    char *second_line = "guarantee g2 account=a dc=d tasks=1 accels=1";
    apply_rule(state, "guarantee g1", first_line, 0, 0);
    apply_rule(state, "guarantee g2", second_line, 0, 0); /* was checked before g1 existed */
    ck_assert_ptr_null(ms_logstate_rule(state, "guarantee g2"));
    apply_rule(state, "guarantee g2", second_line, 0, 1);
    ck_assert_ptr_nonnull(ms_logstate_rule(state, "guarantee g2"));
    ms_logstate_free(state);
}
END_TEST

/*
 * The first token of a job in the log is the valid one, also if a later one has a higher
 * epoch; else a job that is not idempotent could run twice.
 */
START_TEST(tokens_first_holder_wins)
{
    struct ms_logstate *state = ms_logstate_new();
    apply_token(state, "a/k", "h1", 5);
    apply_token(state, "a/k", "h2", 9);
    ck_assert_str_eq(ms_logstate_token(state, "a/k")->holder, "h1");
    ms_logstate_free(state);
}
END_TEST

/*
 * A host that missed records must use no later ones until a snapshot (here in
 * two parts) has filled the gap, and must then apply those that waited.
 */
START_TEST(snapshot_fills_a_gap_in_the_log)
{
    struct ms_logstate *full = ms_logstate_new();
    struct ms_logstate *behind = ms_logstate_new();
    apply_rule(full, "account a", "account a share=4", 0, 0);
    apply_token(full, "a/k", "h1", 5);
    GByteArray *snapshot = ms_logstate_pack_snapshot(full);
    ck_assert(ms_logstate_skip_to(behind, 2));
    ck_assert(!ms_logstate_is_complete(behind));
    /* Records after the gap are kept until a snapshot has arrived. */
    apply_rule(behind, "account b", "account b", 0, 0);
    ck_assert_ptr_null(ms_logstate_rule(behind, "account b"));
    guint first_part_len = snapshot->len / 2;
    for (uint32_t part = 0; part < 2; part++) {
        Ms__Wire__LogRecord record = MS__WIRE__LOG_RECORD__INIT;
        Ms__Wire__SnapshotPart message = MS__WIRE__SNAPSHOT_PART__INIT;
        message.as_of = 2;
        message.part = part;
        message.parts = 2;
        message.publisher = "h1";
        message.data.data = snapshot->data + (part == 0 ? 0 : first_part_len);
        message.data.len = part == 0 ? first_part_len : snapshot->len - first_part_len;
        record.body_case = MS__WIRE__LOG_RECORD__BODY_SNAPSHOT;
        record.snapshot = &message;
        apply_record(behind, &record);
    }
    ck_assert(ms_logstate_is_complete(behind));
    ck_assert_uint_eq(ms_logstate_next_offset(behind), 5);
    ck_assert_uint_eq(ms_logstate_rule(behind, "account a")->parsed.rule.share, 4);
    ck_assert_ptr_nonnull(ms_logstate_rule(behind, "account b"));
    ck_assert_ptr_nonnull(ms_logstate_token(behind, "a/k"));
    g_byte_array_unref(snapshot);
    ms_logstate_free(full);
    ms_logstate_free(behind);
}
END_TEST

/* A snapshot of an earlier offset must not undo records that were applied since. */
START_TEST(outdated_snapshot_is_rejected)
{
    struct ms_logstate *state = ms_logstate_new();
    apply_rule(state, "account a", "account a share=4", 0, 0);
    GByteArray *outdated = ms_logstate_pack_snapshot(state);
    apply_rule(state, "account a", "account a share=5", 1, 0);
    ck_assert_int_eq(ms_logstate_restore_snapshot(state, outdated->data, outdated->len),
                     MS_E_CONFLICT);
    ck_assert_uint_eq(ms_logstate_rule(state, "account a")->parsed.rule.share, 5);
    g_byte_array_unref(outdated);
    ms_logstate_free(state);
}
END_TEST

/* ---- settings ---- */

static const char *const valid_settings = "name = \"h1\"\ndc = \"d\"\nregion = \"r\"\n"
                                          "caller_address = \"127.0.0.1:1\"\n"
                                          "peer_address = \"127.0.0.1:2\"\n"
                                          "platform_url = \"http://127.0.0.1:3\"\n";

START_TEST(settings_errors_name_the_key)
{
    static const struct {
        const char *extra;
        const char *error;
    } cases[] = {
        {"colour = 1\n", "colour: unknown setting"},
        {"heartbeat_ms = 1\n", "heartbeat_ms: must be a whole number of milliseconds from 50"},
        {"heartbeat_ms = \"x\"\n", "heartbeat_ms: must be a whole number"},
        {"server_timeout_ms = 3000\n", "server_timeout_ms: must be below lease_ms"},
        {"[[peer]]\nname = \"x\"\n", "peer 1: dc: must be a string of 1 to"},
        {"heartbeat_ms = \n", "line 7, column"},
    };
    struct ms_settings settings;
    char error[TEXT_MAX];
    ck_assert_int_eq(ms_settings_parse(valid_settings, &settings, error, sizeof(error)), MS_OK);
    ck_assert_int_eq(settings.heartbeat_ms, 500);
    ms_settings_clear(&settings);
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        char *text = g_strconcat(valid_settings, cases[i].extra, NULL);
        ck_assert_int_eq(ms_settings_parse(text, &settings, error, sizeof(error)), MS_E_INVALID);
        ck_assert_msg(strstr(error, cases[i].error) != NULL, "%s", error);
        g_free(text);
    }
}
END_TEST

/* ---- claims ---- */

/*
 * A host claims leadership only when no leader is alive, without the log if need
 * be; of two leaders the one with the lower epoch steps down.
 */
START_TEST(claim_decisions)
{
    struct ms_claim_host other = {.name = "h2", .alive = true, .is_leader = true, .epoch = 7};
    struct ms_claim_input input = {.self = "h1",
                                   .dc = "d",
                                   .hosts = &other,
                                   .host_count = 1,
                                   .startup_grace_over = true,
                                   .log_reachable = true};
    ck_assert_int_eq(ms_claim_decide(&input), MS_CLAIM_NO_CHANGE);
    other.alive = false;
    ck_assert_int_eq(ms_claim_decide(&input), MS_CLAIM_APPEND_EPOCH);
    input.log_reachable = false;
    ck_assert_int_eq(ms_claim_decide(&input), MS_CLAIM_WITHOUT_LOG);
    /* A leader that was suspended steps down when it learns of a higher epoch. */
    input.is_leader = true;
    input.epoch = 5;
    other.alive = true;
    ck_assert_int_eq(ms_claim_decide(&input), MS_CLAIM_STEP_DOWN);
    input.epoch = 9;
    ck_assert_int_eq(ms_claim_decide(&input), MS_CLAIM_NO_CHANGE);
    input.log_leader = "h2";
    input.log_epoch = 11;
    ck_assert_int_eq(ms_claim_decide(&input), MS_CLAIM_STEP_DOWN);
}
END_TEST

/* ---- wire ---- */

/* An incomplete frame stays in the buffer; a frame that is too large is an error. */
START_TEST(frames_partial_and_oversized)
{
    Ms__Wire__Envelope envelope = MS__WIRE__ENVELOPE__INIT;
    Ms__Wire__Cancel cancel = MS__WIRE__CANCEL__INIT;
    Ms__Wire__Envelope *received = NULL;
    GByteArray *bytes = g_byte_array_new();
    cancel.id = "a/k";
    envelope.body_case = MS__WIRE__ENVELOPE__BODY_CANCEL;
    envelope.cancel = &cancel;
    ms_frame_append(bytes, &envelope);
    guint frame_size = bytes->len;
    GByteArray *partial = g_byte_array_new();
    g_byte_array_append(partial, bytes->data, frame_size - 1);
    ck_assert_int_eq(ms_frame_pop(partial, &received), MS_E_NOTFOUND);
    ck_assert_int_eq(ms_frame_pop(bytes, &received), MS_OK);
    ck_assert_str_eq(received->cancel->id, "a/k");
    ms__wire__envelope__free_unpacked(received, NULL);
    guint8 too_large_length[] = {0xff, 0xff, 0xff, 0xff};
    g_byte_array_append(bytes, too_large_length, sizeof(too_large_length));
    ck_assert_int_eq(ms_frame_pop(bytes, &received), MS_E_INVALID);
    g_byte_array_unref(bytes);
    g_byte_array_unref(partial);
}
END_TEST

START_TEST(request_body_errors_name_the_field)
{
    static const struct {
        const char *body;
        const char *error;
    } cases[] = {
        {"{\"account\":\"a\",\"key\":\"k\",\"tasks\":0}", "tasks: must be a whole number from 1"},
        {"{\"account\":\"a b\",\"key\":\"k\"}", "account: use letters"},
        {"{\"account\":\"a\",\"key\":\"k\",\"class\":\"x\"}", "class: must be urgent"},
        {"{\"account\":\"a\",\"key\":\"k\",\"key\":\"l\"}", "body: line 1"},
        {"[]", "must be an object"},
    };
    char error[TEXT_MAX];
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct ms_call *call = ms_call_new(MS_CALL_SUBMIT);
        const char *body = cases[i].body;
        ck_assert_int_eq(ms_json_parse_job(body, strlen(body), call, error, sizeof(error)),
                         MS_E_INVALID);
        ck_assert_msg(strstr(error, cases[i].error) != NULL, "%s", error);
        ms_call_free(call);
    }
}
END_TEST

/* ---- traces and allocator ---- */

static int allocation_count;

static void *
counting_alloc(void *opaque, size_t size)
{
    (void)opaque;
    allocation_count++;
    return malloc(size);
}

static void
counting_release(void *opaque, void *memory)
{
    (void)opaque;
    allocation_count--;
    free(memory);
}

/*
 * A trace line that is parsed and written again must be the same line, else
 * replays differ.  The core must free all memory that it takes from the allocator.
 */
START_TEST(trace_lines_round_trip_and_core_frees_all_memory)
{
    static const char *const lines[] = {
        "1 server_up name=s1 rack=r1 slots=8 accels=8 seen=0",
        "2 rule kind=account name=a account= dc= share=1 tasks=1 accels=0 running=0 queued=0"
        " adjacent=dc out=0 removed=0",
        "3 submit account=a key=k tasks=2 accels=4 adjacent=rack class=urgent idempotent=1"
        " checkpointable=0 detached=0 declared_ms=5 deadline_ms=0 payload=aGVsbG8= may_have_run=0",
    };
    struct ms_allocator allocator = {.alloc = counting_alloc, .release = counting_release};
    struct ms_sched *sched = ms_sched_new("dc-1", NULL, &allocator);
    uint8_t buffer[TEXT_MAX];
    char error[TEXT_MAX];
    for (size_t i = 0; i < G_N_ELEMENTS(lines); i++) {
        struct ms_event event;
        int64_t now = 0;
        ck_assert_int_eq(
            ms_trace_parse(lines[i], &event, &now, buffer, sizeof(buffer), error, sizeof(error)),
            MS_OK);
        char *text = ms_trace_event(&event, now);
        ck_assert_str_eq(text, lines[i]);
        ms_trace_release(text);
        ck_assert_int_eq(ms_sched_step(sched, &event, now), MS_OK);
    }
    ck_assert_uint_eq(ms_sched_action_count(sched), 2);
    ms_sched_free(sched);
    ck_assert_int_eq(allocation_count, 0);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("mustardspread");
    TCase *cases = tcase_create("all");
    tcase_add_test(cases, rules_outdated_change_is_rejected);
    tcase_add_test(cases, guarantees_are_checked_against_current_set);
    tcase_add_test(cases, tokens_first_holder_wins);
    tcase_add_test(cases, snapshot_fills_a_gap_in_the_log);
    tcase_add_test(cases, outdated_snapshot_is_rejected);
    tcase_add_test(cases, settings_errors_name_the_key);
    tcase_add_test(cases, claim_decisions);
    tcase_add_test(cases, frames_partial_and_oversized);
    tcase_add_test(cases, request_body_errors_name_the_field);
    tcase_add_test(cases, trace_lines_round_trip_and_core_frees_all_memory);
    suite_add_tcase(suite, cases);
    suite_add_tcase(suite, core_health_cases());
    suite_add_tcase(suite, http_loop_cases());
    suite_add_tcase(suite, compress_cases());
    SRunner *runner = srunner_create(suite);
    srunner_run_all(runner, CK_NORMAL);
    int failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

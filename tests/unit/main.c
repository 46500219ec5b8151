/*
 * main.c - unit tests of the parts that need no process: log state, rules,
 * settings, claims, framing, request bodies, traces.
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
#include "wire/convert.h"
#include "wire/frame.h"

#define TEXT_MAX 512

/* ---- log state ---- */

static void
apply(struct ms_logstate *state, Ms__Wire__LogRecord *record)
{
    record->writer = "test";
    GByteArray *bytes = ms_log_record_pack(record);
    ck_assert_int_eq(ms_logstate_apply(state, ms_logstate_next_offset(state), bytes->data,
                                       bytes->len, NULL, NULL),
                     MS_OK);
    g_byte_array_unref(bytes);
}

static void
apply_rule(struct ms_logstate *state, char *key, char *line, uint64_t replaces, uint64_t guarantees)
{
    Ms__Wire__LogRecord record = MS__WIRE__LOG_RECORD__INIT;
    Ms__Wire__RuleChange rule = MS__WIRE__RULE_CHANGE__INIT;
    rule.key = key;
    rule.line = line;
    rule.replaces = replaces;
    rule.guarantees_version = guarantees;
    rule.requester = "Mila";
    record.body_case = MS__WIRE__LOG_RECORD__BODY_RULE;
    record.rule = &rule;
    apply(state, &record);
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
    apply(state, &record);
}

START_TEST(rules_first_change_wins)
{
    struct ms_logstate *state = ms_logstate_new();
    apply_rule(state, "account a", "account a share=1", 0, 0);
    apply_rule(state, "account a", "account a share=2", 1, 0);
    apply_rule(state, "account a", "account a share=3", 1, 0); /* came too late */
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

START_TEST(guarantees_are_checked_together)
{
    struct ms_logstate *state = ms_logstate_new();
    char *one = "guarantee g1 account=a dc=d tasks=1 accels=1";
    char *two = "guarantee g2 account=a dc=d tasks=1 accels=1";
    apply_rule(state, "guarantee g1", one, 0, 0);
    apply_rule(state, "guarantee g2", two, 0, 0); /* was not checked beside g1 */
    ck_assert_ptr_null(ms_logstate_rule(state, "guarantee g2"));
    apply_rule(state, "guarantee g2", two, 0, 1);
    ck_assert_ptr_nonnull(ms_logstate_rule(state, "guarantee g2"));
    ms_logstate_free(state);
}
END_TEST

START_TEST(tokens_first_holder_wins)
{
    struct ms_logstate *state = ms_logstate_new();
    apply_token(state, "a/k", "h1", 5);
    apply_token(state, "a/k", "h2", 9);
    ck_assert_str_eq(ms_logstate_token(state, "a/k")->holder, "h1");
    ms_logstate_free(state);
}
END_TEST

START_TEST(snapshot_closes_a_gap)
{
    struct ms_logstate *full = ms_logstate_new();
    struct ms_logstate *late = ms_logstate_new();
    apply_rule(full, "account a", "account a share=4", 0, 0);
    apply_token(full, "a/k", "h1", 5);
    GByteArray *snapshot = ms_logstate_pack_snapshot(full);
    ck_assert(ms_logstate_skip_to(late, 2));
    ck_assert(!ms_logstate_is_complete(late));
    /* Records that come before the snapshot in the log wait for it. */
    apply_rule(late, "account b", "account b", 0, 0);
    ck_assert_ptr_null(ms_logstate_rule(late, "account b"));
    guint half = snapshot->len / 2;
    for (uint32_t part = 0; part < 2; part++) {
        Ms__Wire__LogRecord record = MS__WIRE__LOG_RECORD__INIT;
        Ms__Wire__SnapshotPart message = MS__WIRE__SNAPSHOT_PART__INIT;
        message.as_of = 2;
        message.part = part;
        message.parts = 2;
        message.publisher = "h1";
        message.data.data = snapshot->data + (part == 0 ? 0 : half);
        message.data.len = part == 0 ? half : snapshot->len - half;
        record.body_case = MS__WIRE__LOG_RECORD__BODY_SNAPSHOT;
        record.snapshot = &message;
        apply(late, &record);
    }
    ck_assert(ms_logstate_is_complete(late));
    ck_assert_uint_eq(ms_logstate_next_offset(late), 5);
    ck_assert_uint_eq(ms_logstate_rule(late, "account a")->parsed.rule.share, 4);
    ck_assert_ptr_nonnull(ms_logstate_rule(late, "account b"));
    ck_assert_ptr_nonnull(ms_logstate_token(late, "a/k"));
    g_byte_array_unref(snapshot);
    ms_logstate_free(full);
    ms_logstate_free(late);
}
END_TEST

START_TEST(old_snapshot_changes_nothing)
{
    struct ms_logstate *state = ms_logstate_new();
    apply_rule(state, "account a", "account a share=4", 0, 0);
    GByteArray *old = ms_logstate_pack_snapshot(state);
    apply_rule(state, "account a", "account a share=5", 1, 0);
    ck_assert_int_eq(ms_logstate_restore_snapshot(state, old->data, old->len), MS_E_CONFLICT);
    ck_assert_uint_eq(ms_logstate_rule(state, "account a")->parsed.rule.share, 5);
    g_byte_array_unref(old);
    ms_logstate_free(state);
}
END_TEST

/* ---- settings ---- */

static const char *const good_settings = "name = \"h1\"\ndc = \"d\"\nregion = \"r\"\n"
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
        {"[[peer]]\nname = \"x\"\n", "peer 1: dc: a text"},
        {"heartbeat_ms = \n", "line 7, column"},
    };
    struct ms_settings settings;
    char error[TEXT_MAX];
    ck_assert_int_eq(ms_settings_parse(good_settings, &settings, error, sizeof(error)), MS_OK);
    ck_assert_int_eq(settings.heartbeat_ms, 500);
    ms_settings_clear(&settings);
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        char *text = g_strconcat(good_settings, cases[i].extra, NULL);
        ck_assert_int_eq(ms_settings_parse(text, &settings, error, sizeof(error)), MS_E_INVALID);
        ck_assert_msg(strstr(error, cases[i].error) != NULL, "%s", error);
        g_free(text);
    }
}
END_TEST

/* ---- claims ---- */

START_TEST(claims)
{
    struct ms_claim_host other = {.name = "h2", .alive = true, .is_leader = true, .epoch = 7};
    struct ms_claim_input view = {.self = "h1",
                                  .dc = "d",
                                  .hosts = &other,
                                  .host_count = 1,
                                  .startup_grace_over = true,
                                  .log_reachable = true};
    ck_assert_int_eq(ms_claim_decide(&view), MS_CLAIM_NO_CHANGE);
    other.alive = false;
    ck_assert_int_eq(ms_claim_decide(&view), MS_CLAIM_APPEND_EPOCH);
    view.log_reachable = false;
    ck_assert_int_eq(ms_claim_decide(&view), MS_CLAIM_WITHOUT_LOG);
    /* A holder that wakes and hears of a higher epoch steps down. */
    view.is_leader = true;
    view.epoch = 5;
    other.alive = true;
    ck_assert_int_eq(ms_claim_decide(&view), MS_CLAIM_STEP_DOWN);
    view.epoch = 9;
    ck_assert_int_eq(ms_claim_decide(&view), MS_CLAIM_NO_CHANGE);
    view.log_leader = "h2";
    view.log_epoch = 11;
    ck_assert_int_eq(ms_claim_decide(&view), MS_CLAIM_STEP_DOWN);
}
END_TEST

/* ---- wire ---- */

START_TEST(frames)
{
    Ms__Wire__Envelope envelope = MS__WIRE__ENVELOPE__INIT;
    Ms__Wire__Cancel cancel = MS__WIRE__CANCEL__INIT;
    Ms__Wire__Envelope *got = NULL;
    GByteArray *bytes = g_byte_array_new();
    cancel.id = "a/k";
    envelope.body_case = MS__WIRE__ENVELOPE__BODY_CANCEL;
    envelope.cancel = &cancel;
    ms_frame_append(bytes, &envelope);
    guint whole = bytes->len;
    GByteArray *partial = g_byte_array_new();
    g_byte_array_append(partial, bytes->data, whole - 1);
    ck_assert_int_eq(ms_frame_pop(partial, &got), MS_E_NOTFOUND);
    ck_assert_int_eq(ms_frame_pop(bytes, &got), MS_OK);
    ck_assert_str_eq(got->cancel->id, "a/k");
    ms__wire__envelope__free_unpacked(got, NULL);
    guint8 huge[] = {0xff, 0xff, 0xff, 0xff};
    g_byte_array_append(bytes, huge, sizeof(huge));
    ck_assert_int_eq(ms_frame_pop(bytes, &got), MS_E_INVALID);
    g_byte_array_unref(bytes);
    g_byte_array_unref(partial);
}
END_TEST

START_TEST(request_bodies)
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

/* ---- traces and hooks ---- */

static int allocated;

static void *
counting_alloc(void *opaque, size_t size)
{
    (void)opaque;
    allocated++;
    return malloc(size);
}

static void
counting_release(void *opaque, void *memory)
{
    (void)opaque;
    allocated--;
    free(memory);
}

START_TEST(traces_round_trip_and_hooks_balance)
{
    static const char *const lines[] = {
        "1 server_up name=s1 rack=r1 slots=8 accels=8 seen=0",
        "2 rule kind=account name=a account= dc= share=1 tasks=1 accels=0 running=0 queued=0"
        " adjacent=dc out=0 removed=0",
        "3 submit account=a key=k tasks=2 accels=4 adjacent=rack class=urgent idempotent=1"
        " checkpointable=0 detached=0 declared_ms=5 deadline_ms=0 payload=aGVsbG8= may_have_run=0",
    };
    struct ms_allocator hooks = {.alloc = counting_alloc, .release = counting_release};
    struct ms_sched *sched = ms_sched_new("dc-1", NULL, &hooks);
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
    ck_assert_int_eq(allocated, 0);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("mustardspread");
    TCase *cases = tcase_create("all");
    tcase_add_test(cases, rules_first_change_wins);
    tcase_add_test(cases, guarantees_are_checked_together);
    tcase_add_test(cases, tokens_first_holder_wins);
    tcase_add_test(cases, snapshot_closes_a_gap);
    tcase_add_test(cases, old_snapshot_changes_nothing);
    tcase_add_test(cases, settings_errors_name_the_key);
    tcase_add_test(cases, claims);
    tcase_add_test(cases, frames);
    tcase_add_test(cases, request_bodies);
    tcase_add_test(cases, traces_round_trip_and_hooks_balance);
    suite_add_tcase(suite, cases);
    SRunner *runner = srunner_create(suite);
    srunner_run_all(runner, CK_NORMAL);
    int failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

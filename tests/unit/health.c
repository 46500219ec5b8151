/*
 * health.c - unit tests of the decision core: what keeps a live backend server from
 * waiting jobs, and for how long.
 *
 * The events are lines of traces, as "mustardspread replay" reads them.
 */
#include <string.h>

#include "mustardspread/mustardspread.h"
#include "unit/unit.h"

#define ERROR_MAX 256
#define PAYLOAD_MAX 64

/* Applies the events of LINES, which end with NULL. */
static void
apply_events(struct ms_sched *sched, const char *const *lines)
{
    for (; *lines != NULL; lines++) {
        struct ms_event event;
        int64_t now = 0;
        uint8_t payload[PAYLOAD_MAX];
        char error[ERROR_MAX];
        ck_assert_int_eq(
            ms_trace_parse(*lines, &event, &now, payload, sizeof(payload), error, sizeof(error)),
            MS_OK);
        ck_assert_int_eq(ms_sched_step(sched, &event, now), MS_OK);
    }
}

/* Applies the event of LINE. */
static void
apply_event(struct ms_sched *sched, const char *line)
{
    apply_events(sched, (const char *const[]){line, NULL});
}

/* Returns a scheduler that knows the client account alpha and the server s1. */
static struct ms_sched *
sched_with_server(void)
{
    struct ms_sched *sched = ms_sched_new("dc-1", NULL, NULL);
    apply_event(sched, "0 rule kind=account name=alpha");
    apply_event(sched, "0 server_up name=s1 rack=r1 slots=8 accels=8");
    return sched;
}

/* Whether the last event started the single task of job ID. */
static bool
was_started(const struct ms_sched *sched, const char *id)
{
    for (size_t i = 0; i < ms_sched_action_count(sched); i++) {
        const struct ms_action *action = ms_sched_action(sched, i);
        if (action->kind == MS_ACTION_TASK && action->task.op == MS_OP_START &&
            strcmp(action->id, id) == 0) {
            return true;
        }
    }
    return false;
}

static uint32_t
quarantined_servers(const struct ms_sched *sched)
{
    struct ms_sched_stats stats;
    ms_sched_stats(sched, &stats);
    return stats.quarantined;
}

/* Three jobs, f1 to f3, fail on s1 at 100 ms, which quarantines it for 10 s. */
static void
quarantine_s1(struct ms_sched *sched)
{
    static const char *const failures[] = {
        "20 submit account=alpha key=f1 idempotent=1 accels=1",
        "20 submit account=alpha key=f2 idempotent=1 accels=1",
        "20 submit account=alpha key=f3 idempotent=1 accels=1",
        "21 started server=s1 id=alpha/f1",
        "21 started server=s1 id=alpha/f2",
        "21 started server=s1 id=alpha/f3",
        "100 ended server=s1 id=alpha/f1 result=failed",
        "100 ended server=s1 id=alpha/f2 result=failed",
        "100 ended server=s1 id=alpha/f3 result=failed",
        NULL,
    };
    apply_events(sched, failures);
    ck_assert_uint_eq(quarantined_servers(sched), 1);
}

/* Waiting jobs that may not probe the server kept it from one that may. */
START_TEST(job_that_has_not_failed_probes_while_failed_jobs_wait)
{
    struct ms_sched *sched = sched_with_server();
    quarantine_s1(sched);
    apply_event(sched, "200 submit account=alpha key=late idempotent=1 accels=1");
    ck_assert(!was_started(sched, "alpha/late"));
    apply_event(sched, "10200 tick");
    ck_assert(was_started(sched, "alpha/late"));
    ck_assert(!was_started(sched, "alpha/f1"));
    ms_sched_free(sched);
}
END_TEST

/* A run from before the quarantine that failed in the probe phase doubled the quarantine. */
START_TEST(quarantine_is_not_renewed_by_run_started_before_it)
{
    struct ms_sched *sched = sched_with_server();
    apply_event(sched, "10 submit account=alpha key=old idempotent=1 accels=1");
    apply_event(sched, "11 started server=s1 id=alpha/old");
    quarantine_s1(sched);
    apply_event(sched, "10200 tick");
    apply_event(sched, "10500 ended server=s1 id=alpha/old result=failed");
    ck_assert_uint_eq(quarantined_servers(sched), 0);
    apply_event(sched, "20000 submit account=alpha key=late idempotent=1 accels=1");
    ck_assert(was_started(sched, "alpha/late"));
    ms_sched_free(sched);
}
END_TEST

/* A server whose probe phase ended during such a run is used again when the run has failed. */
START_TEST(probe_phase_ends_with_last_run_started_before_it)
{
    struct ms_sched *sched = sched_with_server();
    apply_event(sched, "10 submit account=alpha key=old accels=1");
    apply_event(sched, "11 token id=alpha/old attempt=1 answer=granted");
    apply_event(sched, "12 started server=s1 id=alpha/old");
    quarantine_s1(sched);
    apply_event(sched, "10200 tick");
    apply_event(sched, "20300 tick");
    ck_assert(!was_started(sched, "alpha/f1"));
    apply_event(sched, "25000 ended server=s1 id=alpha/old result=failed");
    ck_assert(was_started(sched, "alpha/f1"));
    ms_sched_free(sched);
}
END_TEST

/* A probe that fails shows that the server is still at fault. */
START_TEST(quarantine_is_renewed_by_failed_probe)
{
    struct ms_sched *sched = sched_with_server();
    quarantine_s1(sched);
    apply_event(sched, "10200 tick");
    apply_event(sched, "10300 cancel id=alpha/f1");
    apply_event(sched, "10300 cancel id=alpha/f2");
    apply_event(sched, "10300 cancel id=alpha/f3");
    apply_event(sched, "10400 submit account=alpha key=probe idempotent=1 accels=1");
    ck_assert(was_started(sched, "alpha/probe"));
    apply_event(sched, "10401 started server=s1 id=alpha/probe");
    apply_event(sched, "10500 ended server=s1 id=alpha/probe result=failed");
    ck_assert_uint_eq(quarantined_servers(sched), 1);
    apply_event(sched, "30499 tick");
    ck_assert_uint_eq(quarantined_servers(sched), 1);
    apply_event(sched, "30500 tick");
    ck_assert_uint_eq(quarantined_servers(sched), 0);
    ms_sched_free(sched);
}
END_TEST

/* The next quarantine was doubled, whatever the server had done since an unused probe. */
START_TEST(quarantine_has_first_length_again_after_success)
{
    static const char *const success_then_failures[] = {
        "10200 tick",
        "20200 tick", /* the probe was not used */
        "20300 submit account=alpha key=good idempotent=1 accels=1",
        "20301 started server=s1 id=alpha/good",
        "20400 ended server=s1 id=alpha/good result=ok",
        "30000 submit account=alpha key=g1 idempotent=1 accels=1",
        "30000 submit account=alpha key=g2 idempotent=1 accels=1",
        "30000 submit account=alpha key=g3 idempotent=1 accels=1",
        "30001 started server=s1 id=alpha/g1",
        "30001 started server=s1 id=alpha/g2",
        "30001 started server=s1 id=alpha/g3",
        "30100 ended server=s1 id=alpha/g1 result=failed",
        "30100 ended server=s1 id=alpha/g2 result=failed",
        "30100 ended server=s1 id=alpha/g3 result=failed",
        NULL,
    };
    struct ms_sched *sched = sched_with_server();
    quarantine_s1(sched);
    apply_event(sched, "200 cancel id=alpha/f1");
    apply_event(sched, "200 cancel id=alpha/f2");
    apply_event(sched, "200 cancel id=alpha/f3");
    apply_events(sched, success_then_failures);
    ck_assert_uint_eq(quarantined_servers(sched), 1);
    apply_event(sched, "40100 tick");
    ck_assert_uint_eq(quarantined_servers(sched), 0);
    ms_sched_free(sched);
}
END_TEST

/*
 * Two racks of two servers, each of which runs a job, l1 to l4.  A gang has s1 and s2
 * reserved, as their jobs should end first, and f1 to f3 run on s1 too.
 */
static struct ms_sched *
sched_with_reservation(void)
{
    static const char *const reservation[] = {
        "1 submit account=alpha key=l1 idempotent=1 accels=4 declared_ms=60000",
        "2 started server=s1 id=alpha/l1",
        "3 submit account=alpha key=f1 idempotent=1 accels=1 declared_ms=60000",
        "3 submit account=alpha key=f2 idempotent=1 accels=1 declared_ms=60000",
        "3 submit account=alpha key=f3 idempotent=1 accels=1 declared_ms=60000",
        "4 started server=s1 id=alpha/f1",
        "4 started server=s1 id=alpha/f2",
        "4 started server=s1 id=alpha/f3",
        "5 server_up name=s2 rack=r1 slots=8 accels=8",
        "6 submit account=alpha key=l2 idempotent=1 accels=8 declared_ms=60000",
        "7 started server=s2 id=alpha/l2",
        "8 server_up name=s3 rack=r2 slots=8 accels=8",
        "9 submit account=alpha key=l3 idempotent=1 accels=8 declared_ms=600000",
        "10 started server=s3 id=alpha/l3",
        "11 server_up name=s4 rack=r2 slots=8 accels=8",
        "12 submit account=alpha key=l4 idempotent=1 accels=8 declared_ms=600000",
        "13 started server=s4 id=alpha/l4",
        "20 submit account=alpha key=gang tasks=2 accels=8 adjacent=rack idempotent=1",
        "2100 tick",
        NULL,
    };
    struct ms_sched *sched = sched_with_server();
    apply_events(sched, reservation);
    return sched;
}

/* Whether a job that should run longer than the gang has to wait starts on free server s2. */
static bool
long_job_starts_on_s2(struct ms_sched *sched)
{
    apply_event(sched, "3000 ended server=s2 id=alpha/l2 result=ok");
    apply_event(sched, "3100 submit account=alpha key=long idempotent=1 accels=8"
                       " declared_ms=100000");
    return was_started(sched, "alpha/long");
}

/* The reserved servers of a rack stay free for the gang while all of them can be used. */
START_TEST(reservation_keeps_other_jobs_off_its_servers)
{
    struct ms_sched *sched = sched_with_reservation();
    ck_assert(!long_job_starts_on_s2(sched));
    ms_sched_free(sched);
}
END_TEST

/* A reservation that a leaving server made useless kept the rest of its servers empty. */
START_TEST(reservation_ends_when_one_of_its_servers_leaves)
{
    struct ms_sched *sched = sched_with_reservation();
    apply_event(sched, "2200 server_leaving name=s1");
    ck_assert(long_job_starts_on_s2(sched));
    ms_sched_free(sched);
}
END_TEST

/* The same with a server that was quarantined. */
START_TEST(reservation_ends_when_one_of_its_servers_is_quarantined)
{
    struct ms_sched *sched = sched_with_reservation();
    apply_event(sched, "2200 ended server=s1 id=alpha/f1 result=failed");
    apply_event(sched, "2200 ended server=s1 id=alpha/f2 result=failed");
    apply_event(sched, "2200 ended server=s1 id=alpha/f3 result=failed");
    ck_assert_uint_eq(quarantined_servers(sched), 1);
    apply_event(sched, "2300 cancel id=alpha/f1");
    apply_event(sched, "2300 cancel id=alpha/f2");
    apply_event(sched, "2300 cancel id=alpha/f3");
    ck_assert(long_job_starts_on_s2(sched));
    ms_sched_free(sched);
}
END_TEST

TCase *
core_health_cases(void)
{
    TCase *cases = tcase_create("core-health");
    tcase_add_test(cases, job_that_has_not_failed_probes_while_failed_jobs_wait);
    tcase_add_test(cases, quarantine_is_not_renewed_by_run_started_before_it);
    tcase_add_test(cases, probe_phase_ends_with_last_run_started_before_it);
    tcase_add_test(cases, quarantine_is_renewed_by_failed_probe);
    tcase_add_test(cases, quarantine_has_first_length_again_after_success);
    tcase_add_test(cases, reservation_keeps_other_jobs_off_its_servers);
    tcase_add_test(cases, reservation_ends_when_one_of_its_servers_leaves);
    tcase_add_test(cases, reservation_ends_when_one_of_its_servers_is_quarantined);
    return cases;
}

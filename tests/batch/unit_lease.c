/*
 * unit_lease.c - tests of the leases of backend servers, in the simulator.
 */
#include "batch/unit.h"
#include "batch/simulator_private.h"

#define TAKEOVER_MS 1000  /* from the loss of a leader until the next one starts */
#define FREEZE_MS 1010    /* from then until it freezes the lease of a server that is gone */
#define IDLE_MS 2100      /* after which a server that has just answered holds a lease of ours */
#define CONFIRMED_MS 1700 /* after which the log says that servers have confirmed the runs */
#define SHORT_TERM_MS 10  /* shorter than the delay of a store that is not urgent */

static const struct simulator_faults no_faults;

/* Tasks of a server that is unreachable for less than its lease (8 s) must not be started again. */
START_TEST(runs_survive_disconnect_within_lease)
{
    struct simulator *simulator = simulator_new(4, 2, &no_faults, NULL);
    struct ms_batch_spec spec;
    struct simulator_counts counts;
    simple_spec(&spec, "job", "q1", 4, 4);
    simulator_submit_job(simulator, &spec);
    simulator_run(simulator, 300);
    simulator_disconnect_server(simulator, 0, 5500);
    simulator_run(simulator, 12000);
    expect_phase(simulator, "job", MS_PHASE_SUCCEEDED);
    simulator_counts(simulator, &counts);
    ck_assert_uint_eq(counts.starts, 4);
    simulator_free(simulator);
}
END_TEST

/*
 * The directory entry of a draining server expires while the server is unreachable.  It may
 * still run its tasks, so they must not be started elsewhere before its lease ends.
 */
START_TEST(runs_survive_unlisting_of_draining_server)
{
    struct simulator *simulator = simulator_new(13, 2, &no_faults, NULL);
    struct ms_batch_spec spec;
    struct simulator_counts counts;
    simple_spec(&spec, "job", "q1", 16, 1);
    simulator_submit_job(simulator, &spec);
    simulator_run(simulator, 300);
    simulator_drain_and_unlist_server(simulator, 0, 3000);
    simulator_run(simulator, 3200);
    simulator_relist_server(simulator, 0);
    simulator_run(simulator, 3000);
    expect_phase(simulator, "job", MS_PHASE_SUCCEEDED);
    simulator_counts(simulator, &counts);
    ck_assert_uint_eq(counts.starts, 16);
    simulator_free(simulator);
}
END_TEST

/*
 * An earlier leader has extended the lease of a server by 8 s; it drains now, and this leader
 * extends it by 4.5 s only.  If it is cut off then, its runs end with the earlier, longer lease.
 */
START_TEST(earlier_lease_of_draining_server_is_waited_for)
{
    struct simulator *simulator = simulator_new(31, 3, &no_faults, NULL);
    struct ms_batch_spec spec;
    simple_spec(&spec, "job", "q1", 3, 8);
    spec.steps[0].estimate_ms = 100000;
    simulator_submit_job(simulator, &spec);
    simulator_run(simulator, 300);
    simulator_stall_runs(simulator, 0, 1000000);
    simulator_run(simulator, 1500);
    simulator->servers[0].entry.draining = true;
    simulator->servers[0].entry.shutdown_in_ms = 100000;
    simulator_change_leader(simulator, 100);
    simulator_run(simulator, 150);
    simulator_disconnect_server(simulator, 0, 1000000);
    simulator_run(simulator, 15000);
    expect_phase(simulator, "job", MS_PHASE_SUCCEEDED);
    simulator_free(simulator);
}
END_TEST

/* A server that never answers again must not delay its tasks beyond the end of its lease. */
START_TEST(tasks_of_lost_server_are_placed_again)
{
    struct simulator *simulator = simulator_new(5, 4, &no_faults, NULL);
    struct ms_batch_spec spec;
    simple_spec(&spec, "job", "q1", 4, 8);
    simulator_submit_job(simulator, &spec);
    simulator_run(simulator, 300);
    simulator_disconnect_server(simulator, 0, 1000000);
    simulator_run(simulator, 16000);
    expect_phase(simulator, "job", MS_PHASE_SUCCEEDED);
    simulator_free(simulator);
}
END_TEST

/* A simulator with a gang that has lost a server, and, at the same time, its leader. */
static struct simulator *
simulator_with_gang_on_lost_server(void)
{
    struct simulator *simulator = simulator_new(21, 4, &no_faults, NULL);
    struct ms_batch_spec spec;
    simple_spec(&spec, "job", "q1", 3, 8);
    spec.steps[0].gang = true;
    simulator_run(simulator, IDLE_MS);
    simulator_submit_job(simulator, &spec);
    for (size_t i = 0; i < 4; i++) {
        simulator_stall_runs(simulator, i, CONFIRMED_MS); /* the gang is not done before */
    }
    simulator_run(simulator, CONFIRMED_MS);
    simulator_lose_server(simulator, 0);
    simulator_change_leader(simulator, TAKEOVER_MS);
    return simulator;
}

/*
 * A gang with a member on a server that never answers again waits until that server's lease
 * has certainly expired; further changes of the leader must not start this wait anew.
 */
START_TEST(leader_changes_do_not_prolong_wait_for_lost_server)
{
    struct simulator *simulator = simulator_with_gang_on_lost_server();
    simulator_run(simulator, 8000);
    simulator_change_leader(simulator, TAKEOVER_MS);
    simulator_run(simulator, 6000); /* 14 s: the wait of 11.2 s, and the run of 1.5 s */
    expect_phase(simulator, "job", MS_PHASE_SUCCEEDED);
    simulator_free(simulator);
}
END_TEST

/* A leader that is gone soon must not make the next one wait for the server's lease anew. */
START_TEST(short_term_does_not_prolong_wait_for_lost_server)
{
    struct simulator *simulator = simulator_with_gang_on_lost_server();
    simulator_run(simulator, 7000);
    simulator_change_leader(simulator, TAKEOVER_MS);
    simulator_run(simulator, TAKEOVER_MS + SHORT_TERM_MS);
    simulator_change_leader(simulator, TAKEOVER_MS);
    simulator_run(simulator, 7000);
    expect_phase(simulator, "job", MS_PHASE_SUCCEEDED);
    simulator_free(simulator);
}
END_TEST

/* The same for a leader that is gone just after its first renewal for the server timed out. */
START_TEST(leader_lost_after_freezing_does_not_prolong_wait_for_lost_server)
{
    struct simulator *simulator = simulator_with_gang_on_lost_server();
    simulator_run(simulator, TAKEOVER_MS + FREEZE_MS + SHORT_TERM_MS);
    simulator_change_leader(simulator, TAKEOVER_MS);
    simulator_run(simulator, 14000 - TAKEOVER_MS - FREEZE_MS - SHORT_TERM_MS);
    expect_phase(simulator, "job", MS_PHASE_SUCCEEDED);
    simulator_free(simulator);
}
END_TEST

/* A simulator with a long run on server 0, which does not stall by its estimate. */
static struct simulator *
simulator_with_long_run(void)
{
    struct simulator *simulator = simulator_new(22, 3, &no_faults, NULL);
    struct ms_batch_spec spec;
    simple_spec(&spec, "job", "q1", 2, 8);
    spec.steps[0].estimate_ms = 100000;
    simulator_run(simulator, IDLE_MS);
    simulator_submit_job(simulator, &spec);
    simulator_run(simulator, 300);
    simulator_stall_runs(simulator, 0, 1000000);
    simulator_run(simulator, CONFIRMED_MS);
    return simulator;
}

/*
 * A leader that is gone just after its renewal for a silent server timed out, before its next
 * scan of the servers, must not make the next one wait for the lease anew.
 */
START_TEST(lease_is_frozen_as_soon_as_renewal_has_failed)
{
    struct simulator *simulator = simulator_with_long_run();
    struct simulator_counts counts;
    simulator_silence_server(simulator, 0, 1000000);
    simulator_change_leader(simulator, TAKEOVER_MS);
    simulator_run(simulator, TAKEOVER_MS + FREEZE_MS + SHORT_TERM_MS);
    simulator_change_leader(simulator, TAKEOVER_MS);
    simulator_run(simulator, 11700 - TAKEOVER_MS - FREEZE_MS - SHORT_TERM_MS);
    ck_assert_str_eq(simulator_violation(simulator), "");
    simulator_counts(simulator, &counts);
    ck_assert_uint_eq(counts.starts, 3); /* the lost run was placed again after 11.2 s */
    simulator_free(simulator);
}
END_TEST

/*
 * Renewals whose answers are lost are carried out: had the second leader extended the lease
 * that the first one stored as frozen, the run would still be there when the third one places
 * it again.
 */
START_TEST(frozen_lease_is_not_extended_by_next_leader)
{
    struct simulator *simulator = simulator_with_long_run();
    struct simulator_counts counts;
    simulator_silence_server(simulator, 0, 1000000);
    simulator_change_leader(simulator, 1000);
    simulator_run(simulator, 8000);
    simulator_change_leader(simulator, 1000);
    simulator_run(simulator, 1500);
    simulator_change_leader(simulator, 1000);
    simulator_run(simulator, 8500);
    ck_assert_str_eq(simulator_violation(simulator), "");
    simulator_counts(simulator, &counts);
    ck_assert_uint_eq(counts.starts, 3); /* the lost run was placed again once */
    simulator_free(simulator);
}
END_TEST

/*
 * A server answers while the log stores nothing: the stored record still says that its lease
 * is frozen, so the lease must not be extended, or the next leader would start a second run.
 */
START_TEST(frozen_lease_is_not_extended_before_record_is_replaced)
{
    struct simulator *simulator = simulator_with_long_run();
    simulator_silence_server(simulator, 0, 4000);
    simulator_change_leader(simulator, 1000);
    simulator_run(simulator, 3000);
    simulator_stop_log(simulator, 6000);
    simulator_run(simulator, 4900); /* the server answers for about 4 s of it */
    simulator_disconnect_server(simulator, 0, 1000000);
    simulator_change_leader(simulator, 1000);
    simulator_run(simulator, 15000);
    expect_phase(simulator, "job", MS_PHASE_SUCCEEDED);
    simulator_free(simulator);
}
END_TEST

/*
 * The leader that froze the lease is followed by one that does not know such records, as of an
 * earlier version: it extends the lease and leaves the record as it is.  The next one must not
 * rely on the record, or it would start a second run.
 */
START_TEST(frozen_lease_of_earlier_predecessor_is_ignored)
{
    struct simulator *simulator = simulator_with_long_run();
    struct simulator_counts counts;
    simulator_silence_server(simulator, 0, 1000000);
    simulator_change_leader(simulator, TAKEOVER_MS);
    simulator_run(simulator, 8000);
    simulator->epoch++;
    simulator->servers[0].lease_deadline = simulator->now + SIMULATOR_LEASE_MS;
    simulator_disconnect_server(simulator, 0, 1000000);
    simulator_change_leader(simulator, TAKEOVER_MS);
    simulator_run(simulator, 16000);
    expect_phase(simulator, "job", MS_PHASE_SUCCEEDED);
    simulator_counts(simulator, &counts);
    ck_assert_uint_eq(counts.starts, 3); /* the lost run was placed again once */
    simulator_free(simulator);
}
END_TEST

/*
 * A leader extends the lease of a server by 8 s, has no answer and freezes the lease.  The server
 * drains then and answers the next leader, which extends the lease by 4.5 s only.  If the server
 * is cut off then, its runs end with the earlier, longer lease.
 */
START_TEST(lease_granted_before_freezing_is_waited_for_after_unfreezing)
{
    struct simulator *simulator = simulator_with_long_run();
    simulator_silence_server(simulator, 0, TAKEOVER_MS + 1200);
    simulator_change_leader(simulator, TAKEOVER_MS);
    simulator_run(simulator, TAKEOVER_MS + 1200); /* the renewal times out after 1000 ms */
    simulator->servers[0].entry.draining = true;
    simulator->servers[0].entry.shutdown_in_ms = 100000;
    simulator_change_leader(simulator, 100);
    simulator_run(simulator, 150); /* the next leader stores the state without the frozen lease */
    simulator_disconnect_server(simulator, 0, 1000000);
    simulator_run(simulator, 15000);
    expect_phase(simulator, "job", MS_PHASE_SUCCEEDED);
    simulator_free(simulator);
}
END_TEST

TCase *
lease_cases(void)
{
    TCase *cases = tcase_create("lease");
    tcase_add_test(cases, runs_survive_disconnect_within_lease);
    tcase_add_test(cases, runs_survive_unlisting_of_draining_server);
    tcase_add_test(cases, earlier_lease_of_draining_server_is_waited_for);
    tcase_add_test(cases, tasks_of_lost_server_are_placed_again);
    tcase_add_test(cases, leader_changes_do_not_prolong_wait_for_lost_server);
    tcase_add_test(cases, short_term_does_not_prolong_wait_for_lost_server);
    tcase_add_test(cases, leader_lost_after_freezing_does_not_prolong_wait_for_lost_server);
    tcase_add_test(cases, lease_is_frozen_as_soon_as_renewal_has_failed);
    tcase_add_test(cases, frozen_lease_is_not_extended_by_next_leader);
    tcase_add_test(cases, frozen_lease_is_not_extended_before_record_is_replaced);
    tcase_add_test(cases, frozen_lease_of_earlier_predecessor_is_ignored);
    tcase_add_test(cases, lease_granted_before_freezing_is_waited_for_after_unfreezing);
    return cases;
}

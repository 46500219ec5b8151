/*
 * step.c - uses the scheduling core without the daemons.
 *
 * Submits a gang of two tasks to two servers and prints the actions of the
 * scheduler: it prepares both members, and starts them once both are prepared.
 */
#include <stdio.h>

#include "mustardspread/mustardspread.h"

/* Parses one line of a trace, passes the event to the scheduler and prints its actions. */
static void
step_and_print(struct ms_sched *sched, const char *line)
{
    struct ms_event event;
    int64_t now = 0;
    uint8_t buffer[256];
    char error[128];
    if (ms_trace_parse(line, &event, &now, buffer, sizeof(buffer), error, sizeof(error)) != MS_OK) {
        fprintf(stderr, "%s\n", error);
        return;
    }
    ms_sched_step(sched, &event, now);
    for (size_t i = 0; i < ms_sched_action_count(sched); i++) {
        char *text = ms_trace_action(ms_sched_action(sched, i));
        puts(text);
        ms_trace_release(text);
    }
}

int
main(void)
{
    struct ms_sched *sched = ms_sched_new("dc-1", NULL, NULL);
    if (sched == NULL) {
        return 1;
    }
    step_and_print(sched, "0 rule kind=account name=recipes");
    step_and_print(sched, "0 server_up name=s1 rack=r1 slots=8 accels=8");
    step_and_print(sched, "0 server_up name=s2 rack=r1 slots=8 accels=8");
    step_and_print(sched, "5 submit account=recipes key=gang tasks=2 accels=8 adjacent=rack");
    step_and_print(sched, "6 prepared server=s1 id=recipes/gang member=0");
    step_and_print(sched, "7 prepared server=s2 id=recipes/gang member=1");
    ms_sched_free(sched);
    return 0;
}

/*
 * step.c - the decision core without the daemons: two servers, one gang.
 */
#include <stdio.h>

#include "mustardspread/mustardspread.h"

static void
feed(struct ms_sched *sched, const char *line)
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
    feed(sched, "0 rule kind=account name=recipes");
    feed(sched, "0 server_up name=s1 rack=r1 slots=8 accels=8");
    feed(sched, "0 server_up name=s2 rack=r1 slots=8 accels=8");
    feed(sched, "5 submit account=recipes key=gang tasks=2 accels=8 adjacent=rack");
    feed(sched, "6 prepared server=s1 id=recipes/gang member=0");
    feed(sched, "7 prepared server=s2 id=recipes/gang member=1");
    ms_sched_free(sched);
    return 0;
}

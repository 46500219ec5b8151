/*
 * simulator_jobs.c - random jobs for the simulator.
 */
#include <stdio.h>
#include <string.h>

#include "batch/simulator_private.h"

#define LOWEST_PRIORITY 2 /* of the queues q0 to q2 */

/* Fills in all of SPEC but its STEP_COUNT steps, which are zero. */
static void
init_spec(struct ms_batch_spec *spec, uint32_t job_number, uint32_t priority, size_t step_count)
{
    memset(spec, 0, sizeof(*spec));
    snprintf(spec->id, sizeof(spec->id), "job%u", job_number);
    snprintf(spec->queue, sizeof(spec->queue), "q%u", priority);
    g_strlcpy(spec->account, "account", sizeof(spec->account));
    spec->payload = g_strdup_printf("payload of %u", job_number);
    spec->step_count = step_count;
    spec->steps = g_new0(struct ms_step, step_count);
}

void
simulator_random_spec(uint64_t *random_state, uint32_t job_number, struct ms_batch_spec *spec)
{
    uint32_t priority = simulator_random(random_state, 3);
    init_spec(spec, job_number, priority, 1 + simulator_random(random_state, 2));
    for (size_t i = 0; i < spec->step_count; i++) {
        struct ms_step *step = &spec->steps[i];
        step->task_count = 1 + simulator_random(random_state, 6);
        step->task_resources.cpu_millis = 1000 + simulator_random(random_state, 20000);
        step->task_resources.memory_mb = 1000 + simulator_random(random_state, 60000);
        step->task_resources.accels = 1 << simulator_random(random_state, 4);
        step->estimate_ms = 1500;
        step->gang = simulator_random(random_state, 2) == 0;
        step->same_rack = step->gang && simulator_random(random_state, 2) == 0;
        step->checkpoints = simulator_random(random_state, 2) == 0;
        if (i > 0) {
            step->depends_on = g_new0(uint32_t, 1);
            step->depends_on_count = 1;
        }
    }
}

void
simulator_small_tasks_spec(uint64_t *random_state, uint32_t job_number, uint32_t count_max,
                           struct ms_batch_spec *spec)
{
    init_spec(spec, job_number, LOWEST_PRIORITY, 1);
    spec->steps[0] = (struct ms_step){
        .task_count = 1 + simulator_random(random_state, count_max),
        .task_resources = {.cpu_millis = 4000, .memory_mb = 29000, .accels = 1},
        .estimate_ms = 1500,
    };
}

void
simulator_wide_gang_spec(uint32_t job_number, uint32_t priority, uint32_t width,
                         struct ms_batch_spec *spec)
{
    init_spec(spec, job_number, priority, 1);
    spec->steps[0] = (struct ms_step){
        .task_count = width,
        .task_resources = {.cpu_millis = 26000, .memory_mb = 140000, .accels = 1},
        .estimate_ms = 1500,
        .gang = true,
    };
}

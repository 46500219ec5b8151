/*
 * engine_speed.h - which servers are slow, and which of their runs are better stopped, if
 * limits.weigh_slow_stops is set; else engine_health.c decides.
 */
#ifndef MS_BATCH_ENGINE_SPEED_H
#define MS_BATCH_ENGINE_SPEED_H

#include "batch/engine_private.h"

/* A report of its server has listed TASK, which is running; CHECKPOINT may be "". */
void ms_speed_on_progress(struct ms_engine *engine, struct ms_batch_task *task,
                          const char *checkpoint);

/* Time that TASK takes for one percent at its normal rate on its server; 0: not known. */
int64_t ms_speed_percent_ms(const struct ms_batch_task *task);

/* Updates whether SERVER counts as slow, after a report. */
void ms_speed_update_server(struct ms_engine *engine, struct ms_batch_server *server);

/* Stops TASK, or its gang, if its server is slow and the stop pays; returns whether it did. */
bool ms_speed_leave_slow_server(struct ms_engine *engine, struct ms_batch_task *task);

/* A placement pass begins: no unit is known to wait. */
void ms_speed_begin_pass(struct ms_engine *engine);
/* The pass could not place a unit of STEP. */
void ms_speed_note_waiting(struct ms_engine *engine, const struct ms_batch_step *step);

#endif

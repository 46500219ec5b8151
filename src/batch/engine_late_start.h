/*
 * engine_late_start.h - copies of start orders that have no answer and may be carried out late.
 *
 * A backend server may carry out a start that it has not answered until MS_ORDER_LATE_MS after the
 * order's timeout.  The incarnation that it was sent to refuses it once the run has ended or was
 * stopped there, or once a later fence was seen.  An incarnation that starts in between knows
 * nothing of that, and carries it out.  So a copy outlives the run that it was to start: the end of
 * that run, its stop, the next placement of the task and the leader.
 */
#ifndef MS_BATCH_ENGINE_LATE_START_H
#define MS_BATCH_ENGINE_LATE_START_H

#include "batch/engine_private.h"
#include "wire/batch.pb-c.h"

/* The latest unanswered copy of the starts of one task at one server. */
struct ms_late_start {
    struct ms_list_link job_link;    /* in job->late_starts, which owns it */
    struct ms_list_link server_link; /* in server->late_starts */
    struct ms_batch_job *job;
    struct ms_batch_server *server;
    uint32_t occurrence; /* indexes of the task */
    uint32_t step;
    uint32_t task;
    uint32_t run;  /* highest run that a copy names */
    int64_t until; /* the server carries out no copy after this time */
    bool assumed;  /* the log does not exclude a copy, and does not tell of one */
};

/* Where a task that waits may be placed. */
enum ms_late_start_scope {
    MS_LATE_START_NONE = 0,   /* anywhere: no copy of its start is left */
    MS_LATE_START_ONE_SERVER, /* where all its copies are: that incarnation refuses them */
    MS_LATE_START_NOWHERE,    /* that server may not be given the task now */
};

/* ORDER, a start, was sent to SERVER and has had no answer. */
void ms_late_start_on_no_answer(struct ms_engine *engine, struct ms_batch_server *server,
                                const struct ms_engine_action *order);
/* The log does not say whether SERVER has answered the start of TASK by an earlier leader. */
void ms_late_start_assume(struct ms_engine *engine, const struct ms_batch_task *task,
                          struct ms_batch_server *server);

/*
 * SERVER has reported RUN of the task NAME.  An assumed copy of its start is the one that has begun
 * it: before a second one is sent the log tells of the first (engine_task_order.c).
 */
void ms_late_start_on_seen(struct ms_engine *engine, const struct ms_batch_server *server,
                           const char *name, uint32_t run);

/*
 * The lease of SERVER, which is silent, has lapsed: the run of TASK is given up.  If its start was
 * never confirmed, its copies are not waited for: most such servers are gone for good, and until a
 * copy's lease has ended as well the task would wait twice as long for each of them.
 */
void ms_late_start_on_lapse(struct ms_engine *engine, const struct ms_batch_task *task,
                            const struct ms_batch_server *server);

/* Where TASK may be placed; *SERVER is set to the only server, if there is one. */
enum ms_late_start_scope ms_late_start_find_scope(const struct ms_engine *engine,
                                                  const struct ms_batch_task *task,
                                                  struct ms_batch_server **server);

/*
 * SERVER has reported the end END.  If a copy of the start of its task, or of its gang, is left,
 * the end must not be acknowledged before that can be carried out no more.
 */
void ms_late_start_on_end(struct ms_engine *engine, struct ms_batch_server *server,
                          const struct ms_reported_end *end);
/* Position of the first end of SERVER that must not be acknowledged yet, 0: none. */
uint64_t ms_late_start_held_end(const struct ms_batch_server *server);
/* SERVER has started again and forgotten its ends. */
void ms_late_start_forget_ends(struct ms_batch_server *server);

/* Another server answers at the address of SERVER: it refuses the copies, which name SERVER. */
void ms_late_start_on_replaced(struct ms_engine *engine, struct ms_batch_server *server);
/* SERVER has answered a call sent at SENT_AT with its runs: copies that ended before are gone. */
void ms_late_start_on_report(struct ms_engine *engine, struct ms_batch_server *server,
                             int64_t sent_at);
/* Runs the timers of the copies and of the held ends of SERVER. */
void ms_late_start_tick(struct ms_engine *engine, struct ms_batch_server *server);

/* Frees the copies of JOB. */
void ms_late_start_clear(struct ms_batch_job *job);

/* Writes the copies of JOB to RECORD; SERVERS as for ms_store_server_index(). */
void ms_late_start_pack(const struct ms_engine *engine, const struct ms_batch_job *job,
                        Ms__Batch__StateRecord *record, GPtrArray *servers);
/* Frees what ms_late_start_pack() has added to RECORD. */
void ms_late_start_free_packed(Ms__Batch__StateRecord *record);
/* Restores the copies of JOB from RECORD, read at READ_AT. */
void ms_late_start_restore(struct ms_engine *engine, struct ms_batch_job *job,
                           const Ms__Batch__StateRecord *record, int64_t read_at);

#endif

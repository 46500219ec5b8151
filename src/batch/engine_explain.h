/*
 * engine_explain.h - log lines of the placement pass that tell why tasks wait: what each
 * level said of the units that have waited longest, which member blocks a gang, and which
 * servers are excluded.  Nothing here changes a decision.
 */
#ifndef MS_BATCH_ENGINE_EXPLAIN_H
#define MS_BATCH_ENGINE_EXPLAIN_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct ms_batch_step;
struct ms_engine;
struct ms_placement_pass;

#define MS_EXPLAINED_STEPS_MAX 4   /* steps with a line of their own in one second */
#define MS_PLACEMENT_LEVEL_COUNT 5 /* values of enum ms_placement_level */

/* What a placement level said of a unit. */
enum ms_level_outcome {
    MS_OUTCOME_NOT_TRIED = 0, /* an earlier level was granted, or too many units wait */
    MS_OUTCOME_GRANTED,       /* capacity is reserved for it */
    MS_OUTCOME_NO_CAPACITY,   /* it does not fit */
    MS_OUTCOME_OFF_RACK_WAIT, /* it does not fit in one rack, which it still waits for */
    MS_OUTCOME_NOT_YET,       /* it has not waited long enough for this level */
    MS_OUTCOME_TOO_COSTLY,    /* preemption would cost more than its limit */
    MS_OUTCOME_TOO_MANY,      /* enough units have a reservation */
    MS_OUTCOME_TOO_MUCH_IDLE, /* reservations would leave too much capacity idle */
    MS_OUTCOME_OVER_CAP,      /* it does not fit under its account's cap */
    MS_OUTCOME_ORDERS_HELD,   /* orders of other work have to be sent first */
    MS_OUTCOME_LATE_START,    /* an earlier start may still be carried out elsewhere */
};

/* What all levels said of the current unit. */
struct ms_level_outcomes {
    enum ms_level_outcome by_level[MS_PLACEMENT_LEVEL_COUNT];
    int64_t preempt_cost;      /* core-seconds; 0 if there is no plan */
    int64_t preempt_cost_max;  /* INT64_MAX: no limit; 0: preemption was not tried */
    int64_t reserved_idle;     /* with this unit's reservation, in 1/1000 of a server */
    int64_t reserved_idle_max; /* 0: a reservation was not tried */
    /* Set for steps that are explained only. */
    uint32_t free_servers;  /* usable servers on which one task of it fits now */
    uint32_t free_tasks;    /* tasks of it that fit now, on all usable servers */
    uint32_t empty_servers; /* those on which one would fit if all running tasks had ended */
};

/* Steps whose waiting tasks are explained in this pass. */
struct ms_explained_steps {
    const struct ms_batch_step *steps[MS_EXPLAINED_STEPS_MAX];
    uint32_t count;
};

/* Chooses, at most once a second, the steps of STEPS (those ready to be placed) to explain. */
void ms_explain_begin_pass(struct ms_placement_pass *pass, const GPtrArray *steps);

/* The current unit was not placed at the free level, as FREE_OUTCOME says. */
void ms_explain_begin_unit(struct ms_placement_pass *pass, enum ms_level_outcome free_outcome);

/* The current unit was tried at the other levels: logs the outcomes if it is to be explained. */
void ms_explain_unit(struct ms_placement_pass *pass);

/* STEP was not tried: too few of its tasks may be placed before their backoff ends. */
void ms_explain_backoff(struct ms_placement_pass *pass, const struct ms_batch_step *step);

/* Logs, at most once a second, a summary of the pass and the gangs that a member blocks. */
void ms_explain_end_pass(struct ms_placement_pass *pass, const GPtrArray *steps);

#endif

/*
 * world_private.h - state of the model world, shared by world.c and
 * world_server.c.
 */
#ifndef MS_TEST_BATCH_WORLD_PRIVATE_H
#define MS_TEST_BATCH_WORLD_PRIVATE_H

#include "batch/world.h"

#define ATTEMPTS 3

/* One run on a server. */
struct run {
    char task[MS_TASK_NAME_MAX];
    uint32_t run;
    bool gang;
    int64_t came_at;
    int64_t ends_at; /* INT64_MAX while a gang is not complete */
    bool stopping;
    bool fails;
};

struct model_server {
    struct ms_directory_entry entry;
    uint64_t fence;
    uint32_t held;    /* renewals in this life */
    int64_t deadline; /* on the world's clock */
    GArray *runs;     /* struct run */
    GArray *ended;    /* struct ms_reported_end */
    uint64_t void_to; /* ends up to here are void: the lease lapsed before they were acknowledged */
    uint64_t positions;
    GHashTable *barred; /* task -> highest run stopped or ended */
    int64_t cut_until;
    int64_t hung_until;
    int64_t leaves_at;
    int64_t unlisted_at; /* VANISHED: when the directory drops it */
    bool vanished;
    bool gone;
};

/* What happens at a time: an order arrives, an answer arrives, a batch is stored. */
enum item_kind { ITEM_ORDER = 0, ITEM_ANSWER, ITEM_STORED };

struct item {
    enum item_kind kind;
    int64_t at;
    uint64_t sequence;
    uint64_t generation; /* of the engine that waits for it */
    uint64_t epoch;
    struct ms_engine_action *action;
    enum ms_order_result result;
    struct ms_server_report *report;
    int64_t clock;
    int64_t sent_at;
    bool no_answer;
};

struct world {
    uint64_t random;
    struct world_faults faults;
    int64_t now;
    struct ms_engine *engine; /* NULL between two holders */
    uint64_t epoch;
    uint64_t generation;
    int64_t engine_at;
    int64_t lost_at;
    struct ms_job_table *table;
    struct ms_policy *policy;
    struct model_server servers[WORLD_SERVERS_MAX];
    size_t server_count;
    GPtrArray *items;
    uint64_t sequence;
    int64_t outage_until;
    GHashTable *specs;  /* id -> ms_batch_spec, as submitted */
    GHashTable *done;   /* names of tasks whose end was acknowledged */
    GHashTable *ends;   /* names of tasks that have ended done */
    GHashTable *failed; /* name -> acknowledged failed runs */
    GHashTable *cancelled;
    struct world_counts counts;
    char broken[WORLD_TEXT];
    FILE *line; /* trace, or NULL */
};

/* world_server.c */
bool world_chance(struct world *world, int per_mille);
void world_break_promise(struct world *world, const char *rule, const char *task);
void world_trace(const struct world *world, const struct model_server *server, const char *what,
                 const char *task);
enum ms_order_result world_serve_start(struct world *world, struct model_server *server,
                                       const struct item *order);
void world_serve_stop(struct world *world, struct model_server *server,
                      const struct ms_engine_action *action);
void world_acknowledge(struct world *world, struct model_server *server, uint64_t position);
struct ms_server_report *world_report_of(const struct world *world,
                                         const struct model_server *server);
void world_run_server(struct world *world, struct model_server *server);
void world_empty_server(struct model_server *server);

#endif

/*
 * world_private.h - the structs behind world.h.
 */
#ifndef MS_WORLD_PRIVATE_H
#define MS_WORLD_PRIVATE_H

#include "naive/world.h"

#define TEXT_MAX 512

/* A task on a fake server. */
struct task {
    char id[MS_ID_MAX];
    uint32_t member;
    uint32_t attempt;
    struct ms_job_spec spec;
    enum ms_reported_state state;
    enum ms_task_result result;
    bool withheld;
    bool fails; /* decided at its start */
    int64_t lease_until;
    int64_t started_at;
    int64_t resumed_from; /* progress of the job when it started */
    uint64_t timer;       /* number of the valid end event */
};

struct server {
    char name[MS_NAME_MAX];
    char rack[MS_NAME_MAX];
    bool cut;
    bool known; /* the holder counts it as held */
    bool fails;
    bool leaving;
    bool restarted; /* while cut: the holder learns it with the next answer */
    uint64_t fence;
    GPtrArray *tasks;
    GHashTable *decided; /* "id#member#attempt" of starts decided under this fence */
};

struct dc {
    char name[MS_NAME_MAX];
    struct server *servers;
    struct ms_sched *core;
    struct naive *naive;
    unsigned int life; /* of the present holder */
    bool out;
    int64_t out_since;
    int64_t tick_at; /* of the tick that is scheduled */
};

struct run {
    int64_t from;
    int64_t to;
    double weight;
};

enum kind {
    SUBMIT = 0,
    CANCEL,
    RULE,
    TO_POLICY,
    TO_SERVER,
    TASK_END,
    LEASE,
    RENEW,
    CUT,
    UNCUT,
    LOST,
    RESTART,
    FAILS,
    WORKS,
    OUTAGE,
    NO_OUTAGE,
    TAKEOVER,
    LEAVE,
    TICK,
    SAMPLE,
};

struct event {
    int64_t at;
    uint64_t number;
    enum kind kind;
    unsigned int dc;
    unsigned int server;
    unsigned int life;
    uint64_t fence;
    uint64_t timer;
    enum ms_task_op op;
    uint32_t member;
    uint32_t attempt;
    struct world_job *job;
    struct ms_event *message; /* owned; TO_POLICY, RULE */
};

struct world {
    struct world_options options;
    GRand *random;
    int64_t now;
    uint64_t handled;
    uint64_t next_number;
    GPtrArray *heap; /* event, a binary heap */
    struct dc dcs[WORLD_DCS_MAX];
    GPtrArray *jobs;
    GHashTable *job_index;
    GPtrArray *rules; /* ms_event, those in force, for take-overs */
    bool outage;
    char violation[TEXT_MAX];
    GArray *runs;
    GArray *step_us;
    double fragmentation_sum;
    uint64_t fragmentation_count;
};

/* Puts an event of KIND into the future; the caller fills in the rest. */
struct event *world_schedule(struct world *world, int64_t at, enum kind kind, unsigned int dc,
                             unsigned int server);
struct world_job *world_job_of(const struct world *world, const char *id);
struct ms_event *world_message_copy(const struct ms_event *message);

/* Notes the first violation of a promise. */
void world_violated(struct world *world, const char *format, ...) G_GNUC_PRINTF(2, 3);

/* Sends a server's answer to the policy; it may be lost, doubled or late. */
void world_answer(struct world *world, unsigned int dc, const struct server *server,
                  enum ms_event_kind kind, const struct task *task);

/* A message that reaches the policy of DC after a while. */
void world_to_policy(struct world *world, unsigned int dc, const struct ms_event *message,
                     int64_t after);
/* A random delay of one message, and whether something of this SHARE happens. */
int64_t world_delay(struct world *world);
bool world_chance(struct world *world, double share);

/* Submits JOB to the policy of DC. */
void world_offer(struct world *world, struct world_job *job, unsigned int dc, bool may_have_run);
/* Carries out ACTION of the policy of DC. */
void world_act(struct world *world, unsigned int dc, const struct ms_action *action);

/* Carries out the task operation that EVENT brings to its server. */
void world_carry_out(struct world *world, const struct event *event);

struct task *world_find_task(const struct server *server, const char *id, uint32_t member,
                             uint32_t attempt);
void world_task_end(struct world *world, unsigned int dc, struct server *server, struct task *task,
                    enum ms_task_result result);
void world_note_end(struct world *world, const struct task *task);

#endif

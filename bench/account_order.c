/*
 * account_order.c - compares orders between accounts of waiting work of one priority.
 *
 * usage: bench-account-order [FIRST_SEED [SEEDS [LOAD_PERCENT [many | large | urgent]]]]
 *
 * A queueing model: the capacity is one pool of cores, so that no order is favoured by how tasks
 * happen to fit into servers.  All orders get the same arrivals.  Ten accounts of skewed size
 * load the service at LOAD_PERCENT of its capacity in the mean, with three kinds of jobs, and one
 * account sends many times its usual for a few seconds: many times as many jobs, jobs that run
 * many times as long, or many times as many jobs of which none has the lowest priority.  Prints a
 * line of key=value pairs for each order, with means over the seeds; docs/design/account-order.md
 * defines them.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "batch/account_order.h"

#define ACCOUNTS 10
#define SERVERS 350
#define SERVER_CORES 64
#define CAPACITY_MILLIS ((int64_t)SERVERS * SERVER_CORES * 1000)
#define PASS_MS 20            /* between two placement passes */
#define MEASURED_FROM_MS 8000 /* the service has filled up by then */
#define BURST_AT_MS 20000
#define ARRIVALS_UNTIL_MS 60000
#define END_MS 400000       /* all work is done by then */
#define RESERVE_WAIT_MS 300 /* as in engine_place.c */
#define RESERVED_PERCENT_MAX 12
#define LONG_WAIT_SLACK_PERCENT 40

/* Shares of the accounts in the usual number of jobs, in percent. */
static const int sizes[ACCOUNTS] = {33, 17, 12, 9, 8, 6, 5, 4, 3, 3};

struct kind {
    uint32_t tasks;
    int64_t task_millis;
    int64_t run_ms;
    int gang_percent;
    double stretch;
    int64_t fixed_ms;
};

/* By priority. */
static const struct kind kinds[] = {
    {5, 7500, 2500, 10, 1.5, 600},
    {13, 26000, 8500, 30, 3.0, 1500},
    {39, 5600, 9500, 10, 3.0, 3000},
};

struct task {
    struct job *job;
    int64_t left_ms;    /* run time that is left */
    int64_t started_at; /* -1: waits */
    int64_t ends_at;
    bool done;
};

struct job {
    char id[16];
    uint32_t account;
    uint32_t priority;
    bool gang;
    bool checkpoints;
    int64_t arrived_at;
    int64_t virtual_us;
    uint32_t waiting;
    uint32_t done;
    int64_t run_ms;   /* of a task on a server of normal speed */
    int64_t ideal_ms; /* run time of its longest task */
    int64_t ended_at; /* -1: not yet */
    struct ms_order_rank rank;
    struct task tasks[39];
};

enum order { ORDER_ARRIVAL, ORDER_DRF, ORDER_VIRTUAL, ORDER_COMBINED, ORDER_RATE_LIMIT };

struct variant {
    const char *name;
    int64_t share_step;        /* ORDER_COMBINED: size of the steps of the relative share */
    int64_t share_wait_max_ms; /* ORDER_COMBINED: when work is overdue */
    enum order order;
    bool own_only; /* work beyond its account's rate preempts its own account's only */
};

#define NEVER INT64_MAX

static const struct variant variants[] = {
    {"arrival", 1, 0, ORDER_ARRIVAL, false},
    {"drf", 1, 0, ORDER_DRF, false},
    {"virtual", 1, 0, ORDER_VIRTUAL, false},
    {"rate_limit", 1, 0, ORDER_RATE_LIMIT, false},
    {"combined_1000_unbounded", 1000, NEVER, ORDER_COMBINED, false},
    {"combined_1000", 1000, MS_ORDER_SHARE_WAIT_MAX_MS, ORDER_COMBINED, false},
    {"drf_own", 1, 0, ORDER_DRF, true},
    {"virtual_own", 1, 0, ORDER_VIRTUAL, true},
    {"combined_250_own", 250, MS_ORDER_SHARE_WAIT_MAX_MS, ORDER_COMBINED, true},
    {"combined_1000_own", 1000, MS_ORDER_SHARE_WAIT_MAX_MS, ORDER_COMBINED, true},
    {"combined_1000_10s_own", 1000, 10000, ORDER_COMBINED, true},
    {"combined_2000_own", 2000, MS_ORDER_SHARE_WAIT_MAX_MS, ORDER_COMBINED, true},
};

/* What the hot account sends in the burst, many times its usual in each case. */
enum burst {
    BURST_MANY = 0, /* as many jobs */
    BURST_LARGE,    /* jobs that run as long */
    BURST_URGENT,   /* as many jobs, none of the lowest priority */
};

static const char *const burst_names[] = {"many", "large", "urgent"};

static const int urgent_mix[] = {50, 50};

struct load {
    int percent; /* usual load, of the capacity */
    enum burst burst;
};

struct model {
    const struct variant *variant;
    int64_t now;
    uint32_t weights[ACCOUNTS];
    int64_t total_weight;
    uint32_t hot;
    GPtrArray *jobs;    /* struct job, by arrival */
    guint arrived;      /* of them */
    GPtrArray *open;    /* those that have arrived and have not ended */
    GPtrArray *running; /* struct task */
    int64_t used_millis;
    int64_t account_millis[ACCOUNTS];
    int64_t reserved_millis;
    double others_lost_core_s; /* by preemption of the other accounts' runs */
    double work_core_ms;       /* done within the measured time, and not lost since */
};

static int64_t
random_between(GRand *random, int64_t first, int64_t last)
{
    return first + g_rand_int_range(random, 0, (gint32)(last - first + 1));
}

static struct job *
new_job(GRand *random, uint32_t account, int64_t at, const int *mix, guint number, double length)
{
    static const double speeds[] = {0.8, 1.0, 1.25};
    struct job *job = g_new0(struct job, 1);
    int draw = g_rand_int_range(random, 0, 100);
    job->priority = draw < mix[0] ? 0 : draw < mix[0] + mix[1] ? 1 : 2;
    const struct kind *kind = &kinds[job->priority];
    g_snprintf(job->id, sizeof(job->id), "%08u", number);
    job->account = account;
    job->arrived_at = at;
    job->gang = g_rand_int_range(random, 0, 100) < kind->gang_percent;
    job->checkpoints = g_rand_boolean(random);
    job->ended_at = -1;
    job->waiting = kind->tasks;
    job->run_ms = (int64_t)((double)kind->run_ms * length);
    double gang_speed = speeds[g_rand_int_range(random, 0, 3)];
    for (uint32_t i = 0; i < kind->tasks; i++) {
        double speed = job->gang ? gang_speed : speeds[g_rand_int_range(random, 0, 3)];
        job->tasks[i] = (struct task){.job = job, .started_at = -1};
        job->tasks[i].left_ms = (int64_t)((double)job->run_ms / speed);
        job->ideal_ms = MAX(job->ideal_ms, job->tasks[i].left_ms);
    }
    return job;
}

/* Core-milliseconds of a job of kind P. */
static double
kind_work(int p)
{
    return (double)(kinds[p].tasks * kinds[p].task_millis * kinds[p].run_ms) / 1000;
}

static gint
compare_arrivals(gconstpointer left, gconstpointer right)
{
    const struct job *a = *(struct job *const *)left;
    const struct job *b = *(struct job *const *)right;
    if (a->arrived_at != b->arrived_at) {
        return a->arrived_at < b->arrived_at ? -1 : 1;
    }
    return strcmp(a->id, b->id);
}

/* Adds the arrivals of ACCOUNT, JOBS_PER_S in the mean and FACTOR times as many in the burst. */
static void
add_arrivals(struct model *model, GRand *random, uint32_t account, double jobs_per_s,
             const int *mix, double factor, int64_t burst_ms, enum burst kind)
{
    for (int64_t at = 0; at < ARRIVALS_UNTIL_MS; at++) {
        bool burst = at >= BURST_AT_MS && at < BURST_AT_MS + burst_ms;
        double rate = burst && kind != BURST_LARGE ? factor : 1.0;
        double length = burst && kind == BURST_LARGE ? factor : 1.0;
        if (g_rand_double(random) < jobs_per_s * rate / 1000) {
            g_ptr_array_add(model->jobs,
                            new_job(random, account, at,
                                    burst && kind == BURST_URGENT && factor > 1 ? urgent_mix : mix,
                                    model->jobs->len, length));
        }
    }
}

/* Draws the accounts and all arrivals of SEED; they do not depend on the order. */
static void
add_load(struct model *model, uint32_t seed, const struct load *load)
{
    GRand *random = g_rand_new_with_seed(seed);
    int mixes[ACCOUNTS][2];
    double mean_work = 0;
    model->hot = (uint32_t)g_rand_int_range(random, 0, 3);
    for (int i = 0; i < ACCOUNTS; i++) {
        mixes[i][0] = (int)random_between(random, 25, 65);
        mixes[i][1] = (100 - mixes[i][0]) * (int)random_between(random, 30, 70) / 100;
        double work = mixes[i][0] * kind_work(0) + mixes[i][1] * kind_work(1) +
                      (100 - mixes[i][0] - mixes[i][1]) * kind_work(2);
        mean_work += work / 100 * sizes[i] / 100;
    }
    double usual_load = (double)load->percent / 100 - 0.05 + 0.1 * g_rand_double(random);
    double jobs_per_s = usual_load * SERVERS * SERVER_CORES * 1000 / mean_work;
    double factor = 3.7 + 3.8 * g_rand_double(random);
    int64_t burst_ms = random_between(random, 6500, 8000);
    for (uint32_t i = 0; i < ACCOUNTS; i++) {
        double usual = jobs_per_s * sizes[i] / 100;
        model->weights[i] = (uint32_t)usual + 1;
        model->total_weight += model->weights[i];
        add_arrivals(model, random, i, usual, mixes[i], i == model->hot ? factor : 1.0, burst_ms,
                     load->burst);
    }
    g_ptr_array_sort(model->jobs, compare_arrivals);
    int64_t previous_us[ACCOUNTS];
    for (uint32_t i = 0; i < ACCOUNTS; i++) {
        previous_us[i] = INT64_MIN;
    }
    for (guint i = 0; i < model->jobs->len; i++) {
        struct job *job = g_ptr_array_index(model->jobs, i);
        job->virtual_us = ms_order_virtual_us(job->arrived_at, previous_us[job->account],
                                              model->weights[job->account]);
        previous_us[job->account] = job->virtual_us;
    }
    g_rand_free(random);
}

static int64_t
ahead_ms(const struct model *model, const struct job *job)
{
    return ms_order_ahead_ms(job->virtual_us, job->arrived_at, model->now,
                             model->now - job->arrived_at);
}

static bool
is_beyond_rate(const struct model *model, const struct job *job)
{
    return ahead_ms(model, job) > MS_ORDER_AHEAD_MAX_MS;
}

static void
rank_job(const struct model *model, struct job *job)
{
    const struct variant *variant = model->variant;
    const struct ms_resources allocated = {model->account_millis[job->account], 0, 0};
    const struct ms_resources capacity = {CAPACITY_MILLIS, 0, 0};
    int64_t share = ms_order_relative_share(&allocated, &capacity, model->weights[job->account],
                                            model->total_weight);
    job->rank = (struct ms_order_rank){
        .priority = job->priority, .accepted_ms = job->arrived_at, .id = job->id};
    switch (variant->order) {
    case ORDER_ARRIVAL:
    case ORDER_RATE_LIMIT:
        break;
    case ORDER_DRF:
        job->rank.share_step = (uint32_t)share;
        break;
    case ORDER_VIRTUAL:
        job->rank.virtual_us = job->virtual_us;
        break;
    case ORDER_COMBINED:
        ms_order_classify(&job->rank, ahead_ms(model, job), share);
        if (job->rank.order_class == MS_ORDER_OVERDUE &&
            -ahead_ms(model, job) <= variant->share_wait_max_ms) {
            job->rank.order_class = MS_ORDER_WITHIN_RATE;
        }
        if (job->rank.order_class != MS_ORDER_OVERDUE) {
            job->rank.share_step = (uint32_t)(share / variant->share_step);
        }
        job->rank.virtual_us = job->virtual_us;
        break;
    }
}

static gint
compare_ranks(gconstpointer left, gconstpointer right)
{
    const struct job *a = *(struct job *const *)left;
    const struct job *b = *(struct job *const *)right;
    return ms_order_compare(&a->rank, &b->rank);
}

static void
account_for(struct model *model, const struct job *job, int64_t count)
{
    int64_t millis = count * kinds[job->priority].task_millis;
    model->used_millis += millis;
    model->account_millis[job->account] += millis;
}

/* Core-milliseconds of TASK's current run that lie within the measured time. */
static double
measured_work(const struct model *model, const struct task *task)
{
    int64_t from = MAX(task->started_at, MEASURED_FROM_MS);
    int64_t until = MIN(model->now, ARRIVALS_UNTIL_MS);
    return (double)MAX(until - from, 0) * (double)kinds[task->job->priority].task_millis / 1000;
}

static void
end_runs(struct model *model)
{
    for (guint i = model->running->len; i > 0; i--) {
        struct task *task = g_ptr_array_index(model->running, i - 1);
        if (task->ends_at > model->now) {
            continue;
        }
        struct job *job = task->job;
        model->work_core_ms += measured_work(model, task);
        task->done = true;
        account_for(model, job, -1);
        g_ptr_array_remove_index_fast(model->running, i - 1);
        if (++job->done == kinds[job->priority].tasks) {
            job->ended_at = model->now;
            g_ptr_array_remove(model->open, job);
        }
    }
}

static void
start_tasks(struct model *model, struct job *job, uint32_t count)
{
    for (uint32_t i = 0; count > 0; i++) {
        struct task *task = &job->tasks[i];
        if (task->done || task->started_at >= 0) {
            continue;
        }
        task->started_at = model->now;
        task->ends_at = model->now + task->left_ms;
        g_ptr_array_add(model->running, task);
        account_for(model, job, 1);
        job->waiting--;
        count--;
    }
}

/* Stops TASK; without a checkpoint its work is lost. */
static void
preempt_task(struct model *model, struct task *task)
{
    if (!task->job->checkpoints && task->job->account != model->hot) {
        model->others_lost_core_s += (double)(model->now - task->started_at) / 1000 *
                                     (double)kinds[task->job->priority].task_millis / 1000;
    }
    if (task->job->checkpoints) {
        model->work_core_ms += measured_work(model, task);
        task->left_ms -= model->now - task->started_at;
    }
    task->started_at = -1;
    task->job->waiting++;
    account_for(model, task->job, -1);
    g_ptr_array_remove_fast(model->running, task);
}

/* The run that JOB may preempt and that has done the least work, or NULL. */
static struct task *
cheapest_victim(const struct model *model, const struct job *job)
{
    struct task *cheapest = NULL;
    bool own_only = model->variant->own_only && is_beyond_rate(model, job);
    for (guint i = 0; i < model->running->len; i++) {
        struct task *task = g_ptr_array_index(model->running, i);
        if (task->job->priority > job->priority && !task->job->gang &&
            (!own_only || task->job->account == job->account) &&
            (cheapest == NULL || task->started_at > cheapest->started_at)) {
            cheapest = task;
        }
    }
    return cheapest;
}

static int64_t
free_millis(const struct model *model)
{
    return CAPACITY_MILLIS - model->used_millis - model->reserved_millis;
}

/* Time from the arrival of JOB to its target. */
static int64_t
target_ms(const struct job *job)
{
    const struct kind *kind = &kinds[job->priority];
    return (int64_t)(kind->stretch * (double)job->run_ms) + kind->fixed_ms;
}

static bool
may_preempt(const struct model *model, const struct job *job)
{
    int64_t slack = target_ms(job) - job->run_ms;
    int64_t wait = job->priority == 0 ? 0 : slack * LONG_WAIT_SLACK_PERCENT / 100;
    return model->now - job->arrived_at >= wait;
}

/* Preempts for COUNT tasks of JOB if that makes enough room. */
static bool
preempt_for(struct model *model, const struct job *job, uint32_t count)
{
    int64_t need = count * kinds[job->priority].task_millis;
    bool own_only = model->variant->own_only && is_beyond_rate(model, job);
    int64_t possible = free_millis(model);
    for (guint i = 0; i < model->running->len && possible < need; i++) {
        const struct task *task = g_ptr_array_index(model->running, i);
        if (task->job->priority > job->priority && !task->job->gang &&
            (!own_only || task->job->account == job->account)) {
            possible += kinds[task->job->priority].task_millis;
        }
    }
    if (possible < need) {
        return false;
    }
    while (free_millis(model) < need) {
        preempt_task(model, cheapest_victim(model, job));
    }
    return true;
}

static void
reserve_for_gang(struct model *model, const struct job *job)
{
    int64_t need = job->waiting * kinds[job->priority].task_millis;
    int64_t idle = MIN(need, MAX(free_millis(model), 0));
    bool first = model->reserved_millis == 0;
    if (model->now - job->arrived_at < RESERVE_WAIT_MS) {
        return;
    }
    if (first || model->reserved_millis + idle <= CAPACITY_MILLIS * RESERVED_PERCENT_MAX / 100) {
        model->reserved_millis += idle;
    }
}

static void
place_job(struct model *model, struct job *job)
{
    int64_t task_millis = kinds[job->priority].task_millis;
    int64_t fitting = MAX(free_millis(model), 0) / task_millis;
    uint32_t count = (uint32_t)MIN(fitting, job->waiting);
    uint32_t wanted = job->gang ? job->waiting : 1;
    if (model->variant->order == ORDER_RATE_LIMIT && job->virtual_us / 1000 > model->now) {
        return;
    }
    if (!job->gang || count == job->waiting) {
        start_tasks(model, job, count);
    }
    if (job->waiting == 0) {
        return;
    }
    if (may_preempt(model, job) && preempt_for(model, job, wanted)) {
        start_tasks(model, job, wanted);
    }
    else if (job->gang) {
        reserve_for_gang(model, job);
    }
}

static void
run_pass(struct model *model)
{
    GPtrArray *waiting = g_ptr_array_new();
    model->reserved_millis = 0;
    for (guint i = 0; i < model->open->len; i++) {
        struct job *job = g_ptr_array_index(model->open, i);
        if (job->waiting > 0) {
            rank_job(model, job);
            g_ptr_array_add(waiting, job);
        }
    }
    g_ptr_array_sort(waiting, compare_ranks);
    for (guint i = 0; i < waiting->len; i++) {
        place_job(model, g_ptr_array_index(waiting, i));
    }
    g_ptr_array_unref(waiting);
}

static void
run_model(struct model *model)
{
    bool open = true;
    for (model->now = 0; model->now < END_MS && open; model->now += PASS_MS) {
        end_runs(model);
        while (model->arrived < model->jobs->len) {
            struct job *job = g_ptr_array_index(model->jobs, model->arrived);
            if (job->arrived_at > model->now) {
                break;
            }
            g_ptr_array_add(model->open, job);
            model->arrived++;
        }
        run_pass(model);
        open = model->arrived < model->jobs->len || model->open->len > 0;
    }
}

enum group { GROUP_OTHERS, GROUP_HOT_WITHIN, GROUP_HOT_BEYOND, GROUP_COUNT };

/* Sums over the seeds. */
struct totals {
    double jobs[GROUP_COUNT];
    double in_time[GROUP_COUNT];
    double others_jobs[3]; /* by priority */
    double others_in_time[3];
    double worst;    /* share of the account with the lowest share of jobs in time */
    double delay_ms; /* of the other accounts, beyond the run time */
    double others_delay_ms;
    double others_delay_max_ms; /* over all seeds */
    double utilisation;
    double others_lost_core_s;
    uint32_t seeds;
};

static enum group
group_of(const struct model *model, const struct job *job)
{
    if (job->account != model->hot) {
        return GROUP_OTHERS;
    }
    bool beyond = job->virtual_us / 1000 - job->arrived_at > MS_ORDER_AHEAD_MAX_MS;
    return beyond ? GROUP_HOT_BEYOND : GROUP_HOT_WITHIN;
}

/* Adds what became of the jobs that arrived from when the service had filled up. */
static void
add_totals(const struct model *model, struct totals *totals)
{
    double account_jobs[ACCOUNTS] = {0};
    double account_in_time[ACCOUNTS] = {0};
    double delay_ms = 0;
    double jobs = 0;
    double worst = 1;
    for (guint i = 0; i < model->jobs->len; i++) {
        const struct job *job = g_ptr_array_index(model->jobs, i);
        if (job->arrived_at < MEASURED_FROM_MS) {
            continue;
        }
        int64_t ended_at = job->ended_at >= 0 ? job->ended_at : END_MS;
        bool in_time = ended_at - job->arrived_at <= target_ms(job);
        enum group group = group_of(model, job);
        double delay = (double)(ended_at - job->arrived_at - job->ideal_ms);
        totals->jobs[group]++;
        totals->in_time[group] += in_time;
        delay_ms += delay;
        jobs++;
        if (group == GROUP_OTHERS) {
            totals->others_jobs[job->priority]++;
            totals->others_in_time[job->priority] += in_time;
            totals->others_delay_ms += delay;
            totals->others_delay_max_ms = MAX(totals->others_delay_max_ms, delay);
        }
        if (group != GROUP_HOT_BEYOND) {
            account_jobs[job->account]++;
            account_in_time[job->account] += in_time;
        }
    }
    for (int i = 0; i < ACCOUNTS; i++) {
        worst = account_jobs[i] > 0 ? MIN(worst, account_in_time[i] / account_jobs[i]) : worst;
    }
    totals->worst += worst;
    totals->delay_ms += delay_ms / MAX(jobs, 1);
    totals->utilisation += model->work_core_ms / (double)(ARRIVALS_UNTIL_MS - MEASURED_FROM_MS) /
                           ((double)CAPACITY_MILLIS / 1000);
    totals->others_lost_core_s += model->others_lost_core_s;
    totals->seeds++;
}

static void
run_seed(const struct variant *variant, uint32_t seed, const struct load *load,
         struct totals *totals)
{
    struct model model = {.variant = variant};
    model.jobs = g_ptr_array_new_with_free_func(g_free);
    model.open = g_ptr_array_new();
    model.running = g_ptr_array_new();
    add_load(&model, seed, load);
    run_model(&model);
    add_totals(&model, totals);
    g_ptr_array_unref(model.running);
    g_ptr_array_unref(model.open);
    g_ptr_array_unref(model.jobs);
}

static double
share(double part, double whole)
{
    return part / MAX(whole, 1);
}

static void
print_totals(const char *name, const struct totals *totals)
{
    printf("order=%s seeds=%u others=%.3f others_p0=%.3f others_p1=%.3f others_p2=%.3f"
           " hot_within=%.3f hot_beyond=%.3f worst=%.3f delay_ms=%.0f others_delay_ms=%.0f "
           "others_delay_max_ms=%.0f"
           " others_lost_core_s=%.0f utilisation=%.3f\n",
           name, totals->seeds, share(totals->in_time[GROUP_OTHERS], totals->jobs[GROUP_OTHERS]),
           share(totals->others_in_time[0], totals->others_jobs[0]),
           share(totals->others_in_time[1], totals->others_jobs[1]),
           share(totals->others_in_time[2], totals->others_jobs[2]),
           share(totals->in_time[GROUP_HOT_WITHIN], totals->jobs[GROUP_HOT_WITHIN]),
           share(totals->in_time[GROUP_HOT_BEYOND], totals->jobs[GROUP_HOT_BEYOND]),
           totals->worst / totals->seeds, totals->delay_ms / totals->seeds,
           share(totals->others_delay_ms, totals->jobs[GROUP_OTHERS]), totals->others_delay_max_ms,
           totals->others_lost_core_s / totals->seeds, totals->utilisation / totals->seeds);
    fflush(stdout);
}

int
main(int argc, char **argv)
{
    uint32_t first = argc > 1 ? (uint32_t)atoi(argv[1]) : 1;
    uint32_t count = argc > 2 ? (uint32_t)atoi(argv[2]) : 24;
    struct load load = {
        .percent = argc > 3 ? atoi(argv[3]) : 95,
    };
    for (size_t i = 0; argc > 4 && i < G_N_ELEMENTS(burst_names); i++) {
        if (strcmp(argv[4], burst_names[i]) == 0) {
            load.burst = (enum burst)i;
        }
    }
    for (size_t i = 0; i < G_N_ELEMENTS(variants); i++) {
        struct totals totals = {0};
        for (uint32_t seed = first; seed < first + count; seed++) {
            run_seed(&variants[i], seed, &load, &totals);
        }
        print_totals(variants[i].name, &totals);
    }
    return 0;
}

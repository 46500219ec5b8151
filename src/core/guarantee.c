/*
 * guarantee.c - cells: the parts of guarantees that are bound to servers.
 *
 * Every guarantee is bound to servers, one cell for each task of its shape.
 * Work that cannot be stopped stays out of other accounts' cells, so the
 * owner of a cell gets its resources back by stopping what is stoppable
 * there.  Binding is greedy best fit, the most demanding guarantees first.
 */
#include <string.h>

#include "sched.h"

#define REBIND_ORDERS 24 /* orders of binding that are tried */
#define REBIND_SEED 1
#define REBIND_MS 500 /* between two full rebindings of unmet guarantees */

struct ms_guarantee *
ms_guarantee_find(const struct ms_sched *sched, const char *name)
{
    MS_LIST_EACH(link, &sched->guarantees)
    {
        struct ms_guarantee *guarantee = MS_CONTAINER(link, struct ms_guarantee, link);
        if (strcmp(guarantee->rule.name, name) == 0) {
            return guarantee;
        }
    }
    return NULL;
}

static void
cell_bind(struct ms_cell *cell, struct ms_server *server)
{
    cell->server = server;
    server->cell_slots += 1;
    server->cell_accels += cell->guarantee->rule.accels;
}

static void
cell_unbind(struct ms_cell *cell)
{
    if (cell->server == NULL) {
        return;
    }
    ms_cell_leave(cell);
    cell->server->cell_slots -= 1;
    cell->server->cell_accels -= cell->guarantee->rule.accels;
    cell->server = NULL;
}

void
ms_guarantee_free(struct ms_sched *sched, struct ms_guarantee *guarantee)
{
    ms_sched_release(sched, guarantee->cells);
    ms_sched_release(sched, guarantee);
}

static void
guarantee_remove(struct ms_sched *sched, struct ms_guarantee *guarantee)
{
    for (uint32_t i = 0; i < guarantee->rule.tasks; i++) {
        cell_unbind(&guarantee->cells[i]);
    }
    ms_list_remove(&guarantee->link);
    ms_guarantee_free(sched, guarantee);
}

/* Whether A is bound before B: the more demanding shape goes first. */
static bool
binds_before(const struct ms_rule *a, const struct ms_rule *b)
{
    if (a->adjacency != b->adjacency) {
        return a->adjacency > b->adjacency;
    }
    if (a->tasks * a->accels != b->tasks * b->accels) {
        return a->tasks * a->accels > b->tasks * b->accels;
    }
    return strcmp(a->name, b->name) < 0;
}

void
ms_guarantee_apply(struct ms_sched *sched, const struct ms_rule *rule)
{
    struct ms_guarantee *old = ms_guarantee_find(sched, rule->name);
    if (old != NULL) {
        guarantee_remove(sched, old);
    }
    sched->cells_dirty = true;
    if (rule->removed || strcmp(rule->dc, sched->dc) != 0) {
        return;
    }
    struct ms_guarantee *guarantee = ms_sched_alloc(sched, sizeof(*guarantee));
    struct ms_cell *cells = ms_sched_alloc(sched, rule->tasks * sizeof(*cells));
    if (guarantee == NULL || cells == NULL) {
        g_error("event=out_of_memory where=guarantee name=%s", rule->name);
    }
    memset(guarantee, 0, sizeof(*guarantee));
    memset(cells, 0, rule->tasks * sizeof(*cells));
    guarantee->rule = *rule;
    guarantee->cells = cells;
    for (uint32_t i = 0; i < rule->tasks; i++) {
        cells[i].guarantee = guarantee;
    }
    struct ms_link *position = sched->guarantees.next;
    while (position != &sched->guarantees &&
           binds_before(&MS_CONTAINER(position, struct ms_guarantee, link)->rule, rule)) {
        position = position->next;
    }
    ms_list_insert_before(position, &guarantee->link);
}

void
ms_guarantee_unbind_server(struct ms_sched *sched, struct ms_server *server)
{
    MS_LIST_EACH(link, &sched->guarantees)
    {
        struct ms_guarantee *guarantee = MS_CONTAINER(link, struct ms_guarantee, link);
        for (uint32_t i = 0; i < guarantee->rule.tasks; i++) {
            if (guarantee->cells[i].server == server) {
                cell_unbind(&guarantee->cells[i]);
                guarantee->met = false;
            }
        }
    }
}

/* Cells of GUARANTEE that still fit on SERVER beside what cannot be stopped. */
static int32_t
cells_fit(const struct ms_server *server, const struct ms_guarantee *guarantee)
{
    if (server->state != MS_SERVER_UP) {
        return 0;
    }
    int32_t slots = (int32_t)server->slots - (int32_t)(server->cell_slots + server->fixed_slots);
    int32_t accels =
        (int32_t)server->accels - (int32_t)(server->cell_accels + server->fixed_accels);
    if (slots <= 0 || accels < 0) {
        return 0;
    }
    if (guarantee->rule.accels == 0) {
        return slots;
    }
    return MIN(slots, accels / (int32_t)guarantee->rule.accels);
}

/*
 * A task of the guarantee's account on SERVER that is outside of any cell and
 * fits into one: a cell bound here counts it as the account's own use.
 */
static struct ms_task *
adoptable_task(const struct ms_server *server, const struct ms_guarantee *guarantee)
{
    MS_LIST_EACH(link, &server->tasks)
    {
        struct ms_task *task = MS_CONTAINER(link, struct ms_task, server_link);
        const struct ms_job *job = task->job;
        if (task->cell == NULL && job->state != MS_JOB_ABORTING && !ms_job_stoppable(job) &&
            job->spec.accels <= guarantee->rule.accels &&
            strcmp(job->account->name, guarantee->rule.account) == 0) {
            return task;
        }
    }
    return NULL;
}

/* Binds every unbound cell of GUARANTEE that can take over a running task. */
static void
bind_over_own_tasks(struct ms_sched *sched, struct ms_guarantee *guarantee)
{
    for (uint32_t i = 0; i < guarantee->rule.tasks; i++) {
        struct ms_cell *cell = &guarantee->cells[i];
        if (cell->server != NULL) {
            continue;
        }
        MS_LIST_EACH(link, &sched->servers)
        {
            struct ms_server *server = MS_CONTAINER(link, struct ms_server, link);
            struct ms_task *task = adoptable_task(server, guarantee);
            if (task == NULL || server->state != MS_SERVER_UP) {
                continue;
            }
            int32_t accels = (int32_t)server->accels -
                             (int32_t)(server->cell_accels + server->fixed_accels) +
                             (int32_t)task->job->spec.accels;
            if (accels < (int32_t)guarantee->rule.accels) {
                continue;
            }
            cell_bind(cell, server);
            ms_cell_take(cell, task);
            break;
        }
    }
}

/* The rack of an occupied cell of GUARANTEE, or -1. */
static int
anchor_rack(const struct ms_guarantee *guarantee)
{
    for (uint32_t i = 0; i < guarantee->rule.tasks; i++) {
        const struct ms_cell *cell = &guarantee->cells[i];
        if (cell->task != NULL && cell->server != NULL) {
            return (int)cell->server->rack_id;
        }
    }
    return -1;
}

static void
measure_cells(struct ms_sched *sched, const struct ms_guarantee *guarantee)
{
    ms_rack_totals_clear(sched);
    MS_LIST_EACH(link, &sched->servers)
    {
        struct ms_server *server = MS_CONTAINER(link, struct ms_server, link);
        server->scratch = cells_fit(server, guarantee);
        struct ms_rack_total *rack =
            &g_array_index(sched->rack_totals, struct ms_rack_total, server->rack_id);
        rack->fit += (uint32_t)server->scratch;
    }
}

/* The rack that holds NEEDED more cells with the least room to spare, or -1. */
static int
tightest_rack(const struct ms_sched *sched, uint32_t needed)
{
    int best = -1;
    uint32_t best_fit = UINT32_MAX;
    for (guint i = 0; i < sched->rack_totals->len; i++) {
        uint32_t fit = g_array_index(sched->rack_totals, struct ms_rack_total, i).fit;
        if (fit >= needed && fit < best_fit) {
            best = (int)i;
            best_fit = fit;
        }
    }
    return best;
}

static struct ms_server *
tightest_server(const struct ms_sched *sched, int rack, int32_t needed)
{
    struct ms_server *best = NULL;
    MS_LIST_EACH(link, &sched->servers)
    {
        struct ms_server *server = MS_CONTAINER(link, struct ms_server, link);
        if (server->scratch < needed || (rack >= 0 && server->rack_id != (uint32_t)rack)) {
            continue;
        }
        if (best == NULL || server->scratch < best->scratch) {
            best = server;
        }
    }
    return best;
}

/* Binds all unbound cells within RACK (-1: anywhere); stops when none fits. */
static bool
bind_within(struct ms_sched *sched, struct ms_guarantee *guarantee, int rack)
{
    for (uint32_t i = 0; i < guarantee->rule.tasks; i++) {
        struct ms_cell *cell = &guarantee->cells[i];
        if (cell->server != NULL) {
            continue;
        }
        struct ms_server *server = tightest_server(sched, rack, 1);
        if (server == NULL) {
            return false;
        }
        cell_bind(cell, server);
        server->scratch = cells_fit(server, guarantee);
    }
    return true;
}

static bool
bind_on_one_server(struct ms_sched *sched, struct ms_guarantee *guarantee, uint32_t needed)
{
    struct ms_server *server = tightest_server(sched, -1, (int32_t)needed);
    if (server == NULL) {
        return false;
    }
    for (uint32_t i = 0; i < guarantee->rule.tasks; i++) {
        if (guarantee->cells[i].server == NULL) {
            cell_bind(&guarantee->cells[i], server);
        }
    }
    return true;
}

/* Whether the cells of GUARANTEE are as close as its shape asks for. */
static bool
cells_adjacent(const struct ms_guarantee *guarantee)
{
    const struct ms_server *first = guarantee->cells[0].server;
    if (first == NULL) {
        return false;
    }
    for (uint32_t i = 0; i < guarantee->rule.tasks; i++) {
        const struct ms_server *server = guarantee->cells[i].server;
        if (server == NULL) {
            return false;
        }
        if (guarantee->rule.adjacency == MS_ADJACENT_SERVER && server != first) {
            return false;
        }
        if (guarantee->rule.adjacency == MS_ADJACENT_RACK && server->rack_id != first->rack_id) {
            return false;
        }
    }
    return true;
}

/* Unbinds the cells that no task occupies; returns how many there are. */
static uint32_t
unbind_empty(struct ms_guarantee *guarantee)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < guarantee->rule.tasks; i++) {
        if (guarantee->cells[i].task == NULL) {
            cell_unbind(&guarantee->cells[i]);
            count++;
        }
    }
    return count;
}

/* Binds what is unbound of GUARANTEE, adjacent where possible. */
static void
guarantee_bind(struct ms_sched *sched, struct ms_guarantee *guarantee)
{
    unbind_empty(guarantee);
    bind_over_own_tasks(sched, guarantee);
    uint32_t needed = unbind_empty(guarantee);
    measure_cells(sched, guarantee);
    bool bound = false;
    switch (guarantee->rule.adjacency) {
    case MS_ADJACENT_SERVER:
        bound = bind_on_one_server(sched, guarantee, needed);
        break;
    case MS_ADJACENT_RACK: {
        int anchor = anchor_rack(guarantee);
        bool anchor_fits =
            anchor >= 0 &&
            g_array_index(sched->rack_totals, struct ms_rack_total, anchor).fit >= needed;
        int rack = anchor_fits ? anchor : tightest_rack(sched, needed);
        bound = rack >= 0 && bind_within(sched, guarantee, rack);
        break;
    }
    case MS_ADJACENT_DC:
        break;
    }
    if (!bound) {
        bind_within(sched, guarantee, -1);
    }
    guarantee->met = cells_adjacent(guarantee);
}

/* Unbinds every empty cell and binds all guarantees anew; returns how many are unmet. */
static guint
bind_in_order(struct ms_sched *sched, const GPtrArray *order)
{
    guint unmet = 0;
    for (guint i = 0; i < order->len; i++) {
        unbind_empty(g_ptr_array_index(order, i));
    }
    for (guint i = 0; i < order->len; i++) {
        struct ms_guarantee *guarantee = g_ptr_array_index(order, i);
        guarantee_bind(sched, guarantee);
        unmet += guarantee->met ? 0 : 1;
    }
    return unmet;
}

static void
shuffle(GPtrArray *order, GRand *random)
{
    for (guint i = order->len; i > 1; i--) {
        guint j = (guint)g_rand_int_range(random, 0, (gint32)i);
        gpointer other = order->pdata[j];
        order->pdata[j] = order->pdata[i - 1];
        order->pdata[i - 1] = other;
    }
}

/*
 * Binds all guarantees anew, the demanding ones first.  Greedy binding may miss
 * a way that exists, so other orders are tried too: the same ones every time.
 */
static void
rebind_from_scratch(struct ms_sched *sched)
{
    GPtrArray *order = g_ptr_array_new();
    GPtrArray *best = g_ptr_array_new();
    GRand *random = g_rand_new_with_seed(REBIND_SEED);
    guint best_unmet = G_MAXUINT;
    MS_LIST_EACH(link, &sched->guarantees)
    {
        g_ptr_array_add(order, MS_CONTAINER(link, struct ms_guarantee, link));
    }
    for (int i = 0; i < REBIND_ORDERS && best_unmet > 0; i++) {
        guint unmet = bind_in_order(sched, order);
        if (unmet < best_unmet) {
            best_unmet = unmet;
            g_ptr_array_set_size(best, 0);
            g_ptr_array_extend(best, order, NULL, NULL);
        }
        shuffle(order, random);
    }
    if (best_unmet > 0) {
        bind_in_order(sched, best);
    }
    g_rand_free(random);
    g_ptr_array_free(best, TRUE);
    g_ptr_array_free(order, TRUE);
}

void
ms_guarantee_bind_all(struct ms_sched *sched)
{
    bool unmet = false;
    sched->cells_dirty = false;
    MS_LIST_EACH(link, &sched->guarantees)
    {
        struct ms_guarantee *guarantee = MS_CONTAINER(link, struct ms_guarantee, link);
        if (!guarantee->met) {
            guarantee_bind(sched, guarantee);
        }
        unmet |= !guarantee->met;
    }
    if (unmet && sched->now >= sched->rebind_at) {
        rebind_from_scratch(sched);
        sched->rebind_at = sched->now + REBIND_MS;
        ms_set_timer(sched, sched->rebind_at);
    }
    ms_job_recheck_waiting(sched);
    sched->dirty = true;
}

/* Whether an empty cell can take a task of JOB in the group of ANCHOR. */
static bool
cell_serves(const struct ms_cell *cell, const struct ms_job *job, const struct ms_cell *anchor)
{
    if (cell->server == NULL || cell->task != NULL || cell->server->state != MS_SERVER_UP ||
        !ms_server_usable(cell->server, job)) {
        return false;
    }
    if (job->spec.adjacency == MS_ADJACENT_SERVER) {
        return cell->server == anchor->server;
    }
    if (job->spec.adjacency == MS_ADJACENT_RACK) {
        return cell->server->rack_id == anchor->server->rack_id;
    }
    return true;
}

static uint32_t
cells_serving(const struct ms_guarantee *guarantee, const struct ms_job *job,
              const struct ms_cell *anchor)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < guarantee->rule.tasks; i++) {
        count += cell_serves(&guarantee->cells[i], job, anchor) ? 1 : 0;
    }
    return count;
}

static bool
has_room(const struct ms_server *server, const struct ms_job *job)
{
    return server->slots_free >= 1 && server->accels_free >= (int32_t)job->spec.accels;
}

/* Charges JOB to cells around ANCHOR: those with free room first. */
static void
occupy_cells(struct ms_sched *sched, struct ms_guarantee *guarantee, struct ms_job *job,
             const struct ms_cell *anchor)
{
    uint32_t member = 0;
    for (int pass = 0; pass < 2; pass++) {
        for (uint32_t i = 0; i < guarantee->rule.tasks && member < job->spec.tasks; i++) {
            struct ms_cell *cell = &guarantee->cells[i];
            if (!cell_serves(cell, job, anchor)) {
                continue;
            }
            if (pass == 0 && !has_room(cell->server, job)) {
                continue;
            }
            ms_task_charge(sched, &job->tasks[member], cell->server, cell);
            member++;
        }
    }
    for (uint32_t i = 0; i < job->spec.tasks; i++) {
        ms_make_room(sched, job->tasks[i].server, job, MS_VICTIMS_STOPPABLE);
    }
    job->guaranteed = true;
}

/* Whether a guarantee of JOB's account, all its cells empty, could hold JOB. */
bool
ms_guarantee_could_hold(const struct ms_sched *sched, const struct ms_job *job)
{
    MS_LIST_EACH(link, &sched->guarantees)
    {
        const struct ms_rule *rule = &MS_CONTAINER(link, struct ms_guarantee, link)->rule;
        if (strcmp(rule->account, job->account->name) == 0 && rule->accels >= job->spec.accels &&
            rule->tasks >= job->spec.tasks && rule->adjacency >= job->spec.adjacency) {
            return true;
        }
    }
    return false;
}

/* Places JOB in the cells of its own account, stopping borrowers if needed. */
bool
ms_guarantee_place(struct ms_sched *sched, struct ms_job *job)
{
    MS_LIST_EACH(link, &sched->guarantees)
    {
        struct ms_guarantee *guarantee = MS_CONTAINER(link, struct ms_guarantee, link);
        if (strcmp(guarantee->rule.account, job->account->name) != 0 ||
            guarantee->rule.accels < job->spec.accels || guarantee->rule.tasks < job->spec.tasks) {
            continue;
        }
        for (uint32_t i = 0; i < guarantee->rule.tasks; i++) {
            const struct ms_cell *anchor = &guarantee->cells[i];
            if (anchor->server == NULL || anchor->task != NULL) {
                continue;
            }
            if (cells_serving(guarantee, job, anchor) >= job->spec.tasks) {
                occupy_cells(sched, guarantee, job, anchor);
                return true;
            }
        }
    }
    return false;
}

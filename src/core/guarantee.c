/*
 * guarantee.c - binding of guarantees to servers.
 *
 * A guarantee promises an account the resources for a number of tasks of a given
 * size.  It has one cell for each of these tasks, and each cell is bound to a server
 * with enough resources.  Other accounts may use the resources of a cell only
 * for preemptible work, so the owner gets them back by preempting it.  Binding
 * is greedy best fit, the most demanding guarantees first.
 */
#include <string.h>

#include "sched.h"

#define REBIND_ORDERS_MAX 24   /* orders in which a full rebinding binds the guarantees */
#define REBIND_SEED 1          /* fixed, so that replays give the same result */
#define REBIND_INTERVAL_MS 500 /* shortest time between two full rebindings */

/* The guarantee with this rule name, or NULL. */
struct ms_guarantee *
ms_guarantee_find(const struct ms_sched *sched, const char *name)
{
    MS_LIST_FOREACH(link, &sched->guarantees)
    {
        struct ms_guarantee *guarantee = MS_CONTAINER_OF(link, struct ms_guarantee, link);
        if (strcmp(guarantee->rule.name, name) == 0) {
            return guarantee;
        }
    }
    return NULL;
}

/* Binds an unbound CELL to SERVER and adds it to the server's cell totals. */
static void
cell_bind(struct ms_cell *cell, struct ms_server *server)
{
    cell->server = server;
    server->cell_slots += 1;
    server->cell_accels += cell->guarantee->rule.accels;
}

/* Unbinds CELL if it is bound; a task in it stays charged to its server. */
static void
cell_unbind(struct ms_cell *cell)
{
    if (cell->server == NULL) {
        return;
    }
    ms_cell_detach_task(cell);
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

/* Whether A is bound before B: closer adjacency first, then more accelerators, then name. */
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

/*
 * Applies a guarantee rule: replaces the guarantee of this name, or removes it.
 * Guarantees of other data centres are not kept.
 */
void
ms_guarantee_apply_rule(struct ms_sched *sched, const struct ms_rule *rule)
{
    struct ms_guarantee *existing = ms_guarantee_find(sched, rule->name);
    if (existing != NULL) {
        guarantee_remove(sched, existing);
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
    struct ms_list_link *position = sched->guarantees.next;
    while (position != &sched->guarantees &&
           binds_before(&MS_CONTAINER_OF(position, struct ms_guarantee, link)->rule, rule)) {
        position = position->next;
    }
    ms_list_insert_before(position, &guarantee->link);
}

/* Unbinds all cells from SERVER; their guarantees are bound anew later. */
void
ms_guarantee_unbind_server(struct ms_sched *sched, struct ms_server *server)
{
    MS_LIST_FOREACH(link, &sched->guarantees)
    {
        struct ms_guarantee *guarantee = MS_CONTAINER_OF(link, struct ms_guarantee, link);
        for (uint32_t i = 0; i < guarantee->rule.tasks; i++) {
            if (guarantee->cells[i].server == server) {
                cell_unbind(&guarantee->cells[i]);
                guarantee->satisfied = false;
            }
        }
    }
}

/*
 * Number of further cells of GUARANTEE that fit on SERVER beside the cells bound
 * there and the tasks outside cells that are not preemptible.
 */
static int32_t
cells_fit(const struct ms_server *server, const struct ms_guarantee *guarantee)
{
    if (server->state != MS_SERVER_UP) {
        return 0;
    }
    int32_t slots =
        (int32_t)server->slots - (int32_t)(server->cell_slots + server->nonpreemptible_slots);
    int32_t accels =
        (int32_t)server->accels - (int32_t)(server->cell_accels + server->nonpreemptible_accels);
    if (slots <= 0 || accels < 0) {
        return 0;
    }
    if (guarantee->rule.accels == 0) {
        return slots;
    }
    return MIN(slots, accels / (int32_t)guarantee->rule.accels);
}

/*
 * A task of the guarantee's account on SERVER that is not preemptible, occupies no
 * cell and fits into a cell of GUARANTEE, or NULL.  When a cell is bound here and
 * the task is attached to it, its resources are counted once.
 */
static struct ms_task *
attachable_task(const struct ms_server *server, const struct ms_guarantee *guarantee)
{
    MS_LIST_FOREACH(link, &server->tasks)
    {
        struct ms_task *task = MS_CONTAINER_OF(link, struct ms_task, server_link);
        const struct ms_job *job = task->job;
        if (task->cell == NULL && job->state != MS_JOB_ABORTING && !ms_job_preemptible(job) &&
            job->spec.accels <= guarantee->rule.accels &&
            strcmp(job->account->name, guarantee->rule.account) == 0) {
            return task;
        }
    }
    return NULL;
}

/* Binds unbound cells of GUARANTEE to servers that run a task which can be attached. */
static void
bind_to_own_tasks(struct ms_sched *sched, struct ms_guarantee *guarantee)
{
    for (uint32_t i = 0; i < guarantee->rule.tasks; i++) {
        struct ms_cell *cell = &guarantee->cells[i];
        if (cell->server != NULL) {
            continue;
        }
        MS_LIST_FOREACH(link, &sched->servers)
        {
            struct ms_server *server = MS_CONTAINER_OF(link, struct ms_server, link);
            struct ms_task *task = attachable_task(server, guarantee);
            if (task == NULL || server->state != MS_SERVER_UP) {
                continue;
            }
            int32_t accels = (int32_t)server->accels -
                             (int32_t)(server->cell_accels + server->nonpreemptible_accels) +
                             (int32_t)task->job->spec.accels;
            if (accels < (int32_t)guarantee->rule.accels) {
                continue;
            }
            cell_bind(cell, server);
            ms_cell_attach_task(cell, task);
            break;
        }
    }
}

/* The rack id of an occupied cell of GUARANTEE, or -1 if no cell is occupied. */
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

/* Sets server->sort_key and the rack totals to the number of cells that fit there. */
static void
compute_cell_fit(struct ms_sched *sched, const struct ms_guarantee *guarantee)
{
    ms_rack_capacities_clear(sched);
    MS_LIST_FOREACH(link, &sched->servers)
    {
        struct ms_server *server = MS_CONTAINER_OF(link, struct ms_server, link);
        server->sort_key = cells_fit(server, guarantee);
        struct ms_rack_capacity *rack =
            &g_array_index(sched->rack_capacities, struct ms_rack_capacity, server->rack_id);
        rack->fitting_tasks += (uint32_t)server->sort_key;
    }
}

/* Of the racks in which NEEDED cells fit, the one in which the fewest fit, or -1. */
static int
tightest_rack(const struct ms_sched *sched, uint32_t needed)
{
    int best = -1;
    uint32_t best_fit = UINT32_MAX;
    for (guint i = 0; i < sched->rack_capacities->len; i++) {
        uint32_t fit =
            g_array_index(sched->rack_capacities, struct ms_rack_capacity, i).fitting_tasks;
        if (fit >= needed && fit < best_fit) {
            best = (int)i;
            best_fit = fit;
        }
    }
    return best;
}

/*
 * Of the servers of RACK (-1: all servers) on which NEEDED cells fit, the one on which
 * the fewest fit, or NULL.
 */
static struct ms_server *
tightest_server(const struct ms_sched *sched, int rack, int32_t needed)
{
    struct ms_server *best = NULL;
    MS_LIST_FOREACH(link, &sched->servers)
    {
        struct ms_server *server = MS_CONTAINER_OF(link, struct ms_server, link);
        if (server->sort_key < needed || (rack >= 0 && server->rack_id != (uint32_t)rack)) {
            continue;
        }
        if (best == NULL || server->sort_key < best->sort_key) {
            best = server;
        }
    }
    return best;
}

/*
 * Binds the unbound cells to servers of RACK (-1: any server).  Returns false when
 * a cell does not fit; the cells bound before it stay bound.
 */
static bool
bind_in_rack(struct ms_sched *sched, struct ms_guarantee *guarantee, int rack)
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
        server->sort_key = cells_fit(server, guarantee);
    }
    return true;
}

/* Binds all unbound cells, NEEDED in number, to one server; false if none holds them. */
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

/* Whether all cells of GUARANTEE are bound, and as its adjacency demands. */
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

/* Unbinds the cells that no task occupies; returns their number, those unbound before included. */
static uint32_t
unbind_empty_cells(struct ms_guarantee *guarantee)
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

/*
 * Binds all cells of GUARANTEE that no task occupies, with its adjacency where
 * possible, else to any servers.  Sets guarantee->satisfied.
 */
static void
guarantee_bind(struct ms_sched *sched, struct ms_guarantee *guarantee)
{
    unbind_empty_cells(guarantee);
    bind_to_own_tasks(sched, guarantee);
    uint32_t needed = unbind_empty_cells(guarantee); /* only counts: none of them is bound */
    compute_cell_fit(sched, guarantee);
    bool bound = false;
    switch (guarantee->rule.adjacency) {
    case MS_ADJACENT_SERVER:
        bound = bind_on_one_server(sched, guarantee, needed);
        break;
    case MS_ADJACENT_RACK: {
        int anchor = anchor_rack(guarantee);
        bool anchor_fits =
            anchor >= 0 &&
            g_array_index(sched->rack_capacities, struct ms_rack_capacity, anchor).fitting_tasks >=
                needed;
        int rack = anchor_fits ? anchor : tightest_rack(sched, needed);
        bound = rack >= 0 && bind_in_rack(sched, guarantee, rack);
        break;
    }
    case MS_ADJACENT_DC:
        break;
    }
    if (!bound) {
        bind_in_rack(sched, guarantee, -1);
    }
    guarantee->satisfied = cells_adjacent(guarantee);
}

/* Unbinds all empty cells, then binds the guarantees in ORDER; returns how many are unmet. */
static guint
bind_in_order(struct ms_sched *sched, const GPtrArray *order)
{
    guint unmet = 0;
    for (guint i = 0; i < order->len; i++) {
        unbind_empty_cells(g_ptr_array_index(order, i));
    }
    for (guint i = 0; i < order->len; i++) {
        struct ms_guarantee *guarantee = g_ptr_array_index(order, i);
        guarantee_bind(sched, guarantee);
        unmet += guarantee->satisfied ? 0 : 1;
    }
    return unmet;
}

/* Fisher-Yates shuffle. */
static void
shuffle(GPtrArray *order, GRand *random)
{
    for (guint i = order->len; i > 1; i--) {
        guint j = (guint)g_rand_int_range(random, 0, (gint32)i);
        gpointer swapped = order->pdata[j];
        order->pdata[j] = order->pdata[i - 1];
        order->pdata[i - 1] = swapped;
    }
}

/*
 * Binds all guarantees anew, the most demanding first.  Greedy binding may miss a
 * solution that exists, so up to REBIND_ORDERS_MAX orders are tried and the one with
 * the fewest unmet guarantees is kept.  The shuffles are the same every time.
 */
static void
rebind_from_scratch(struct ms_sched *sched)
{
    GPtrArray *order = g_ptr_array_new();
    GPtrArray *best = g_ptr_array_new();
    GRand *random = g_rand_new_with_seed(REBIND_SEED);
    guint best_unmet = G_MAXUINT;
    MS_LIST_FOREACH(link, &sched->guarantees)
    {
        g_ptr_array_add(order, MS_CONTAINER_OF(link, struct ms_guarantee, link));
    }
    for (int i = 0; i < REBIND_ORDERS_MAX && best_unmet > 0; i++) {
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

/*
 * Binds the guarantees that are not met.  If some stay unmet, binds all guarantees
 * anew, at most once per REBIND_INTERVAL_MS.  Then ends the waiting jobs that cannot
 * start beside the cells any more.
 */
void
ms_guarantee_bind_all(struct ms_sched *sched)
{
    bool unmet = false;
    sched->cells_dirty = false;
    MS_LIST_FOREACH(link, &sched->guarantees)
    {
        struct ms_guarantee *guarantee = MS_CONTAINER_OF(link, struct ms_guarantee, link);
        if (!guarantee->satisfied) {
            guarantee_bind(sched, guarantee);
        }
        unmet |= !guarantee->satisfied;
    }
    if (unmet && sched->now >= sched->next_rebind_at) {
        rebind_from_scratch(sched);
        sched->next_rebind_at = sched->now + REBIND_INTERVAL_MS;
        ms_set_timer(sched, sched->next_rebind_at);
    }
    ms_job_refuse_unplaceable(sched);
    sched->queue_dirty = true;
}

/*
 * Whether CELL can take a task of JOB: it is empty, on a server that accepts JOB, and
 * close enough to ANCHOR for the adjacency of JOB.  The caller compares the sizes of
 * cell and task.
 */
static bool
cell_accepts_job(const struct ms_cell *cell, const struct ms_job *job, const struct ms_cell *anchor)
{
    if (cell->server == NULL || cell->task != NULL || cell->server->state != MS_SERVER_UP ||
        !ms_server_accepts_job(cell->server, job)) {
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

/* Number of cells of GUARANTEE, close enough to ANCHOR, that can take a task of JOB. */
static uint32_t
count_accepting_cells(const struct ms_guarantee *guarantee, const struct ms_job *job,
                      const struct ms_cell *anchor)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < guarantee->rule.tasks; i++) {
        count += cell_accepts_job(&guarantee->cells[i], job, anchor) ? 1 : 0;
    }
    return count;
}

/* Whether one more task of JOB fits on SERVER without preemption. */
static bool
has_free_resources(const struct ms_server *server, const struct ms_job *job)
{
    return server->slots_free >= 1 && server->accels_free >= (int32_t)job->spec.accels;
}

/*
 * Charges the tasks of JOB to cells close to ANCHOR, cells on servers with free
 * resources first, and preempts work on their servers where needed.
 */
static void
charge_to_cells(struct ms_sched *sched, struct ms_guarantee *guarantee, struct ms_job *job,
                const struct ms_cell *anchor)
{
    uint32_t member = 0;
    for (int pass = 0; pass < 2; pass++) {
        for (uint32_t i = 0; i < guarantee->rule.tasks && member < job->spec.tasks; i++) {
            struct ms_cell *cell = &guarantee->cells[i];
            if (!cell_accepts_job(cell, job, anchor)) {
                continue;
            }
            if (pass == 0 && !has_free_resources(cell->server, job)) {
                continue;
            }
            ms_task_charge(sched, &job->tasks[member], cell->server, cell);
            member++;
        }
    }
    for (uint32_t i = 0; i < job->spec.tasks; i++) {
        ms_preempt_on_server(sched, job->tasks[i].server, job, MS_PREEMPT_ANY);
    }
    job->in_cells = true;
}

/* Whether JOB fits into a guarantee of its account with all cells empty. */
bool
ms_guarantee_fits_job(const struct ms_sched *sched, const struct ms_job *job)
{
    MS_LIST_FOREACH(link, &sched->guarantees)
    {
        const struct ms_rule *rule = &MS_CONTAINER_OF(link, struct ms_guarantee, link)->rule;
        if (strcmp(rule->account, job->account->name) == 0 && rule->accels >= job->spec.accels &&
            rule->tasks >= job->spec.tasks && rule->adjacency >= job->spec.adjacency) {
            return true;
        }
    }
    return false;
}

/*
 * Places JOB into cells of a guarantee of its account, preempting work on their
 * servers if needed; false if no guarantee has enough empty cells.
 */
bool
ms_guarantee_place_job(struct ms_sched *sched, struct ms_job *job)
{
    MS_LIST_FOREACH(link, &sched->guarantees)
    {
        struct ms_guarantee *guarantee = MS_CONTAINER_OF(link, struct ms_guarantee, link);
        if (strcmp(guarantee->rule.account, job->account->name) != 0 ||
            guarantee->rule.accels < job->spec.accels || guarantee->rule.tasks < job->spec.tasks) {
            continue;
        }
        for (uint32_t i = 0; i < guarantee->rule.tasks; i++) {
            const struct ms_cell *anchor = &guarantee->cells[i];
            if (anchor->server == NULL || anchor->task != NULL) {
                continue;
            }
            if (count_accepting_cells(guarantee, job, anchor) >= job->spec.tasks) {
                charge_to_cells(sched, guarantee, job, anchor);
                return true;
            }
        }
    }
    return false;
}

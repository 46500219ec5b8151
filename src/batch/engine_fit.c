/*
 * engine_fit.c - units that a placement pass need not plan, as a unit like them did not fit.
 *
 * Within a pass capacity only gets less, at each level: starts allocate it and reservations keep
 * it.  Exceptions are preemptions and stops of best-effort tasks, after which nothing is known.
 * What a unit needs is described by its queue (service and priority), account, label and
 * resources.  Units whose servers also depend on something else are always planned.
 */
#include <string.h>

#include "batch/engine_placement.h"

/* Whether what the current unit needs can be compared with what others need. */
static bool
is_comparable(const struct ms_placement_pass *pass)
{
    const struct ms_batch_step *step = pass->unit->step;
    const struct ms_queue_rule *queue = step->occurrence->job->queue;
    return queue != NULL && !queue->uses_advice && step->spec->per_server_max == 0;
}

/* Whether the current unit needs, in SCOPE, what FAILED did not get, or more of it. */
static bool
needs_as_much(const struct ms_placement_pass *pass, const struct ms_failed_fit *failed,
              enum ms_fit_test test, enum ms_fit_scope scope)
{
    const struct ms_unit *unit = pass->unit;
    const struct ms_batch_job *job = unit->step->occurrence->job;
    const struct ms_step *spec = unit->step->spec;
    bool partial = test == (enum ms_fit_test)MS_LEVEL_FREE && !unit->gang;
    return failed->test == test && (failed->scope == scope || failed->scope == MS_FIT_ANYWHERE) &&
           failed->gang == unit->gang && (partial || unit->count >= failed->count) &&
           failed->queue == job->queue && failed->account == job->account &&
           failed->may_preempt_top == pass->may_preempt_top &&
           failed->spec->best_effort == spec->best_effort &&
           ms_resources_fit(&spec->task_resources, &failed->spec->task_resources) &&
           strcmp(failed->spec->label, spec->label) == 0;
}

bool
ms_fit_has_failed(const struct ms_placement_pass *pass, enum ms_fit_test test,
                  enum ms_fit_scope scope)
{
    const struct ms_failed_fits *fits = &pass->failed_fits;
    for (uint32_t i = 0; i < fits->count; i++) {
        if (needs_as_much(pass, &fits->items[i], test, scope)) {
            return is_comparable(pass);
        }
    }
    return false;
}

void
ms_fit_note_failed(struct ms_placement_pass *pass, enum ms_fit_test test, enum ms_fit_scope scope)
{
    struct ms_failed_fits *fits = &pass->failed_fits;
    const struct ms_unit *unit = pass->unit;
    if (fits->count == MS_FAILED_FITS_MAX || !is_comparable(pass)) {
        return;
    }
    fits->items[fits->count++] =
        (struct ms_failed_fit){.test = test,
                               .scope = scope,
                               .gang = unit->gang,
                               .count = unit->count,
                               .may_preempt_top = pass->may_preempt_top,
                               .queue = unit->step->occurrence->job->queue,
                               .account = unit->step->occurrence->job->account,
                               .spec = unit->step->spec};
}

void
ms_fit_forget(struct ms_placement_pass *pass)
{
    pass->failed_fits.count = 0;
}

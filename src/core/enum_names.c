/*
 * enum_names.c - conversion between enumeration values and their names, and checks
 * of the fields of a job.  Names are indexed by enumeration value.
 */
#include <stdio.h>
#include <string.h>

#include "mustardspread/mustardspread.h"

#define ARRAY_LENGTH(array) (sizeof(array) / sizeof((array)[0]))

static const char *const outcome_names[] = {
    "done",       "failed", "cancelled",   "deadline",     "never_fits", "limit",
    "no_account", "dc_out", "unavailable", "lost_contact", "duplicate",
};
static const char *const ran_names[] = {"no", "yes", "unknown"};
static const char *const adjacency_names[] = {"dc", "rack", "server"};
static const char *const class_names[] = {"urgent", "normal", "batch"};
static const char *const op_names[] = {
    "prepare", "start", "go", "stop", "checkpoint", "throttle", "ack", "withhold", "renew",
};
static const char *const task_result_names[] = {
    "ok", "failed", "stopped", "checkpointed", "lapsed", "not_started",
};

/* Returns the index of NAME in NAMES, or -1. */
static int
find_name(const char *const *names, size_t count, const char *name)
{
    for (size_t i = 0; i < count; i++) {
        if (strcmp(names[i], name) == 0) {
            return (int)i;
        }
    }
    return -1;
}

const char *
ms_result_name(enum ms_result result)
{
    switch (result) {
    case MS_OK:
        return "ok";
    case MS_E_NOMEM:
        return "out of memory";
    case MS_E_INVALID:
        return "invalid";
    case MS_E_FULL:
        return "full";
    case MS_E_NOTFOUND:
        return "not found";
    case MS_E_CONFLICT:
        return "conflict";
    case MS_E_IO:
        return "input or output failed";
    }
    return "unknown";
}

const char *
ms_outcome_name(enum ms_outcome_code code)
{
    return outcome_names[code];
}

const char *
ms_ran_name(enum ms_ran ran)
{
    return ran_names[ran];
}

const char *
ms_adjacency_name(enum ms_adjacency adjacency)
{
    return adjacency_names[adjacency];
}

const char *
ms_class_name(enum ms_class job_class)
{
    return class_names[job_class];
}

const char *
ms_op_name(enum ms_task_op op)
{
    return op_names[op];
}

const char *
ms_task_result_name(enum ms_task_result result)
{
    return task_result_names[result];
}

/* Defines the parser FUNCTION, the inverse of the name function that uses NAMES. */
#define DEFINE_PARSER(function, type, names)                                                       \
    enum ms_result function(const char *name, type *value)                                         \
    {                                                                                              \
        int index = find_name(names, ARRAY_LENGTH(names), name);                                   \
        if (index < 0) {                                                                           \
            return MS_E_INVALID;                                                                   \
        }                                                                                          \
        *value = (type)index;                                                                      \
        return MS_OK;                                                                              \
    }

DEFINE_PARSER(ms_adjacency_parse, enum ms_adjacency, adjacency_names)
DEFINE_PARSER(ms_class_parse, enum ms_class, class_names)
DEFINE_PARSER(ms_outcome_parse, enum ms_outcome_code, outcome_names)
DEFINE_PARSER(ms_ran_parse, enum ms_ran, ran_names)
DEFINE_PARSER(ms_task_result_parse, enum ms_task_result, task_result_names)

/* Whether NAME is not empty and holds only letters, digits and "._-:". */
static bool
is_valid_name(const char *name)
{
    if (name[0] == '\0') {
        return false;
    }
    return strspn(name, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-:") ==
           strlen(name);
}

enum ms_result
ms_job_spec_check(const struct ms_job_spec *spec, char *text, size_t size)
{
    if (!is_valid_name(spec->account)) {
        snprintf(text, size, "account: use letters, digits and ._-: only");
        return MS_E_INVALID;
    }
    if (!is_valid_name(spec->key)) {
        snprintf(text, size, "key: use letters, digits and ._-: only");
        return MS_E_INVALID;
    }
    if (spec->tasks < 1 || spec->tasks > MS_GANG_MAX) {
        snprintf(text, size, "tasks: must be from 1 to %d", MS_GANG_MAX);
        return MS_E_INVALID;
    }
    if (spec->accels > MS_ACCELS_MAX) {
        snprintf(text, size, "accels: must be from 0 to %d", MS_ACCELS_MAX);
        return MS_E_INVALID;
    }
    if (spec->declared_ms < 0) {
        snprintf(text, size, "declared_ms: must not be negative");
        return MS_E_INVALID;
    }
    if (spec->payload_len > MS_PAYLOAD_MAX) {
        snprintf(text, size, "payload: must be at most %d bytes", MS_PAYLOAD_MAX);
        return MS_E_INVALID;
    }
    return MS_OK;
}

/*
 * rules.h - port: the operators' records.
 */
#ifndef MS_PORT_RULES_H
#define MS_PORT_RULES_H

#include "batch/policy.h"

enum ms_rule_record {
    MS_RULE_OTHER = 0, /* nothing that concerns us */
    MS_RULE_POLICY,    /* a version of the configuration */
    MS_RULE_DC_OUT,    /* a data centre is out of service while the key exists */
};

/* What the record with KEY is; for DC_OUT the data centre goes to DC (MS_NAME_MAX). */
enum ms_rule_record ms_rules_kind(const char *key, char *dc);

/* Reads a configuration; NULL, with the field in ERROR, when that fails. */
struct ms_policy *ms_rules_decode(GBytes *value, char *error, size_t size);

#endif

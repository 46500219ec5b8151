/*
 * operator_records.h - port: decoding of the records that operators write to the log.
 *
 * The adapter in platform/ defines these functions.
 */
#ifndef MS_PORT_OPERATOR_RECORDS_H
#define MS_PORT_OPERATOR_RECORDS_H

#include "batch/policy.h"

enum ms_operator_record {
    MS_OPERATOR_RECORD_OTHER = 0, /* not used by this program */
    MS_OPERATOR_RECORD_POLICY,    /* a version of the configuration, see ms_policy_decode() */
    MS_OPERATOR_RECORD_DC_OUT,    /* a data centre is out of service while the key exists */
};

/*
 * The kind of the record with KEY.  For MS_OPERATOR_RECORD_DC_OUT the name of the data
 * centre is copied to DC (MS_NAME_MAX bytes).
 */
enum ms_operator_record ms_operator_record_kind(const char *key, char *dc);

/*
 * Decodes a version of the configuration; freed with ms_policy_free().  Returns
 * NULL when it is invalid, and names the field in ERROR (SIZE bytes).
 */
struct ms_policy *ms_policy_decode(GBytes *value, char *error, size_t size);

#endif

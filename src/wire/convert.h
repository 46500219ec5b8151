/*
 * convert.h - conversion between the library's structs and protocol messages.
 */
#ifndef MS_CONVERT_H
#define MS_CONVERT_H

#include "mustardspread/mustardspread.h"
#include "wire/inner.pb-c.h"

/*
 * Fills MESSAGE from SPEC.  MESSAGE points to SPEC's strings and payload, so
 * SPEC must outlive it.  The deadline is converted to the time that remains at
 * NOW (ms, on the clock of the deadline), because the clocks of two hosts are not
 * comparable.  A deadline that has passed becomes 1 ms, because 0 means none.
 */
void ms_spec_to_wire(const struct ms_job_spec *spec, int64_t now, Ms__Wire__Spec *message);

/*
 * Fills SPEC from MESSAGE, which may be NULL.  The deadline of SPEC is counted
 * from NOW (ms).  The payload is not copied: MESSAGE must outlive SPEC.  Returns
 * MS_E_INVALID if MESSAGE is NULL or a field is not valid.
 */
enum ms_result ms_spec_from_wire(const Ms__Wire__Spec *message, int64_t now,
                                 struct ms_job_spec *spec);

/* Packs RECORD into a new array, to be freed with g_byte_array_unref(). */
struct _GByteArray *ms_log_record_pack(const Ms__Wire__LogRecord *record);

#endif

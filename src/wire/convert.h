/*
 * convert.h - between the library's structs and protocol messages.
 */
#ifndef MS_CONVERT_H
#define MS_CONVERT_H

#include "mustardspread/mustardspread.h"
#include "wire/inner.pb-c.h"

/*
 * Fills MESSAGE from SPEC.  MESSAGE borrows SPEC's strings and payload.  The
 * deadline is sent as the time left at NOW.
 */
void ms_spec_to_wire(const struct ms_job_spec *spec, int64_t now, Ms__Wire__Spec *message);

/*
 * Fills SPEC from MESSAGE; the payload is borrowed.  Returns MS_E_INVALID for
 * values out of range.
 */
enum ms_result ms_spec_from_wire(const Ms__Wire__Spec *message, int64_t now,
                                 struct ms_job_spec *spec);

/* Packs RECORD into a newly allocated array; freed with g_byte_array_unref(). */
struct _GByteArray *ms_record_pack(const Ms__Wire__LogRecord *record);

#endif

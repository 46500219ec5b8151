/*
 * frame.h - framing of envelopes on a byte stream.
 *
 * A frame is a length of 4 bytes, most significant first, and a packed
 * Envelope of that length.
 */
#ifndef MS_FRAME_H
#define MS_FRAME_H

#include <glib.h>

#include "mustardspread/mustardspread.h"
#include "wire/inner.pb-c.h"

#define MS_FRAME_HEADER 4                /* bytes */
#define MS_FRAME_MAX (MS_OUTPUT_MAX * 2) /* bytes of a packed envelope */

/* Appends the frame of ENVELOPE to BYTES. */
void ms_frame_append(GByteArray *bytes, const Ms__Wire__Envelope *envelope);

/*
 * Takes the first whole frame off the front of BYTES.  Returns MS_OK and
 * *ENVELOPE (to be freed by ms__wire__envelope__free_unpacked() with NULL),
 * MS_E_NOTFOUND when no whole frame is there yet, or MS_E_INVALID when the
 * stream is malformed and has to be closed.
 */
enum ms_result ms_frame_take(GByteArray *bytes, Ms__Wire__Envelope **envelope);

#endif

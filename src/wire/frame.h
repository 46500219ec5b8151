/*
 * frame.h - framing of envelopes on a byte stream.
 *
 * A frame is a 32-bit length in network byte order, followed by a packed
 * Envelope of that length.
 */
#ifndef MS_FRAME_H
#define MS_FRAME_H

#include <glib.h>

#include "mustardspread/mustardspread.h"
#include "wire/inner.pb-c.h"

#define MS_FRAME_HEADER_SIZE 4                   /* bytes */
#define MS_FRAME_PAYLOAD_MAX (MS_OUTPUT_MAX * 2) /* bytes of a packed envelope */

/* Packs ENVELOPE and appends it to BYTES as a frame. */
void ms_frame_append(GByteArray *bytes, const Ms__Wire__Envelope *envelope);

/*
 * Removes the first frame from BYTES and unpacks it.  Returns MS_OK and sets
 * *ENVELOPE, to be freed with ms__wire__envelope__free_unpacked(envelope, NULL);
 * MS_E_NOTFOUND if BYTES does not hold a complete frame yet; MS_E_INVALID if
 * the stream is malformed and its connection has to be closed.
 */
enum ms_result ms_frame_pop(GByteArray *bytes, Ms__Wire__Envelope **envelope);

#endif

/*
 * compress.h - compression of the values of records in the log.
 *
 * A compressed value is a zlib stream.  Its first byte, 0x78, would be the tag of a field 15 of
 * type varint, with which none of the records of batch.proto begins.  Readers therefore recognise
 * compressed values, and both forms may stand side by side in one stream.
 */
#ifndef MS_WIRE_COMPRESS_H
#define MS_WIRE_COMPRESS_H

#include <glib.h>

#define MS_EXPANDED_BYTES_MAX (4 * 1024 * 1024) /* a longer value is malformed */

/* Compresses VALUE and takes ownership of it; returns VALUE itself where that saves nothing. */
GBytes *ms_value_compress(GBytes *value);

/*
 * The plain form of VALUE, which stays the caller's: a new reference to VALUE if it is not
 * compressed.  NULL if it is compressed and malformed, or longer than MS_EXPANDED_BYTES_MAX.
 */
GBytes *ms_value_expand(GBytes *value);

#endif

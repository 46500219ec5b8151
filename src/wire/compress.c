/*
 * compress.c - compression of the values of records; see compress.h.
 */
#include <stdbool.h>
#include <string.h>
#include <zlib.h>

#include "wire/compress.h"

#define ZLIB_FIRST_BYTE 0x78 /* deflate with a window of 32 KB, as compress2() writes it */
#define COMPRESSION_LEVEL 1  /* the fastest one: the leader compresses all that it stores */
#define COMPRESSIBLE_MIN 64  /* bytes; a shorter value would hardly get smaller */
#define EXPAND_STEP_BYTES 8192

GBytes *
ms_value_compress(GBytes *value)
{
    gsize length = 0;
    const Bytef *data = g_bytes_get_data(value, &length);
    if (length < COMPRESSIBLE_MIN) {
        return value;
    }
    uLongf size = compressBound(length);
    Bytef *compressed = g_malloc(size);
    if (compress2(compressed, &size, data, length, COMPRESSION_LEVEL) != Z_OK || size >= length) {
        g_free(compressed);
        return value;
    }
    g_bytes_unref(value);
    return g_bytes_new_take(g_realloc(compressed, size), size);
}

/* Appends what STREAM yields to EXPANDED.  Returns whether the stream is complete and valid. */
static bool
inflate_all(z_stream *stream, GByteArray *expanded)
{
    int result = Z_OK;
    while (result == Z_OK && expanded->len <= MS_EXPANDED_BYTES_MAX) {
        guint filled = expanded->len;
        g_byte_array_set_size(expanded, filled + EXPAND_STEP_BYTES);
        stream->next_out = expanded->data + filled;
        stream->avail_out = EXPAND_STEP_BYTES;
        result = inflate(stream, Z_NO_FLUSH);
        g_byte_array_set_size(expanded, filled + EXPAND_STEP_BYTES - stream->avail_out);
    }
    return result == Z_STREAM_END && stream->avail_in == 0 &&
           expanded->len <= MS_EXPANDED_BYTES_MAX;
}

GBytes *
ms_value_expand(GBytes *value)
{
    gsize length = 0;
    const Bytef *data = g_bytes_get_data(value, &length);
    if (length == 0 || data[0] != ZLIB_FIRST_BYTE) {
        return g_bytes_ref(value);
    }
    z_stream stream;
    memset(&stream, 0, sizeof(stream));
    if (inflateInit(&stream) != Z_OK) {
        return NULL;
    }
    stream.next_in = (Bytef *)data;
    stream.avail_in = (uInt)length;
    GByteArray *expanded = g_byte_array_new();
    bool valid = inflate_all(&stream, expanded);
    inflateEnd(&stream);
    if (!valid) {
        g_byte_array_unref(expanded);
        return NULL;
    }
    return g_byte_array_free_to_bytes(expanded);
}

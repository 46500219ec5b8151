/*
 * frame.c - framing of envelopes on a byte stream.
 */
#include "wire/frame.h"

void
ms_frame_append(GByteArray *bytes, const Ms__Wire__Envelope *envelope)
{
    guint start = bytes->len;
    size_t length = ms__wire__envelope__get_packed_size(envelope);
    g_byte_array_set_size(bytes, start + MS_FRAME_HEADER_SIZE + (guint)length);
    guint32 header = GUINT32_TO_BE((guint32)length);
    memcpy(bytes->data + start, &header, sizeof(header));
    ms__wire__envelope__pack(envelope, bytes->data + start + MS_FRAME_HEADER_SIZE);
}

enum ms_result
ms_frame_pop(GByteArray *bytes, Ms__Wire__Envelope **envelope)
{
    guint32 header = 0;
    if (bytes->len < MS_FRAME_HEADER_SIZE) {
        return MS_E_NOTFOUND;
    }
    memcpy(&header, bytes->data, sizeof(header));
    guint32 length = GUINT32_FROM_BE(header);
    if (length > MS_FRAME_PAYLOAD_MAX) {
        return MS_E_INVALID;
    }
    if (bytes->len < MS_FRAME_HEADER_SIZE + length) {
        return MS_E_NOTFOUND;
    }
    *envelope = ms__wire__envelope__unpack(NULL, length, bytes->data + MS_FRAME_HEADER_SIZE);
    g_byte_array_remove_range(bytes, 0, MS_FRAME_HEADER_SIZE + length);
    return *envelope != NULL ? MS_OK : MS_E_INVALID;
}

/*
 * compress.c - unit tests of the compression of records in the log.
 */
#include <string.h>

#include "unit/unit.h"
#include "wire/compress.h"

#define RECORD_BYTES 3000
#define CUT_BYTES 10 /* of a stream that is not complete */

/* A value like the state of a wide job: much of it repeats. */
static GBytes *
state_like_value(void)
{
    GString *text = g_string_new("\x08");
    for (int i = 0; text->len < RECORD_BYTES; i++) {
        g_string_append_printf(text, "i-%08x/1771395%06d", i * 2654435761u, i);
    }
    return g_string_free_to_bytes(text);
}

/* Records of a wide job filled the link between regions: they have to get much smaller. */
START_TEST(compressed_value_is_smaller_and_expands_to_the_same)
{
    GBytes *plain = state_like_value();
    GBytes *compressed = ms_value_compress(g_bytes_ref(plain));
    GBytes *expanded = ms_value_expand(compressed);
    ck_assert_uint_lt(g_bytes_get_size(compressed) * 3, g_bytes_get_size(plain) * 2);
    ck_assert(g_bytes_equal(plain, expanded));
    g_bytes_unref(plain);
    g_bytes_unref(compressed);
    g_bytes_unref(expanded);
}
END_TEST

/* Hosts with and without the setting share a log: plain values, also short ones, stay readable. */
START_TEST(plain_and_short_values_are_left_as_they_are)
{
    static const uint8_t phase_open[] = {0x08, 0x00};
    GBytes *plain = state_like_value();
    GBytes *same = ms_value_expand(plain);
    GBytes *open = g_bytes_new_static(phase_open, sizeof(phase_open));
    ck_assert_ptr_eq(plain, same);
    ck_assert_ptr_eq(ms_value_compress(open), open);
    g_bytes_unref(plain);
    g_bytes_unref(same);
    g_bytes_unref(open);
}
END_TEST

/* A record of another writer, cut short or damaged, must be reported and not be used in part. */
START_TEST(malformed_streams_are_rejected)
{
    GBytes *compressed = ms_value_compress(state_like_value());
    gsize length = 0;
    const uint8_t *data = g_bytes_get_data(compressed, &length);
    GBytes *cut = g_bytes_new(data, length - CUT_BYTES);
    uint8_t *bytes = g_memdup2(data, length);
    bytes[length / 2] ^= 0xff;
    GBytes *damaged = g_bytes_new_take(bytes, length);
    ck_assert_ptr_null(ms_value_expand(cut));
    ck_assert_ptr_null(ms_value_expand(damaged));
    g_bytes_unref(compressed);
    g_bytes_unref(cut);
    g_bytes_unref(damaged);
}
END_TEST

/* A small stream may expand to gigabytes, which would end the process for want of memory. */
START_TEST(stream_that_expands_too_far_is_rejected)
{
    gsize length = MS_EXPANDED_BYTES_MAX + 1;
    GBytes *compressed = ms_value_compress(g_bytes_new_take(g_malloc0(length), length));
    ck_assert_ptr_null(ms_value_expand(compressed));
    g_bytes_unref(compressed);
}
END_TEST

TCase *
compress_cases(void)
{
    TCase *cases = tcase_create("compress");
    tcase_add_test(cases, compressed_value_is_smaller_and_expands_to_the_same);
    tcase_add_test(cases, plain_and_short_values_are_left_as_they_are);
    tcase_add_test(cases, malformed_streams_are_rejected);
    tcase_add_test(cases, stream_that_expands_too_far_is_rejected);
    return cases;
}

/*
 * toml_json.h - TOML text to JSON text.
 */
#ifndef MS_TOML_JSON_H
#define MS_TOML_JSON_H

#include <stddef.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Parses TOML and returns it as JSON text, to be freed with free().  On an
 * error returns NULL and writes "line L, column C: reason" to ERROR.
 */
char *ms_toml_to_json(const char *text, char *error, size_t size);

#ifdef __cplusplus
}
#endif

#endif

/*
 * toml_json.h - conversion of TOML text to JSON text.
 */
#ifndef MS_TOML_JSON_H
#define MS_TOML_JSON_H

#include <stddef.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Parses the TOML document TEXT and returns it as JSON text; the caller frees it
 * with free().  On an error returns NULL and writes the reason to ERROR (SIZE
 * bytes); for a syntax error it begins with "line L, column C:".
 */
char *ms_toml_to_json(const char *text, char *error, size_t size);

#ifdef __cplusplus
}
#endif

#endif

/*
 * json_list.h - JSON documents with a list whose items come from many writers.
 */
#ifndef MS_JSON_LIST_H
#define MS_JSON_LIST_H

#include <jansson.h>

/*
 * Parses the JSON object in TEXT (LENGTH bytes).  If that fails, as an item of its array
 * MEMBER is nested too deeply, has a number out of range or text that is not UTF-8, the object
 * is returned without such items, and *SKIPPED is their number, else 0.  Returns NULL when
 * the object is malformed otherwise.  The caller owns the result.
 */
json_t *ms_json_load_list(const char *text, size_t length, const char *member, size_t *skipped);

#endif

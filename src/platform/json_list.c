/*
 * json_list.c - JSON documents with a list whose items come from many writers.
 *
 * libjansson rejects a document as a whole.  If it does, the document is scanned for the
 * items of the list, which are then parsed one by one.  The scan keeps only a count of
 * the open brackets, so the depth of an item does not matter.
 */
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "platform/json_list.h"

struct scan {
    const char *text;
    size_t length;
    size_t position;
};

/* Moves past the string that begins at the current position; false if it does not end. */
static bool
skip_string(struct scan *scan)
{
    for (scan->position++; scan->position < scan->length; scan->position++) {
        char c = scan->text[scan->position];
        if (c == '\\') {
            scan->position++;
        }
        else if (c == '"') {
            scan->position++;
            return true;
        }
    }
    return false;
}

static void
skip_spaces(struct scan *scan)
{
    while (scan->position < scan->length && g_ascii_isspace(scan->text[scan->position])) {
        scan->position++;
    }
}

/*
 * Moves to the ',' or the closing bracket that ends the value at the current position;
 * false if there is none.
 */
static bool
skip_value(struct scan *scan)
{
    size_t depth = 0;
    while (scan->position < scan->length) {
        char c = scan->text[scan->position];
        bool closes = c == ']' || c == '}';
        if (depth == 0 && (closes || c == ',')) {
            return true;
        }
        if (c == '"') {
            if (!skip_string(scan)) {
                return false;
            }
            continue;
        }
        depth += c == '[' || c == '{';
        depth -= closes;
        scan->position++;
    }
    return false;
}

/* Moves past '"MEMBER": [' of the object that TEXT contains; false if it is not there. */
static bool
find_list(struct scan *scan, const char *member)
{
    size_t member_length = strlen(member);
    skip_spaces(scan);
    if (scan->position >= scan->length || scan->text[scan->position] != '{') {
        return false;
    }
    do {
        scan->position++;
        skip_spaces(scan);
        size_t key = scan->position + 1;
        if (scan->position >= scan->length || scan->text[scan->position] != '"' ||
            !skip_string(scan)) {
            return false;
        }
        size_t key_length = scan->position - 1 - key;
        skip_spaces(scan);
        if (scan->position >= scan->length || scan->text[scan->position] != ':') {
            return false;
        }
        scan->position++;
        skip_spaces(scan);
        if (key_length == member_length && memcmp(scan->text + key, member, key_length) == 0) {
            bool is_list = scan->position < scan->length && scan->text[scan->position] == '[';
            scan->position++;
            return is_list;
        }
    } while (skip_value(scan) && scan->text[scan->position] == ',');
    return false;
}

/* Parses the items up to the end of the list, which follows the current position. */
static json_t *
load_items(struct scan *scan, size_t *skipped)
{
    json_t *items = json_array();
    skip_spaces(scan);
    while (scan->position < scan->length && scan->text[scan->position] != ']') {
        size_t begin = scan->position;
        if (!skip_value(scan) || scan->text[scan->position] == '}') {
            break;
        }
        json_t *item =
            json_loadb(scan->text + begin, scan->position - begin, JSON_DECODE_ANY, NULL);
        if (item == NULL) {
            (*skipped)++;
        }
        else {
            json_array_append_new(items, item);
        }
        if (scan->text[scan->position] == ',') {
            scan->position++;
            skip_spaces(scan);
        }
    }
    return items;
}

json_t *
ms_json_load_list(const char *text, size_t length, const char *member, size_t *skipped)
{
    struct scan scan = {text, length, 0};
    json_t *root = json_loadb(text, length, 0, NULL);
    *skipped = 0;
    if (root != NULL || !find_list(&scan, member)) {
        return root;
    }
    size_t list_begin = scan.position;
    json_t *items = load_items(&scan, skipped);
    if (scan.position >= length) {
        json_decref(items);
        return NULL; /* the list does not end */
    }
    /* The rest of the object, with an empty list. */
    size_t rest_length = scan.length - scan.position;
    char *rest = malloc(list_begin + rest_length + 1);
    if (rest != NULL) {
        memcpy(rest, text, list_begin);
        memcpy(rest + list_begin, text + scan.position, rest_length);
        root = json_loadb(rest, list_begin + rest_length, 0, NULL);
    }
    if (json_is_object(root)) {
        json_object_set(root, member, items);
    }
    else {
        json_decref(root);
        root = NULL;
    }
    json_decref(items);
    free(rest);
    return root;
}

#ifndef JSON_DUPLICATE_KEYS_H
#define JSON_DUPLICATE_KEYS_H

#include <stdbool.h>

#include "counted_string.h"

/*
 * Finds the first key that occurs twice in one object of a JSON text; json-c
 * would silently keep the last value. If there is one, returns true, and sets
 * *key to the key as it is written and *offset to its position in text. The
 * text must be one that json-c has accepted, with comments and single quotes if
 * need be. An object may have up to 1000 keys; the key after them is reported
 * as if it were a duplicate.
 */
bool cfg_find_duplicate_key(struct str text, struct str *key, size_t *offset);

#endif

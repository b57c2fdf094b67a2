#ifndef CFGD_H
#define CFGD_H

#include <stdbool.h>

#include "str.h"

/*
 * Finds the first duplicate key within an object of a JSON text, because json-c
 * silently keeps the last value. Returns true and sets key (as written) and
 * offset (its position in text) when there is one. The text must have been
 * accepted by json-c; comments and single quotes, which json-c allows, are
 * understood. An object may have up to 1000 keys; the key after them is
 * reported like a duplicate.
 */
bool cfgd_find_duplicate(struct str text, struct str *key, size_t *offset);

#endif

#ifndef CFGD_H
#define CFGD_H

#include <stdbool.h>

#include "str.h"

/*
 * Finds the first key that an object of a JSON text gives twice; json-c
 * silently keeps the last one. The text must have been accepted by json-c,
 * whose comments and single quotes are understood. An object may have up to
 * 1000 keys; the key after them is reported like a duplicate.
 */
bool cfgd_find_duplicate(struct str text, struct str *key, size_t *offset);

#endif

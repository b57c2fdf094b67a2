#ifndef REQUEST_PATH_H
#define REQUEST_PATH_H

#include "counted_string.h"

/*
 * Paths of requests. Servers decode percent-encoding, merge slashes and remove
 * dot segments before they act on a path, in an order of their own.
 */

/* True if no server reads the path as another one: it has no percent-encoding,
 * no empty segments and no dot segments. */
bool path_is_plain(struct str path);
/* Appends the path as a server reads it that does all of that. */
void path_normalize(struct str path, struct strbuf *out);

#endif

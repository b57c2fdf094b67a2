#ifndef OUTPUT_BUFFER_H
#define OUTPUT_BUFFER_H

#include "counted_string.h"

/*
 * Bytes for a socket that accepts them in part. Removes those that were sent,
 * so that the memory is bounded by the unsent ones, however much is sent in
 * all; sent counts from the start of the buffer.
 */
void out_remove_sent(struct strbuf *out, size_t *sent);

#endif

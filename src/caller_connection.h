#ifndef CALLER_CONNECTION_H
#define CALLER_CONNECTION_H

#include "socket_io.h"

/* Connection to a caller with its read buffer. */
struct caller {
	int fd;
	char *buf;
	size_t size;
	/* Bytes that are not consumed yet are buf[pos..len). */
	size_t pos;
	size_t len;
};

/* Bytes that are not consumed yet. */
struct str caller_view(const struct caller *c);
void caller_consume(struct caller *c, size_t n);
/*
 * Reads more bytes. ERR_REFUSED if the caller closed or broke the connection,
 * ERR_INVALID if the buffer is full; other errors as io_recv().
 */
enum err caller_fill(struct caller *c, const struct io_wait *w);
/* Resets the connection, so that a truncated response never looks complete. */
void caller_reset(struct caller *c);
/* Closes the connection for writing and lets the caller read the response. */
void caller_finish(struct caller *c);

#endif

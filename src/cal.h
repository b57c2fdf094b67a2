#ifndef CAL_H
#define CAL_H

#include "io.h"

/* Connection of a caller with its read buffer. */
struct cal {
	int fd;
	char *buf;
	size_t size;
	/* Bytes that are not consumed yet are buf[pos..len). */
	size_t pos;
	size_t len;
};

/* Bytes that are not consumed yet. */
struct str cal_view(const struct cal *c);
void cal_consume(struct cal *c, size_t n);
/*
 * Reads more bytes. ERR_REFUSED if the caller closed or broke the connection,
 * ERR_INVALID if the buffer is full; other errors as io_recv().
 */
enum err cal_fill(struct cal *c, const struct io_wait *w);
/* Resets the connection, so that a truncated answer never looks complete. */
void cal_reset(struct cal *c);
/* Closes the connection for writing and lets the caller read the answer. */
void cal_finish(struct cal *c);

#endif

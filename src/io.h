#ifndef IO_H
#define IO_H

#include <stdbool.h>
#include <stdint.h>

#include "err.h"
#include "str.h"

/* Waits on sockets that end with a deadline, a cancel or the caller's close. */
struct io_wait {
	/* The caller's socket, or -1. */
	int caller_fd;
	/* Becomes readable when *cancelled may have changed; or -1. */
	int wake_fd;
	const bool *cancelled;
	/* Bytes on this socket end a wait with ERR_CONFLICT; or -1. */
	int early_response_fd;
	int64_t deadline_ns;
};

/*
 * Waits for poll events on fd: ERR_OK, ERR_TIMEOUT, ERR_IO, ERR_CONFLICT, or
 * ERR_REFUSED when the caller went away or the request was cancelled.
 */
enum err io_wait(int fd, short events, const struct io_wait *w);
/* Sends all bytes or fails as io_wait() does; adds to *sent as it goes. */
enum err io_send(int fd, struct str bytes, const struct io_wait *w,
		 uint64_t *sent);
/* Receives at least one byte; *n is 0 at a clean end. */
enum err io_recv(int fd, char *buf, size_t size, const struct io_wait *w,
		 size_t *n);

#endif

#ifndef SOCKET_IO_H
#define SOCKET_IO_H

#include <stdbool.h>
#include <stdint.h>

#include "error_code.h"
#include "counted_string.h"

/*
 * Blocking socket I/O for worker threads. A wait for an event on a socket ends
 * early under each of these conditions.
 */
struct io_wait {
	/* Socket of the caller, watched for its close; -1 for none. */
	int caller_fd;
	/* eventfd, written after *cancelled was set; -1 for none. */
	int wake_fd;
	const bool *cancelled;
	/*
	 * Backend connection on which the response may begin before the
	 * request has been sent; -1 for none.
	 */
	int early_response_fd;
	/* Time of tmr_now(). */
	int64_t deadline_ns;
};

/*
 * Waits for poll() events on fd. ERR_OK on an event, ERR_TIMEOUT at the
 * deadline, ERR_REFUSED if the caller closed its connection or the request was
 * cancelled, ERR_CONFLICT if early_response_fd became readable, ERR_IO if
 * poll() fails.
 */
enum err io_wait(int fd, short events, const struct io_wait *w);
/*
 * Sends all bytes, or fails as io_wait() does or with ERR_IO. Adds the bytes
 * sent to *sent, also on failure.
 */
enum err io_send(int fd, struct str bytes, const struct io_wait *w,
		 uint64_t *sent);
/*
 * Receives up to size bytes; fails as io_wait() does or with ERR_IO. *n is 0
 * if the peer has closed the connection.
 */
enum err io_recv(int fd, char *buf, size_t size, const struct io_wait *w,
		 size_t *n);

#endif

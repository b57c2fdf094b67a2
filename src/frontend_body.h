#ifndef FRONTEND_BODY_H
#define FRONTEND_BODY_H

#include "frontend_exchange.h"

/* Request bodies of callers: buffering and streaming. */

/*
 * Buffers a small body before a slot is requested, so that a slow caller does
 * not occupy one. Leaves body_buffered unset for a larger body.
 */
enum err body_buffer(struct exch *x);
/*
 * Sends the head and the body; ERR_CONFLICT if the response began before the
 * end of the body.
 */
enum err body_send(struct exch *x, struct up_conn *up, struct str head,
		   struct io_wait *w);

#endif

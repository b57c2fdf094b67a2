#ifndef EDGE_CALLER_PIPELINE_H
#define EDGE_CALLER_PIPELINE_H

#include "edge_caller_connection.h"

/*
 * Pipelined requests that run beside those before them on their connection:
 * safe ones without a body, behind others of that kind. Each has a row without
 * a socket in the table of the callers' connections, in which its response
 * waits for its turn. See docs/design/pipelines.md.
 */

/* Pipelined requests that may run beside the first one of a connection. */
#define CPIPE_MAX_HELD 3

/*
 * Starts the next request in the input of a connection whose current request is
 * running. False if there is none that may run beside it. Adds a row.
 */
bool cpipe_begin(struct edge *e, struct hnd conn);

enum cpipe_next {
	CPIPE_NONE,
	/* The connection now serves the next request. */
	CPIPE_RUNNING,
	/* Its response is complete, and in the output of the connection. */
	CPIPE_DONE,
};

/* Hands the next request, and what there is of its response, to its connection,
 * whose current response is complete. */
enum cpipe_next cpipe_take_next(struct edge *e, struct cconn_row *c,
				struct hnd conn);
/* The connection has ended: cancels its pipelined requests. */
void cpipe_cancel(struct edge *e, struct cconn_row *c, const char *why);

#endif

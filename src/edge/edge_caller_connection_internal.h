#ifndef EDGE_CALLER_CONNECTION_INTERNAL_H
#define EDGE_CALLER_CONNECTION_INTERNAL_H

#include "edge_caller_connection.h"

/*
 * Internal interface of callers' connections, shared by
 * edge_caller_connection.c (sockets and requests), edge_caller_response.c
 * (responses) and edge_caller_timeout.c (time limits).
 */

/* NULL if the connection is closed. */
struct cconn_row *cconn_get(struct edge *e, struct hnd h);
/* Makes close() reset the connection. */
void cconn_set_reset_on_close(const struct cconn_row *c);
/* Keeps the row, which later events of this batch may refer to; cconn_sweep()
 * removes it. */
void cconn_close(struct edge *e, struct cconn_row *c, const char *why);
void cconn_send_pending(struct edge *e, struct cconn_row *c, struct hnd h);
/* The response is complete: the next request may be parsed. */
void cconn_finish_response(struct edge *e, struct cconn_row *c, struct hnd h);
/* Rejects a request and ends its connection. A request has one response: one
 * that is complete stays the last, and one that has begun is cut off. */
void cconn_reject_and_close(struct edge *e, struct cconn_row *c, struct hnd h,
			    int status, const char *reason);
/* Sends a whole response that this VM generates. */
void cconn_send_response(struct edge *e, struct cconn_row *c, struct hnd h,
			 int status, const char *type, struct str body,
			 int64_t retry_after_ns);

#endif

#ifndef CALLER_MEMORY_H
#define CALLER_MEMORY_H

#include "edge_caller_connection.h"

/*
 * Limits of memory and descriptors, applied to the connections of callers:
 * keeps the account (memory_account.h) and carries out its decisions. A request
 * that no backend server has got is refused as not run; any other connection is
 * reset.
 */

/* Takes the limits from the settings, or from the machine. */
void cmem_set_limits(struct edge *e);
/* Adds a connection, or a pipelined request that runs on the socket fd. */
void cmem_open(struct edge *e, struct cconn_row *c, struct hnd h, int fd);
void cmem_close(struct edge *e, struct cconn_row *c);
/* To be called when buffers of the connection, of its request or of the
 * connection to the backend server have changed. */
void cmem_update(struct edge *e, struct hnd caller);
void cmem_update_request(struct edge *e, struct hnd req);
/* True if a connection may be accepted. */
bool cmem_may_accept(const struct edge *e);
/* Closes another connection for one that was accepted, if needed. */
void cmem_make_room(struct edge *e);
/* Gives up connections. */
void cmem_tick(struct edge *e);
/* Resumes reading and accepting. */
void cmem_resume(struct edge *e);
int64_t cmem_next_due(const struct edge *e);
/* Ends requests whose bodies have stalled. */
void cmem_expire(struct edge *e);
/* Appends metrics in the Prometheus text format. */
void cmem_write_metrics(const struct edge *e, struct strbuf *out);

#endif

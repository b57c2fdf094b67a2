#ifndef GRACEFUL_STOP_H
#define GRACEFUL_STOP_H

#include "edge.h"

/*
 * Graceful stop of a VM. First it takes requests as before, since callers keep
 * its address for a while; then it refuses those that it has not sent to a
 * backend server, and new ones, as not run. The rest of the grace period is for
 * requests at backend servers and for responses that callers still read. The
 * process ends when nothing of that is left, or shortly before the platform
 * kills it.
 */

/* Time after the signal in which requests are taken and sent. */
int64_t stop_accept_ns(int64_t grace_ns);
/* Time after the signal at which the process ends at the latest. */
int64_t stop_end_ns(int64_t grace_ns);

void stop_begin(struct edge *e, int signal);
/* False once the VM takes and sends no more requests. */
bool stop_accepts_requests(const struct edge *e);
/* Refuses what cannot be sent any more, and ends the event loop when the VM is
 * drained or its time is up. Runs after the systems that start requests. */
void stop_tick(struct edge *e, int64_t now_ns);
int64_t stop_next_due(const struct edge *e);

#endif

#ifndef BACKEND_PROGRESS_H
#define BACKEND_PROGRESS_H

#include "edge.h"

/*
 * Progress of backend servers, seen from the requests in flight of this region.
 * A server that hangs most of its requests holds more and more of them and
 * completes few. The completions that its requests in flight should have
 * brought since the last one show this before any single request has waited
 * long enough to count as stalled.
 */

/* Brings the expected completions up to now; to be called before the server's
 * requests in flight change. */
void prog_advance(struct edge *e, struct srv_row *s);
/* Records responses of the server. */
void prog_completed(struct edge *e, struct srv_row *s, uint32_t count);
/* Records that a peer's request in flight failed; it is not a completion when
 * it ends. */
void prog_peer_failed(struct srv_row *s);
/* Records that requests in flight of a peer have ended. */
void prog_peer_ended(struct edge *e, struct srv_row *s, uint32_t count);
/* True while the server owes so many completions that it probably hangs, given
 * the mean latency of its service; 0 if there is none yet. */
bool prog_is_suspect(const struct edge *e, const struct srv_row *s,
		     int64_t mean_latency_ns);

#endif

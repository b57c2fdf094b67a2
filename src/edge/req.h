#ifndef REQ_H
#define REQ_H

#include "edge.h"
#include "link.h"

/*
 * Requests in flight: which backend server each is sent to, when it is
 * repeated, and which answer its caller gets. A request whose attempt may
 * have run is repeated only if it is safe, and is never reported as not run.
 */

/* Begins a request; answers at once when it cannot be served. */
struct hnd req_begin(struct edge *e, struct hnd caller, const struct hreq *head,
		     int64_t start_ns);
/* Part of its body; false when the caller should pause. */
bool req_body(struct edge *e, struct hnd req, struct str data, bool done);
/* The caller has gone, or its request is malformed. */
void req_cancel(struct edge *e, struct hnd req, const char *why);
/* The caller took more of a streamed answer. */
void req_caller_writable(struct edge *e, struct hnd req);

/* Events of the connection to the backend server. */
void req_connected(struct edge *e, struct hnd req);
void req_connect_failed(struct edge *e, struct hnd req, const char *why);
/* The connection took more of a streamed body. */
void req_server_writable(struct edge *e, struct hnd req);
bool req_is_head_method(const struct edge *e, struct hnd req);
/* False when the answer belongs to another request and is to be skipped. */
bool req_matches_response(const struct edge *e, struct hnd req,
			  const struct rsp *r);
/* The complete answer; it is freed after the call. */
void req_response_complete(struct edge *e, struct hnd req,
			   struct link_response *a);
/* The answer outgrew the buffer; false when it is not passed on. */
bool req_stream_begin(struct edge *e, struct hnd req,
		      const struct link_response *a);
/* Returns the bytes that the caller has not taken. */
size_t req_stream_data(struct edge *e, struct hnd req, struct str data);
void req_stream_end(struct edge *e, struct hnd req);
/* The connection broke, or its bytes were no answer. */
void req_attempt_failed(struct edge *e, struct hnd req, const char *why,
			bool may_have_run);

/* Time-outs and requests that wait for room. */
void req_tick(struct edge *e, int64_t now_ns);
int64_t req_next_due(const struct edge *e);
/* Removes the rows of requests that have ended. */
void req_sweep(struct edge *e);

#endif

#ifndef REQUEST_H
#define REQUEST_H

#include "edge.h"
#include "edge_backend_connection.h"
#include "edge_outlier_detection.h"
#include "metrics.h"

/*
 * Requests in flight: which backend server each one is sent to, when it is
 * retried, and which response its caller gets. A request that a backend server
 * may have run is retried only if it is safe, and no response says that it was
 * not run.
 */

/*
 * Starts a request whose head was parsed. Responds at once and returns
 * HND_NONE when it cannot be served.
 */
struct hnd req_begin(struct edge *e, struct hnd caller, const struct hreq *head,
		     int64_t start_ns);
/* True if the request is safe and has no body, so that it may run beside others
 * of its connection. Not a download: a cut of its response resets the
 * connection, and those beside it would be lost. */
bool req_may_run_beside(const struct edge *e, const struct hreq *head);
/* The response goes to this connection from now on. */
void req_set_caller(struct edge *e, struct hnd req, struct hnd caller);
/* Adds a part of the body; returns as req_wants_body(). */
bool req_body_received(struct edge *e, struct hnd req, struct str data,
		       bool done);
/* False while reading the body from the caller should pause. True once the
 * request has ended: the rest of its body precedes the next request. */
bool req_wants_body(const struct edge *e, struct hnd req);
/* The caller closed its connection, or the request is malformed. */
void req_cancel(struct edge *e, struct hnd req, const char *why);
/* More of a relayed response was written to the caller's connection. */
void req_caller_writable(struct edge *e, struct hnd req);

/* Events of the connection to the backend server, reported by
 * edge_backend_connection.c. */
void req_connected(struct edge *e, struct hnd req);
void req_connect_failed(struct edge *e, struct hnd req, const char *why);
/* The method is HEAD, so that the response has no body. */
bool req_is_head_method(const struct edge *e, struct hnd req);
/* False for a request without an id, where ids are in use: a late copy of an
 * earlier response could not be told from its own on a used connection. */
bool req_may_reuse_connection(const struct edge *e, struct hnd req);
enum req_match {
	REQ_MATCH,
	/* It belongs to another request and must be discarded. */
	REQ_MATCH_OTHER,
	/* It cannot be told whether it does: it must not be taken for the
	 * response, which may follow with the id of the request. */
	REQ_MATCH_UNKNOWN,
};

/* Tells whether a response is that to the request; used_before says that the
 * connection has carried other requests. */
enum req_match req_match_response(const struct edge *e, struct hnd req,
				  const struct rsp *r, bool used_before);
/* The response is complete; it is freed after the call. */
void req_response_complete(struct edge *e, struct hnd req,
			   struct bconn_response *resp);
/*
 * The response is larger than the buffer and is relayed as it arrives; false
 * when the caller must not get it, and the attempt has ended. Rows of
 * connections may have moved then.
 */
bool req_stream_begin(struct edge *e, struct hnd req,
		      const struct bconn_response *resp);
/* Returns the bytes not yet written to the caller's connection. */
size_t req_stream_data(struct edge *e, struct hnd req, struct str data);
void req_stream_end(struct edge *e, struct hnd req);
/* The connection failed, or an invalid response was received; outcome says
 * which, for outlier detection. */
void req_attempt_failed(struct edge *e, struct hnd req,
			enum hlth_outcome outcome, const char *why,
			bool may_have_run);

/* Refuses the requests that were not sent to a backend server. */
void req_refuse_unsent(struct edge *e);
/* Ends all requests: those that may have run with 502, or with a reset if a
 * part of the response was sent. */
void req_cut_all(struct edge *e);

/* A slot of the service may be free for a waiting request: they are checked in
 * this tick. */
void req_queue_wake(struct edge *e, uint64_t service);
/* Number of requests that wait for a slot, by priority of their route; the last
 * number includes those of lower priority. */
void req_queue_count(const struct edge *e,
		     uint32_t waiting[CTR_QUEUE_PRIORITIES]);

/* Handles timeouts, and requests that wait for capacity or for the first
 * configuration. */
void req_tick(struct edge *e, int64_t now_ns);
int64_t req_next_due(const struct edge *e);
/* Removes the rows of requests that have ended. */
void req_sweep(struct edge *e);

#endif

#ifndef EDGE_CALLER_CONNECTION_H
#define EDGE_CALLER_CONNECTION_H

#include "edge.h"
#include "http_body.h"
#include "input_arrivals.h"

/*
 * Connections of callers and of the clients of the ready, directory and
 * control listeners. A pipelined request is parsed after the response to the
 * previous one is complete, unless it may run beside it; see
 * edge_caller_pipeline.h.
 */
struct cconn_row {
	int fd;
	enum edge_listener listener;
	enum {
		/* Idle, or a part of a request's head was received. */
		CCONN_READING_HEAD,
		CCONN_READING_BODY,
		/* The request is complete; its response is not. */
		CCONN_RESPONDING,
	} state;
	struct hnd req;
	struct strbuf in;
	struct arrivals arrivals;
	struct strbuf out;
	size_t out_sent;
	/* Bytes written to the socket; those of them that the caller's host had
	 * at taken_ns, when their number last grew while out was not empty. */
	uint64_t sent_bytes;
	uint64_t taken_bytes;
	int64_t taken_ns;
	/* The row of a pipelined request that runs beside those before it: it
	 * has no socket, and its response waits in out. */
	bool held;
	/* The next such row of the connection, and the number of them. */
	struct hnd next;
	uint32_t held_count;
	/* The current request is safe and has no body. */
	bool repeatable;
	/* Further requests arrived while one was running. */
	bool pipelined;
	struct hbod body;
	bool keep_alive;
	/* The connection is closed after the current response. */
	bool closing;
	/* Input is discarded until the caller closes the connection. */
	bool discarding;
	/* The head of a backend server's response was passed on. */
	bool response_begun;
	/* The response is complete, though it may not be sent yet. */
	bool response_done;
	/* The response body is sent with chunked transfer coding. */
	bool chunked_response;
	/* The caller speaks HTTP/1.0, which has no chunked transfer coding. */
	bool http_1_0;
	/* The response body ends with the connection. */
	bool ends_with_close;
	/* Reading is paused: pipelined requests fill the input buffer. */
	bool pipeline_paused;
	/* The socket is closed; cconn_sweep() removes the row. */
	bool closed;
	/* Reading is paused until the request wants more of its body, or has
	 * ended. */
	bool body_paused;
	/* Reading is paused, as too much is held for callers. */
	bool memory_paused;
	/* In the account of what is held; see caller_memory.h. */
	struct hnd account;
	/* Times that bytes were received or sent. */
	uint64_t progress;
	/* in may hold a further request; see cconn_tick(). */
	bool input_pending;
	/* Bytes of the request's body so far. */
	uint64_t body_bytes;
	/* Registered with epoll. */
	uint32_t events;
	/* End of the last response, or arrival of the first bytes after it. */
	int64_t state_since_ns;
};

void cconn_start(struct edge *e);
void cconn_stop(struct edge *e);
/* Takes over a socket that a listener accepted. */
void cconn_add(struct edge *e, enum edge_listener listener, int fd);
/* Parses requests that arrived together with one that has been answered, and
 * resumes reading of bodies. */
void cconn_tick(struct edge *e);
/*
 * Enforces the time limits: closes idle connections, those whose last response
 * is not read and those that do not send the rest of a body after the response,
 * and rejects an incomplete head with 408.
 */
void cconn_expire(struct edge *e);
/* Removes the rows of closed connections. */
void cconn_sweep(struct edge *e);

/* Sends a response that this VM generates; without Retry-After if
 * retry_after_ns is 0. */
void cconn_respond(struct edge *e, struct hnd caller, int status,
		   const char *reason, int64_t retry_after_ns);
/* Lengths for cconn_begin_response(). To callers of HTTP/1.0, a chunked body is
 * sent without chunks and ends with the connection. */
#define CCONN_CHUNKED (-1)
/* A response without a body that does not say how long it would be. */
#define CCONN_NO_LENGTH (-2)
/*
 * Starts the response of a backend server. The fields are header lines without
 * those that frame the body; length is that of the body, or one of the
 * constants above.
 */
void cconn_begin_response(struct edge *e, struct hnd caller, int status,
			  struct str phrase, struct str fields, int64_t length);
void cconn_send_body(struct edge *e, struct hnd caller, struct str data);
void cconn_end_response(struct edge *e, struct hnd caller);
/* Resets the connection, so that the caller detects a truncated response. If no
 * byte of it was passed on, as the request is pipelined, responds with 502. */
void cconn_reset(struct edge *e, struct hnd caller);
/* Pauses or resumes reading, as caller_memory.c decides. */
void cconn_pause_for_memory(struct edge *e, struct hnd caller, bool pause);
/* Closes a connection without a request and input, whose last response the
 * kernel may still send; false for any other one. */
bool cconn_close_idle(struct edge *e, struct hnd caller);
/* Bytes of the response that are not yet written to the socket. */
size_t cconn_unsent_bytes(struct edge *e, struct hnd caller);
/* Removes bytes from the input. */
void cconn_consume(struct cconn_row *c, size_t n);
/* Limit for the head of a request. */
size_t cconn_max_head_bytes(const struct edge *e);
/* True if a connection has received a part of a request, or has a response to
 * send. */
bool cconn_any_unfinished(const struct edge *e);

#endif

#ifndef CIN_H
#define CIN_H

#include "edge.h"
#include "hbod.h"

/*
 * Connections of callers and of the clients of the ready, directory and
 * control listeners. A connection serves one request at a time: a pipelined
 * request is parsed after the response to the previous one is complete.
 */
struct cin_row {
	int fd;
	enum dia_listener port;
	enum {
		/* Idle, or a part of a request's head was received. */
		CIN_READING_HEAD,
		CIN_READING_BODY,
		/* The request is complete; its response is not. */
		CIN_RESPONDING,
	} state;
	struct hnd req;
	struct strbuf in;
	struct strbuf out;
	size_t out_sent;
	struct hbod body;
	bool keep_alive;
	/* The connection is closed after the current response. */
	bool closing;
	/* The response is complete, though it may not be sent yet. */
	bool response_done;
	/* The response body is sent with chunked transfer coding. */
	bool chunked_response;
	/* Reading is paused: pipelined requests fill the input buffer. */
	bool pipeline_paused;
	/* The socket is closed; cin_sweep() removes the row. */
	bool closed;
	/* Reading is paused until the backend server takes more of the body. */
	bool body_paused;
	/* Registered with epoll. */
	uint32_t events;
	/* End of the last response, or arrival of the head's first bytes. */
	int64_t state_since_ns;
};

/* Opens the listeners given in the settings. */
enum err cin_start(struct edge *e);
void cin_stop(struct edge *e);
/* Closes the listener for callers; open connections stay. */
void cin_stop_accepting(struct edge *e);
/*
 * Enforces the time limits: closes idle connections and those whose last
 * response is not read, and answers 408 to a head that is not complete.
 */
void cin_expire(struct edge *e);
/* Removes the rows of closed connections. */
void cin_sweep(struct edge *e);

/* Sends a response of this VM; without Retry-After if retry_after_ns is 0. */
void cin_respond(struct edge *e, struct hnd caller, int status,
		 const char *reason, int64_t retry_after_ns);
/*
 * Starts the response of a backend server. The fields are header lines without
 * those that frame the body; length is -1 for a chunked body.
 */
void cin_begin_response(struct edge *e, struct hnd caller, int status,
			struct str phrase, struct str fields, int64_t length);
void cin_send_body(struct edge *e, struct hnd caller, struct str data);
void cin_end_response(struct edge *e, struct hnd caller);
/* Resets the connection, so that the caller detects a truncated response. */
void cin_reset(struct edge *e, struct hnd caller);
/* Bytes of the response that are not yet written to the socket. */
size_t cin_unsent_bytes(struct edge *e, struct hnd caller);
/* Resumes reading a request body that was paused. */
void cin_resume(struct edge *e, struct hnd caller);

#endif

#ifndef CIN_H
#define CIN_H

#include "edge.h"
#include "hbod.h"

/*
 * Connections of callers, and of whoever asks the ready, directory and
 * control listeners. One request at a time is read from a connection; its
 * answer is complete before the next one is looked at.
 */
struct cin_row {
	int fd;
	enum dia_port port;
	enum {
		/* Before or within the head of a request. */
		CIN_READING_HEAD,
		CIN_READING_BODY,
		/* The request is whole; its answer is not. */
		CIN_RESPONDING,
	} state;
	struct hnd req;
	struct strbuf in;
	struct strbuf out;
	size_t out_sent;
	struct hbod body;
	bool keep_alive;
	/* Answers end the connection once they are sent. */
	bool closing;
	bool answered;
	/* The body of the answer goes out in chunks. */
	bool out_chunked;
	bool paused;
	/* Closed; the row goes with the next cin_sweep(). */
	bool dead;
	/* No more is read; the backend connection is too far behind. */
	bool body_paused;
	uint32_t events;
	/* Since the last answer, or since the head began. */
	int64_t since_ns;
};

/* Binds the listeners of the settings and accepts connections. */
enum err cin_start(struct edge *e);
void cin_stop(struct edge *e);
/* Closes the listener for callers and their idle connections. */
void cin_stop_accepting(struct edge *e);
/* Closes connections that are idle or read a head for too long. */
void cin_expire(struct edge *e);
/* Removes the rows of closed connections. */
void cin_sweep(struct edge *e);

/* Answer made by this VM; retry_after_ns is 0 for no such field. */
void cin_respond(struct edge *e, struct hnd caller, int status,
		 const char *reason, int64_t retry_after_ns);
/*
 * Answer of a backend server: the head as lines without framing, and whether
 * the body has a length (-1: chunks).
 */
void cin_begin_response(struct edge *e, struct hnd caller, int status,
			struct str phrase, struct str fields, int64_t length);
void cin_send_body(struct edge *e, struct hnd caller, struct str data);
void cin_end_response(struct edge *e, struct hnd caller);
/* Resets the connection, so that a partial answer looks incomplete. */
void cin_reset(struct edge *e, struct hnd caller);
/* Bytes that the caller has not taken yet. */
size_t cin_unsent_bytes(struct edge *e, struct hnd caller);
/* Reads on after a pause of the body. */
void cin_resume(struct edge *e, struct hnd caller);

#endif

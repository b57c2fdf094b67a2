#ifndef LINK_H
#define LINK_H

#include "edge.h"
#include "hbod.h"
#include "rsp.h"

/* An answer as it was received. The fields of rsp are views into head. */
struct link_response {
	struct strbuf head;
	struct rsp rsp;
	/* Decoded body; empty when it was streamed. */
	struct strbuf body;
};

/*
 * Connections to backend servers. One carries a request at a time, and is
 * used again only after a complete answer with nothing before or after it.
 */
struct link_row {
	int fd;
	struct hnd server;
	struct hnd req;
	enum {
		LINK_CONNECTING,
		LINK_BUSY,
		LINK_IDLE,
		/* Closed; the row goes with the next link_sweep(). */
		LINK_CLOSED,
	} state;
	struct strbuf out;
	size_t out_sent;
	struct strbuf in;
	uint32_t events;
	/* Bytes of this request that the kernel took. */
	uint64_t sent;
	/* All bytes of the request are in out or sent. */
	bool request_whole;
	/* Not used again after this answer. */
	bool last;
	bool paused;
	int64_t idle_since_ns;
	int64_t idle_limit_ns;
	/* Answer being received. */
	bool head_done;
	/* It belongs to another request. */
	bool skip;
	bool streaming;
	struct link_response answer;
	struct hbod decoder;
	uint64_t left;
};

void link_start(struct edge *e);
void link_stop(struct edge *e);
/*
 * Takes an idle connection to the server or opens one, for a request;
 * HND_NONE when no socket can be had.
 */
struct hnd link_open(struct edge *e, struct hnd server, struct hnd req);
bool link_is_connected(const struct edge *e, struct hnd link);
/* Queues bytes of the request; whole says that no more follow. */
void link_send(struct edge *e, struct hnd link, struct str bytes, bool whole);
size_t link_unsent_bytes(const struct edge *e, struct hnd link);
/* Bytes of the request that may have reached the backend server. */
uint64_t link_sent_bytes(const struct edge *e, struct hnd link);
/* Ends the attempt: the backend server sees the connection close. */
void link_cancel(struct edge *e, struct hnd link);
/* Reads on after the caller took more of the answer. */
void link_resume(struct edge *e, struct hnd link);
/* Closes connections that are idle for longer than servers keep them. */
void link_expire(struct edge *e);
/* Removes the rows of closed connections. */
void link_sweep(struct edge *e);
void link_response_free(struct link_response *a);

#endif

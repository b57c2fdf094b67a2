#ifndef LINK_H
#define LINK_H

#include "edge.h"
#include "hbod.h"
#include "rsp.h"

/* A response as it was received. The fields of rsp are views into head. */
struct link_response {
	struct strbuf head;
	struct rsp rsp;
	/* Decoded body; empty when it was relayed as a stream. */
	struct strbuf body;
};

/*
 * Connections to backend servers. A connection carries one request at a time.
 * It is reused only after a complete response that was neither preceded nor
 * followed by other bytes.
 */
struct link_row {
	int fd;
	struct hnd server;
	struct hnd req;
	enum {
		LINK_CONNECTING,
		LINK_BUSY,
		LINK_IDLE,
		/* The socket is closed; link_sweep() removes the row. */
		LINK_CLOSED,
	} state;
	struct strbuf out;
	size_t out_sent;
	struct strbuf in;
	/* Registered with epoll. */
	uint32_t events;
	/* Bytes of this request that were written to the socket. */
	uint64_t sent_bytes;
	/* The whole request is queued in out or sent. */
	bool request_complete;
	/* The connection is closed after this response. */
	bool no_reuse;
	/* Until the caller has read more of the response. */
	bool reading_paused;
	int64_t idle_since_ns;
	int64_t idle_timeout_ns;
	/* The response being received: its head is parsed. */
	bool head_done;
	/* It answers another request and is discarded. */
	bool skip_response;
	/* Its body is relayed to the caller as it arrives. */
	bool streaming;
	struct link_response response;
	struct hbod decoder;
	/* Bytes of its body still to be received, unless it is chunked. */
	uint64_t body_left;
};

void link_start(struct edge *e);
void link_stop(struct edge *e);
/*
 * Reserves an idle connection to the server for a request, or opens a new one;
 * HND_NONE when opening fails at once.
 */
struct hnd link_open(struct edge *e, struct hnd server, struct hnd req);
bool link_is_connected(const struct edge *e, struct hnd link);
/* Queues bytes of the request; last says that no more follow. */
void link_send(struct edge *e, struct hnd link, struct str bytes, bool last);
/* Bytes that are queued but not yet written to the socket. */
size_t link_unsent_bytes(const struct edge *e, struct hnd link);
/* Bytes of the request that may have reached the backend server. */
uint64_t link_sent_bytes(const struct edge *e, struct hnd link);
/* Ends the attempt by closing the connection to the backend server. */
void link_cancel(struct edge *e, struct hnd link);
/* Resumes reading after the caller has read more of the response. */
void link_resume(struct edge *e, struct hnd link);
/* Closes idle connections before the backend servers do. */
void link_expire(struct edge *e);
/* Removes the rows of closed connections. */
void link_sweep(struct edge *e);
void link_response_free(struct link_response *resp);

#endif

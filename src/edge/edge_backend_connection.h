#ifndef EDGE_BACKEND_CONNECTION_H
#define EDGE_BACKEND_CONNECTION_H

#include "edge.h"
#include "http_body.h"
#include "response_head.h"

/* A response as it was received. The fields of rsp are views into head. */
struct bconn_response {
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
struct bconn_row {
	int fd;
	struct hnd server;
	/* Generation of the server when the connection was opened. */
	uint32_t server_generation;
	struct hnd req;
	enum {
		BCONN_CONNECTING,
		BCONN_BUSY,
		BCONN_IDLE,
		/* The socket is closed; bconn_sweep() removes the row. */
		BCONN_CLOSED,
	} state;
	struct strbuf out;
	size_t out_sent;
	struct strbuf in;
	/* Registered with epoll. */
	uint32_t events;
	/* Bytes of the request that were written to the socket. */
	uint64_t sent_bytes;
	/* The request may exceed the window of its server. */
	bool large_request;
	/* First error of a send; 0 for none. */
	int failure;
	/* The end of the request is in out or was sent. */
	bool request_complete;
	/* The connection is closed after this response. */
	bool no_reuse;
	/* Reading is paused until the caller has read more of the response. */
	bool reading_paused;
	int64_t idle_since_ns;
	int64_t idle_timeout_ns;
	/* The head of the response being received is parsed. */
	bool head_done;
	/* Responses that the connection has carried before. */
	bool used_before;
	/* The response belongs to another request, or may do so, and is
	 * discarded. */
	bool skip_response;
	/* Bytes of such responses and of informational ones since the request
	 * was sent. */
	size_t discarded;
	/* The response body is relayed to the caller as it arrives. */
	bool streaming;
	struct bconn_response response;
	struct hbod decoder;
	/* Bytes of the body still to be received, unless it is chunked. */
	uint64_t body_left;
};

void bconn_start(struct edge *e);
void bconn_stop(struct edge *e);
/*
 * Reserves an idle connection to the server for a request, or opens a new one;
 * HND_NONE when opening fails at once.
 */
struct hnd bconn_open(struct edge *e, struct hnd server, struct hnd req);
bool bconn_is_connected(const struct edge *e, struct hnd conn);
/* Queues bytes of the request; last says that no more follow. */
void bconn_send(struct edge *e, struct hnd conn, struct str bytes, bool last);
/* Bytes that are queued but not yet written to the socket. */
size_t bconn_unsent_bytes(const struct edge *e, struct hnd conn);
/* Memory of its buffers. */
size_t bconn_held_bytes(const struct edge *e, struct hnd conn);
/* Bytes of the request that may have reached the backend server. */
uint64_t bconn_sent_bytes(const struct edge *e, struct hnd conn);
/* Ends the attempt by closing the connection to the backend server. */
void bconn_cancel(struct edge *e, struct hnd conn);
/* Resumes reading after the caller has read more of the response. */
void bconn_resume(struct edge *e, struct hnd conn);
/* Closes idle connections before the backend servers do. */
void bconn_expire(struct edge *e);
/* Removes the rows of closed connections. */
void bconn_sweep(struct edge *e);
void bconn_response_free(struct bconn_response *resp);

#endif

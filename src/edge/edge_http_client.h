#ifndef EDGE_HTTP_CLIENT_H
#define EDGE_HTTP_CLIENT_H

#include "edge.h"
#include "http_body.h"
#include "response_head.h"
#include "store_era.h"

/*
 * Non-blocking HTTP client for the store and other VMs. A row is a persistent
 * connection to one HTTP server and carries at most one call at a time.
 */
struct call_result {
	/*
	 * ERR_OK: a complete response of any status was received.
	 * ERR_TIMEOUT: the call's timeout passed.
	 * ERR_UNREACHABLE: the connection failed, or the head was malformed.
	 * ERR_INVALID: the head or the body was too large, or its chunks
	 * malformed.
	 */
	enum err err;
	int status;
	struct str body;
	/* Era of the store that the response names; ERA_NONE for none. */
	uint64_t era;
};

typedef void call_done_fn(void *ctx, const struct call_result *result);

struct call_request {
	const char *method;
	/* Path and query, percent-encoded. */
	struct str target;
	/* JSON; empty for a request without a body. */
	struct str body;
	int64_t timeout_ns;
	call_done_fn *done;
	void *ctx;
};

struct call_row {
	struct sockaddr_in addr;
	int fd;
	enum {
		CALL_CLOSED,
		CALL_CONNECTING,
		CALL_SENDING,
		CALL_IDLE,
	} state;
	bool busy;
	struct strbuf out;
	size_t out_sent;
	/* A send failed, which hides a reset from recv(). */
	bool failed;
	struct strbuf in;
	struct strbuf body;
	bool head_done;
	bool keep_alive;
	bool chunked;
	/* The response has no length: its body ends with the connection. */
	bool until_close;
	/* Bytes of the body still to be received, unless it is chunked. */
	uint64_t body_left;
	int status;
	/* See struct call_result. */
	uint64_t era;
	struct hbod decoder;
	int64_t deadline_ns;
	call_done_fn *done;
	void *ctx;
};

void call_start(struct edge *e);
struct hnd call_new(struct edge *e, const struct sockaddr_in *addr);
/* Sets the address for the calls of a row that is not busy; closes a connection
 * to another address. */
void call_set_address(struct edge *e, struct hnd row,
		      const struct sockaddr_in *addr);
/* Writes the numeric address that a row calls. */
void call_address(const struct edge *e, struct hnd row, char *out, size_t size);
/*
 * Starts a call on a row that is not busy. The callback runs later, never
 * within this function.
 */
void call_begin(struct edge *e, struct hnd row, const struct call_request *req);
/* Cancels the row's call without running its callback. */
void call_cancel(struct edge *e, struct hnd row);
bool call_is_busy(const struct edge *e, struct hnd row);
void call_tick(struct edge *e, int64_t now_ns);
int64_t call_next_due(const struct edge *e);
void call_stop(struct edge *e);
/* Appends s, percent-encoded as a value of a query string. */
void call_add_query_value(struct strbuf *out, struct str s);

#endif

#ifndef CALL_H
#define CALL_H

#include "edge.h"
#include "hbod.h"
#include "rsp.h"

/*
 * HTTP client without waiting: one row is one kept connection to a server
 * that this VM asks, with at most one call at a time.
 */
struct call_result {
	/*
	 * ERR_OK with a complete answer of any status; ERR_TIMEOUT, or
	 * ERR_UNREACHABLE when there was none.
	 */
	enum err err;
	int status;
	struct str body;
};

typedef void call_done_fn(void *ctx, const struct call_result *result);

struct call_request {
	const char *method;
	/* Path and query, percent-encoded. */
	struct str target;
	/* JSON; empty for none. */
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
	struct strbuf in;
	struct strbuf body;
	bool head_done;
	bool keep_alive;
	bool chunked;
	bool until_end;
	uint64_t left;
	int status;
	struct hbod decoder;
	int64_t due_ns;
	call_done_fn *done;
	void *ctx;
};

void call_setup(struct edge *e);
struct hnd call_new(struct edge *e, const struct sockaddr_in *addr);
/* Changes whom an idle row asks. */
void call_set_address(struct edge *e, struct hnd row,
		      const struct sockaddr_in *addr);
/* The row must not be busy. The result comes later, never within the call. */
void call_begin(struct edge *e, struct hnd row, const struct call_request *req);
/* Gives up the row's call; its callback is not run. */
void call_cancel(struct edge *e, struct hnd row);
bool call_is_busy(const struct edge *e, struct hnd row);
void call_tick(struct edge *e, int64_t now_ns);
int64_t call_next_due(const struct edge *e);
void call_stop(struct edge *e);
/* Appends s as a value of a query, percent-encoded. */
void call_add_query_value(struct strbuf *out, struct str s);

#endif

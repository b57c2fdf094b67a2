#ifndef FRONTEND_H
#define FRONTEND_H

#include "core.h"
#include "event_queue.h"
#include "entry_settings.h"
#include "backend_connection.h"

/*
 * HTTP server for callers, on the caller port. A worker thread serves one
 * connection at a time: for each request it asks the core for a backend server,
 * blocks until the core replies, and streams request and response through fixed
 * buffers.
 *
 * CivetWeb 1.15 is not used for this port, since it accepts malformed requests,
 * enforces no deadline on uploads, does not detect that a caller disconnected
 * and lets idle connections block new ones; tests/test_civetweb.c shows this.
 */
struct front;

/* Route of a request, copied from the active bundle. */
struct front_route {
	uint64_t service;
	int64_t deadline_ns;
	bool idempotent;
};

struct front_opts {
	const struct sett *sett;
	struct evq *queue;
	/* Owned by the core thread; accessed only from items of the queue. */
	struct core *core;
	/*
	 * Returns ERR_NOT_FOUND without a route, ERR_REFUSED without a
	 * bundle. Called on worker threads.
	 */
	enum err (*route)(void *ctx, struct str host, struct str path,
			  unsigned method, struct front_route *out);
	/* Called on each worker thread at its start and before its end. */
	void (*thread_start)(void *ctx);
	void (*thread_stop)(void *ctx);
	void *ctx;
};

enum err front_start(struct front **out, const struct front_opts *opts);
/*
 * From now on each response closes its connection, so that callers connect to
 * other VMs.
 */
void front_leave(struct front *f);
/* Waits for requests in flight for a limited time, then aborts them. */
void front_stop(struct front *f);
/* Callbacks of struct core_ops; run on the core thread. */
void front_assign(void *ctx, const struct core_assign *assign);
void front_refuse(void *ctx, struct hnd req, void *owner, enum core_refusal why,
		  int64_t retry_after_ns);
void front_respond(void *ctx, struct hnd req, void *owner,
		   const struct core_recorded *recorded);
void front_cancel(void *ctx, struct hnd req, void *owner);

#endif

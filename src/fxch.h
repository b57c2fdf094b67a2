#ifndef FXCH_H
#define FXCH_H

#include "cal.h"
#include "fidl.h"
#include "front.h"
#include "hbod.h"

/* Parts of the HTTP server that its modules share; nobody else includes it. */

#define FXCH_BUFFERED_BODY 65536
#define FXCH_RECORDED_BODY_BYTES 4096
#define FXCH_UP_BUFFER 65536

struct front {
	struct front_opts opts;
	int listener;
	pthread_t *workers;
	size_t worker_count;
	struct up_pool pool;
	struct fidl conns;
	/* Exchanges that may post to the core. */
	unsigned active;
	bool closing;
	/* Set before closing, while requests are still served. */
	bool leaving;
};

/* What a caller did wrong in the middle of its body. */
enum fxch_fault {
	FXCH_NO_FAULT,
	FXCH_BAD_CHUNK,
	FXCH_TOO_SLOW,
};

/* Per worker thread; buffers are touched only as far as they are used. */
struct fxch_worker {
	int wake_fd;
	char in[HREQ_MAX_HEAD];
	/* Head that request points into, while in receives the body. */
	char head[HREQ_MAX_HEAD];
	char up[FXCH_UP_BUFFER];
	struct hreq request;
};

enum fxch_reply {
	FXCH_WAIT,
	FXCH_ASSIGNED,
	FXCH_REFUSED,
	FXCH_RECORDED,
	FXCH_OVER,
	FXCH_GONE,
};

/*
 * A request on its worker thread. The core thread writes what belongs to a
 * reply, then the reply, then wakes the worker; until then the worker only
 * reads. Items are posted in the order of their declaration, and the worker
 * waits for the last one, so none outlives the exchange.
 */
struct fxch {
	struct front *front;
	struct fxch_worker *worker;
	struct cal *caller;
	const struct hreq *request;
	struct front_route route;
	uint64_t id;
	uint64_t team;
	struct str key;
	int64_t deadline_ns;
	/* Time without progress after which a body is cut. */
	int64_t budget_ns;
	struct hbod decoder;
	struct strbuf body;
	/* body holds all of it, so the request can be sent again. */
	bool body_buffered;
	bool continued;
	bool answer_begun;
	/* The caller's connection cannot carry another request. */
	bool close;
	bool reset;
	bool cancelled;
	bool caller_gone;
	enum fxch_fault fault;
	struct strbuf out;
	struct strbuf recorded_body;
	struct hnd req;
	enum fxch_reply reply;
	struct core_assign assign;
	char host[64];
	enum core_refusal refusal;
	int64_t retry_after_ns;
	enum core_recorded_state recorded;
	int recorded_status;
	/* Body of a recorded answer or of a local one. */
	struct strbuf text;
	struct core_done done;
	/* Some attempt may have run, whatever a later one says. */
	bool maybe_run;
	struct evq_item arrive_item;
	struct evq_item sent_item;
	struct evq_item body_item;
	struct evq_item first_byte_item;
	struct evq_item done_item;
	struct evq_item gone_item;
};

/* Serves one parsed request and its answer. */
void fxch_serve(struct fxch *x);
struct io_wait fxch_wait(const struct fxch *x, int64_t deadline_ns);
/*
 * Hands an item to the core thread and sleeps for its reply; false when the
 * server is closing and the core no longer answers.
 */
bool fxch_call(struct fxch *x, void (*run)(void *ctx));
/* Called by the item's run on the core thread, as its last step. */
void fxch_wake(struct fxch *x, enum fxch_reply reply);

#endif

#ifndef FXCH_H
#define FXCH_H

#include "cal.h"
#include "fidl.h"
#include "front.h"
#include "hbod.h"

/*
 * Types shared by the modules of the caller port: front.c, fxch.c, fans.c and
 * fbdy.c. Other modules include front.h only.
 */

/* Larger request bodies are streamed. */
#define FXCH_BUFFERED_BODY_BYTES 65536
/* Bytes of an answer's body that are recorded for an idempotency key. */
#define FXCH_RECORDED_BODY_BYTES 4096
/* Read buffer for answers of backend servers. */
#define FXCH_UP_BUFFER_BYTES 65536

struct front {
	struct front_opts opts;
	int listener;
	pthread_t *workers;
	size_t worker_count;
	struct up_pool pool;
	struct fidl conns;
	/* Exchanges that may post items to the core. */
	unsigned active_exchanges;
	bool closing;
	/* A planned stop has begun; requests are still served. */
	bool leaving;
};

/* Error of the caller in the middle of a request body. */
enum fxch_fault {
	FXCH_NO_FAULT,
	FXCH_BAD_CHUNK,
	FXCH_TOO_SLOW,
};

/*
 * State of a worker thread. It is allocated zeroed and not written in advance,
 * so that unused parts of the buffers take no memory.
 */
struct fxch_worker {
	int wake_fd;
	char read_buf[HREQ_MAX_HEAD];
	/* Copy of the request head; request points into it. */
	char head_buf[HREQ_MAX_HEAD];
	char up_buf[FXCH_UP_BUFFER_BYTES];
	struct hreq request;
};

/* Reply of the core thread to the worker that waits for it. */
enum fxch_reply {
	FXCH_PENDING,
	FXCH_ASSIGNED,
	FXCH_REFUSED,
	FXCH_RECORDED,
	/* The request is finished. */
	FXCH_FINISHED,
	/* The core has been told that the caller went away. */
	FXCH_CALLER_GONE,
};

/*
 * A request on its worker thread. The core thread writes the data of a reply,
 * then reply itself, then wakes the worker; until then the worker only reads
 * these fields. Items are posted in the order of their declaration, and the
 * worker waits for the last one, so none outlives the exchange.
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
	/* A body that makes no progress for this long is aborted. */
	int64_t progress_timeout_ns;
	struct hbod decoder;
	struct strbuf body;
	/* body is complete, so the request can be sent again. */
	bool body_buffered;
	/* The interim answer 100 has been sent. */
	bool continue_sent;
	bool answer_begun;
	/* Close the caller's connection after this request, or reset it. */
	bool close;
	bool reset;
	/* Set by the core thread: abandon the running attempt. */
	bool cancelled;
	bool caller_gone;
	enum fxch_fault fault;
	/* Bytes of the answer that are to be sent. */
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
	/* Body of an answer that is generated here or replayed. */
	struct strbuf text;
	struct core_done done;
	/* At least one attempt may have been run by a backend server. */
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
/* Limits of a blocking operation: a deadline, the caller's end, a cancel. */
struct io_wait fxch_wait(const struct fxch *x, int64_t deadline_ns);
/*
 * Runs a function on the core thread and blocks until its reply; false if the
 * server is closing and the core does not reply any more.
 */
bool fxch_call(struct fxch *x, void (*run)(void *ctx));
/* Sets the reply and wakes the worker; the last step of an item. */
void fxch_wake(struct fxch *x, enum fxch_reply reply);

#endif

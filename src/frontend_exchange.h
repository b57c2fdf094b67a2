#ifndef FRONTEND_EXCHANGE_H
#define FRONTEND_EXCHANGE_H

#include "caller_connection.h"
#include "frontend_connections.h"
#include "frontend.h"
#include "http_body.h"

/*
 * HTTP exchanges, each of which is a request of a caller and its response, and
 * other types that the modules of the caller port share. Modules outside the
 * caller port include frontend.h only.
 */

/* Larger request bodies are streamed. */
#define EXCH_BUFFERED_BODY_BYTES 65536
/* Bytes of a response body that are recorded for an idempotency key. */
#define EXCH_RECORDED_BODY_BYTES 4096
/* Read buffer for responses of backend servers. */
#define EXCH_UP_BUFFER_BYTES 65536

struct front {
	struct front_opts opts;
	int listener;
	pthread_t *workers;
	size_t worker_count;
	struct up_pool pool;
	struct conns conns;
	/* Exchanges that may post items to the core. */
	unsigned active_exchanges;
	bool closing;
	/* A planned stop has begun; requests are still served. */
	bool leaving;
};

/* Error of the caller within a request body. */
enum exch_body_error {
	EXCH_BODY_OK,
	EXCH_BODY_MALFORMED,
	EXCH_BODY_TIMEOUT,
};

/*
 * State of a worker thread. It is allocated zeroed and not written in advance,
 * so that unused parts of the buffers take no memory.
 */
struct exch_worker {
	int wake_fd;
	char read_buf[HREQ_MAX_HEAD_BYTES];
	/* Copy of the request head; request points into it. */
	char head_buf[HREQ_MAX_HEAD_BYTES];
	char up_buf[EXCH_UP_BUFFER_BYTES];
	struct hreq request;
};

/* Reply of the core thread to the worker that waits for it. */
enum exch_reply {
	EXCH_PENDING,
	EXCH_ASSIGNED,
	EXCH_REFUSED,
	EXCH_RECORDED,
	/* The request is finished. */
	EXCH_FINISHED,
	/* The core has processed the disconnect of the caller. */
	EXCH_DISCONNECTED,
};

/*
 * A request on its worker thread. The core thread writes the data of a reply,
 * then reply itself, then wakes the worker; until then the worker only reads
 * these fields. Items are posted in the order of their declaration, and the
 * worker waits for the last one, so none outlives the exchange.
 */
struct exch {
	struct front *front;
	struct exch_worker *worker;
	struct caller *caller;
	const struct hreq *request;
	struct front_route route;
	uint64_t id;
	uint64_t team;
	struct str key;
	int64_t deadline_ns;
	/* A body without progress for this long is aborted. */
	int64_t progress_timeout_ns;
	struct hbod decoder;
	struct strbuf body;
	/* body is complete, so the request can be sent again. */
	bool body_buffered;
	/* The interim response 100 Continue has been sent. */
	bool continue_sent;
	bool response_begun;
	/* Close the caller's connection after this request, or reset it. */
	bool close;
	bool reset;
	/* Set by the core thread: cancel the running attempt. */
	bool cancelled;
	bool disconnected;
	enum exch_body_error body_error;
	/* Bytes of the response that are to be sent next. */
	struct strbuf out;
	struct strbuf recorded_body;
	struct hnd req;
	enum exch_reply reply;
	struct core_assign assign;
	char host[64];
	enum core_refusal refusal;
	int64_t retry_after_ns;
	enum core_recorded_state recorded;
	int recorded_status;
	/* Body of a response that is generated here or replayed. */
	struct strbuf text;
	struct core_done done;
	/* At least one attempt may have been run by a backend server. */
	bool maybe_run;
	struct evq_item arrive_item;
	struct evq_item sent_item;
	struct evq_item body_item;
	struct evq_item first_byte_item;
	struct evq_item done_item;
	struct evq_item disconnect_item;
};

/* Serves a parsed request up to the end of its response. */
void exch_serve(struct exch *x);
/*
 * Conditions that end a blocking operation: the deadline, the caller
 * disconnects, or the core cancels the attempt.
 */
struct io_wait exch_wait(const struct exch *x, int64_t deadline_ns);
/*
 * Runs a function on the core thread and blocks until its reply; false if
 * front_stop() has begun. It uses arrive_item, so it must not be called for a
 * request that is passed to core_on_arrive().
 */
bool exch_call(struct exch *x, void (*run)(void *ctx));
/* Sets the reply and wakes the worker; the last step of an item. */
void exch_wake(struct exch *x, enum exch_reply reply);

#endif

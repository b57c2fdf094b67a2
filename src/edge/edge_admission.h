#ifndef EDGE_ADMISSION_H
#define EDGE_ADMISSION_H

#include <stdint.h>

/*
 * Admission control: whether a request is sent to the chosen server now, waits
 * in this VM's queue, or is refused. It matters when a service gets more
 * requests than it has slots: backend servers queue first in, first out, so
 * with a long queue every response is late. Requests whose response can still
 * arrive within their latency objective go first, and among these the more
 * urgent ones. Each VM enforces this by a limit on the load of the server that
 * it sends to.
 */
enum admit_decision {
	ADMIT_SEND,
	ADMIT_QUEUE,
	/* A response in time cannot be expected; the request is not run. */
	ADMIT_REFUSE,
};

struct admit_request {
	/* Time since the caller sent it. */
	int64_t age_ns;
	/* Latency objective: a response within this time has its full value. */
	int64_t objective_ns;
	/* Time until the request expires. */
	int64_t time_left_ns;
	/* Mean latency of the route, or of the service. */
	int64_t mean_latency_ns;
	/* 0 is the most urgent. */
	uint32_t priority;
	/* Load of the chosen server, see load_permille(). */
	uint32_t load;
};

enum admit_refusal_reason {
	/* This VM is stopping; other VMs accept requests. */
	ADMIT_STOPPING,
	/* This VM has just started and has no configuration yet. */
	ADMIT_STARTING,
	/* No server has free capacity for the request. */
	ADMIT_NO_CAPACITY,
};

/* A refused request. */
struct admit_refusal {
	enum admit_refusal_reason reason;
	/* As in admit_request. */
	int64_t mean_latency_ns;
	uint32_t priority;
	/* Time until the requests before it in the queue have got a slot. */
	int64_t wait_ns;
	/* Time until the first server that cannot take requests now may take
	 * them again; 0 or less if there is none. */
	int64_t busy_ns;
	/* Random number for the jitter. */
	uint64_t random_bits;
};

/*
 * Time after which the caller should send a refused request again. Without
 * free capacity, this is about the time in which a server completes a request,
 * and longer for less urgent requests, or until the queue before the request
 * has been served if that takes longer. It has jitter, so that callers refused
 * together do not return together.
 */
int64_t admit_retry_after(const struct admit_refusal *r);
/* Load at which a server is no longer sent such a request; r->load is not
 * used. */
uint32_t admit_max_load(const struct admit_request *r);
enum admit_decision admit_decide(const struct admit_request *r);

#endif

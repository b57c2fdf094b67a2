#ifndef GATE_H
#define GATE_H

#include <stdint.h>

/*
 * Admission: whether a request goes to the best server now, waits at this VM,
 * or is refused. For times when a service gets more work than it has slots:
 * servers' own queues are first come, first served, and once they are long
 * every answer is late. Requests that can still be answered within their
 * objective go first, urgent ones before others; each VM keeps to that by a
 * limit on the load that it adds to.
 */
enum admit_decision {
	ADMIT_SEND,
	ADMIT_QUEUE,
	/* It would not be served in time for its caller; not run. */
	ADMIT_REFUSE,
};

struct admit_request {
	/* Since the caller sent it. */
	int64_t age_ns;
	/* Time within which an answer has its full worth. */
	int64_t objective_ns;
	/* Time until no answer is of use. */
	int64_t time_left_ns;
	/* Mean time that the service takes. */
	int64_t mean_latency_ns;
	/* 0 is the most urgent. */
	uint32_t priority;
	/* Of the chosen server, in thousandths of its slots; see
	 * load_permille(). */
	uint32_t load;
};

enum admit_refusal {
	/* This VM is stopping; the others serve. */
	ADMIT_STOPPING,
	/* It has just started and knows no configuration yet. */
	ADMIT_STARTING,
	/* No server has room for the request. */
	ADMIT_NO_CAPACITY,
};

/* A caller that is refused. */
struct admit_retry {
	enum admit_refusal why;
	/* As in admit_request. */
	int64_t mean_latency_ns;
	uint32_t priority;
	/* Random; spreads the callers. */
	uint64_t draw;
};

/*
 * When the caller should come back. Where there is no room, the most urgent
 * come first, about when a server has worked off a request; all are spread, so
 * that those who were refused together do not return together.
 */
int64_t admit_retry_after(const struct admit_retry *r);
/* Load from which a server gets no such request; load is not looked at. */
uint32_t admit_max_load(const struct admit_request *r);
enum admit_decision admit_decide(const struct admit_request *r);

#endif

#ifndef STALLED_ATTEMPT_H
#define STALLED_ATTEMPT_H

#include <stdbool.h>
#include <stdint.h>

/*
 * When an attempt that has no response counts as slow or as stalled, and
 * whether its request then goes to another server. This answers servers that
 * hang a part of their requests for some seconds: waiting costs the caller the
 * latency objective, a second run costs a slot and a part of the retry budget.
 */
struct stall_attempt {
	/* Since the request was sent to the server. */
	int64_t age_ns;
	/* Mean latency of the service. */
	int64_t mean_latency_ns;
	/* The request may run more than once. */
	bool repeatable;
	/* Trial of an ejected server. */
	bool trial;
	/* What the retry budget has left: for this retry, and beyond the part
	 * that is kept for requests that fail. */
	bool budget_left;
	bool budget_ample;
};

enum stall_action {
	STALL_WAIT,
	/* Send the request to another server. */
	STALL_RETRY,
};

/* Age at which the attempt counts as slow; lower for a trial, which probably
 * hangs. */
int64_t stall_slow_age_ns(const struct stall_attempt *a);
/* Age at which it counts as stalled, which is held against its server. */
int64_t stall_age_ns(const struct stall_attempt *a);
enum stall_action stall_decide(const struct stall_attempt *a);

#endif

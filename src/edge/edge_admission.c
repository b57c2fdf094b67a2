#include "edge_admission.h"

#include <stdbool.h>

#include "timer.h"

/* Load up to which the most urgent requests are sent: a short queue keeps the
 * server busy until the next load report. */
#define URGENT_LOAD_PERMILLE 1500
/* Reduction of that load for each step of priority, up to the last one that
 * is distinguished. */
#define PRIORITY_STEP_PERMILLE 200
#define LAST_PRIORITY 3
/* Load up to which a request is sent whose response will be late anyway. */
#define LATE_LOAD_PERMILLE 900
/* Time in which a caller connects to another VM, or gets a list of addresses
 * without this one. */
#define STOPPING_RETRY_NS (50 * NS_PER_MS)
/* The first configuration usually arrives within half a second. */
#define STARTING_RETRY_NS (400 * NS_PER_MS)
/* Bounds of the retry time when there is no free capacity. */
#define MIN_RETRY_NS (200 * NS_PER_MS)
#define MAX_RETRY_NS (2 * NS_PER_S)

/* True while a response can be expected within the latency objective. */
static bool can_meet_objective(const struct admit_request *r)
{
	return r->age_ns <= r->objective_ns - r->mean_latency_ns;
}

uint32_t admit_max_load(const struct admit_request *r)
{
	uint32_t priority = r->priority < LAST_PRIORITY ? r->priority
							: LAST_PRIORITY;

	return can_meet_objective(r) ? URGENT_LOAD_PERMILLE -
					       PRIORITY_STEP_PERMILLE * priority
				     : LATE_LOAD_PERMILLE;
}

enum admit_decision admit_decide(const struct admit_request *r)
{
	if (r->time_left_ns < r->mean_latency_ns / 2 &&
	    r->load >= LATE_LOAD_PERMILLE)
		return ADMIT_REFUSE;
	if (r->load < admit_max_load(r))
		return ADMIT_SEND;
	return r->age_ns < r->objective_ns ? ADMIT_QUEUE : ADMIT_REFUSE;
}

static int64_t retry_base(const struct admit_refusal *r)
{
	uint32_t priority = r->priority < LAST_PRIORITY ? r->priority
							: LAST_PRIORITY;
	int64_t base;

	if (r->reason == ADMIT_STOPPING)
		return STOPPING_RETRY_NS;
	if (r->reason == ADMIT_STARTING)
		return STARTING_RETRY_NS;
	base = r->mean_latency_ns * (priority + 2) / 2;
	if (base < r->wait_ns)
		base = r->wait_ns;
	if (base < r->busy_ns)
		base = r->busy_ns;
	if (base < MIN_RETRY_NS)
		return MIN_RETRY_NS;
	return base < MAX_RETRY_NS ? base : MAX_RETRY_NS;
}

int64_t admit_retry_after(const struct admit_refusal *r)
{
	int64_t base = retry_base(r);

	/* Jitter: from 0.5 to 1.5 of the base. */
	return base / 2 + (int64_t)(r->random_bits % (uint64_t)base);
}

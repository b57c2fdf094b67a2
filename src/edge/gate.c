#include "gate.h"

#include <stdbool.h>

#include "tmr.h"

/* Load up to which the most urgent requests are sent, in thousandths: the
 * short queue keeps a server busy between two reports. */
#define URGENT_LOAD 1500
/* What each step of priority takes off, and the last one that counts. */
#define PRIORITY_STEP 200
#define LAST_PRIORITY 3
/* Load up to which a request is sent that will be late anyway. */
#define LATE_LOAD 900
/* Time until an address answer that leaves this VM out, or another VM, serves
 * the caller. */
#define STOPPING_RETRY_NS (50 * NS_PER_MS)
/* A first configuration mostly comes within half a second. */
#define STARTING_RETRY_NS (400 * NS_PER_MS)
#define MIN_RETRY_NS (200 * NS_PER_MS)
#define MAX_RETRY_NS (2 * NS_PER_S)

/* True while an answer can be expected within the objective. */
static bool can_be_in_time(const struct admit_request *r)
{
	return r->age_ns <= r->objective_ns - r->mean_latency_ns;
}

uint32_t admit_max_load(const struct admit_request *r)
{
	uint32_t priority = r->priority < LAST_PRIORITY ? r->priority
							: LAST_PRIORITY;

	return can_be_in_time(r) ? URGENT_LOAD - PRIORITY_STEP * priority
				 : LATE_LOAD;
}

enum admit_decision admit_decide(const struct admit_request *r)
{
	if (r->time_left_ns < r->mean_latency_ns / 2 && r->load >= LATE_LOAD)
		return ADMIT_REFUSE;
	if (r->load < admit_max_load(r))
		return ADMIT_SEND;
	return r->age_ns < r->objective_ns ? ADMIT_QUEUE : ADMIT_REFUSE;
}

static int64_t retry_base(const struct admit_retry *r)
{
	uint32_t priority = r->priority < LAST_PRIORITY ? r->priority
							: LAST_PRIORITY;
	int64_t base;

	if (r->why == ADMIT_STOPPING)
		return STOPPING_RETRY_NS;
	if (r->why == ADMIT_STARTING)
		return STARTING_RETRY_NS;
	base = r->mean_latency_ns * (priority + 2) / 2;
	if (base < MIN_RETRY_NS)
		return MIN_RETRY_NS;
	return base < MAX_RETRY_NS ? base : MAX_RETRY_NS;
}

int64_t admit_retry_after(const struct admit_retry *r)
{
	int64_t base = retry_base(r);

	/* Between half of it and one and a half. */
	return base / 2 + (int64_t)(r->draw % (uint64_t)base);
}

#include "gate.h"

#include "tmr.h"

/* Load up to which the most urgent requests are sent, in thousandths: the
 * short queue keeps a server busy between two reports. */
#define URGENT_LOAD 1500
/* What each step of priority takes off, and the last one that counts. */
#define PRIORITY_STEP 200
#define LAST_PRIORITY 3
/* Load up to which a request is sent that will be late anyway. */
#define LATE_LOAD 900
/* How long a request waits beyond its objective. */
#define LATE_WAIT_NS NS_PER_S

enum gate_decision gate_decide(const struct gate_request *r)
{
	uint32_t priority = r->priority < LAST_PRIORITY ? r->priority
							: LAST_PRIORITY;
	int64_t in_time = r->objective_ns - r->mean_ns;

	if (r->left_ns < r->mean_ns / 2 && r->load >= LATE_LOAD)
		return GATE_REFUSE;
	if (r->age_ns <= in_time)
		return r->load < URGENT_LOAD - PRIORITY_STEP * priority
			       ? GATE_SEND
			       : GATE_WAIT;
	if (r->load < LATE_LOAD)
		return GATE_SEND;
	return r->age_ns < r->objective_ns + LATE_WAIT_NS ? GATE_WAIT
							  : GATE_REFUSE;
}

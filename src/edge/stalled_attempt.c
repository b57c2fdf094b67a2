#include "stalled_attempt.h"

#include "timer.h"

/* Ages in tenths of the mean latency. With log-normal latencies of sigma 0.5,
 * about one response in thirty takes longer than SLOW_FACTOR. */
#define SLOW_FACTOR 22
#define SLOW_TRIAL_FACTOR 15
#define STALL_FACTOR 40
#define SLOW_MIN_NS (300 * NS_PER_MS)
#define STALL_MIN_NS (800 * NS_PER_MS)

static int64_t age_limit(const struct stall_attempt *a, int64_t factor,
			 int64_t min_ns)
{
	int64_t age = a->mean_latency_ns * factor / 10;

	return age > min_ns ? age : min_ns;
}

int64_t stall_slow_age_ns(const struct stall_attempt *a)
{
	return age_limit(a, a->trial ? SLOW_TRIAL_FACTOR : SLOW_FACTOR,
			 SLOW_MIN_NS);
}

int64_t stall_age_ns(const struct stall_attempt *a)
{
	return age_limit(a, STALL_FACTOR, STALL_MIN_NS);
}

enum stall_action stall_decide(const struct stall_attempt *a)
{
	if (!a->repeatable || a->age_ns < stall_slow_age_ns(a))
		return STALL_WAIT;
	if (a->age_ns < stall_age_ns(a))
		return a->budget_ample ? STALL_RETRY : STALL_WAIT;
	return a->budget_left ? STALL_RETRY : STALL_WAIT;
}

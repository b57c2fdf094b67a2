#include "trial_policy.h"

#include "timer.h"

/* Interval between trials with idempotent requests. */
#define TRIAL_INTERVAL_NS (800 * NS_PER_MS)
/* It doubles with each failed trial, at most this often. At 3.2 s, most ejected
 * servers still get a request in any period of two seconds. */
#define MAX_DOUBLINGS 2
/* Interval between trials with requests that may run only once, while capacity
 * is short. */
#define UNSAFE_INTERVAL_NS (1700 * NS_PER_MS)
/* The same while capacity is ample; it doubles once. A server that works again
 * is used within 7 s, before users count it as sound again (8 s). */
#define AMPLE_INTERVAL_NS (3400 * NS_PER_MS)
#define MAX_AMPLE_DOUBLINGS 1
/* A server in use that was idle for this long gets a trial: capacity that is
 * unused for two seconds counts as taken out of service. */
#define IDLE_NS (1400 * NS_PER_MS)
/* Each VM waits that much longer than the one of the rank before, as requests
 * sent to a faulty server at the same moment fail together; and the longest
 * delay. It exceeds the time in which a VM hears of the trial of another one.
 * A longer one delays the return of servers where a VM has few requests. */
#define RANK_DELAY_NS (40 * NS_PER_MS)
#define MAX_RANK_DELAY_NS (1700 * NS_PER_MS)
/* The same for a server that is not ejected, below the two seconds after which
 * unused capacity counts as taken out of service. */
#define IDLE_RANK_DELAY_NS (20 * NS_PER_MS)
#define MAX_IDLE_RANK_DELAY_NS (400 * NS_PER_MS)
/* Part of the slots in use up to which capacity is ample: the rest is for
 * bursts between two load reports. */
#define AMPLE_PERMILLE 750
/* Idempotent requests cover a service if each server gets one in this time,
 * about the longest interval between their trials of an ejected server. */
#define COVER_S 3.0

static int64_t doubled(int64_t interval_ns, uint32_t failures, uint32_t most)
{
	return interval_ns << (failures < most ? failures : most);
}

static int64_t safe_interval(const struct trial_server *s,
			     const struct trial_service *svc)
{
	if (!svc->low_failure_rate)
		return TRIAL_INTERVAL_NS;
	return doubled(TRIAL_INTERVAL_NS, s->failures, MAX_DOUBLINGS);
}

static int64_t unsafe_interval(const struct trial_server *s,
			       const struct trial_service *svc)
{
	if (!svc->capacity_ample)
		return UNSAFE_INTERVAL_NS;
	return doubled(AMPLE_INTERVAL_NS, s->failures, MAX_AMPLE_DOUBLINGS);
}

static int64_t rank_delay(const struct trial_server *s)
{
	int64_t delay_ns =
		s->rank * (s->ejected ? RANK_DELAY_NS : IDLE_RANK_DELAY_NS);
	int64_t most_ns = s->ejected ? MAX_RANK_DELAY_NS
				     : MAX_IDLE_RANK_DELAY_NS;

	return delay_ns < most_ns ? delay_ns : most_ns;
}

static bool ejected_is_due(const struct trial_server *s,
			   const struct trial_service *svc,
			   enum conf_request_kind kind)
{
	int64_t delay_ns = rank_delay(s);

	/* The body of an upload would be lost as well. */
	if (!conf_is_repeatable(kind) &&
	    (kind == CONF_UPLOAD || svc->safe_covers))
		return false;
	if (s->successes)
		return s->since_trial_ns >= delay_ns;
	return s->since_trial_ns >
	       delay_ns + (conf_is_repeatable(kind) ? safe_interval(s, svc)
						    : unsafe_interval(s, svc));
}

static bool new_is_due(const struct trial_server *s,
		       const struct trial_service *svc,
		       enum conf_request_kind kind)
{
	if (conf_is_repeatable(kind))
		return true;
	if (kind == CONF_UPLOAD ||
	    s->since_discovered_ns <= UNSAFE_INTERVAL_NS + rank_delay(s))
		return false;
	return s->is_new || !svc->safe_covers;
}

bool trial_is_due(const struct trial_server *s, const struct trial_service *svc,
		  enum conf_request_kind kind)
{
	if (s->ejected)
		return ejected_is_due(s, svc, kind);
	if (!s->used)
		return new_is_due(s, svc, kind);
	/* Trials of ejected servers take most of the idempotent requests while
	 * many fail. */
	return s->since_accepted_ns > IDLE_NS + rank_delay(s) &&
	       (!svc->low_failure_rate || !svc->safe_covers);
}

bool trial_is_overdue(int64_t since_trial_ns)
{
	return since_trial_ns > UNSAFE_INTERVAL_NS;
}

bool trial_capacity_is_ample(uint32_t in_flight, uint32_t slots)
{
	return (uint64_t)in_flight * 1000 <= (uint64_t)slots * AMPLE_PERMILLE &&
	       slots;
}

bool trial_safe_covers(double requests_per_s, uint32_t servers)
{
	return requests_per_s > 0 &&
	       requests_per_s * COVER_S >= (double)servers;
}

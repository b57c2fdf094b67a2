#include "backend_progress.h"

#include <math.h>

/* Mean latency assumed before a service's first response. */
#define INITIAL_LATENCY_NS (400 * NS_PER_MS)
/* Expected completions without one at which a server becomes suspect, and those
 * that a completion takes off: a server that works as usual exceeds the former
 * in a few cases of a hundred. */
#define SUSPECT_OWED 3.0
#define COMPLETION_CREDIT 2.0
/* Bound of what a server can owe, so that it recovers soon. */
#define MAX_OWED 8.0
/* Time constant with which it is forgotten while the server is idle. */
#define IDLE_DECAY_NS NS_PER_S

/* Requests that the server works on; those beyond its slots wait in its
 * queue. */
static uint32_t busy_slots(const struct srv_row *s)
{
	uint32_t busy = s->in_flight + s->peers_in_flight;

	return busy < s->slots ? busy : s->slots;
}

static double owed_now(const struct edge *e, const struct srv_row *s,
		       int64_t mean_latency_ns)
{
	int64_t mean = mean_latency_ns ? mean_latency_ns : INITIAL_LATENCY_NS;
	int64_t age_ns = e->ev.now_ns - s->owed_ns;
	uint32_t busy = busy_slots(s);
	double owed;

	/* Without requests a server cannot show that it has recovered. */
	if (!busy)
		return s->owed * exp(-(double)age_ns / (double)IDLE_DECAY_NS);
	owed = s->owed + (double)busy * (double)age_ns / (double)mean;
	return owed < MAX_OWED ? owed : MAX_OWED;
}

void prog_advance(struct edge *e, struct srv_row *s)
{
	int64_t mean = edge_service(e, s->service)->mean_latency_ns;

	s->owed = owed_now(e, s, mean);
	s->owed_ns = e->ev.now_ns;
}

void prog_completed(struct edge *e, struct srv_row *s, uint32_t count)
{
	double credit = COMPLETION_CREDIT * (double)count;

	if (!count)
		return;
	s->last_completed_ns = e->ev.now_ns;
	s->owed = s->owed > credit ? s->owed - credit : 0;
}

void prog_peer_failed(struct srv_row *s)
{
	s->peers_failed++;
}

void prog_peer_ended(struct edge *e, struct srv_row *s, uint32_t count)
{
	uint32_t failed = s->peers_failed < count ? s->peers_failed : count;

	s->peers_failed -= failed;
	prog_completed(e, s, count - failed);
}

bool prog_is_suspect(const struct edge *e, const struct srv_row *s,
		     int64_t mean_latency_ns)
{
	if (!busy_slots(s) && s->owed < SUSPECT_OWED)
		return false;
	return owed_now(e, s, mean_latency_ns) >= SUSPECT_OWED;
}

#include "edge_outlier_detection.h"

#include <math.h>

#include "backend_progress.h"
#include "backend_server.h"
#include "edge_retry_budget.h"
#include "metrics.h"
#include "logs.h"
#include "edge_membership.h"
#include "edge_messages.h"

/* Score at which a server is ejected. */
#define EJECT_SCORE 1.0
/* Time constant of the score's exponential decay. */
#define SCORE_DECAY_NS (1500 * NS_PER_MS)
/* Subtracted from the score of a server in use for each success. */
#define SUCCESS_CREDIT 0.2
/* Consecutive successes that reinstate an ejected server. With two, a server
 * that fails three quarters of its requests would be reinstated by chance in
 * one of 16 cases. */
#define REINSTATE_SUCCESSES 3
/* The same while many requests fail, as capacity is scarce then. */
#define REINSTATE_SUCCESSES_SCARCE 2
/* Shortest time between two trials, see trial_policy.h; the jitter, added to it
 * at random, keeps VMs from sending trials at the same moment. */
#define TRIAL_INTERVAL_NS (800 * NS_PER_MS)
#define TRIAL_JITTER_NS (300 * NS_PER_MS)
/* Failures closer together than this count as one failed trial. */
#define SAME_TRIAL_NS (300 * NS_PER_MS)
/* Time constant of the rate of requests that may be repeated. */
#define SAFE_RATE_NS (5 * NS_PER_S)
/* Time for which a VM avoids a server that it does not reach; it doubles with
 * each further failure, at most that often. */
#define PATH_DOWN_NS (2 * NS_PER_S)
#define MAX_PATH_DOUBLINGS 2
/* Servers that a VM discovers this soon after its start do not count as new. */
#define STARTUP_NS (5 * NS_PER_S)
/* Time for which a VM avoids a server of another region that it ejected. */
#define REMOTE_EJECTION_NS (2 * NS_PER_S)

static const struct outcome {
	const char *name;
	/* Added to the failure score. */
	double weight;
} outcomes[HLTH_OUTCOMES] = {
	[HLTH_SUCCESS] = {"success", 0},
	[HLTH_ERROR] = {"error", 0.45},
	[HLTH_BROKEN] = {"broken", 1.0},
	[HLTH_STALLED] = {"stalled", 1.0},
	[HLTH_UNREACHED] = {"unreached", 0.35},
	[HLTH_FULL] = {"full", 0},
	[HLTH_REPLACED] = {"replaced", 1.0},
};

const char *hlth_outcome_name(enum hlth_outcome outcome)
{
	return outcomes[outcome].name;
}

static void decay(const struct edge *e, struct srv_row *s)
{
	int64_t age = e->ev.now_ns - s->score_ns;

	s->score *= exp(-(double)age / (double)SCORE_DECAY_NS);
	s->score_ns = e->ev.now_ns;
}

static void log_change(const struct srv_row *s, const char *event,
		       enum hlth_outcome outcome, bool own)
{
	logs_event(own ? LOGS_INFO : LOGS_DEBUG, event,
		   (struct logs_field[]){
			   LOGS_STR("server", str_from(s->id)),
			   LOGS_STR("outcome",
				    str_from(hlth_outcome_name(outcome))),
			   LOGS_STR("source", own ? STR("own") : STR("peer")),
			   LOGS_INT("score_permille", s->score * 1000),
			   LOGS_INT("in_flight", s->in_flight),
		   },
		   5);
}

static void schedule_trial(struct edge *e, struct srv_row *s)
{
	s->next_trial_ns = e->ev.now_ns + TRIAL_INTERVAL_NS +
			   (int64_t)(edge_random(e) % TRIAL_JITTER_NS);
}

void hlth_record_accepted(struct srv_row *s, int64_t at_ns)
{
	if (at_ns > s->last_accepted_ns)
		s->last_accepted_ns = at_ns;
}

/* Paths of other VMs to the server may be up: the server is ejected only if
 * several VMs report the same. */
static void record_unreached(struct edge *e, struct srv_row *s)
{
	int64_t down = PATH_DOWN_NS << (s->path_failures < MAX_PATH_DOUBLINGS
						? s->path_failures
						: MAX_PATH_DOUBLINGS);

	s->path_failures++;
	s->path_down_until_ns = e->ev.now_ns + down;
	logs_event(LOGS_INFO, "path_down",
		   (struct logs_field[]){
			   LOGS_STR("server", str_from(s->id)),
			   LOGS_INT("ms", down / NS_PER_MS),
			   LOGS_INT("failures", s->path_failures),
		   },
		   3);
}

bool hlth_path_is_down(const struct edge *e, const struct srv_row *s)
{
	return e->ev.now_ns < s->path_down_until_ns;
}

static void record_failure(struct edge *e, struct srv_row *s,
			   enum hlth_outcome outcome, bool own)
{
	decay(e, s);
	s->score += outcomes[outcome].weight;
	s->trial_successes = 0;
	if (!s->ejected)
		s->trial_failures = 0;
	else if (e->ev.now_ns - s->last_trial_ns > SAME_TRIAL_NS)
		s->trial_failures++;
	s->last_trial_ns = e->ev.now_ns;
	if (s->ejected) {
		/* For a server of another region this prolongs the ejection;
		 * see hlth_is_ejected(). */
		s->ejected_ns = s->region == e->region ? s->ejected_ns
						       : e->ev.now_ns;
		schedule_trial(e, s);
		return;
	}
	if (s->score < EJECT_SCORE)
		return;
	s->ejected = true;
	s->ejected_ns = e->ev.now_ns;
	schedule_trial(e, s);
	ctr_add(CTR_EJECTIONS, 1);
	log_change(s, "eject", outcome, own);
	if (own && s->region == e->region)
		emsg_send_ejection(e, s);
}

static bool has_low_failure_rate(struct edge *e, const struct srv_row *s)
{
	return bud_low_failure_rate(e, edge_service(e, s->service));
}

static void record_success(struct edge *e, struct srv_row *s, bool own)
{
	uint32_t needed;

	if (own) {
		s->path_failures = 0;
		s->path_down_until_ns = 0;
	}
	decay(e, s);
	if (!s->ejected) {
		s->score = s->score > SUCCESS_CREDIT ? s->score - SUCCESS_CREDIT
						     : 0;
		return;
	}
	s->last_trial_ns = e->ev.now_ns;
	s->trial_failures = 0;
	needed = has_low_failure_rate(e, s) ? REINSTATE_SUCCESSES
					    : REINSTATE_SUCCESSES_SCARCE;
	if (++s->trial_successes < needed) {
		/* After a success, the next trial may follow at once. */
		s->next_trial_ns = e->ev.now_ns;
		return;
	}
	s->ejected = false;
	s->score = 0;
	s->owed = 0;
	s->last_accepted_ns = e->ev.now_ns;
	ctr_add(CTR_REINSTATEMENTS, 1);
	log_change(s, "reinstate", HLTH_SUCCESS, own);
}

void hlth_record(struct edge *e, struct srv_row *s, enum hlth_outcome outcome)
{
	bool was_ejected = s->ejected;

	if (outcome == HLTH_FULL)
		return;
	if (outcome == HLTH_UNREACHED)
		record_unreached(e, s);
	if (outcome == HLTH_SUCCESS)
		record_success(e, s, true);
	else
		record_failure(e, s, outcome, true);
	/* Peers need successes only while the server is ejected. */
	if (outcome != HLTH_SUCCESS || was_ejected)
		emsg_send_outcome(e, s, outcome);
}

void hlth_record_peer_outcome(struct edge *e, struct srv_row *s,
			      enum hlth_outcome outcome)
{
	if (outcome == HLTH_STALLED || outcome == HLTH_BROKEN ||
	    outcome == HLTH_UNREACHED)
		prog_peer_failed(s);
	if (outcome == HLTH_SUCCESS)
		record_success(e, s, false);
	else
		record_failure(e, s, outcome, false);
}

void hlth_begin_trial(struct edge *e, struct srv_row *s)
{
	schedule_trial(e, s);
	emsg_send_trial(e, s);
}

void hlth_record_peer_trial(struct edge *e, struct srv_row *s)
{
	schedule_trial(e, s);
}

bool hlth_is_ejected(const struct edge *e, const struct srv_row *s)
{
	if (s->region == e->region)
		return s->ejected;
	/* Only the VMs of a server's own region send it trials; an ejection by
	 * a VM of another region ends when it expires. */
	return s->ejected_remotely ||
	       (s->ejected &&
		e->ev.now_ns - s->ejected_ns < REMOTE_EJECTION_NS);
}

/* Requests a second of this VM that may be repeated. */
static double safe_rate(const struct edge *e, const struct svc_row *svc)
{
	return svc->safe_count *
	       exp(-(double)(e->ev.now_ns - svc->safe_count_ns) /
		   (double)SAFE_RATE_NS) *
	       (double)NS_PER_S / (double)SAFE_RATE_NS;
}

void hlth_count_safe_request(struct edge *e, struct svc_row *svc)
{
	svc->safe_count =
		safe_rate(e, svc) * (double)SAFE_RATE_NS / (double)NS_PER_S + 1;
	svc->safe_count_ns = e->ev.now_ns;
}

static uint32_t count_region_vms(const struct edge *e)
{
	uint32_t i, count = 0;

	for (i = 0; i < e->vms.len; i++) {
		const struct vm_row *vm = tab_at(&e->vms, i);

		count += vm->region == e->region && vm_is_alive(e, vm);
	}
	return count;
}

struct trial_service hlth_trial_service(struct edge *e, struct svc_row *svc)
{
	uint32_t in_flight = 0, slots = 0, servers = 0;
	const struct srv_row *s;
	struct hnd h;

	for (s = srv_first(e, svc->key, &h); s; s = srv_next(e, s, &h)) {
		if (s->state != SRV_READY || s->region != e->region)
			continue;
		servers++;
		if (s->ejected || srv_is_paused(e, s))
			continue;
		in_flight += s->in_flight + s->peers_in_flight;
		slots += s->slots;
	}
	return (struct trial_service){
		.safe_covers = trial_safe_covers(
			safe_rate(e, svc) * count_region_vms(e), servers),
		.low_failure_rate = bud_low_failure_rate(e, svc),
		.capacity_ample = trial_capacity_is_ample(in_flight, slots),
	};
}

/* Mixes the keys of a server and a VM (splitmix64). */
static uint64_t assignment_weight(uint64_t server, uint64_t vm)
{
	uint64_t x = server ^ (vm * UINT64_C(0x9e3779b97f4a7c15));

	x = (x ^ (x >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
	x = (x ^ (x >> 27)) * UINT64_C(0x94d049bb133111eb);
	return x ^ (x >> 31);
}

/* Rank of this VM by its weight for the server, among the VMs of the region
 * that serve callers. */
static uint32_t trial_rank(const struct edge *e, const struct srv_row *s)
{
	uint64_t own = assignment_weight(s->key, e->self);
	uint32_t i, rank = 0;

	for (i = 0; i < e->vms.len; i++) {
		const struct vm_row *vm = tab_at(&e->vms, i);

		if (vm->key != e->self && vm->region == e->region &&
		    vm->ready && vm->state == VM_ACTIVE && vm_is_alive(e, vm) &&
		    assignment_weight(s->key, vm->key) > own)
			rank++;
	}
	return rank;
}

static struct trial_server make_trial_server(const struct edge *e,
					     const struct srv_row *s)
{
	int64_t now = e->ev.now_ns;

	return (struct trial_server){
		.ejected = s->ejected,
		.since_trial_ns = now - s->last_trial_ns,
		.successes = s->trial_successes,
		.failures = s->trial_failures,
		.used = s->last_accepted_ns != 0,
		.since_accepted_ns = now - s->last_accepted_ns,
		.is_new = s->discovered_ns - e->start_ns > STARTUP_NS,
		.since_discovered_ns = now - s->discovered_ns,
	};
}

bool hlth_trial_due(const struct edge *e, const struct srv_row *s,
		    enum conf_request_kind kind,
		    const struct trial_service *svc)
{
	struct trial_server t;

	if (e->ev.now_ns < s->next_trial_ns)
		return false;
	t = make_trial_server(e, s);
	/* A rank only delays a trial, and takes a walk over all VMs. */
	if (!trial_is_due(&t, svc, kind))
		return false;
	t.rank = trial_rank(e, s);
	return trial_is_due(&t, svc, kind);
}

bool hlth_trial_overdue(const struct edge *e, const struct srv_row *s)
{
	return s->ejected && trial_is_overdue(e->ev.now_ns - s->last_trial_ns);
}

#include "edge_outlier_detection.h"

#include <math.h>

#include "backend_progress.h"
#include "edge_retry_budget.h"
#include "metrics.h"
#include "logs.h"
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
/* Interval between trials with safe requests; the jitter, added to it at
 * random, keeps VMs from sending trials at the same moment. */
#define TRIAL_INTERVAL_NS (800 * NS_PER_MS)
#define TRIAL_JITTER_NS (300 * NS_PER_MS)
/* Interval between trials with unsafe requests. */
#define UNSAFE_TRIAL_INTERVAL_NS (1700 * NS_PER_MS)
/* The interval between trials with safe requests doubles with each failed
 * trial, at most this often. At 3.2 s, most ejected servers still get a request
 * in any period of two seconds. */
#define MAX_TRIAL_DOUBLINGS 2
/* Failures closer together than this count as one failed trial. */
#define SAME_TRIAL_NS (300 * NS_PER_MS)
/* A server in use that was idle for this long gets a trial: capacity that is
 * unused for two seconds counts as taken out of service. */
#define IDLE_TRIAL_NS (1400 * NS_PER_MS)
/* A service counts as having safe requests for this long after its last one. */
#define SAFE_TRAFFIC_NS (10 * NS_PER_S)
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

/* True when the service has safe requests. They reach idle servers by load
 * balancing and ejected ones as trials, so other requests need not do so,
 * unless many requests fail: then the trials of ejected servers take most of
 * the safe ones. */
static bool has_safe_traffic(const struct edge *e, const struct srv_row *s)
{
	const struct svc_row *svc = edge_service((struct edge *)e, s->service);

	return svc->last_safe_ns &&
	       e->ev.now_ns - svc->last_safe_ns < SAFE_TRAFFIC_NS;
}

/* Time from the last trial of an ejected server to the next. It grows, since a
 * server that failed its trials will probably fail the next one as well, which
 * costs a retry. It does not grow while many requests fail, as capacity is then
 * worth more than the retry, nor for unsafe requests: a service without safe
 * ones may be short of capacity before the counts of the peers show it. */
static int64_t trial_interval(const struct srv_row *s,
			      enum conf_request_kind kind,
			      bool low_failure_rate)
{
	if (kind != CONF_SAFE)
		return UNSAFE_TRIAL_INTERVAL_NS;
	if (!low_failure_rate)
		return TRIAL_INTERVAL_NS;
	return TRIAL_INTERVAL_NS << (s->trial_failures < MAX_TRIAL_DOUBLINGS
					     ? s->trial_failures
					     : MAX_TRIAL_DOUBLINGS);
}

bool hlth_trial_due(const struct edge *e, const struct srv_row *s,
		    enum conf_request_kind kind, bool low_failure_rate)
{
	int64_t now = e->ev.now_ns;

	if (now < s->next_trial_ns)
		return false;
	/* An unsafe request is a trial of an ejected server only if the service
	 * has no safe requests, an upload never. */
	if (s->ejected && kind != CONF_SAFE)
		return kind == CONF_UNSAFE && !has_safe_traffic(e, s) &&
		       now - s->last_trial_ns >
			       trial_interval(s, kind, low_failure_rate);
	if (s->ejected)
		return s->trial_successes ||
		       now - s->last_trial_ns >
			       trial_interval(s, kind, low_failure_rate);
	if (s->last_accepted_ns)
		return now - s->last_accepted_ns > IDLE_TRIAL_NS &&
		       (!low_failure_rate || !has_safe_traffic(e, s));
	/* No VM is known to have used the server yet. */
	if (kind == CONF_SAFE)
		return true;
	/* A new server gets a first request even if the service has no safe
	 * ones. */
	return kind == CONF_UNSAFE &&
	       s->discovered_ns - e->start_ns > STARTUP_NS &&
	       now - s->discovered_ns > UNSAFE_TRIAL_INTERVAL_NS;
}

bool hlth_trial_overdue(const struct edge *e, const struct srv_row *s)
{
	return s->ejected &&
	       e->ev.now_ns - s->last_trial_ns > UNSAFE_TRIAL_INTERVAL_NS;
}

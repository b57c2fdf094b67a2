#include "hlth.h"

#include <math.h>

#include "bud.h"
#include "ctr.h"
#include "logs.h"
#include "news.h"

/* Score from which a server is ejected. */
#define EJECT_SCORE 1.0
/* Time constant of the score's decay. */
#define DECAY_NS (1500 * NS_PER_MS)
/* What one success of this VM takes off the score. */
#define SUCCESS_CREDIT 0.2
/* Successes in a row that return an ejected server. One that fails three
 * quarters of its work passes two by chance once in 16 times. */
#define CALM_SUCCESSES 3
/* The same where many requests are lost, and capacity is scarce. */
#define BUSY_SUCCESSES 2
/* Pause between two trials by work that may be repeated. */
#define TRIAL_NS (800 * NS_PER_MS)
/* The same by work that runs once at most. */
#define UNSAFE_TRIAL_NS (1700 * NS_PER_MS)
/* A pause between trials by work that may be repeated doubles with each failed
 * trial, up to this many times: to 3.2 s, so that most ejected servers get work
 * within any two seconds. */
#define TRIAL_DOUBLINGS 2
/* A failure so soon after another one belongs to the same trial. */
#define SAME_TRIAL_NS (300 * NS_PER_MS)
/* A server in use that got no work for this long is given some: capacity
 * that is not used for two seconds counts as taken out of service. */
#define COVER_NS (1400 * NS_PER_MS)
/* Time since a service's last repeatable request until it counts as one
 * without any. */
#define EXPLORED_NS (10 * NS_PER_S)
/* Servers that a VM hears of in its first seconds are not newcomers. */
#define SETTLED_NS (5 * NS_PER_S)
/* Spread of the pause, so that VMs do not try at the same moment. */
#define TRIAL_JITTER_NS (300 * NS_PER_MS)

/* How long a VM avoids a server of another region that failed it. */
#define FAR_MEMORY_NS (2 * NS_PER_S)

static const struct outcome {
	const char *name;
	/* Added to the score. */
	double weight;
} outcomes[HLTH_OUTCOMES] = {
	[HLTH_SUCCESS] = {"success", 0}, [HLTH_ERROR] = {"error", 0.45},
	[HLTH_BROKEN] = {"broken", 1.0}, [HLTH_STALLED] = {"stalled", 1.0},
	[HLTH_FULL] = {"full", 0},	 [HLTH_REPLACED] = {"replaced", 1.0},
};

const char *hlth_name(enum hlth_outcome outcome)
{
	return outcomes[outcome].name;
}

static void decay(const struct edge *e, struct srv_row *s)
{
	int64_t age = e->ev.now_ns - s->score_ns;

	s->score *= exp(-(double)age / (double)DECAY_NS);
	s->score_ns = e->ev.now_ns;
}

static void log_change(const struct srv_row *s, const char *event,
		       enum hlth_outcome outcome, bool own)
{
	logs_event(own ? LOGS_INFO : LOGS_DEBUG, event,
		   (struct logs_field[]){
			   LOGS_STR("server", str_from(s->id)),
			   LOGS_STR("outcome", str_from(hlth_name(outcome))),
			   LOGS_STR("source", own ? STR("own") : STR("peer")),
			   LOGS_INT("score_permille", s->score * 1000),
			   LOGS_INT("in_flight", s->in_flight),
		   },
		   5);
}

static void plan_trial(struct edge *e, struct srv_row *s)
{
	s->next_trial_ns = e->ev.now_ns + TRIAL_NS +
			   (int64_t)(edge_random(e) % TRIAL_JITTER_NS);
}

void hlth_prove(struct srv_row *s, int64_t at_ns)
{
	if (at_ns > s->proof_ns)
		s->proof_ns = at_ns;
}

static void fail(struct edge *e, struct srv_row *s, enum hlth_outcome outcome,
		 bool own)
{
	decay(e, s);
	s->score += outcomes[outcome].weight;
	s->trial_successes = 0;
	if (!s->suspect)
		s->trial_failures = 0;
	else if (e->ev.now_ns - s->last_trial_ns > SAME_TRIAL_NS)
		s->trial_failures++;
	s->last_trial_ns = e->ev.now_ns;
	if (s->suspect) {
		s->suspect_ns = s->region == e->region ? s->suspect_ns
						       : e->ev.now_ns;
		plan_trial(e, s);
		return;
	}
	if (s->score < EJECT_SCORE)
		return;
	s->suspect = true;
	s->suspect_ns = e->ev.now_ns;
	plan_trial(e, s);
	ctr_add(CTR_EJECTIONS, 1);
	log_change(s, "eject", outcome, own);
	if (own && s->region == e->region)
		emsg_send_ejection(e, s);
}

static bool is_calm(struct edge *e, const struct srv_row *s)
{
	return bud_is_calm(e, edge_service(e, s->service));
}

static void succeed(struct edge *e, struct srv_row *s, bool own)
{
	uint32_t needed;

	decay(e, s);
	if (!s->suspect) {
		s->score = s->score > SUCCESS_CREDIT ? s->score - SUCCESS_CREDIT
						     : 0;
		return;
	}
	s->last_trial_ns = e->ev.now_ns;
	s->trial_failures = 0;
	needed = is_calm(e, s) ? CALM_SUCCESSES : BUSY_SUCCESSES;
	if (++s->trial_successes < needed) {
		s->next_trial_ns = e->ev.now_ns;
		return;
	}
	s->suspect = false;
	s->score = 0;
	s->proof_ns = e->ev.now_ns;
	ctr_add(CTR_REINSTATEMENTS, 1);
	log_change(s, "reinstate", HLTH_SUCCESS, own);
}

void hlth_note(struct edge *e, struct srv_row *s, enum hlth_outcome outcome)
{
	bool was_suspect = s->suspect;

	if (outcome == HLTH_FULL)
		return;
	if (outcome == HLTH_SUCCESS)
		succeed(e, s, true);
	else
		fail(e, s, outcome, true);
	/* Successes are news only while the server is ejected. */
	if (outcome != HLTH_SUCCESS || was_suspect)
		emsg_send_outcome(e, s, outcome);
}

void hlth_hear(struct edge *e, struct srv_row *s, enum hlth_outcome outcome)
{
	if (outcome == HLTH_SUCCESS)
		succeed(e, s, false);
	else
		fail(e, s, outcome, false);
}

void hlth_begin_trial(struct edge *e, struct srv_row *s)
{
	plan_trial(e, s);
	emsg_send_trial(e, s);
}

void hlth_hear_trial(struct edge *e, struct srv_row *s)
{
	plan_trial(e, s);
}

bool hlth_is_out(const struct edge *e, const struct srv_row *s)
{
	if (s->region == e->region)
		return s->suspect;
	/* The VMs of its own region try it; what this one saw fades. */
	return s->ejected_there ||
	       (s->suspect && e->ev.now_ns - s->suspect_ns < FAR_MEMORY_NS);
}

/* Repeatable work of the service reaches idle servers without being told. */
static bool is_explored(const struct edge *e, const struct srv_row *s)
{
	const struct svc_row *svc = edge_service((struct edge *)e, s->service);

	return svc->safe_ns && e->ev.now_ns - svc->safe_ns < EXPLORED_NS;
}

/* Pause after the last trial of an ejected server. A server that failed its
 * trials will mostly fail the next one, which costs a repeat. Where many
 * requests are lost, capacity is worth more than that; a service without
 * repeatable work may get there before the counts of the others tell. */
static int64_t trial_pause(const struct srv_row *s, enum conf_request_kind kind,
			   bool calm)
{
	if (kind != CONF_SAFE)
		return UNSAFE_TRIAL_NS;
	if (!calm)
		return TRIAL_NS;
	return TRIAL_NS << (s->trial_failures < TRIAL_DOUBLINGS
				    ? s->trial_failures
				    : TRIAL_DOUBLINGS);
}

bool hlth_trial_due(const struct edge *e, const struct srv_row *s,
		    enum conf_request_kind kind, bool calm)
{
	int64_t now = e->ev.now_ns;

	if (now < s->next_trial_ns)
		return false;
	/* Work that may not be repeated tries only where there is no other. */
	if (s->suspect && kind != CONF_SAFE)
		return kind == CONF_UNSAFE && !is_explored(e, s) &&
		       now - s->last_trial_ns > trial_pause(s, kind, calm);
	if (s->suspect)
		return s->trial_successes ||
		       now - s->last_trial_ns > trial_pause(s, kind, calm);
	if (s->proof_ns)
		return now - s->proof_ns > COVER_NS && !is_explored(e, s);
	if (kind == CONF_SAFE)
		return true;
	/* A server that joined gets work also where none may be repeated. */
	return kind == CONF_UNSAFE && s->joined_ns - e->start_ns > SETTLED_NS &&
	       now - s->joined_ns > UNSAFE_TRIAL_NS;
}

bool hlth_trial_overdue(const struct edge *e, const struct srv_row *s)
{
	return s->suspect && e->ev.now_ns - s->last_trial_ns > UNSAFE_TRIAL_NS;
}

#include "ejection.h"

#include "allocator_lease.h"
#include "metrics.h"
#include "outlier_detection.h"
#include "drain.h"

/* Duration of a first ejection, doubled by each further one; longest one. */
#define EJCT_BASE_TIME_NS (5 * NS_PER_S)
#define EJCT_MAX_TIME_NS (300 * NS_PER_S)
/* If the last ejection ended longer ago, the next counts as the first one. */
#define EJCT_BACKOFF_RESET_NS (600 * NS_PER_S)
/* Time in which the slots of a reinstated server rise from 1 to all. */
#define EJCT_SLOW_START_NS (4 * NS_PER_S)
/*
 * A holder counts as live until it has been silent for this time. Then the
 * lease on its share has ended: ALC_SHARE_TTL_NS plus ALC_MARGIN_NS.
 */
#define EJCT_HOLDER_LIVE_NS (4 * NS_PER_S)
/*
 * A trial is passed by this many good answers, or without any request, by this
 * many successful probes.
 */
#define EJCT_TRIAL_MIN_ANSWERS 5
#define EJCT_TRIAL_MIN_PROBES 3
/* Shortest trial that can be passed by probes. */
#define EJCT_IDLE_TRIAL_NS (10 * NS_PER_S)
/*
 * A server whose score suffices is a suspect; after this time it is ejected. A
 * fault that servers share makes the others suspects meanwhile, which limits
 * the rate of ejections; see EJCT_MIN_INTERVAL_NS.
 */
#define EJCT_CONFIRM_FAST_NS (150 * NS_PER_MS)
#define EJCT_CONFIRM_CAREFUL_NS (300 * NS_PER_MS)
/* Minimum interval between ejections while most servers are suspects. */
#define EJCT_MIN_INTERVAL_NS (NS_PER_S / 2)
#define EJCT_LOG_INTERVAL_NS NS_PER_S

static void log_decision(struct core *c, const struct shard_row *shard,
			 const struct backend_row *be, const char *event,
			 const char *reason)
{
	const struct svc_row *svc = tab_get(&c->services, shard->svc);
	struct core_decision d = {
		.event = event,
		.service = svc ? svc->conf->id : STR_NONE,
		.backend = be->conf->id,
		.reason = reason,
		.value = ejct_healthy_slots(c, shard),
	};

	core_log_decision(c, &d);
}

static bool in_shard(struct core *c, const struct backend_row *be,
		     const struct shard_row *shard)
{
	return tab_get(&c->shards, be->shard) == shard;
}

static struct hnd first_backend(struct core *c, const struct shard_row *shard)
{
	const struct svc_row *svc = tab_get(&c->services, shard->svc);

	return svc ? svc->first_backend : HND_NONE;
}

static uint32_t slow_start_slots(const struct core *c,
				 const struct backend_row *be)
{
	int64_t age = c->now - be->slow_start_since_ns;
	int64_t slots = be->conf->slots;

	if (!be->slow_start_since_ns || age >= EJCT_SLOW_START_NS)
		return (uint32_t)slots;
	return (uint32_t)(1 + (slots - 1) * (age / NS_PER_MS) /
				      (EJCT_SLOW_START_NS / NS_PER_MS));
}

uint32_t ejct_usable_slots(const struct core *c, const struct backend_row *be)
{
	uint32_t warm_up, slow_start;

	if (be->draining || be->ejected || be->recheck_until_ns > c->now)
		return 0;
	if (be->trial)
		return 1;
	warm_up = drn_warmup_slots(c, be);
	slow_start = slow_start_slots(c, be);
	return warm_up < slow_start ? warm_up : slow_start;
}

enum msg_backend_state ejct_state(const struct core *c,
				  const struct backend_row *be)
{
	(void)c;
	if (be->draining)
		return MSG_BACKEND_DRAINING;
	if (be->ejected)
		return MSG_BACKEND_EJECTED;
	return be->trial ? MSG_BACKEND_TRIAL : MSG_BACKEND_ACTIVE;
}

/* Highest grant sequence that every live holder with a share has applied. */
static uint64_t applied_by_all(struct core *c, const struct shard_row *shard)
{
	uint64_t lowest = UINT64_MAX;
	uint32_t i;

	for (i = 0; i < c->holders.len; i++) {
		const struct holder_row *holder = tab_at(&c->holders, i);

		if (tab_get(&c->shards, holder->shard) == shard &&
		    !holder->no_grants &&
		    holder->heard_ns > c->now - EJCT_HOLDER_LIVE_NS &&
		    holder->applied_seq < lowest)
			lowest = holder->applied_seq;
	}
	return lowest;
}

/*
 * True when every live holder with a share runs a bundle in which be is usable;
 * a holder drops grants of backend servers that are not in its bundle.
 */
static bool usable_in_all_bundles(struct core *c, const struct shard_row *shard,
				  const struct backend_row *be)
{
	uint32_t i;

	for (i = 0; i < c->holders.len; i++) {
		const struct holder_row *holder = tab_at(&c->holders, i);
		const struct member_row *m;

		if (tab_get(&c->shards, holder->shard) != shard ||
		    holder->no_grants ||
		    holder->heard_ns <= c->now - EJCT_HOLDER_LIVE_NS)
			continue;
		m = tab_get(&c->members,
			    idx_get(&c->member_by_key, holder->holder));
		if (holder->holder != c->self_key &&
		    (!m || m->bundle_version < be->usable_from_version))
			return false;
	}
	return true;
}

/* What be adds to ejct_healthy_slots(); applied is from applied_by_all(). */
static int64_t healthy_slots_of(struct core *c, const struct backend_row *be,
				uint64_t applied)
{
	const struct shard_row *shard = tab_get(&c->shards, be->shard);

	if (be->trial || be->healthy_from_seq > applied ||
	    !usable_in_all_bundles(c, shard, be))
		return 0;
	return ejct_usable_slots(c, be);
}

int64_t ejct_healthy_slots(struct core *c, const struct shard_row *shard)
{
	uint64_t applied = applied_by_all(c, shard);
	struct backend_row *be;
	int64_t sum = 0;
	struct hnd h;

	for (h = first_backend(c, shard); (be = tab_get(&c->backends, h));
	     h = be->next)
		if (in_shard(c, be, shard))
			sum += healthy_slots_of(c, be, applied);
	return sum;
}

static void reset_ejection(struct backend_row *be)
{
	be->ejected = false;
	be->trial = false;
	be->slow_start_since_ns = 0;
	be->healthy_from_seq = 0;
	be->score = 0;
	be->suspect_since_ns = 0;
}

/*
 * Resets the decisions at the start of a new epoch. A holder may still use a
 * grant of an earlier allocator, so no server counts as healthy until every
 * live holder has applied a grant of this epoch.
 */
static void start_epoch(struct core *c, struct shard_row *shard)
{
	struct backend_row *be;
	struct hnd h;

	if (shard->eject_epoch == shard->epoch)
		return;
	shard->eject_epoch = shard->epoch;
	shard->review_now = true;
	for (h = first_backend(c, shard); (be = tab_get(&c->backends, h));
	     h = be->next) {
		if (!in_shard(c, be, shard))
			continue;
		reset_ejection(be);
		be->healthy_from_seq = shard->grant_seq + 1;
	}
}

static void start_ejection(struct core *c, struct backend_row *be)
{
	int64_t duration_ns = EJCT_BASE_TIME_NS;
	uint32_t i;

	if (be->last_eject_ns &&
	    c->now - be->eject_until_ns > EJCT_BACKOFF_RESET_NS)
		be->eject_count = 0;
	for (i = 0; i < be->eject_count && duration_ns < EJCT_MAX_TIME_NS; i++)
		duration_ns *= 2;
	be->eject_count++;
	be->ejected = true;
	be->trial = false;
	be->slow_start_since_ns = 0;
	be->suspect_since_ns = 0;
	be->last_eject_ns = c->now;
	be->eject_until_ns =
		c->now + (duration_ns < EJCT_MAX_TIME_NS ? duration_ns
							 : EJCT_MAX_TIME_NS);
}

/*
 * Usable slots of the servers that are not on trial. Unlike in
 * ejct_healthy_slots(), a reinstated server counts at once, before the holders
 * have applied that.
 */
static int64_t usable_slots(struct core *c, const struct shard_row *shard)
{
	struct backend_row *be;
	int64_t sum = 0;
	struct hnd h;

	for (h = first_backend(c, shard); (be = tab_get(&c->backends, h));
	     h = be->next)
		if (in_shard(c, be, shard) && !be->trial)
			sum += ejct_usable_slots(c, be);
	return sum;
}

void ejct_adopt(struct core *c, struct backend_row *be)
{
	struct shard_row *shard = tab_get(&c->shards, be->shard);

	if (!shard)
		return;
	start_epoch(c, shard);
	det_activate(c, shard);
	/*
	 * From the reconciliation on, this allocator decides itself, and what
	 * holders report are its own decisions.
	 */
	if (be->ejected || be->trial || c->now >= shard->reconciled_ns)
		return;
	/*
	 * A holder that was silent for long may report an outdated ejection, so
	 * the floor is kept here, too.
	 */
	if (usable_slots(c, shard) - ejct_usable_slots(c, be) <
	    shard->floor_slots)
		return;
	start_ejection(c, be);
	shard->review_now = true;
	log_decision(c, shard, be, "eject", "adopted from holder");
}

static void log_floor_blocked(struct core *c, struct shard_row *shard,
			      const struct backend_row *be)
{
	if (c->now < shard->floor_logged_ns + EJCT_LOG_INTERVAL_NS)
		return;
	shard->floor_logged_ns = c->now;
	ctr_add(CTR_FLOOR_BLOCKED, 1);
	log_decision(c, shard, be, "floor_blocked",
		     be->score_reason ? be->score_reason : "score");
}

static bool may_eject(struct core *c, const struct shard_row *shard,
		      const struct backend_row *be)
{
	int64_t floor = shard->floor_slots > 1 ? shard->floor_slots : 1;
	int64_t own = healthy_slots_of(c, be, applied_by_all(c, shard));

	/*
	 * Ejecting a server on trial takes no healthy slots, yet is not allowed
	 * below the floor either.
	 */
	return ejct_healthy_slots(c, shard) - own >= floor;
}

static bool eject(struct core *c, struct shard_row *shard,
		  struct backend_row *be)
{
	if (!may_eject(c, shard, be)) {
		log_floor_blocked(c, shard, be);
		return false;
	}
	start_ejection(c, be);
	shard->review_now = true;
	shard->last_eject_ns = c->now;
	ctr_add(CTR_EJECTIONS, 1);
	log_decision(c, shard, be, "eject",
		     be->score_reason ? be->score_reason : "score");
	return true;
}

static bool is_confirmed(struct core *c, const struct backend_row *be)
{
	const struct svc_row *svc = tab_get(&c->services, be->svc);
	int64_t wait = svc->conf->profile == BNDL_FAST
			       ? EJCT_CONFIRM_FAST_NS
			       : EJCT_CONFIRM_CAREFUL_NS;

	return be->score >= DET_EJECT_SCORE && be->suspect_since_ns &&
	       c->now - be->suspect_since_ns >= wait;
}

static struct backend_row *worst_suspect(struct core *c,
					 const struct shard_row *shard)
{
	struct backend_row *worst = NULL;
	struct backend_row *be;
	struct hnd h;

	for (h = first_backend(c, shard); (be = tab_get(&c->backends, h));
	     h = be->next) {
		if (!in_shard(c, be, shard) || be->ejected || be->trial ||
		    be->draining || !is_confirmed(c, be))
			continue;
		if (!worst || be->score > worst->score)
			worst = be;
	}
	return worst;
}

/* Ejected servers count as suspects, draining ones not at all. */
static bool most_are_suspects(struct core *c, const struct shard_row *shard)
{
	uint32_t total = 0, suspects = 0;
	struct backend_row *be;
	struct hnd h;

	for (h = first_backend(c, shard); (be = tab_get(&c->backends, h));
	     h = be->next) {
		if (!in_shard(c, be, shard) || be->draining)
			continue;
		total++;
		suspects += be->ejected || be->score >= DET_EJECT_SCORE;
	}
	return suspects * 2 > total;
}

static void eject_worst(struct core *c, struct shard_row *shard)
{
	struct backend_row *be;

	while ((be = worst_suspect(c, shard))) {
		if (most_are_suspects(c, shard) &&
		    c->now - shard->last_eject_ns < EJCT_MIN_INTERVAL_NS)
			return;
		if (!eject(c, shard, be))
			return;
	}
}

static void start_trial(struct core *c, struct shard_row *shard,
			struct backend_row *be, const char *reason)
{
	be->ejected = false;
	be->trial = true;
	be->trial_since_ns = c->now;
	be->trial_successes = 0;
	be->trial_failures = 0;
	be->trial_probes = 0;
	be->probe_due_ns = c->now;
	/* Not healthy before the grant that ends the trial; see reinstate(). */
	be->healthy_from_seq = UINT64_MAX;
	det_clear_evidence(c, be);
	shard->review_now = true;
	log_decision(c, shard, be, "trial", reason);
}

static void reinstate(struct core *c, struct shard_row *shard,
		      struct backend_row *be)
{
	be->trial = false;
	be->slow_start_since_ns = c->now;
	be->healthy_from_seq = shard->grant_seq + 1;
	shard->review_now = true;
	ctr_add(CTR_REINSTATEMENTS, 1);
	log_decision(c, shard, be, "reinstate",
		     be->trial_successes >= EJCT_TRIAL_MIN_ANSWERS
			     ? "successful requests"
			     : "successful probes");
}

/* By score, or by 2 or more failures that exceed a fifth of the answers. */
static bool trial_failed(const struct backend_row *be)
{
	return be->score >= DET_EJECT_SCORE ||
	       (be->trial_failures >= 2 &&
		be->trial_failures * 4 > be->trial_successes);
}

static bool trial_passed(const struct core *c, const struct backend_row *be)
{
	if (be->trial_successes >= EJCT_TRIAL_MIN_ANSWERS)
		return true;
	return be->last_work_ns < be->trial_since_ns &&
	       be->trial_probes >= EJCT_TRIAL_MIN_PROBES &&
	       c->now - be->trial_since_ns >= EJCT_IDLE_TRIAL_NS;
}

static void advance_backend(struct core *c, struct shard_row *shard,
			    struct backend_row *be)
{
	if (be->ejected && c->now >= be->eject_until_ns)
		start_trial(c, shard, be, "ejection time ended");
	else if (be->trial && trial_failed(be))
		eject(c, shard, be);
	else if (be->trial && trial_passed(c, be))
		reinstate(c, shard, be);
}

/*
 * Drains can take a shard with ejected servers below its floor. The server that
 * was ejected first then goes on trial before its ejection time ends.
 */
static void restore_floor(struct core *c, struct shard_row *shard)
{
	struct backend_row *first = NULL;
	struct backend_row *be;
	struct hnd h;

	for (h = first_backend(c, shard); (be = tab_get(&c->backends, h));
	     h = be->next) {
		if (!in_shard(c, be, shard) || be->draining)
			continue;
		if (be->trial)
			return;
		if (be->ejected &&
		    (!first || be->last_eject_ns < first->last_eject_ns))
			first = be;
	}
	if (first && usable_slots(c, shard) < shard->floor_slots)
		start_trial(c, shard, first, "below floor");
}

static void tick_shard(struct core *c, struct shard_row *shard)
{
	struct backend_row *be;
	struct hnd h;

	start_epoch(c, shard);
	if (c->now < shard->reconciled_ns)
		return;
	for (h = first_backend(c, shard); (be = tab_get(&c->backends, h));
	     h = be->next)
		if (in_shard(c, be, shard))
			advance_backend(c, shard, be);
	eject_worst(c, shard);
	restore_floor(c, shard);
}

void ejct_tick(struct core *c)
{
	uint32_t i;

	if (!c->opts.policy || !c->opts.policy->shared)
		return;
	for (i = 0; i < c->evidence_shards.len; i++) {
		const struct work_row *work = tab_at(&c->evidence_shards, i);
		struct shard_row *shard = tab_get(&c->shards, work->h);

		/* Decisions are made only in ticks that scored the shard. */
		if (shard && shard->is_allocator &&
		    shard->lease_until_ns > c->now &&
		    shard->scored_ns == c->now)
			tick_shard(c, shard);
		if (shard && shard->review_now)
			alc_slots_changed(c, shard);
	}
}

/* det_next_due() covers every shard with evidence or decisions. */
int64_t ejct_next_due(const struct core *c)
{
	(void)c;
	return TMR_NEVER;
}

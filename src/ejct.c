#include "ejct.h"

#include "alc.h"
#include "ctr.h"
#include "det.h"
#include "drn.h"

/* Doubled by each further ejection. */
#define EJCT_FIRST_NS (5 * NS_PER_S)
#define EJCT_MAX_NS (300 * NS_PER_S)
#define EJCT_FORGET_NS (600 * NS_PER_S)
#define EJCT_RAMP_NS (4 * NS_PER_S)
/* One share TTL (3 s) plus margin: a silent holder has no share after it. */
#define EJCT_LIVE_NS (4 * NS_PER_S)
#define EJCT_TRIAL_GOOD 5
#define EJCT_TRIAL_PROBES 3
/* Time on trial before probes alone reinstate a server without work. */
#define EJCT_IDLE_TRIAL_NS (10 * NS_PER_S)
/* Others need this long to look suspicious too if the cause is common. */
#define EJCT_CONFIRM_FAST_NS (150 * NS_PER_MS)
#define EJCT_CONFIRM_CAREFUL_NS (300 * NS_PER_MS)
/* Between ejections while more than half of the shard is suspicious. */
#define EJCT_SPACING_NS (NS_PER_S / 2)
#define EJCT_LOG_NS NS_PER_S

static void decide(struct core *c, const struct shard_row *shard,
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

static struct hnd first_of(struct core *c, const struct shard_row *shard)
{
	const struct svc_row *svc = tab_get(&c->services, shard->svc);

	return svc ? svc->first_backend : HND_NONE;
}

static uint32_t ramp_slots(const struct core *c, const struct backend_row *be)
{
	int64_t age = c->now - be->ramp_since_ns;
	int64_t slots = be->conf->slots;

	if (!be->ramp_since_ns || age >= EJCT_RAMP_NS)
		return (uint32_t)slots;
	return (uint32_t)(1 + (slots - 1) * (age / NS_PER_MS) /
				      (EJCT_RAMP_NS / NS_PER_MS));
}

uint32_t ejct_usable_slots(const struct core *c, const struct backend_row *be)
{
	uint32_t warm, ramp;

	if (be->draining || be->ejected || be->recheck_until_ns > c->now)
		return 0;
	if (be->trial)
		return 1;
	warm = drn_warm_slots(c, be);
	ramp = ramp_slots(c, be);
	return warm < ramp ? warm : ramp;
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

/* Lowest sequence that every live holder with a share has applied. */
static uint64_t applied_by_all(struct core *c, const struct shard_row *shard)
{
	uint64_t least = UINT64_MAX;
	uint32_t i;

	for (i = 0; i < c->holders.len; i++) {
		const struct holder_row *holder = tab_at(&c->holders, i);

		if (tab_get(&c->shards, holder->shard) == shard &&
		    !holder->idle && holder->heard_ns > c->now - EJCT_LIVE_NS &&
		    holder->applied_seq < least)
			least = holder->applied_seq;
	}
	return least;
}

/*
 * True when every live holder with a share runs a bundle in which be is usable;
 * a holder drops grants of backend servers that its bundle does not have.
 */
static bool known_by_all(struct core *c, const struct shard_row *shard,
			 const struct backend_row *be)
{
	uint32_t i;

	for (i = 0; i < c->holders.len; i++) {
		const struct holder_row *holder = tab_at(&c->holders, i);
		const struct member_row *m;

		if (tab_get(&c->shards, holder->shard) != shard ||
		    holder->idle || holder->heard_ns <= c->now - EJCT_LIVE_NS)
			continue;
		m = tab_get(&c->members,
			    idx_get(&c->member_by_key, holder->holder));
		if (holder->holder != c->self_key &&
		    (!m || m->bundle_version < be->usable_version))
			return false;
	}
	return true;
}

static int64_t healthy_of(struct core *c, const struct backend_row *be,
			  uint64_t applied)
{
	const struct shard_row *shard = tab_get(&c->shards, be->shard);

	if (be->trial || be->reinstate_seq > applied ||
	    !known_by_all(c, shard, be))
		return 0;
	return ejct_usable_slots(c, be);
}

int64_t ejct_healthy_slots(struct core *c, const struct shard_row *shard)
{
	uint64_t applied = applied_by_all(c, shard);
	struct backend_row *be;
	int64_t sum = 0;
	struct hnd h;

	for (h = first_of(c, shard); (be = tab_get(&c->backends, h));
	     h = be->next)
		if (in_shard(c, be, shard))
			sum += healthy_of(c, be, applied);
	return sum;
}

static void clear_row(struct backend_row *be)
{
	be->ejected = false;
	be->trial = false;
	be->ramp_since_ns = 0;
	be->reinstate_seq = 0;
	be->score = 0;
	be->suspect_since_ns = 0;
}

/*
 * Starts the decisions of a new epoch. A holder may still act on a grant of an
 * earlier allocator, so no server counts as healthy before every live holder
 * has applied a grant of this epoch.
 */
static void enter_epoch(struct core *c, struct shard_row *shard)
{
	struct backend_row *be;
	struct hnd h;

	if (shard->eject_epoch == shard->epoch)
		return;
	shard->eject_epoch = shard->epoch;
	shard->dirty = true;
	for (h = first_of(c, shard); (be = tab_get(&c->backends, h));
	     h = be->next) {
		if (!in_shard(c, be, shard))
			continue;
		clear_row(be);
		be->reinstate_seq = shard->seq + 1;
	}
}

static void hold_out(struct core *c, struct backend_row *be)
{
	int64_t span = EJCT_FIRST_NS;
	uint32_t i;

	if (be->last_eject_ns && c->now - be->eject_until_ns > EJCT_FORGET_NS)
		be->eject_count = 0;
	for (i = 0; i < be->eject_count && span < EJCT_MAX_NS; i++)
		span *= 2;
	be->eject_count++;
	be->ejected = true;
	be->trial = false;
	be->ramp_since_ns = 0;
	be->suspect_since_ns = 0;
	be->last_eject_ns = c->now;
	be->eject_until_ns = c->now + (span < EJCT_MAX_NS ? span : EJCT_MAX_NS);
}

/* Slots of servers in use, whether or not the holders have applied it. */
static int64_t active_slots(struct core *c, const struct shard_row *shard)
{
	struct backend_row *be;
	int64_t sum = 0;
	struct hnd h;

	for (h = first_of(c, shard); (be = tab_get(&c->backends, h));
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
	enter_epoch(c, shard);
	det_activate(c, shard);
	/* Once decisions of this epoch exist, holders only echo them. */
	if (be->ejected || be->trial || c->now >= shard->settled_ns)
		return;
	/* A holder that was silent for long may report an old ejection. */
	if (active_slots(c, shard) - ejct_usable_slots(c, be) <
	    shard->floor_slots)
		return;
	hold_out(c, be);
	shard->dirty = true;
	decide(c, shard, be, "eject", "adopted from holder");
}

static void log_blocked(struct core *c, struct shard_row *shard,
			const struct backend_row *be)
{
	if (c->now < shard->floor_logged_ns + EJCT_LOG_NS)
		return;
	shard->floor_logged_ns = c->now;
	ctr_add(CTR_FLOOR_BLOCKED, 1);
	decide(c, shard, be, "floor_blocked", be->why ? be->why : "score");
}

static bool may_eject(struct core *c, const struct shard_row *shard,
		      const struct backend_row *be)
{
	int64_t floor = shard->floor_slots > 1 ? shard->floor_slots : 1;
	int64_t own = healthy_of(c, be, applied_by_all(c, shard));

	/* A server on trial counts for nothing, but stays below the floor. */
	return ejct_healthy_slots(c, shard) - own >= floor;
}

static bool eject(struct core *c, struct shard_row *shard,
		  struct backend_row *be)
{
	if (!may_eject(c, shard, be)) {
		log_blocked(c, shard, be);
		return false;
	}
	hold_out(c, be);
	shard->dirty = true;
	shard->last_eject_ns = c->now;
	ctr_add(CTR_EJECTIONS, 1);
	decide(c, shard, be, "eject", be->why ? be->why : "score");
	return true;
}

static bool is_confirmed(struct core *c, const struct backend_row *be)
{
	const struct svc_row *svc = tab_get(&c->services, be->svc);
	int64_t wait = svc->conf->profile == BNDL_FAST
			       ? EJCT_CONFIRM_FAST_NS
			       : EJCT_CONFIRM_CAREFUL_NS;

	return be->score >= DET_CERTAIN && be->suspect_since_ns &&
	       c->now - be->suspect_since_ns >= wait;
}

static struct backend_row *worst(struct core *c, const struct shard_row *shard)
{
	struct backend_row *found = NULL;
	struct backend_row *be;
	struct hnd h;

	for (h = first_of(c, shard); (be = tab_get(&c->backends, h));
	     h = be->next) {
		if (!in_shard(c, be, shard) || be->ejected || be->trial ||
		    be->draining || !is_confirmed(c, be))
			continue;
		if (!found || be->score > found->score)
			found = be;
	}
	return found;
}

static bool mostly_suspicious(struct core *c, const struct shard_row *shard)
{
	uint32_t all = 0, suspects = 0;
	struct backend_row *be;
	struct hnd h;

	for (h = first_of(c, shard); (be = tab_get(&c->backends, h));
	     h = be->next) {
		if (!in_shard(c, be, shard) || be->draining)
			continue;
		all++;
		suspects += be->ejected || be->score >= DET_CERTAIN;
	}
	return suspects * 2 > all;
}

static void eject_worst(struct core *c, struct shard_row *shard)
{
	struct backend_row *be;

	while ((be = worst(c, shard))) {
		if (mostly_suspicious(c, shard) &&
		    c->now - shard->last_eject_ns < EJCT_SPACING_NS)
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
	be->trial_good = 0;
	be->trial_bad = 0;
	be->trial_probes = 0;
	be->probe_due_ns = c->now;
	/* No grant counts before the one that ends the trial. */
	be->reinstate_seq = UINT64_MAX;
	det_forget(c, be);
	shard->dirty = true;
	decide(c, shard, be, "trial", reason);
}

static void reinstate(struct core *c, struct shard_row *shard,
		      struct backend_row *be)
{
	be->trial = false;
	be->ramp_since_ns = c->now;
	be->reinstate_seq = shard->seq + 1;
	shard->dirty = true;
	ctr_add(CTR_REINSTATEMENTS, 1);
	decide(c, shard, be, "reinstate",
	       be->trial_good >= EJCT_TRIAL_GOOD ? "good work" : "good probes");
}

static bool trial_failed(const struct backend_row *be)
{
	return be->score >= DET_CERTAIN ||
	       (be->trial_bad >= 2 && be->trial_bad * 4 > be->trial_good);
}

static bool trial_passed(const struct core *c, const struct backend_row *be)
{
	if (be->trial_good >= EJCT_TRIAL_GOOD)
		return true;
	return be->last_work_ns < be->trial_since_ns &&
	       be->trial_probes >= EJCT_TRIAL_PROBES &&
	       c->now - be->trial_since_ns >= EJCT_IDLE_TRIAL_NS;
}

static void advance(struct core *c, struct shard_row *shard,
		    struct backend_row *be)
{
	if (be->ejected && c->now >= be->eject_until_ns)
		start_trial(c, shard, be, "time over");
	else if (be->trial && trial_failed(be))
		eject(c, shard, be);
	else if (be->trial && trial_passed(c, be))
		reinstate(c, shard, be);
}

/*
 * Drains can take a shard with ejected servers below its floor. The one that
 * was ejected first then goes on trial before its time is over.
 */
static void relieve_floor(struct core *c, struct shard_row *shard)
{
	struct backend_row *first = NULL;
	struct backend_row *be;
	struct hnd h;

	for (h = first_of(c, shard); (be = tab_get(&c->backends, h));
	     h = be->next) {
		if (!in_shard(c, be, shard) || be->draining)
			continue;
		if (be->trial)
			return;
		if (be->ejected &&
		    (!first || be->last_eject_ns < first->last_eject_ns))
			first = be;
	}
	if (first && active_slots(c, shard) < shard->floor_slots)
		start_trial(c, shard, first, "below floor");
}

static void tick_shard(struct core *c, struct shard_row *shard)
{
	struct backend_row *be;
	struct hnd h;

	enter_epoch(c, shard);
	if (c->now < shard->settled_ns)
		return;
	for (h = first_of(c, shard); (be = tab_get(&c->backends, h));
	     h = be->next)
		if (in_shard(c, be, shard))
			advance(c, shard, be);
	eject_worst(c, shard);
	relieve_floor(c, shard);
}

void ejct_tick(struct core *c)
{
	uint32_t i;

	if (!c->opts.policy || !c->opts.policy->shared)
		return;
	for (i = 0; i < c->evidence_shards.len; i++) {
		const struct work_row *work = tab_at(&c->evidence_shards, i);
		struct shard_row *shard = tab_get(&c->shards, work->h);

		if (shard && shard->mine && shard->lease_ns > c->now &&
		    shard->scored_ns == c->now)
			tick_shard(c, shard);
		if (shard && shard->dirty)
			alc_changed(c, shard);
	}
}

/* det_next_due() covers every shard with evidence or decisions. */
int64_t ejct_next_due(const struct core *c)
{
	(void)c;
	return TMR_NEVER;
}

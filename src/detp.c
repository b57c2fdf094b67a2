#include "det.h"

#include <stdlib.h>

/* Backend servers of a shard that a median is taken over; more are sampled. */
#define DETP_MAX_SAMPLE 256
/* A stall is followed on its own until the observer's next regular report. */
#define DETP_FRESH_NS (1500 * NS_PER_MS)
/*
 * Well: a good answer within this time. Stalled requests of one zone can hold
 * all slots of a server until their deadline, so that others get no answer.
 */
#define DETP_WELL_NS (5 * NS_PER_S)
/* A coincidence of long requests ends within this time. */
#define DETP_PATH_CONFIRM_NS (NS_PER_S / 2)
#define DETP_PATH_LOG_NS NS_PER_S
/* One bad request, until it has decayed for a while, in thousandths. */
#define DETP_TROUBLE 300
/* One bad request in so many is trouble of one observer. */
#define DETP_SHARE 16
/* Time after which a slow shard counts as normal. */
#define DETP_USUAL_NS (60 * NS_PER_S)
/* Ratio of medians below this time is noise of the network. */
#define DETP_MIN_SLOW_NS (INT64_C(20) * NS_PER_MS)

/* Evidence about one backend server, over the observers that count. */
struct sum {
	int64_t done;
	int64_t failed;
	int64_t stalls;
	int64_t shed;
	int64_t latency_ns;
	int64_t last_ok_ns;
	int64_t oldest_ns;
	uint32_t stalled;
	uint32_t stalled_observers;
	uint32_t bad_observers;
	uint32_t observers;
};

/* State of the shard as a whole. */
struct env {
	const struct det_limits *lim;
	int64_t threshold_ns;
	int64_t latency_ns[DETP_MAX_SAMPLE];
	uint32_t latency_count;
	int64_t bad_share[DETP_MAX_SAMPLE];
	uint32_t share_count;
	int64_t share_sum;
	uint32_t with_work;
	uint32_t slow;
	bool slow_everywhere;
};

static int64_t stall_age(const struct core *c, const struct env *env,
			 const struct report_row *r)
{
	int64_t age = r->oldest_ns + c->now - r->at_ns;

	if (!r->stalled || c->now - r->at_ns > DETP_FRESH_NS ||
	    age < env->threshold_ns)
		return 0;
	return age;
}

static bool had_work(const struct core *c, const struct report_row *r)
{
	return c->now - r->at_ns < DET_RECENT_NS &&
	       (r->done >= 100 || r->failed >= 100 || r->stalled);
}

static bool is_trouble(const struct core *c, const struct env *env,
		       const struct report_row *r)
{
	int64_t bad = r->failed + r->stalls;

	return stall_age(c, env, r) ||
	       (bad >= DETP_TROUBLE && bad * DETP_SHARE >= r->done + bad);
}

static bool is_well(const struct core *c, const struct env *env,
		    const struct report_row *r)
{
	return !is_trouble(c, env, r) && r->last_ok_ns &&
	       c->now - r->last_ok_ns < DETP_WELL_NS;
}

static struct observer_row *observer(struct core *c, uint64_t key, bool vm)
{
	struct observer_row *o;
	void *row;
	uint32_t i;

	for (i = 0; i < c->observers.len; i++) {
		o = tab_at(&c->observers, i);
		if (o->key == key && o->vm == vm)
			return o;
	}
	tab_add(&c->observers, &row);
	o = row;
	o->key = key;
	o->vm = vm;
	return o;
}

/* Observers of one server inside and outside of a VM or zone. */
struct split {
	uint32_t in_trouble;
	uint32_t in_stalled;
	int64_t in_bad;
	int64_t in_done;
	uint32_t out_trouble;
	uint32_t out_well;
};

static void add_inside(const struct core *c, const struct env *env,
		       struct split *s, const struct report_row *r)
{
	s->in_trouble += is_trouble(c, env, r);
	s->in_stalled += stall_age(c, env, r) > 0;
	s->in_bad += r->failed + r->stalls;
	s->in_done += r->done;
}

static void add_outside(const struct core *c, const struct env *env,
			struct split *s, const struct report_row *r)
{
	bool trouble = is_trouble(c, env, r);

	s->out_trouble += trouble;
	s->out_well += !trouble && is_well(c, env, r);
}

/* Counts the servers that only this VM or zone finds in trouble. */
static void judge(struct observer_row *o, const struct split *s)
{
	o->troubled += s->in_trouble > 0;
	o->shared += s->out_trouble > 1;
	/* A second VM with a path fault must not hide the first one. */
	if (s->in_trouble > s->out_trouble &&
	    (s->in_stalled >= (o->vm ? 1U : 2U) ||
	     s->in_bad * DETP_SHARE >= s->in_done + s->in_bad) &&
	    s->out_trouble <= 1 && s->out_trouble * 4 <= s->out_well &&
	    s->out_well)
		o->alone++;
}

static struct split all_of(struct core *c, const struct env *env,
			   const struct backend_row *be)
{
	struct split s = {0};
	const struct report_row *r;
	struct hnd h;

	for (h = be->first_report; (r = tab_get(&c->reports, h)); h = r->next)
		add_outside(c, env, &s, r);
	return s;
}

/*
 * A VM has one report about a server, so that the rest of its split follows
 * from that of all observers. Returns 1 when several find it in trouble.
 */
static uint32_t judge_vms(struct core *c, const struct env *env,
			  const struct backend_row *be)
{
	struct split all = all_of(c, env, be);
	const struct report_row *r;
	struct hnd h;

	if (!all.out_trouble)
		return 0;
	for (h = be->first_report; (r = tab_get(&c->reports, h)); h = r->next) {
		struct split s = all;
		struct observer_row *o;

		if (!is_trouble(c, env, r))
			continue;
		o = observer(c, r->observer, true);
		s.out_trouble--;
		add_inside(c, env, &s, r);
		judge(o, &s);
		/*
		 * keep_discounted() adds the servers with trouble of several
		 * VMs to each; one of two is not trouble of several others.
		 */
		o->shared -= all.out_trouble > 1;
		observer(c, r->zone, false);
	}
	return all.out_trouble > 1;
}

static void judge_zone(struct core *c, const struct env *env,
		       const struct backend_row *be, struct observer_row *o)
{
	struct split s = {0};
	const struct report_row *r;
	struct hnd h;

	for (h = be->first_report; (r = tab_get(&c->reports, h)); h = r->next) {
		if (r->zone == o->key)
			add_inside(c, env, &s, r);
		else
			add_outside(c, env, &s, r);
	}
	judge(o, &s);
}

static void log_path(struct core *c, struct shard_row *shard,
		     const struct observer_row *o)
{
	const struct svc_row *svc = tab_get(&c->services, shard->svc);
	const struct member_row *m;
	struct core_decision d = {
		.event = "path_fault",
		.service = svc->conf->id,
		.candidates = o->troubled,
		.reason = o->vm ? "one VM" : "one zone",
		.value = o->alone,
	};

	if (shard->path_key != o->key) {
		shard->path_key = o->key;
		shard->path_since_ns = c->now;
	}
	if (c->now < shard->path_since_ns + DETP_PATH_CONFIRM_NS ||
	    c->now < shard->path_logged_ns + DETP_PATH_LOG_NS)
		return;
	shard->path_logged_ns = c->now;
	m = tab_get(&c->members, idx_get(&c->member_by_key, o->key));
	if (o->vm && m)
		d.vm = str_from(m->id);
	else if (!o->vm && c->bundle && o->key < c->bundle->zone_count)
		d.vm = c->bundle->zones[o->key].id;
	core_log_decision(c, &d);
}

/* Keeps only the VMs and zones whose reports are discounted. */
static void keep_discounted(struct core *c, struct shard_row *shard,
			    uint32_t shared)
{
	uint32_t i = c->observers.len;

	while (i-- > 0) {
		struct observer_row *o = tab_at(&c->observers, i);

		if (o->vm)
			o->shared += shared;
		/* Several sick servers at once leave some to one zone. */
		if (o->alone >= 2 && o->alone > o->shared)
			continue;
		tab_del(&c->observers, tab_handle(&c->observers, i));
	}
	if (c->observers.len)
		log_path(c, shard, tab_at(&c->observers, 0));
	else
		shard->path_key = 0;
}

/*
 * Discounts a VM or zone that has trouble with several backend servers which
 * other observers find well: the fault is on its path. Only observers with
 * trouble are looked at, so that a healthy shard costs one pass.
 */
static void find_path_faults(struct core *c, const struct env *env,
			     struct shard_row *shard)
{
	const struct svc_row *svc = tab_get(&c->services, shard->svc);
	const struct backend_row *be;
	uint32_t shared = 0;
	struct hnd h;
	uint32_t i;

	while (c->observers.len)
		tab_del(&c->observers, tab_handle(&c->observers, 0));
	for (h = svc->first_backend; (be = tab_get(&c->backends, h));
	     h = be->next)
		if (tab_get(&c->shards, be->shard) == shard)
			shared += judge_vms(c, env, be);
	for (i = 0; i < c->observers.len; i++) {
		struct observer_row *o = tab_at(&c->observers, i);

		if (o->vm)
			continue;
		for (h = svc->first_backend; (be = tab_get(&c->backends, h));
		     h = be->next)
			if (tab_get(&c->shards, be->shard) == shard)
				judge_zone(c, env, be, o);
	}
	keep_discounted(c, shard, shared);
}

static bool is_discounted(const struct core *c, const struct report_row *r)
{
	uint32_t i;

	for (i = 0; i < c->observers.len; i++) {
		const struct observer_row *o = tab_at(&c->observers, i);

		if (o->key == (o->vm ? r->observer : (uint64_t)r->zone))
			return true;
	}
	return false;
}

static void add_report(struct core *c, const struct env *env, struct sum *s,
		       const struct report_row *r)
{
	int64_t age = stall_age(c, env, r);

	s->latency_ns += r->latency_avg_ns * r->done / 1000;
	s->done += r->done;
	s->failed += r->failed;
	s->stalls += r->stalls;
	s->shed += r->shed;
	s->observers += had_work(c, r);
	s->bad_observers += age || r->failed + r->stalls >= DETP_TROUBLE;
	if (r->last_ok_ns > s->last_ok_ns)
		s->last_ok_ns = r->last_ok_ns;
	if (!age)
		return;
	s->stalled += r->stalled;
	s->stalled_observers++;
	if (age > s->oldest_ns)
		s->oldest_ns = age;
}

static struct sum sum_of(struct core *c, const struct env *env,
			 const struct backend_row *be)
{
	struct sum s = {0};
	const struct report_row *r;
	struct hnd h;

	for (h = be->first_report; (r = tab_get(&c->reports, h)); h = r->next)
		if (!is_discounted(c, r))
			add_report(c, env, &s, r);
	if (s.done >= 1000)
		s.latency_ns = s.latency_ns * 1000 / s.done;
	return s;
}

static int by_value(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

/* Lower median, so that a sick half does not set the measure. */
static int64_t median(int64_t *values, uint32_t count)
{
	if (!count)
		return 0;
	qsort(values, count, sizeof(*values), by_value);
	return values[(count - 1) / 2];
}

static void add_to_env(struct env *env, const struct shard_row *shard,
		       const struct sum *s)
{
	int64_t bad = s->failed + s->stalls;
	bool slow = s->stalled > 0;

	if (!s->observers)
		return;
	env->with_work++;
	if (s->done >= 3000 && env->latency_count < DETP_MAX_SAMPLE) {
		env->latency_ns[env->latency_count++] = s->latency_ns;
		slow |= s->latency_ns > 3 * shard->median_ns &&
			s->latency_ns > DETP_MIN_SLOW_NS;
	}
	if (env->share_count < DETP_MAX_SAMPLE) {
		env->bad_share[env->share_count++] =
			bad * 1000 / (s->done + bad + 1);
		env->share_sum += bad * 1000 / (s->done + bad + 1);
	}
	env->slow += slow;
}

/* Follows the median over a minute, faster while little is known. */
static void learn_usual(const struct core *c, struct shard_row *shard)
{
	int64_t span = c->now - shard->usual_since_ns;
	int64_t step = c->now - shard->usual_at_ns;

	shard->usual_at_ns = c->now;
	if (!shard->usual_ns) {
		shard->usual_since_ns = c->now;
		shard->usual_ns = shard->median_ns;
		return;
	}
	if (span > DETP_USUAL_NS)
		span = DETP_USUAL_NS;
	if (span < NS_PER_S)
		span = NS_PER_S;
	if (step > span)
		step = span;
	shard->usual_ns += (shard->median_ns - shard->usual_ns) /
			   (span / NS_PER_MS) * (step / NS_PER_MS);
}

static bool is_median_slow(const struct shard_row *shard)
{
	return shard->median_ns > 3 * shard->usual_ns &&
	       shard->median_ns > DETP_MIN_SLOW_NS;
}

static void survey(struct core *c, struct env *env,
		   const struct shard_row *shard)
{
	const struct svc_row *svc = tab_get(&c->services, shard->svc);
	const struct backend_row *be;
	struct hnd h;

	for (h = svc->first_backend; (be = tab_get(&c->backends, h));
	     h = be->next) {
		struct sum s;

		if (be->ejected || be->trial ||
		    tab_get(&c->shards, be->shard) != shard)
			continue;
		s = sum_of(c, env, be);
		add_to_env(env, shard, &s);
	}
	env->slow_everywhere =
		is_median_slow(shard) ||
		(env->with_work >= 2 && env->slow * 2 > env->with_work);
}

/* It sheds one request in 20 or more: it is slow because it is busy. */
static bool is_loaded(const struct sum *s)
{
	return s->shed >= 500 && s->shed * 20 >= s->done;
}

/*
 * Several requests stall and nothing was answered for a while, or a single one
 * is much older and nothing was answered since it began. Longer uploads may
 * still be answered after others have begun to stall.
 */
static int32_t stall_score(struct core *c, const struct env *env,
			   struct backend_row *be, const struct sum *s)
{
	int64_t lone = env->threshold_ns * env->lim->lone_tenths / 10;
	const struct shard_row *shard = tab_get(&c->shards, be->shard);
	int64_t quiet_ns = c->now - s->last_ok_ns;
	/* Requests that began before the stall may end soon after it began. */
	int64_t silent_ns = quiet_ns + 3 * shard->median_ns;
	int64_t over = s->oldest_ns / (INT64_C(20) * NS_PER_MS);
	bool agreed = s->stalled_observers >= 2 || s->observers < 2;
	bool several = s->stalled >= 2 && !is_loaded(s);

	if (env->slow_everywhere || !s->stalled)
		return 0;
	if (is_loaded(s))
		lone *= 2;
	if (several && agreed && quiet_ns * 3 >= env->threshold_ns * 2)
		return DET_CERTAIN + (int32_t)(over < 900 ? over : 900);
	/*
	 * Good answers that others have not reported yet would clear it. They
	 * are asked once the stall has half of the age that counts.
	 */
	if (s->oldest_ns >= lone / 2 && silent_ns >= s->oldest_ns &&
	    (s->observers < 2 ||
	     det_ask_observers(c, be, c->now - s->oldest_ns + lone / 2)) &&
	    s->oldest_ns >= lone)
		return DET_CERTAIN + (int32_t)(over < 900 ? over : 900);
	return DET_CERTAIN / 2;
}

/* Mean share of bad requests of the other servers, in a thousand. */
static int64_t others_share(const struct env *env, int64_t own)
{
	if (env->share_count < 2 || env->share_sum < own)
		return 0;
	return (env->share_sum - own) / (env->share_count - 1);
}

static int32_t share_score(const struct env *env, int64_t usual,
			   const struct sum *s)
{
	bool spared = env->slow_everywhere || is_loaded(s);
	int64_t bad = s->failed + (spared ? 0 : s->stalls);
	int64_t share = bad * 1000 / (s->done + bad + 1);
	int64_t limit = usual * 4 + 1;
	int64_t score;

	/* Twice the mean still tells a sick half from the rest. */
	if (limit < 2 * others_share(env, share))
		limit = 2 * others_share(env, share);
	if (limit < env->lim->bad_share)
		limit = env->lim->bad_share;
	score = limit > 0 ? share * DET_CERTAIN / limit : 0;
	if (score > DET_SCORE_MAX)
		score = DET_SCORE_MAX;
	if (score < DET_CERTAIN)
		return (int32_t)score;
	if (bad < env->lim->min_bad)
		return DET_CERTAIN / 2;
	if (s->observers >= 2 && s->bad_observers < 2 &&
	    (bad < env->lim->lone_bad || share < env->lim->lone_share))
		return DET_CERTAIN / 2;
	return (int32_t)score;
}

static int32_t slow_score(const struct env *env, int64_t usual,
			  const struct sum *s)
{
	int64_t score;

	if (env->slow_everywhere || env->latency_count < 3 ||
	    s->done < env->lim->min_done || s->latency_ns < DETP_MIN_SLOW_NS ||
	    (env->lim->needs_two && s->observers < 2) || !usual)
		return 0;
	score = s->latency_ns * DET_CERTAIN / (usual * env->lim->slow_factor);
	return (int32_t)(score < DET_SCORE_MAX ? score : DET_SCORE_MAX);
}

static void set_score(struct backend_row *be, int32_t score, const char *why)
{
	if (score <= be->score)
		return;
	be->score = score;
	be->why = why;
}

static void score_shard(void *ctx, struct core *c, struct shard_row *shard)
{
	const struct svc_row *svc = tab_get(&c->services, shard->svc);
	struct env env = {.lim = det_limits(c, shard),
			  .threshold_ns = det_threshold(c, shard)};
	int64_t usual_ns, usual_share;
	struct backend_row *be;
	struct hnd h;

	(void)ctx;
	find_path_faults(c, &env, shard);
	learn_usual(c, shard);
	survey(c, &env, shard);
	usual_ns = median(env.latency_ns, env.latency_count);
	usual_share = median(env.bad_share, env.share_count);
	for (h = svc->first_backend; (be = tab_get(&c->backends, h));
	     h = be->next) {
		struct sum s;

		if (tab_get(&c->shards, be->shard) != shard)
			continue;
		s = sum_of(c, &env, be);
		be->score = 0;
		be->why = NULL;
		be->observers = s.observers;
		set_score(be, stall_score(c, &env, be, &s), "stalled");
		set_score(be, share_score(&env, usual_share, &s),
			  s.failed > s.stalls ? "failures" : "stalls");
		set_score(be, slow_score(&env, usual_ns, &s), "slow");
	}
}

const struct det_policy det_shared = {.name = "shared",
				      .score = score_shard,
				      .shared = true};

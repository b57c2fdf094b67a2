#include "outlier_detection.h"

#include <stdlib.h>

/* Medians are taken over at most this many backend servers of a shard. */
#define DETP_MAX_SAMPLE 256
/* After a report, a stall is assumed to go on for this time. */
#define DETP_STALL_FRESH_NS (1500 * NS_PER_MS)
/*
 * A server is healthy for an observer that got a good answer within this time.
 * Stalled requests of one zone can occupy all slots of a server until their
 * deadline, so that other observers get no answer meanwhile.
 */
#define DETP_HEALTHY_ANSWER_NS (5 * NS_PER_S)
/*
 * A path fault is logged once it has lasted for this time; what looks like one
 * because of long requests ends sooner.
 */
#define DETP_PATH_CONFIRM_NS (NS_PER_S / 2)
#define DETP_PATH_LOG_NS NS_PER_S
/*
 * Failures, in thousandths, from which an observer counts as failing: one
 * failed request (1000) suffices until it has decayed to this.
 */
#define DETP_MIN_FAILURES 300
/* An observer counts as failing if at least one request in this many failed. */
#define DETP_ONE_FAILURE_IN 16
/* Time constant of long_term_median_ns: a longer slowness counts as normal. */
#define DETP_LONG_TERM_NS (60 * NS_PER_S)
/* Latencies below this time are never slow: their ratios are network noise. */
#define DETP_MIN_SLOW_NS (INT64_C(20) * NS_PER_MS)

/* Evidence about a backend server, of the observers without a path fault. */
struct totals {
	int64_t done;
	int64_t failed;
	int64_t stalls;
	int64_t shed;
	int64_t latency_ns;
	int64_t last_ok_ns;
	int64_t oldest_ns;
	uint32_t stalled;
	uint32_t stalled_observers;
	uint32_t failing_observers;
	uint32_t observers;
};

/* Statistics over the servers of a shard. */
struct stats {
	const struct det_limits *limits;
	int64_t stall_threshold_ns;
	int64_t latency_ns[DETP_MAX_SAMPLE];
	uint32_t latency_count;
	int64_t failure_permille[DETP_MAX_SAMPLE];
	uint32_t permille_count;
	int64_t permille_sum;
	/* Servers with recent work; those of them that stall or are slow. */
	uint32_t active;
	uint32_t slow;
	/* Slow as a whole, so that slowness is no reason for an ejection. */
	bool slow_shard;
};

/* Present age of the oldest stalled request in a report; 0 if none stalls. */
static int64_t stall_age_ns(const struct core *c, const struct stats *st,
			    const struct report_row *r)
{
	int64_t age = r->oldest_ns + c->now - r->received_ns;

	if (!r->stalled || c->now - r->received_ns > DETP_STALL_FRESH_NS ||
	    age < st->stall_threshold_ns)
		return 0;
	return age;
}

static bool had_recent_work(const struct core *c, const struct report_row *r)
{
	return c->now - r->received_ns < DET_RECENT_WORK_NS &&
	       (r->done >= 100 || r->failed >= 100 || r->stalled);
}

static bool is_failing(const struct core *c, const struct stats *st,
		       const struct report_row *r)
{
	int64_t failures = r->failed + r->stalls;

	return stall_age_ns(c, st, r) ||
	       (failures >= DETP_MIN_FAILURES &&
		failures * DETP_ONE_FAILURE_IN >= r->done + failures);
}

static bool is_healthy(const struct core *c, const struct stats *st,
		       const struct report_row *r)
{
	return !is_failing(c, st, r) && r->last_ok_ns &&
	       c->now - r->last_ok_ns < DETP_HEALTHY_ANSWER_NS;
}

static struct observer_row *find_or_add_observer(struct core *c, uint64_t key,
						 bool vm)
{
	struct observer_row *o;
	void *row;
	uint32_t i;

	for (i = 0; i < c->observers.len; i++) {
		o = tab_at(&c->observers, i);
		if (o->key == key && o->is_vm == vm)
			return o;
	}
	tab_add(&c->observers, &row);
	o = row;
	o->key = key;
	o->is_vm = vm;
	return o;
}

/* Evidence about one server from inside and outside a VM or zone. */
struct split {
	uint32_t in_failing;
	uint32_t in_stalled;
	int64_t in_failures;
	int64_t in_answers;
	uint32_t out_failing;
	uint32_t out_healthy;
};

static void add_inside(const struct core *c, const struct stats *st,
		       struct split *s, const struct report_row *r)
{
	s->in_failing += is_failing(c, st, r);
	s->in_stalled += stall_age_ns(c, st, r) > 0;
	s->in_failures += r->failed + r->stalls;
	s->in_answers += r->done;
}

static void add_outside(const struct core *c, const struct stats *st,
			struct split *s, const struct report_row *r)
{
	bool failing = is_failing(c, st, r);

	s->out_failing += failing;
	s->out_healthy += !failing && is_healthy(c, st, r);
}

/* Adds a server to the counts of an observer or zone. */
static void tally_server(struct observer_row *o, const struct split *s)
{
	o->failing += s->in_failing > 0;
	o->failing_elsewhere += s->out_failing > 1;
	/* A second VM with a path fault must not hide the first one. */
	if (s->in_failing > s->out_failing &&
	    (s->in_stalled >= (o->is_vm ? 1U : 2U) ||
	     s->in_failures * DETP_ONE_FAILURE_IN >=
		     s->in_answers + s->in_failures) &&
	    s->out_failing <= 1 && s->out_failing * 4 <= s->out_healthy &&
	    s->out_healthy)
		o->failing_only_here++;
}

static struct split split_all_outside(struct core *c, const struct stats *st,
				      const struct backend_row *be)
{
	struct split s = {0};
	const struct report_row *r;
	struct hnd h;

	for (h = be->first_report; (r = tab_get(&c->reports, h)); h = r->next)
		add_outside(c, st, &s, r);
	return s;
}

/*
 * Tallies be for each VM for which it fails. A VM has one report about a
 * server, so its split is that of all observers less this report. Returns 1
 * when be fails for several observers.
 */
static uint32_t tally_vms(struct core *c, const struct stats *st,
			  const struct backend_row *be)
{
	struct split all = split_all_outside(c, st, be);
	const struct report_row *r;
	struct hnd h;

	if (!all.out_failing)
		return 0;
	for (h = be->first_report; (r = tab_get(&c->reports, h)); h = r->next) {
		struct split s = all;
		struct observer_row *o;

		if (!is_failing(c, st, r))
			continue;
		o = find_or_add_observer(c, r->observer, true);
		s.out_failing--;
		add_inside(c, st, &s, r);
		tally_server(o, &s);
		/*
		 * keep_discounted() adds every server that fails for several
		 * VMs. This one is subtracted here, as tally_server() counted
		 * it if it fails for several VMs other than this.
		 */
		o->failing_elsewhere -= all.out_failing > 1;
		find_or_add_observer(c, r->zone, false);
	}
	return all.out_failing > 1;
}

static void tally_zone(struct core *c, const struct stats *st,
		       const struct backend_row *be, struct observer_row *o)
{
	struct split s = {0};
	const struct report_row *r;
	struct hnd h;

	for (h = be->first_report; (r = tab_get(&c->reports, h)); h = r->next) {
		if (r->zone == o->key)
			add_inside(c, st, &s, r);
		else
			add_outside(c, st, &s, r);
	}
	tally_server(o, &s);
}

static void log_path_fault(struct core *c, struct shard_row *shard,
			   const struct observer_row *o)
{
	const struct svc_row *svc = tab_get(&c->services, shard->svc);
	const struct member_row *m;
	struct core_decision d = {
		.event = "path_fault",
		.service = svc->conf->id,
		.candidates = o->failing,
		.reason = o->is_vm ? "one VM" : "one zone",
		.value = o->failing_only_here,
	};

	if (shard->path_fault_key != o->key) {
		shard->path_fault_key = o->key;
		shard->path_fault_since_ns = c->now;
	}
	if (c->now < shard->path_fault_since_ns + DETP_PATH_CONFIRM_NS ||
	    c->now < shard->path_fault_logged_ns + DETP_PATH_LOG_NS)
		return;
	shard->path_fault_logged_ns = c->now;
	m = tab_get(&c->members, idx_get(&c->member_by_key, o->key));
	if (o->is_vm && m)
		d.vm = str_from(m->id);
	else if (!o->is_vm && c->bundle && o->key < c->bundle->zone_count)
		d.vm = c->bundle->zones[o->key].id;
	core_log_decision(c, &d);
}

/* Keeps only the VMs and zones with a path fault, for is_discounted(). */
static void keep_discounted(struct core *c, struct shard_row *shard,
			    uint32_t failing_for_several)
{
	uint32_t i = c->observers.len;

	while (i-- > 0) {
		struct observer_row *o = tab_at(&c->observers, i);

		if (o->is_vm)
			o->failing_elsewhere += failing_for_several;
		/*
		 * When several servers fail, one zone may be the first to see
		 * some of them fail. So those that fail only here must
		 * outnumber those that fail elsewhere.
		 */
		if (o->failing_only_here >= 2 &&
		    o->failing_only_here > o->failing_elsewhere)
			continue;
		tab_del(&c->observers, tab_handle(&c->observers, i));
	}
	if (c->observers.len)
		log_path_fault(c, shard, tab_at(&c->observers, 0));
	else
		shard->path_fault_key = 0;
}

/*
 * Finds VMs and zones that see failures of several backend servers which are
 * healthy for other observers: the fault is on their network path, so their
 * reports are discounted. Only failing observers are tallied, so a healthy
 * shard costs one pass.
 */
static void find_path_faults(struct core *c, const struct stats *st,
			     struct shard_row *shard)
{
	const struct svc_row *svc = tab_get(&c->services, shard->svc);
	const struct backend_row *be;
	uint32_t failing_for_several = 0;
	struct hnd h;
	uint32_t i;

	while (c->observers.len)
		tab_del(&c->observers, tab_handle(&c->observers, 0));
	for (h = svc->first_backend; (be = tab_get(&c->backends, h));
	     h = be->next)
		if (tab_get(&c->shards, be->shard) == shard)
			failing_for_several += tally_vms(c, st, be);
	for (i = 0; i < c->observers.len; i++) {
		struct observer_row *o = tab_at(&c->observers, i);

		if (o->is_vm)
			continue;
		for (h = svc->first_backend; (be = tab_get(&c->backends, h));
		     h = be->next)
			if (tab_get(&c->shards, be->shard) == shard)
				tally_zone(c, st, be, o);
	}
	keep_discounted(c, shard, failing_for_several);
}

static bool is_discounted(const struct core *c, const struct report_row *r)
{
	uint32_t i;

	for (i = 0; i < c->observers.len; i++) {
		const struct observer_row *o = tab_at(&c->observers, i);

		if (o->key == (o->is_vm ? r->observer : (uint64_t)r->zone))
			return true;
	}
	return false;
}

static void add_report(struct core *c, const struct stats *st, struct totals *s,
		       const struct report_row *r)
{
	int64_t age = stall_age_ns(c, st, r);

	s->latency_ns += r->latency_avg_ns * r->done / 1000;
	s->done += r->done;
	s->failed += r->failed;
	s->stalls += r->stalls;
	s->shed += r->shed;
	s->observers += had_recent_work(c, r);
	s->failing_observers += age ||
				r->failed + r->stalls >= DETP_MIN_FAILURES;
	if (r->last_ok_ns > s->last_ok_ns)
		s->last_ok_ns = r->last_ok_ns;
	if (!age)
		return;
	s->stalled += r->stalled;
	s->stalled_observers++;
	if (age > s->oldest_ns)
		s->oldest_ns = age;
}

static struct totals total_evidence(struct core *c, const struct stats *st,
				    const struct backend_row *be)
{
	struct totals s = {0};
	const struct report_row *r;
	struct hnd h;

	for (h = be->first_report; (r = tab_get(&c->reports, h)); h = r->next)
		if (!is_discounted(c, r))
			add_report(c, st, &s, r);
	if (s.done >= 1000)
		s.latency_ns = s.latency_ns * 1000 / s.done;
	return s;
}

static int compare_int64(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

/* Lower median, so that it is not set by the faulty half of the servers. */
static int64_t median(int64_t *values, uint32_t count)
{
	if (!count)
		return 0;
	qsort(values, count, sizeof(*values), compare_int64);
	return values[(count - 1) / 2];
}

static void add_to_stats(struct stats *st, const struct shard_row *shard,
			 const struct totals *s)
{
	int64_t failures = s->failed + s->stalls;
	bool slow = s->stalled > 0;

	if (!s->observers)
		return;
	st->active++;
	if (s->done >= 3000 && st->latency_count < DETP_MAX_SAMPLE) {
		st->latency_ns[st->latency_count++] = s->latency_ns;
		slow |= s->latency_ns > 3 * shard->median_ns &&
			s->latency_ns > DETP_MIN_SLOW_NS;
	}
	if (st->permille_count < DETP_MAX_SAMPLE) {
		st->failure_permille[st->permille_count++] =
			failures * 1000 / (s->done + failures + 1);
		st->permille_sum += failures * 1000 / (s->done + failures + 1);
	}
	st->slow += slow;
}

/*
 * Moves the long-term median towards the median over DETP_LONG_TERM_NS, or over
 * the time since its first sample while that is shorter.
 */
static void update_long_term_median(const struct core *c,
				    struct shard_row *shard)
{
	int64_t window_ns = c->now - shard->long_term_since_ns;
	int64_t step_ns = c->now - shard->long_term_updated_ns;

	shard->long_term_updated_ns = c->now;
	if (!shard->long_term_median_ns) {
		shard->long_term_since_ns = c->now;
		shard->long_term_median_ns = shard->median_ns;
		return;
	}
	if (window_ns > DETP_LONG_TERM_NS)
		window_ns = DETP_LONG_TERM_NS;
	if (window_ns < NS_PER_S)
		window_ns = NS_PER_S;
	if (step_ns > window_ns)
		step_ns = window_ns;
	shard->long_term_median_ns +=
		(shard->median_ns - shard->long_term_median_ns) /
		(window_ns / NS_PER_MS) * (step_ns / NS_PER_MS);
}

static bool is_median_slow(const struct shard_row *shard)
{
	return shard->median_ns > 3 * shard->long_term_median_ns &&
	       shard->median_ns > DETP_MIN_SLOW_NS;
}

static void collect_stats(struct core *c, struct stats *st,
			  const struct shard_row *shard)
{
	const struct svc_row *svc = tab_get(&c->services, shard->svc);
	const struct backend_row *be;
	struct hnd h;

	for (h = svc->first_backend; (be = tab_get(&c->backends, h));
	     h = be->next) {
		struct totals s;

		if (be->ejected || be->trial ||
		    tab_get(&c->shards, be->shard) != shard)
			continue;
		s = total_evidence(c, st, be);
		add_to_stats(st, shard, &s);
	}
	st->slow_shard = is_median_slow(shard) ||
			 (st->active >= 2 && st->slow * 2 > st->active);
}

/* It sheds at least one request in 20: it is slow because of load. */
static bool is_shedding(const struct totals *s)
{
	return s->shed >= 500 && s->shed * 20 >= s->done;
}

/*
 * Ejection score if several requests stall and nothing was answered for two
 * thirds of the stall threshold, or if one request is much older and nothing
 * was answered since it began. Requests that were sent before the stall, such
 * as long uploads, may still be answered after it began.
 */
static int32_t stall_score(struct core *c, const struct stats *st,
			   struct backend_row *be, const struct totals *s)
{
	int64_t single_ns =
		st->stall_threshold_ns * st->limits->single_stall_tenths / 10;
	const struct shard_row *shard = tab_get(&c->shards, be->shard);
	int64_t since_ok_ns = c->now - s->last_ok_ns;
	/* Requests sent before the stall may end soon after it began. */
	int64_t silent_ns = since_ok_ns + 3 * shard->median_ns;
	/* An older stall scores higher: 1 for each 20 ms, 900 at most. */
	int64_t age_points = s->oldest_ns / (INT64_C(20) * NS_PER_MS);
	bool agreed = s->stalled_observers >= 2 || s->observers < 2;
	bool several = s->stalled >= 2 && !is_shedding(s);

	if (st->slow_shard || !s->stalled)
		return 0;
	if (is_shedding(s))
		single_ns *= 2;
	if (several && agreed && since_ok_ns * 3 >= st->stall_threshold_ns * 2)
		return DET_EJECT_SCORE +
		       (int32_t)(age_points < 900 ? age_points : 900);
	/*
	 * Unreported good answers of other observers would refute the stall, so
	 * these observers are queried once it has half of the age needed.
	 */
	if (s->oldest_ns >= single_ns / 2 && silent_ns >= s->oldest_ns &&
	    (s->observers < 2 ||
	     det_query_observers(c, be,
				 c->now - s->oldest_ns + single_ns / 2)) &&
	    s->oldest_ns >= single_ns)
		return DET_EJECT_SCORE +
		       (int32_t)(age_points < 900 ? age_points : 900);
	return DET_EJECT_SCORE / 2;
}

/* Mean failures per thousand requests of the other servers. */
static int64_t others_permille(const struct stats *st, int64_t own)
{
	if (st->permille_count < 2 || st->permille_sum < own)
		return 0;
	return (st->permille_sum - own) / (st->permille_count - 1);
}

static int32_t failure_score(const struct stats *st, int64_t median_permille,
			     const struct totals *s)
{
	bool discount_stalls = st->slow_shard || is_shedding(s);
	int64_t failures = s->failed + (discount_stalls ? 0 : s->stalls);
	int64_t permille = failures * 1000 / (s->done + failures + 1);
	int64_t limit = median_permille * 4 + 1;
	int64_t score;

	/* Twice the mean still separates a failing half from the rest. */
	if (limit < 2 * others_permille(st, permille))
		limit = 2 * others_permille(st, permille);
	if (limit < st->limits->failure_permille)
		limit = st->limits->failure_permille;
	score = limit > 0 ? permille * DET_EJECT_SCORE / limit : 0;
	if (score > DET_SCORE_MAX)
		score = DET_SCORE_MAX;
	if (score < DET_EJECT_SCORE)
		return (int32_t)score;
	if (failures < st->limits->min_failures)
		return DET_EJECT_SCORE / 2;
	if (s->observers >= 2 && s->failing_observers < 2 &&
	    (failures < st->limits->single_min_failures ||
	     permille < st->limits->single_failure_permille))
		return DET_EJECT_SCORE / 2;
	return (int32_t)score;
}

static int32_t latency_score(const struct stats *st, int64_t median_latency_ns,
			     const struct totals *s)
{
	int64_t score;

	if (st->slow_shard || st->latency_count < 3 ||
	    s->done < st->limits->min_answers ||
	    s->latency_ns < DETP_MIN_SLOW_NS ||
	    (st->limits->needs_two_observers && s->observers < 2) ||
	    !median_latency_ns)
		return 0;
	score = s->latency_ns * DET_EJECT_SCORE /
		(median_latency_ns * st->limits->slow_factor);
	return (int32_t)(score < DET_SCORE_MAX ? score : DET_SCORE_MAX);
}

static void raise_score(struct backend_row *be, int32_t score, const char *why)
{
	if (score <= be->score)
		return;
	be->score = score;
	be->score_reason = why;
}

static void score_shard(void *ctx, struct core *c, struct shard_row *shard)
{
	const struct svc_row *svc = tab_get(&c->services, shard->svc);
	struct stats st = {.limits = det_limits(c, shard),
			   .stall_threshold_ns = det_stall_threshold(c, shard)};
	int64_t median_latency_ns, median_permille;
	struct backend_row *be;
	struct hnd h;

	(void)ctx;
	find_path_faults(c, &st, shard);
	update_long_term_median(c, shard);
	collect_stats(c, &st, shard);
	median_latency_ns = median(st.latency_ns, st.latency_count);
	median_permille = median(st.failure_permille, st.permille_count);
	for (h = svc->first_backend; (be = tab_get(&c->backends, h));
	     h = be->next) {
		struct totals s;

		if (tab_get(&c->shards, be->shard) != shard)
			continue;
		s = total_evidence(c, &st, be);
		be->score = 0;
		be->score_reason = NULL;
		be->observer_count = s.observers;
		raise_score(be, stall_score(c, &st, be, &s), "stalled");
		raise_score(be, failure_score(&st, median_permille, &s),
			    s.failed > s.stalls ? "failures" : "stalls");
		raise_score(be, latency_score(&st, median_latency_ns, &s),
			    "slow");
	}
}

const struct det_policy det_shared = {.name = "shared",
				      .score = score_shard,
				      .shared = true};

#include "outlier_detection.h"

#include <math.h>

#include "metrics.h"
#include "drain.h"

/*
 * Intervals between two scorings of a shard: while one of its servers is on
 * trial or has at least half of the ejection score; shortest; longest.
 */
#define DET_SUSPECT_SCORING_NS (50 * NS_PER_MS)
#define DET_MIN_SCORING_NS (25 * NS_PER_MS)
#define DET_MAX_SCORING_NS (NS_PER_S / 2)
/* Reports that were not renewed for this time are dropped. */
#define DET_REPORT_EXPIRY_NS (30 * NS_PER_S)
/*
 * Probe intervals: of servers on trial or marked as draining by their own
 * answers, and of servers without recent work.
 */
#define DET_TRIAL_PROBE_NS NS_PER_S
#define DET_IDLE_PROBE_NS (10 * NS_PER_S)
/*
 * A probe occupies a slot for 25 ms, so one probe per 2.5 s of slot time takes
 * 1% of it.
 */
#define DET_SLOT_TIME_PER_PROBE_NS (2500 * NS_PER_MS)
/* Observers in the same region answer a query well within this time. */
#define DET_QUERY_WAIT_NS (100 * NS_PER_MS)

/* Quantile of the time to first byte that tail_ns estimates. */
#define DET_TAIL_PERMILLE 998

static const struct det_limits limits[] = {
	[BNDL_FAST] = {.min_stall_threshold_ns = 300 * NS_PER_MS,
		       .stall_median_factor = 10,
		       .single_stall_tenths = 15,
		       .decay_ns = 5 * NS_PER_S / 2,
		       .min_failures = 4000,
		       .failure_permille = 60,
		       .single_min_failures = 8000,
		       .single_failure_permille = 300,
		       .min_answers = 12000,
		       .slow_factor = 4},
	[BNDL_CAREFUL] = {.min_stall_threshold_ns = 700 * NS_PER_MS,
			  .stall_median_factor = 20,
			  .single_stall_tenths = 30,
			  .decay_ns = 4 * NS_PER_S,
			  .min_failures = 5000,
			  .failure_permille = 60,
			  .single_min_failures = 12000,
			  .single_failure_permille = 500,
			  .min_answers = 25000,
			  .slow_factor = 5,
			  .needs_two_observers = true},
};

const struct det_limits *det_limits(const struct core *c,
				    const struct shard_row *shard)
{
	const struct svc_row *svc = tab_get(&c->services, shard->svc);

	return &limits[svc && svc->conf->profile == BNDL_FAST ? BNDL_FAST
							      : BNDL_CAREFUL];
}

int64_t det_stall_threshold(const struct core *c, const struct shard_row *shard)
{
	const struct det_limits *lim = det_limits(c, shard);
	int64_t age = lim->min_stall_threshold_ns;
	int64_t tail = shard->tail_ns * 3 / 2;

	/*
	 * A stalling server must not raise its own threshold through the tail.
	 */
	if (tail > lim->min_stall_threshold_ns * 2)
		tail = lim->min_stall_threshold_ns * 2;
	if (tail > age)
		age = tail;
	if (shard->median_ns * lim->stall_median_factor > age)
		age = shard->median_ns * lim->stall_median_factor;
	return age;
}

void det_update_quantiles(struct shard_row *shard, int64_t ttfb_ns)
{
	if (!shard->median_ns) {
		shard->median_ns = ttfb_ns + 1;
		shard->tail_ns = 4 * ttfb_ns + 1;
		return;
	}
	shard->median_ns += (ttfb_ns > shard->median_ns ? 1 : -1) *
			    (shard->median_ns / 32 + 1);
	if (shard->median_ns < 1)
		shard->median_ns = 1;
	if (ttfb_ns > shard->tail_ns)
		shard->tail_ns += shard->tail_ns * DET_TAIL_PERMILLE / 8000 + 1;
	else
		shard->tail_ns -=
			shard->tail_ns * (1000 - DET_TAIL_PERMILLE) / 8000;
}

void det_activate(struct core *c, struct shard_row *shard)
{
	struct work_row *work;
	struct backend_row *be;
	struct svc_row *svc = tab_get(&c->services, shard->svc);
	struct hnd h;
	void *row;

	if (shard->active || !svc)
		return;
	for (h = svc->first_backend; (be = tab_get(&c->backends, h));
	     h = be->next)
		if (tab_get(&c->shards, be->shard) == shard)
			break;
	if (!be)
		return;
	shard->active = true;
	shard->score_due_ns = c->now;
	c->score_due_ns = c->now;
	tab_add(&c->evidence_shards, &row);
	work = row;
	work->h = be->shard;
}

static int64_t scale(int64_t value, double factor)
{
	return (int64_t)((double)value * factor);
}

static void decay(struct core *c, const struct shard_row *shard,
		  struct report_row *r)
{
	int64_t age = c->now - r->decayed_ns;
	double factor;

	if (age <= 0)
		return;
	factor = exp(-(double)age / (double)det_limits(c, shard)->decay_ns);
	r->done = scale(r->done, factor);
	r->failed = scale(r->failed, factor);
	r->stalls = scale(r->stalls, factor);
	r->shed = scale(r->shed, factor);
	r->decayed_ns = c->now;
}

static struct report_row *
find_or_add_report(struct core *c, struct backend_row *be, uint64_t observer)
{
	struct report_row *r;
	struct hnd h;
	void *row;

	for (h = be->first_report; (r = tab_get(&c->reports, h)); h = r->next)
		if (r->observer == observer)
			return r;
	h = tab_add(&c->reports, &row);
	r = row;
	r->backend = idx_get(&c->backend_by_key, be->key);
	r->observer = observer;
	r->decayed_ns = c->now;
	r->next = be->first_report;
	be->first_report = h;
	return r;
}

static void add_answers(struct core *c, struct shard_row *shard,
			struct report_row *r, const struct msg_evidence *e)
{
	int64_t mean;

	if (!e->done)
		return;
	mean = e->latency_sum_ns / e->done;
	/* Four new answers replace the average of earlier ones. */
	if (r->latency_avg_ns && e->done < 4)
		r->latency_avg_ns += (mean - r->latency_avg_ns) * e->done / 4;
	else
		r->latency_avg_ns = mean;
	r->done += 1000 * (int64_t)e->done;
	if (e->ok_age_ns < c->now && c->now - e->ok_age_ns > r->last_ok_ns)
		r->last_ok_ns = c->now - e->ok_age_ns;
	/* This VM's own answers are added one by one in det_on_done(). */
	if (r->observer != c->self_key)
		det_update_quantiles(shard, mean);
}

static void add_stalls(struct core *c, const struct backend_row *be,
		       struct report_row *r, const struct msg_evidence *e)
{
	uint32_t stalled = e->stalled;
	int64_t timed_out;

	/* Requests sent before the trial are no evidence about it. */
	if (be->trial_since_ns && c->now - e->oldest_ns < be->trial_since_ns)
		stalled = 0;
	if (stalled > r->stalled)
		r->stalls += 1000 * (int64_t)(stalled - r->stalled);
	/* A request that stalled and then timed out counts as one failure. */
	timed_out = 1000 * (int64_t)e->failed[MSG_FAIL_TIMEOUT];
	r->stalls -= timed_out < r->stalls ? timed_out : r->stalls;
	r->stalled = stalled;
	r->oldest_ns = e->oldest_ns;
	r->in_flight = e->in_flight;
}

/*
 * Aligns the scoring of shards without suspects, so that core.evidence_shards
 * is walked less often.
 */
static int64_t next_batch_ns(int64_t due)
{
	return (due / DET_MIN_SCORING_NS + 1) * DET_MIN_SCORING_NS;
}

static void schedule_scoring(struct core *c, struct shard_row *shard,
			     bool suspect)
{
	int64_t due = shard->scored_ns +
		      (suspect ? DET_MIN_SCORING_NS : DET_MAX_SCORING_NS);

	if (due < c->now)
		due = c->now;
	if (!suspect)
		due = next_batch_ns(due);
	if (due < shard->score_due_ns)
		shard->score_due_ns = due;
	if (due < c->score_due_ns)
		c->score_due_ns = due;
}

void det_add_evidence(struct core *c, struct backend_row *be, uint64_t observer,
		      uint32_t zone, const struct msg_evidence *e)
{
	struct shard_row *shard = tab_get(&c->shards, be->shard);
	struct report_row *r;
	uint32_t failed = 0;
	int i;

	if (!shard)
		return;
	r = find_or_add_report(c, be, observer);
	decay(c, shard, r);
	for (i = 0; i < MSG_FAIL_KINDS; i++)
		failed += e->failed[i];
	r->zone = zone;
	r->received_ns = c->now;
	r->failed += 1000 * (int64_t)failed;
	r->shed += 1000 * (int64_t)e->shed;
	if (failed)
		r->last_fail_ns = c->now;
	add_answers(c, shard, r, e);
	add_stalls(c, be, r, e);
	if (e->done || failed || r->stalled)
		be->last_work_ns = c->now;
	if (be->trial) {
		be->trial_successes += e->done;
		be->trial_failures += failed;
	}
	det_activate(c, shard);
	schedule_scoring(c, shard, failed || r->stalled || be->trial);
}

void det_on_evidence(struct core *c, struct backend_row *be,
		     const struct member_row *observer,
		     const struct msg_evidence *evidence)
{
	uint32_t zone = UINT32_MAX;

	if (!c->opts.policy || !c->opts.policy->shared)
		return;
	if (c->bundle)
		zone = bndl_find_zone(c->bundle, str_from(observer->zone));
	det_add_evidence(c, be, observer->key, zone, evidence);
	if (evidence->drain && evidence->drain <= DRN_LIST + 1)
		drn_mark(c, be, (enum drn_source)(evidence->drain - 1));
}

void det_on_report(struct core *c, const struct msg *m)
{
	const struct msg_report *report = &m->u.report;
	struct shard_row *shard =
		core_shard_named(c, report->service, report->region);
	const struct member_row *from = core_member(c, m->from);
	uint32_t i;

	if (!shard || !from || !shard->is_allocator ||
	    report->epoch != shard->epoch)
		return;
	for (i = 0; i < report->item_count; i++) {
		struct backend_row *be =
			core_backend(c, report->items[i].backend);

		if (be && tab_get(&c->shards, be->shard) == shard)
			det_on_evidence(c, be, from, &report->items[i]);
	}
}

void det_clear_evidence(struct core *c, struct backend_row *be)
{
	struct report_row *r;

	while ((r = tab_get(&c->reports, be->first_report))) {
		struct hnd h = be->first_report;

		be->first_report = r->next;
		tab_del(&c->reports, h);
	}
	be->score = 0;
	be->score_reason = NULL;
	be->suspect_since_ns = 0;
}

void det_bundle_changed(struct core *c)
{
	uint32_t i = c->reports.len;

	while (i-- > 0) {
		const struct report_row *r = tab_at(&c->reports, i);

		if (!tab_get(&c->backends, r->backend))
			tab_del(&c->reports, tab_handle(&c->reports, i));
	}
}

/* Decays the reports about be and drops those that were not renewed. */
static void expire_reports(struct core *c, const struct shard_row *shard,
			   struct backend_row *be)
{
	struct hnd h = be->first_report;
	struct hnd last = HND_NONE;
	struct report_row *r;

	while ((r = tab_get(&c->reports, h))) {
		struct hnd next = r->next;
		struct report_row *previous = tab_get(&c->reports, last);

		decay(c, shard, r);
		if (c->now - r->received_ns <= DET_REPORT_EXPIRY_NS) {
			last = h;
		} else {
			if (previous)
				previous->next = next;
			else
				be->first_report = next;
			tab_del(&c->reports, h);
		}
		h = next;
	}
}

void det_probe(struct core *c, struct backend_row *be)
{
	const struct svc_row *svc = tab_get(&c->services, be->svc);

	ctr_add(CTR_PROBES, 1);
	c->opts.ops->probe(c->opts.ops_ctx,
			   idx_get(&c->backend_by_key, be->key), be->conf->host,
			   (uint16_t)be->conf->port, svc->conf->probe_path);
}

static void probe_if_due(struct core *c, struct backend_row *be)
{
	bool marked_by_server = be->drain_sources == 1U << DRN_SERVER;
	int64_t interval_ns = DET_IDLE_PROBE_NS;

	if (be->ejected || (be->draining && !marked_by_server) ||
	    c->now < be->probe_due_ns)
		return;
	if (be->trial || marked_by_server)
		interval_ns = DET_TRIAL_PROBE_NS;
	else if (c->now - be->last_work_ns < DET_RECENT_WORK_NS)
		return;
	if (interval_ns < DET_SLOT_TIME_PER_PROBE_NS / be->conf->slots)
		interval_ns = DET_SLOT_TIME_PER_PROBE_NS / be->conf->slots;
	be->probe_due_ns = c->now + interval_ns;
	det_probe(c, be);
}

static void finish_scoring(struct core *c, struct shard_row *shard,
			   struct backend_row *be)
{
	int64_t due = TMR_NEVER;

	if (be->score < DET_EJECT_SCORE)
		be->suspect_since_ns = 0;
	else if (!be->suspect_since_ns)
		be->suspect_since_ns = c->now;
	if (be->trial || be->score >= DET_EJECT_SCORE / 2)
		due = c->now + DET_SUSPECT_SCORING_NS;
	else if (be->ejected && be->eject_until_ns > c->now)
		due = be->eject_until_ns;
	if (due < shard->score_due_ns)
		shard->score_due_ns = due;
	if (c->opts.policy->shared)
		probe_if_due(c, be);
}

static void score_shard(struct core *c, struct shard_row *shard)
{
	const struct svc_row *svc = tab_get(&c->services, shard->svc);
	struct backend_row *be;
	struct hnd h;

	shard->score_due_ns = next_batch_ns(c->now + DET_MAX_SCORING_NS);
	shard->scored_ns = c->now;
	c->scored_ns = c->now;
	for (h = svc->first_backend; (be = tab_get(&c->backends, h));
	     h = be->next)
		if (tab_get(&c->shards, be->shard) == shard)
			expire_reports(c, shard, be);
	c->opts.policy->score(c->opts.policy->ctx, c, shard);
	for (h = svc->first_backend; (be = tab_get(&c->backends, h));
	     h = be->next)
		if (tab_get(&c->shards, be->shard) == shard)
			finish_scoring(c, shard, be);
}

void det_tick(struct core *c)
{
	uint32_t i = c->evidence_shards.len;

	if (!c->opts.policy || !c->opts.policy->score ||
	    c->now < c->score_due_ns)
		return;
	c->score_due_ns = TMR_NEVER;
	while (i-- > 0) {
		const struct work_row *work = tab_at(&c->evidence_shards, i);
		struct shard_row *shard = tab_get(&c->shards, work->h);

		if (!shard ||
		    (c->opts.policy->shared && !shard->is_allocator)) {
			if (shard)
				shard->active = false;
			tab_del(&c->evidence_shards,
				tab_handle(&c->evidence_shards, i));
			continue;
		}
		if (shard->score_due_ns <= c->now)
			score_shard(c, shard);
		if (shard->score_due_ns < c->score_due_ns)
			c->score_due_ns = shard->score_due_ns;
	}
}

void det_on_probe(struct core *c, struct backend_row *be, bool ok,
		  int64_t latency_ns)
{
	(void)c;
	(void)latency_ns;
	if (!be->trial)
		return;
	be->trial_probes = ok ? be->trial_probes + 1 : 0;
}

void det_flush_evidence(struct core *c, const struct shard_row *shard)
{
	const struct svc_row *svc = tab_get(&c->services, shard->svc);
	struct backend_row *be;
	struct hnd h;

	for (h = svc->first_backend; (be = tab_get(&c->backends, h));
	     h = be->next)
		if (tab_get(&c->shards, be->shard) == shard &&
		    (be->evidence.done || be->evidence.shed))
			be->report_now = true;
}

static void send_query(struct core *c, const struct shard_row *shard,
		       uint64_t observer)
{
	const struct member_row *m =
		tab_get(&c->members, idx_get(&c->member_by_key, observer));
	struct msg_query *q = &c->out.u.query;

	if (!m || m->key == c->self_key)
		return;
	c->out.kind = MSG_QUERY;
	q->service = shard->service;
	q->region = c->bundle->regions[shard->region];
	q->epoch = shard->epoch;
	core_send(c, m);
}

bool det_query_observers(struct core *c, struct backend_row *be,
			 int64_t after_ns)
{
	struct shard_row *shard = tab_get(&c->shards, be->shard);
	struct hnd be_h = idx_get(&c->backend_by_key, be->key);
	uint32_t i;

	if (be->observers_queried_ns >= after_ns)
		return c->now - be->observers_queried_ns >= DET_QUERY_WAIT_NS;
	be->observers_queried_ns = c->now;
	det_flush_evidence(c, shard);
	for (i = 0; i < c->reports.len; i++) {
		const struct report_row *r = tab_at(&c->reports, i);

		if (hnd_eq(r->backend, be_h) &&
		    c->now - r->received_ns < DET_REPORT_EXPIRY_NS)
			send_query(c, shard, r->observer);
	}
	return false;
}

int64_t det_next_due(const struct core *c)
{
	int64_t due = c->evidence_backends.len ? c->ages_due_ns : TMR_NEVER;

	if (c->evidence_shards.len && c->score_due_ns < due)
		due = c->score_due_ns;
	return due;
}

#include "outlier_detection.h"

#include <string.h>

#define DET_AGE_UPDATE_NS (25 * NS_PER_MS)
/*
 * Minimum interval between reports of all servers of a shard after a stall, and
 * between reports of shed requests.
 */
#define DET_SHARD_REPORT_NS (NS_PER_S / 4)

static void add_working(struct core *c, struct backend_row *be, struct hnd h)
{
	struct work_row *work;
	void *row;

	if (be->working)
		return;
	be->working = true;
	tab_add(&c->evidence_backends, &row);
	work = row;
	work->h = h;
}

/*
 * Time at which the server had the whole request; 0 while it is being sent and
 * once the answer has begun.
 */
static int64_t wait_start_ns(const struct req_row *req)
{
	if (req->state != CORE_REQ_RUNNING || req->uploading ||
	    req->first_byte_ns >= req->assigned_ns)
		return 0;
	if (req->body_end_ns >= req->assigned_ns)
		return req->body_end_ns;
	return req->sent_ns > req->assigned_ns ? req->sent_ns
					       : req->assigned_ns;
}

static bool is_scored_locally(const struct core *c)
{
	return c->opts.policy && c->opts.policy->score &&
	       !c->opts.policy->shared;
}

void det_on_first_byte(struct core *c, struct req_row *req)
{
	(void)c;
	(void)req;
}

static int fail_kind(enum core_outcome outcome)
{
	switch (outcome) {
	case CORE_DONE_TIMEOUT:
	case CORE_DONE_ATTEMPT_CANCELLED:
		return MSG_FAIL_TIMEOUT;
	case CORE_DONE_RESET:
		return MSG_FAIL_RESET;
	case CORE_DONE_TRUNCATED:
		return MSG_FAIL_TRUNCATED;
	case CORE_DONE_STATUS:
		return MSG_FAIL_STATUS;
	case CORE_DONE_CONNECT:
		return MSG_FAIL_CONNECT;
	case CORE_DONE_OK:
	case CORE_DONE_SHED:
	case CORE_DONE_CALLER_ERROR:
		break;
	}
	return -1;
}

static int64_t ttfb_of(const struct core *c, const struct req_row *req)
{
	int64_t end = req->first_byte_ns >= req->assigned_ns
			      ? req->first_byte_ns
			      : c->now;
	int64_t start = req->assigned_ns;

	if (req->body_end_ns >= start)
		start = req->body_end_ns;
	else if (req->sent_ns > start)
		start = req->sent_ns;
	/* An answer that begins before the end of the upload counts as 0. */
	return end > start ? end - start : 0;
}

static void add_ok(struct core *c, struct backend_row *be,
		   const struct req_row *req, struct msg_evidence *e)
{
	int64_t ttfb = ttfb_of(c, req);
	struct shard_row *shard = tab_get(&c->shards, be->shard);

	if (e->done == UINT16_MAX)
		return;
	e->done++;
	e->latency_sum_ns += ttfb;
	e->ok_age_ns = 1;
	be->last_ok_ns = c->now;
	if (shard && e == &be->evidence)
		det_update_quantiles(shard, ttfb);
}

static void add_done(struct core *c, struct backend_row *be,
		     const struct req_row *req, enum core_outcome outcome,
		     struct msg_evidence *e)
{
	int kind = fail_kind(outcome);

	e->backend = be->key;
	if (outcome == CORE_DONE_OK)
		add_ok(c, be, req, e);
	else if (outcome == CORE_DONE_SHED)
		e->shed += e->shed < UINT16_MAX;
	else if (kind >= 0)
		e->failed[kind] += e->failed[kind] < UINT16_MAX;
}

void det_on_done(struct core *c, struct req_row *req,
		 const struct core_done *done)
{
	struct backend_row *be = tab_get(&c->backends, req->backend);
	struct msg_evidence evidence = {0};

	/*
	 * Requests that were abandoned because of an ejection are no new
	 * evidence.
	 */
	if (!be || (done->outcome == CORE_DONE_ATTEMPT_CANCELLED &&
		    be->state == MSG_BACKEND_EJECTED))
		return;
	add_done(c, be, req, done->outcome, &be->evidence);
	add_working(c, be, req->backend);
	if (fail_kind(done->outcome) >= 0)
		be->report_now = true;
	/*
	 * The allocator must know that a server sheds load before it judges
	 * stalls.
	 */
	if (done->outcome == CORE_DONE_SHED &&
	    c->now - be->shed_reported_ns >= DET_SHARD_REPORT_NS) {
		be->shed_reported_ns = c->now;
		be->report_now = true;
	}
	if (c->opts.policy && c->opts.policy->on_attempt_done)
		c->opts.policy->on_attempt_done(c->opts.policy->ctx, c, be,
						done);
	if (!is_scored_locally(c) || done->outcome == CORE_DONE_CALLER_ERROR)
		return;
	evidence.in_flight = be->evidence.in_flight;
	evidence.stalled = be->evidence.stalled;
	evidence.oldest_ns = be->evidence.oldest_ns;
	add_done(c, be, req, done->outcome, &evidence);
	det_add_evidence(c, be, c->self_key, c->zone, &evidence);
}

void det_take_evidence(struct core *c, struct backend_row *be,
		       struct msg_evidence *out)
{
	be->evidence.backend = be->key;
	*out = be->evidence;
	memset(&be->evidence, 0, sizeof(be->evidence));
	be->report_now = false;
	c->ages_stale = true;
}

static void reset_ages(struct core *c)
{
	uint32_t i;

	for (i = 0; i < c->evidence_backends.len; i++) {
		const struct work_row *work = tab_at(&c->evidence_backends, i);
		struct backend_row *be = tab_get(&c->backends, work->h);

		if (!be)
			continue;
		be->evidence.backend = be->key;
		be->evidence.in_flight = 0;
		be->evidence.stalled = 0;
		be->evidence.oldest_ns = 0;
		be->evidence.ok_age_ns =
			be->last_ok_ns ? c->now - be->last_ok_ns + 1 : 0;
	}
}

static void add_age(struct core *c, const struct req_row *req)
{
	struct backend_row *be = tab_get(&c->backends, req->backend);
	int64_t start = wait_start_ns(req);
	const struct shard_row *shard;

	if (!be || !start)
		return;
	shard = tab_get(&c->shards, be->shard);
	if (!shard)
		return;
	add_working(c, be, req->backend);
	be->evidence.backend = be->key;
	be->evidence.in_flight += be->evidence.in_flight < UINT16_MAX;
	if (c->now - start > be->evidence.oldest_ns)
		be->evidence.oldest_ns = c->now - start;
	if (c->now - start >= det_stall_threshold(c, shard))
		be->evidence.stalled += be->evidence.stalled < UINT16_MAX;
}

/* Has a stall reported when it begins, grows, doubles its age or ends. */
static void update_stall_report(struct backend_row *be)
{
	const struct msg_evidence *e = &be->evidence;

	if (e->stalled > be->last_stalled ||
	    (e->stalled && e->oldest_ns >= be->next_stall_report_age_ns) ||
	    (!e->stalled && be->last_stalled)) {
		be->report_now = true;
		be->next_stall_report_age_ns = 2 * e->oldest_ns;
	}
	be->last_stalled = e->stalled;
}

/*
 * The allocator compares a stalled server with the other servers of the shard,
 * so this VM reports its evidence about them at the same time.
 */
static void report_shard(struct core *c, const struct backend_row *be)
{
	struct shard_row *shard = tab_get(&c->shards, be->shard);
	uint32_t i;

	if (!shard || !be->report_now || !be->evidence.stalled ||
	    c->now - shard->full_report_ns < DET_SHARD_REPORT_NS)
		return;
	shard->full_report_ns = c->now;
	for (i = 0; i < c->evidence_backends.len; i++) {
		const struct work_row *work = tab_at(&c->evidence_backends, i);
		struct backend_row *other = tab_get(&c->backends, work->h);

		if (other && hnd_eq(other->shard, be->shard))
			other->report_now = true;
	}
}

static void finish_age_update(struct core *c)
{
	uint32_t i = c->evidence_backends.len;

	while (i-- > 0) {
		const struct work_row *work = tab_at(&c->evidence_backends, i);
		struct backend_row *be = tab_get(&c->backends, work->h);

		if (be) {
			update_stall_report(be);
			report_shard(c, be);
			be->has_in_flight = be->evidence.in_flight > 0;
			if (is_scored_locally(c) && be->report_now) {
				struct msg_evidence evidence = {
					.in_flight = be->evidence.in_flight,
					.stalled = be->evidence.stalled,
					.oldest_ns = be->evidence.oldest_ns,
				};

				det_add_evidence(c, be, c->self_key, c->zone,
						 &evidence);
			}
			if (be->evidence.in_flight || be->evidence.done)
				continue;
			be->working = false;
		}
		tab_del(&c->evidence_backends,
			tab_handle(&c->evidence_backends, i));
	}
}

void det_tick_local(struct core *c)
{
	uint32_t i;

	if (c->now < c->ages_due_ns && !c->ages_stale)
		return;
	c->ages_stale = false;
	c->ages_due_ns = c->now + DET_AGE_UPDATE_NS;
	reset_ages(c);
	for (i = 0; i < c->reqs.len; i++)
		add_age(c, tab_at(&c->reqs, i));
	finish_age_update(c);
}

#include "admission.h"

#include <stdlib.h>
#include <string.h>

#include "admission_load_balancing.h"
#include "allocator_lease.h"
#include "claim.h"
#include "outlier_detection.h"
#include "drain.h"
#include "fair_queue.h"
#include "holder_shares.h"
#include "region_link.h"
#include "retry_budget.h"

/* Queues are checked at this interval even without events. */
#define QUEUE_CHECK_INTERVAL_NS (10 * NS_PER_MS)
/* Virtual time that one request takes in fair queueing. */
#define QUEUE_TAG_STEP 1000
/* Longer Retry-After times of backend servers are reduced to this. */
#define MAX_RETRY_AFTER_NS (60 * NS_PER_S)
/* A new sample changes a moving average by this part of the difference. */
#define AVG_DIVISOR 8

/*
 * Fair queueing between teams: a request's queue_tag is one step after the last
 * one of its team, or after the virtual time of its service if that is higher.
 * The request with the lowest queue_tag is dispatched first.
 */
struct adm {
	struct fairq fair;
	/* Number of the current tick. */
	uint64_t tick;
	uint64_t last_order;
};

void adm_init(struct core *c)
{
	c->adm = calloc(1, sizeof(*c->adm));
	if (!c->adm)
		abort();
	fairq_init(&c->adm->fair);
}

void adm_free(struct core *c)
{
	fairq_free(&c->adm->fair);
	free(c->adm);
	c->adm = NULL;
}

static void log_route(struct core *c, const struct req_row *req,
		      const struct backend_row *be, uint32_t candidates)
{
	const struct svc_row *svc = tab_get(&c->services, be->svc);
	struct core_decision d = {
		.event = "route",
		.request = req->id,
		.service = svc->conf->id,
		.backend = be->conf->id,
		.candidates = candidates,
		.reason = be->conf->zone == c->zone	  ? "same zone"
			  : be->conf->region == c->region ? "same region"
							  : "other region",
		.value = (c->now - req->arrived_ns) / 1000,
	};

	core_log_decision(c, &d);
}

static void log_refusal(struct core *c, uint64_t request,
			const struct svc_row *svc, const char *reason,
			int64_t waited_ns)
{
	struct core_decision d = {
		.event = "refuse",
		.request = request,
		.service = svc ? svc->conf->id : STR_NONE,
		.reason = reason,
		.value = waited_ns / 1000,
	};

	core_log_decision(c, &d);
}

static void enqueue(struct core *c, struct req_row *req, int64_t tag)
{
	struct svc_row *svc = tab_get(&c->services, req->svc);
	struct shard_row *shard = core_shard(c, svc->key, c->region);

	req->in_queue = true;
	req->queue_tag = tag;
	req->queue_order = ++c->adm->last_order;
	svc->queued++;
	if (shard)
		alc_activate(c, shard);
}

static void dequeue(struct core *c, struct req_row *req)
{
	struct svc_row *svc = tab_get(&c->services, req->svc);

	if (svc && req->in_queue)
		svc->queued--;
	if (svc && req->may_leave_region)
		svc->queued_may_leave_region--;
	req->in_queue = false;
	req->may_leave_region = false;
}

/*
 * Expected time until a new request gets a slot: the requests up to and
 * including it, times the average time that a slot is held, divided by this
 * VM's slots. 0 while this VM has no slots or no average yet.
 */
static int64_t expected_wait(struct core *c, const struct svc_row *svc)
{
	const struct backend_row *be;
	int64_t slots = 0;
	struct hnd h;

	if (!svc->queued || !svc->slot_time_avg_ns)
		return 0;
	for (h = svc->first_backend; (be = tab_get(&c->backends, h));
	     h = be->next)
		slots += be->share_slots;
	return slots ? (svc->queued + 1) * svc->slot_time_avg_ns / slots : 0;
}

struct refusal {
	enum core_refusal why;
	const char *reason;
	int64_t retry_after_ns;
};

static bool must_refuse(struct core *c, const struct svc_row *svc,
			const struct core_arrive *arrive, struct refusal *r)
{
	int64_t wait;

	if (!svc) {
		*r = (struct refusal){CORE_REFUSE_NO_ROUTE, "no service", 0};
		return true;
	}
	if (c->refusing) {
		*r = (struct refusal){CORE_REFUSE_LEAVING, "leaving", 0};
		return true;
	}
	if (svc->queued >= svc->conf->queue_max) {
		*r = (struct refusal){CORE_REFUSE_QUEUE_FULL, "queue full",
				      NS_PER_S};
		return true;
	}
	wait = expected_wait(c, svc);
	if (c->now + wait < arrive->deadline_ns)
		return false;
	*r = (struct refusal){CORE_REFUSE_DEADLINE, "expected wait",
			      wait > NS_PER_S ? wait : NS_PER_S};
	return true;
}

void adm_arrive(struct core *c, const struct core_arrive *arrive)
{
	struct svc_row *svc = core_service(c, arrive->service);
	struct refusal r;
	struct req_row *req;
	struct hnd h;
	void *row;

	*arrive->handle = HND_NONE;
	if (must_refuse(c, svc, arrive, &r)) {
		log_refusal(c, arrive->id, svc, r.reason, 0);
		c->opts.ops->refuse(c->opts.ops_ctx, HND_NONE, arrive->owner,
				    r.why, r.retry_after_ns);
		return;
	}
	rtry_credit(c, svc);
	h = tab_add(&c->reqs, &row);
	req = row;
	req->svc = idx_get(&c->service_by_key, arrive->service);
	req->state = CORE_REQ_QUEUED;
	req->owner = arrive->owner;
	req->id = arrive->id;
	req->team = arrive->team;
	req->idempotent = arrive->idempotent;
	req->replayable = arrive->replayable;
	req->arrived_ns = c->now;
	req->deadline_ns = arrive->deadline_ns;
	*arrive->handle = h;
	if (arrive->key.len && !arrive->idempotent) {
		req->state = CORE_REQ_CLAIMING;
		clm_begin(c, h, arrive->key, arrive->fingerprint);
	}
}

static void assign(struct core *c, struct hnd h, struct req_row *req,
		   struct hnd be_h, uint32_t candidates)
{
	struct backend_row *be = tab_get(&c->backends, be_h);
	struct svc_row *svc = tab_get(&c->services, req->svc);
	struct core_assign a = {
		.req = h,
		.owner = req->owner,
		.backend = be_h,
		.backend_key = be->key,
		.host = be->conf->host,
		.port = (uint16_t)be->conf->port,
		.max_connections =
			(uint32_t)(be->share_slots *
				   (be->conf->connections / be->conf->slots)),
		.remote_region = be->conf->region != c->region,
		.attempt = req->attempts,
	};

	hold_acquire_slot(c, be);
	fairq_advance(&c->adm->fair, svc->key, req->queue_tag);
	dequeue(c, req);
	req->state = CORE_REQ_RUNNING;
	req->backend = a.backend;
	req->assigned_ns = c->now;
	req->attempts++;
	log_route(c, req, be, candidates);
	c->opts.ops->assign(c->opts.ops_ctx, &a);
}

static void refuse(struct core *c, struct hnd h, struct req_row *req,
		   enum core_refusal why, const char *reason)
{
	const struct svc_row *svc = tab_get(&c->services, req->svc);
	struct hnd claim = req->claim;
	void *owner = req->owner;

	log_refusal(c, req->id, svc, reason, c->now - req->arrived_ns);
	dequeue(c, req);
	tab_del(&c->reqs, h);
	if (claim.gen)
		clm_not_run(c, claim);
	c->opts.ops->refuse(c->opts.ops_ctx, h, owner, why, NS_PER_S);
}

static void allow_other_region(struct core *c, struct req_row *req)
{
	struct svc_row *svc = tab_get(&c->services, req->svc);
	struct shard_row *shard;
	struct hnd h;

	req->may_leave_region = true;
	svc->queued_may_leave_region++;
	for (h = svc->first_shard; (shard = tab_get(&c->shards, h));
	     h = shard->next)
		alc_activate(c, shard);
}

/*
 * Adds new requests to the queue, refuses those past their deadline, and allows
 * other regions to those that have waited long enough.
 */
static void update_queued(struct core *c)
{
	uint32_t i = c->reqs.len;

	while (i-- > 0) {
		struct req_row *req = tab_at(&c->reqs, i);
		const struct svc_row *svc = tab_get(&c->services, req->svc);

		if (req->state != CORE_REQ_QUEUED)
			continue;
		if (!svc) {
			refuse(c, tab_handle(&c->reqs, i), req,
			       CORE_REFUSE_NO_ROUTE, "no service");
			continue;
		}
		if (req->deadline_ns <= c->now) {
			refuse(c, tab_handle(&c->reqs, i), req,
			       CORE_REFUSE_DEADLINE, "deadline");
			continue;
		}
		if (!req->in_queue)
			enqueue(c, req,
				fairq_charge(&c->adm->fair, svc->key, req->team,
					     QUEUE_TAG_STEP));
		if (!req->may_leave_region && lb_may_leave_region(c, req))
			allow_other_region(c, req);
	}
}

static bool is_before(const struct req_row *a, const struct req_row *b)
{
	return a->queue_tag != b->queue_tag ? a->queue_tag < b->queue_tag
					    : a->queue_order < b->queue_order;
}

/* Next request in dispatch order that may still get a slot in this tick. */
static struct req_row *next_request(struct core *c, struct hnd *h)
{
	struct req_row *best = NULL;
	uint32_t i;

	for (i = 0; i < c->reqs.len; i++) {
		struct req_row *req = tab_at(&c->reqs, i);
		const struct svc_row *svc;

		if (req->state != CORE_REQ_QUEUED ||
		    req->blocked_tick == c->adm->tick)
			continue;
		svc = tab_get(&c->services, req->svc);
		if (!svc ||
		    svc->no_slot_tick[req->may_leave_region] == c->adm->tick)
			continue;
		if (best && !is_before(req, best))
			continue;
		best = req;
		*h = tab_handle(&c->reqs, i);
	}
	return best;
}

void adm_tick(struct core *c)
{
	struct req_row *req;
	struct hnd h;

	c->adm->tick++;
	update_queued(c);
	while ((req = next_request(c, &h))) {
		struct svc_row *svc = tab_get(&c->services, req->svc);
		uint32_t candidates;
		struct hnd be = lb_choose(c, req, &candidates);

		if (be.gen) {
			assign(c, h, req, be, candidates);
			continue;
		}
		req->blocked_tick = c->adm->tick;
		/* A retry excludes servers that other requests may use. */
		if (!req->tried[0])
			svc->no_slot_tick[req->may_leave_region] = c->adm->tick;
	}
}

/* Exponentially weighted moving average; the first sample sets it. */
static void update_average(int64_t *avg, int64_t sample)
{
	*avg = *avg ? *avg + (sample - *avg) / AVG_DIVISOR : sample;
}

static void record_attempt(struct core *c, const struct req_row *req,
			   struct backend_row *be, const struct core_done *done)
{
	struct svc_row *svc = tab_get(&c->services, req->svc);
	int64_t wait = done->retry_after_ns;

	if (svc && done->outcome == CORE_DONE_OK)
		update_average(&svc->slot_time_avg_ns,
			       c->now - req->assigned_ns);
	if (req->first_byte_ns && req->sent_ns)
		update_average(&be->ttfb_avg_ns,
			       req->first_byte_ns - req->sent_ns);
	if (svc && be->conf->region != c->region)
		lnk_count_request(c, svc, done->bytes);
	if (done->outcome == CORE_DONE_SHED && wait) {
		if (wait > MAX_RETRY_AFTER_NS)
			wait = MAX_RETRY_AFTER_NS;
		be->shed_until_ns = c->now + wait;
	}
	if (done->draining)
		drn_mark(c, be, DRN_SERVER);
}

static void requeue(struct core *c, struct req_row *req, uint64_t tried)
{
	const struct svc_row *svc = tab_get(&c->services, req->svc);

	req->tried[req->attempts - 1] = tried;
	req->state = CORE_REQ_QUEUED;
	req->backend = HND_NONE;
	req->sent_ns = 0;
	req->first_byte_ns = 0;
	req->abandoned = false;
	enqueue(c, req, fairq_virtual_time(&c->adm->fair, svc->key));
}

bool adm_done(struct core *c, struct hnd h, const struct core_done *done)
{
	struct req_row *req = tab_get(&c->reqs, h);
	struct backend_row *be;
	struct hnd claim;

	if (!req || req->state != CORE_REQ_RUNNING)
		return false;
	be = tab_get(&c->backends, req->backend);
	det_on_done(c, req, done);
	if (be) {
		hold_release_slot(c, be);
		record_attempt(c, req, be, done);
	}
	if (be && rtry_allow(c, req, done)) {
		requeue(c, req, be->key);
		return true;
	}
	claim = req->claim;
	tab_del(&c->reqs, h);
	if (claim.gen)
		clm_done(c, claim, done);
	return false;
}

bool adm_cancel(struct core *c, struct hnd h)
{
	struct req_row *req = tab_get(&c->reqs, h);
	struct hnd claim;

	if (!req || req->state == CORE_REQ_RUNNING)
		return false;
	if (req->state == CORE_REQ_CLAIMING) {
		clm_cancel(c, h);
		tab_del(&c->reqs, h);
		return true;
	}
	claim = req->claim;
	dequeue(c, req);
	tab_del(&c->reqs, h);
	if (claim.gen)
		clm_not_run(c, claim);
	return true;
}

int64_t adm_next_due(const struct core *c)
{
	uint32_t i;

	for (i = 0; i < c->reqs.len; i++) {
		const struct req_row *req = tab_at(&c->reqs, i);

		if (req->state == CORE_REQ_QUEUED)
			return c->last_tick_ns + QUEUE_CHECK_INTERVAL_NS;
	}
	return TMR_NEVER;
}

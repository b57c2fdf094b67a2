#include "holder_shares.h"

#include "allocator_lease.h"
#include "allocator_roster.h"
#include "outlier_detection.h"
#include "membership.h"

#define LEASE_REQUEST_INTERVAL_NS NS_PER_S
/* While requests wait, the lease request is repeated in case it was lost. */
#define LEASE_REQUEST_REPEAT_NS (200 * NS_PER_MS)
/* Lower bound of the time between two lease requests. */
#define LEASE_REQUEST_MIN_GAP_NS (5 * NS_PER_MS)
/* A slot that was not used for this long is released. */
#define IDLE_RELEASE_NS (500 * NS_PER_MS)
#define RELEASE_CHECK_INTERVAL_NS (100 * NS_PER_MS)
#define REPORT_INTERVAL_NS NS_PER_S
#define REPORT_MIN_GAP_NS (20 * NS_PER_MS)
/* A VM without peers checks its live shards at this interval. */
#define SCAN_INTERVAL_NS (5 * NS_PER_MS)
/*
 * If the allocator is silent for longer, the candidate gets the lease requests
 * as well.
 */
#define ALLOCATOR_SILENT_NS (2 * NS_PER_S)

/* Longest time that a running request on the shard may still take. */
static int64_t busy_ns(struct core *c, struct hnd shard_h)
{
	int64_t busy = 0;
	uint32_t i;

	for (i = 0; i < c->reqs.len; i++) {
		const struct req_row *req = tab_at(&c->reqs, i);
		const struct backend_row *be;

		if (req->state != CORE_REQ_RUNNING ||
		    req->deadline_ns - c->now <= busy)
			continue;
		be = tab_get(&c->backends, req->backend);
		if (be && hnd_eq(be->shard, shard_h))
			busy = req->deadline_ns - c->now;
	}
	return busy;
}

/* Lists this VM's slots in a shard; returns how many of them are in use. */
static uint32_t fill_held(struct core *c, struct hnd shard_h,
			  struct msg_share *held, uint32_t *count)
{
	const struct shard_row *shard = tab_get(&c->shards, shard_h);
	const struct svc_row *svc = tab_get(&c->services, shard->svc);
	int64_t busy = busy_ns(c, shard_h);
	uint32_t in_use = 0;
	struct backend_row *be;
	struct hnd h;

	*count = 0;
	for (h = svc->first_backend; (be = tab_get(&c->backends, h));
	     h = be->next) {
		struct msg_share *s;

		if (!hnd_eq(be->shard, shard_h) ||
		    (!be->share_slots && !be->in_use) ||
		    *count == MSG_MAX_ITEMS)
			continue;
		s = &held[(*count)++];
		s->backend = be->key;
		s->slots = be->share_slots;
		s->in_flight = be->in_use;
		s->busy_ns = be->in_use ? busy : 0;
		in_use += be->in_use;
	}
	return in_use;
}

static void fill_ejected(struct core *c, struct hnd shard_h,
			 struct msg_lease_request *request)
{
	const struct shard_row *shard = tab_get(&c->shards, shard_h);
	const struct svc_row *svc = tab_get(&c->services, shard->svc);
	struct backend_row *be;
	struct hnd h;

	request->ejected_count = 0;
	for (h = svc->first_backend; (be = tab_get(&c->backends, h));
	     h = be->next)
		if (hnd_eq(be->shard, shard_h) &&
		    be->state == MSG_BACKEND_EJECTED &&
		    request->ejected_count < MSG_MAX_ITEMS)
			request->ejected[request->ejected_count++] = be->key;
}

static uint16_t clamp16(uint32_t n)
{
	return n > UINT16_MAX ? UINT16_MAX : (uint16_t)n;
}

void hold_send_lease_request(struct core *c, const struct shard_row *shard,
			     const struct member_row *to)
{
	struct msg_lease_request *request = &c->out.u.lease_request;
	uint32_t queued = hold_queued(c, shard);
	struct hnd shard_h = core_shard_handle(c, shard);
	uint32_t in_use;

	c->out.kind = MSG_LEASE_REQUEST;
	request->service = shard->service;
	request->region = c->bundle->regions[shard->region];
	request->epoch = shard->epoch;
	request->sent_ns = c->now;
	request->applied_seq = shard->applied_seq;
	request->silent_ns = alc_silent_ns(c, shard);
	in_use = fill_held(c, shard_h, request->held, &request->held_count);
	request->queued = clamp16(queued);
	request->wanted = clamp16(queued + in_use);
	fill_ejected(c, shard_h, request);
	core_send(c, to);
}

static const struct member_row *allocator_of(struct core *c,
					     const struct shard_row *shard)
{
	return shard->allocator[0] ? core_member(c, str_from(shard->allocator))
				   : NULL;
}

static void send_lease_requests(struct core *c, struct shard_row *shard)
{
	const struct member_row *vm = allocator_of(c, shard);

	shard->lease_request_now = false;
	shard->lease_request_sent_ns = c->now;
	shard->lease_request_queued = clamp16(hold_queued(c, shard));
	if (vm)
		hold_send_lease_request(c, shard, vm);
	if (!vm || alc_silent_ns(c, shard) > ALLOCATOR_SILENT_NS) {
		const struct member_row *candidate = alcr_candidate(c, shard);

		if (candidate && candidate != vm)
			hold_send_lease_request(c, shard, candidate);
	}
}

static bool lease_request_is_due(struct core *c, const struct shard_row *shard)
{
	uint32_t queued = hold_queued(c, shard);
	int64_t age = c->now - shard->lease_request_sent_ns;

	if (age < LEASE_REQUEST_MIN_GAP_NS)
		return false;
	if (shard->lease_request_now || queued > shard->lease_request_queued ||
	    (!queued && shard->lease_request_queued))
		return true;
	if (queued && age >= LEASE_REQUEST_REPEAT_NS)
		return true;
	return (queued || shard->holding) && age >= LEASE_REQUEST_INTERVAL_NS;
}

/* Releases idle slots of one backend server; true if there were some. */
static bool release_idle(struct core *c, struct backend_row *be, bool at_once)
{
	uint16_t keep = be->share_slots;

	if (c->now - be->peak_since_ns >= IDLE_RELEASE_NS) {
		if (be->peak_in_use < keep)
			keep = be->peak_in_use;
		be->peak_since_ns = c->now;
		be->peak_in_use = be->in_use;
	}
	if (at_once || keep < be->in_use)
		keep = be->in_use;
	if (keep >= be->share_slots)
		return false;
	be->share_slots = keep;
	return true;
}

static void release_idle_slots(struct core *c, struct shard_row *shard)
{
	const struct svc_row *svc = tab_get(&c->services, shard->svc);
	struct hnd shard_h = core_shard_handle(c, shard);
	bool queued = hold_queued(c, shard) > 0;
	bool at_once = shard->waiting_holders && !queued;
	struct backend_row *be;
	struct hnd h;

	if (!shard->holding || shard->share_lease_until_ns <= c->now ||
	    (!at_once && shard->release_due_ns > c->now))
		return;
	shard->release_due_ns = c->now + RELEASE_CHECK_INTERVAL_NS;
	shard->holding = false;
	for (h = svc->first_backend; (be = tab_get(&c->backends, h));
	     h = be->next) {
		if (!hnd_eq(be->shard, shard_h))
			continue;
		if (be->share_slots && release_idle(c, be, at_once))
			shard->release_now = true;
		if (be->share_slots || be->in_use)
			shard->holding = true;
	}
}

static void send_release(struct core *c, struct shard_row *shard)
{
	const struct member_row *to = allocator_of(c, shard);
	struct msg_release *release = &c->out.u.release;

	shard->release_now = false;
	if (!to)
		return;
	c->out.kind = MSG_RELEASE;
	release->service = shard->service;
	release->region = c->bundle->regions[shard->region];
	release->epoch = shard->epoch;
	release->applied_seq = shard->applied_seq;
	fill_held(c, core_shard_handle(c, shard), release->held,
		  &release->held_count);
	core_send(c, to);
}

static bool has_evidence(const struct backend_row *be)
{
	const struct msg_evidence *e = &be->evidence;
	int i;

	for (i = 0; i < MSG_FAIL_KINDS; i++)
		if (e->failed[i])
			return true;
	return be->report_now || e->done || e->shed || e->in_flight ||
	       e->stalled || e->drain;
}

static void send_report(struct core *c, struct shard_row *shard,
			const struct member_row *to)
{
	const struct svc_row *svc = tab_get(&c->services, shard->svc);
	struct hnd shard_h = core_shard_handle(c, shard);
	struct msg_report *r = &c->out.u.report;
	struct backend_row *be;
	struct hnd h;

	c->out.kind = MSG_REPORT;
	r->service = shard->service;
	r->region = c->bundle->regions[shard->region];
	r->epoch = shard->epoch;
	r->item_count = 0;
	for (h = svc->first_backend; (be = tab_get(&c->backends, h));
	     h = be->next) {
		if (!hnd_eq(be->shard, shard_h) || !has_evidence(be) ||
		    r->item_count == MSG_MAX_ITEMS)
			continue;
		det_take_evidence(c, be, &r->items[r->item_count++]);
	}
	if (!r->item_count)
		return;
	shard->last_report_ns = c->now;
	core_send(c, to);
}

static void report_evidence(struct core *c, struct shard_row *shard)
{
	const struct svc_row *svc = tab_get(&c->services, shard->svc);
	const struct member_row *to =
		shard->is_allocator ? mbr_self(c) : allocator_of(c, shard);
	struct hnd shard_h = core_shard_handle(c, shard);
	bool due = c->now - shard->last_report_ns >= REPORT_INTERVAL_NS;
	struct backend_row *be;
	struct hnd h;

	if (!to || shard->report_due_ns > c->now ||
	    (c->opts.policy && !c->opts.policy->shared))
		return;
	shard->report_due_ns = c->now + REPORT_MIN_GAP_NS;
	for (h = svc->first_backend; !due && (be = tab_get(&c->backends, h));
	     h = be->next)
		due = be->report_now && hnd_eq(be->shard, shard_h);
	if (due)
		send_report(c, shard, to);
}

void hold_tick_send(struct core *c)
{
	uint32_t i;

	if (c->opts.standalone) {
		if (c->now < c->hold_scan_due_ns)
			return;
		c->hold_scan_due_ns = c->now + SCAN_INTERVAL_NS;
	}
	for (i = 0; i < c->live_shards.len; i++) {
		struct hnd h = *(struct hnd *)tab_at(&c->live_shards, i);
		struct shard_row *shard = tab_get(&c->shards, h);

		if (!shard)
			continue;
		report_evidence(c, shard);
		if (c->opts.standalone)
			continue;
		release_idle_slots(c, shard);
		if (lease_request_is_due(c, shard))
			send_lease_requests(c, shard);
		if (shard->release_now)
			send_release(c, shard);
	}
}

int64_t hold_next_due(const struct core *c)
{
	int64_t due = TMR_NEVER;
	uint32_t i;

	if (c->opts.standalone)
		return TMR_NEVER;
	for (i = 0; i < c->live_shards.len; i++) {
		struct hnd *h = tab_at(&c->live_shards, i);
		const struct shard_row *shard = tab_get(&c->shards, *h);
		int64_t next = TMR_NEVER;

		if (!shard)
			continue;
		if (shard->lease_request_now || hold_queued(c, shard) ||
		    shard->lease_request_queued)
			next = shard->lease_request_sent_ns +
			       LEASE_REQUEST_MIN_GAP_NS;
		else if (shard->holding)
			next = shard->release_due_ns;
		if (next <= c->last_tick_ns)
			next = c->last_tick_ns + LEASE_REQUEST_MIN_GAP_NS;
		if (next < due)
			due = next;
	}
	return due;
}

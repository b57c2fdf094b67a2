#include "core.h"

#include <stdlib.h>
#include <string.h>

#include "admission.h"
#include "allocator_lease.h"
#include "claim.h"
#include "outlier_detection.h"
#include "drain.h"
#include "ejection.h"
#include "holder_shares.h"
#include "region_link.h"
#include "membership.h"
#include "rollout.h"
#include "retry_budget.h"

void core_init(struct core *c, const struct core_opts *opts, int64_t now_ns)
{
	memset(c, 0, sizeof(*c));
	c->opts = *opts;
	c->now = now_ns;
	c->self_key = str_hash(opts->id);
	c->region = UINT32_MAX;
	c->zone = UINT32_MAX;
	tmr_init(&c->tmr);
	tab_init(&c->services, sizeof(struct svc_row));
	tab_init(&c->shards, sizeof(struct shard_row));
	tab_init(&c->backends, sizeof(struct backend_row));
	tab_init(&c->reqs, sizeof(struct req_row));
	tab_init(&c->grants, sizeof(struct grant_row));
	tab_init(&c->holders, sizeof(struct holder_row));
	tab_init(&c->reports, sizeof(struct report_row));
	tab_init(&c->members, sizeof(struct member_row));
	tab_init(&c->silences, sizeof(struct silence_row));
	tab_init(&c->live_shards, sizeof(struct hnd));
	tab_init(&c->evidence_shards, sizeof(struct work_row));
	tab_init(&c->evidence_backends, sizeof(struct work_row));
	tab_init(&c->observers, sizeof(struct observer_row));
	idx_init(&c->service_by_key);
	idx_init(&c->backend_by_key);
	idx_init(&c->member_by_key);
	mbr_init(c);
	rol_init(c);
	clm_init(c);
	lnk_init(c);
	adm_init(c);
}

void core_free(struct core *c)
{
	adm_free(c);
	lnk_free(c);
	clm_free(c);
	rol_free(c);
	mbr_free(c);
	tab_free(&c->services);
	tab_free(&c->shards);
	tab_free(&c->backends);
	tab_free(&c->reqs);
	tab_free(&c->grants);
	tab_free(&c->holders);
	tab_free(&c->reports);
	tab_free(&c->members);
	tab_free(&c->silences);
	tab_free(&c->live_shards);
	tab_free(&c->evidence_shards);
	tab_free(&c->evidence_backends);
	tab_free(&c->observers);
	idx_free(&c->service_by_key);
	idx_free(&c->backend_by_key);
	idx_free(&c->member_by_key);
	tmr_free(&c->tmr);
}

struct svc_row *core_service(struct core *c, uint64_t key)
{
	return tab_get(&c->services, idx_get(&c->service_by_key, key));
}

struct backend_row *core_backend(struct core *c, uint64_t key)
{
	return tab_get(&c->backends, idx_get(&c->backend_by_key, key));
}

struct member_row *core_member(struct core *c, struct str id)
{
	return tab_get(&c->members, idx_get(&c->member_by_key, str_hash(id)));
}

struct shard_row *core_shard(struct core *c, uint64_t service, uint32_t region)
{
	struct svc_row *svc = core_service(c, service);
	struct shard_row *shard;
	struct hnd h;

	if (!svc)
		return NULL;
	for (h = svc->first_shard; (shard = tab_get(&c->shards, h));
	     h = shard->next)
		if (shard->region == region)
			return shard;
	return NULL;
}

struct hnd core_shard_handle(const struct core *c,
			     const struct shard_row *shard)
{
	const struct shard_row *first = tab_at(&c->shards, 0);

	return tab_handle(&c->shards, (uint32_t)(shard - first));
}

struct shard_row *core_shard_named(struct core *c, uint64_t service,
				   struct str region)
{
	uint32_t index;

	if (!c->bundle)
		return NULL;
	index = bndl_find_region(c->bundle, region);
	return index == UINT32_MAX ? NULL : core_shard(c, service, index);
}

void core_log_decision(struct core *c, const struct core_decision *d)
{
	c->opts.ops->decision(c->opts.ops_ctx, d);
}

static void dispatch(struct core *c, const struct msg *m)
{
	switch (m->kind) {
	case MSG_GOSSIP:
		mbr_on_gossip(c, m);
		break;
	case MSG_LEASE_REQUEST:
		alc_on_lease_request(c, m);
		break;
	case MSG_GRANT:
		hold_on_grant(c, m);
		break;
	case MSG_REPORT:
		det_on_report(c, m);
		break;
	case MSG_RELEASE:
		alc_on_release(c, m);
		break;
	case MSG_QUERY:
		alc_on_query(c, m);
		break;
	case MSG_BUNDLE_GET:
		rol_on_bundle_get(c, m);
		break;
	case MSG_BUNDLE_PART:
		rol_on_bundle_part(c, m);
		break;
	case MSG_KIND_END:
		break;
	}
}

void core_send(struct core *c, const struct member_row *to)
{
	c->out.from = c->opts.id;
	c->out.incarnation = c->opts.incarnation;
	c->out.seq = ++c->out_seq;
	if (to->key == c->self_key) {
		/* The handler may build another message in c->out. */
		struct msg copy = c->out;

		dispatch(c, &copy);
		return;
	}
	c->opts.ops->send(c->opts.ops_ctx, str_from(to->peer_host),
			  to->peer_port, &c->out);
}

static struct hnd add_shard(struct core *c, struct hnd svc_h, uint32_t region)
{
	struct svc_row *svc = tab_get(&c->services, svc_h);
	struct shard_row *shard;
	struct hnd h;
	void *row;

	h = tab_add(&c->shards, &row);
	shard = row;
	shard->service = svc->key;
	shard->svc = svc_h;
	shard->region = region;
	shard->next = svc->first_shard;
	svc->first_shard = h;
	return h;
}

static struct hnd find_or_add_shard(struct core *c, struct hnd svc_h,
				    uint32_t region)
{
	struct svc_row *svc = tab_get(&c->services, svc_h);
	struct shard_row *shard;
	struct hnd h;

	for (h = svc->first_shard; (shard = tab_get(&c->shards, h));
	     h = shard->next)
		if (shard->region == region)
			return h;
	return add_shard(c, svc_h, region);
}

static void set_backend(struct core *c, struct hnd svc_h,
			const struct bndl_backend *conf)
{
	struct hnd h = idx_get(&c->backend_by_key, conf->key);
	struct hnd shard_h = find_or_add_shard(c, svc_h, conf->region);
	struct svc_row *svc = tab_get(&c->services, svc_h);
	struct backend_row *be = tab_get(&c->backends, h);
	void *row;

	if (!be) {
		h = tab_add(&c->backends, &row);
		be = row;
		be->key = conf->key;
		be->warmup_since_ns = c->now;
		idx_put(&c->backend_by_key, conf->key, h);
	}
	be->conf = conf;
	be->svc = svc_h;
	be->shard = shard_h;
	be->next = svc->first_backend;
	svc->first_backend = h;
}

static void set_service(struct core *c, const struct bndl *b,
			const struct bndl_service *conf)
{
	struct hnd h = idx_get(&c->service_by_key, conf->key);
	struct svc_row *svc = tab_get(&c->services, h);
	struct shard_row *shard;
	void *row;
	uint32_t i;

	if (!svc) {
		h = tab_add(&c->services, &row);
		svc = row;
		svc->key = conf->key;
		svc->retry_tokens = RTRY_INITIAL_TOKENS;
		idx_put(&c->service_by_key, conf->key, h);
	}
	svc->conf = conf;
	svc->first_backend = HND_NONE;
	for (i = 0; i < conf->backend_count; i++)
		set_backend(c, h, &b->backends[conf->first_backend + i]);
	svc = tab_get(&c->services, h);
	for (h = svc->first_shard; (shard = tab_get(&c->shards, h));
	     h = shard->next)
		shard->floor_slots = bndl_region_floor(b, conf, shard->region);
}

static bool in_bundle(const struct bndl *b, const void *conf, const void *array,
		      size_t count, size_t size)
{
	const char *p = conf;
	const char *first = array;

	(void)b;
	return p >= first && p < first + count * size;
}

/* Deletes rows that are not in the new bundle: their conf points elsewhere. */
static void delete_stale_rows(struct core *c, const struct bndl *b)
{
	uint32_t i;

	for (i = c->backends.len; i-- > 0;) {
		struct backend_row *be = tab_at(&c->backends, i);

		if (in_bundle(b, be->conf, b->backends, b->backend_count,
			      sizeof(*b->backends)))
			continue;
		idx_del(&c->backend_by_key, be->key);
		tab_del(&c->backends, tab_handle(&c->backends, i));
	}
	for (i = c->services.len; i-- > 0;) {
		struct svc_row *svc = tab_at(&c->services, i);

		if (in_bundle(b, svc->conf, b->services, b->service_count,
			      sizeof(*b->services)))
			continue;
		idx_del(&c->service_by_key, svc->key);
		tab_del(&c->services, tab_handle(&c->services, i));
	}
	for (i = c->shards.len; i-- > 0;) {
		struct shard_row *shard = tab_at(&c->shards, i);

		if (!tab_get(&c->services, shard->svc))
			tab_del(&c->shards, tab_handle(&c->shards, i));
	}
}

/* Refuses queued requests for services that are not in the new bundle. */
static void refuse_orphaned_requests(struct core *c)
{
	uint32_t i;

	for (i = c->reqs.len; i-- > 0;) {
		struct req_row *req = tab_at(&c->reqs, i);
		struct hnd h = tab_handle(&c->reqs, i);
		struct hnd claim = req->claim;
		void *owner = req->owner;

		if (req->state != CORE_REQ_QUEUED ||
		    tab_get(&c->services, req->svc))
			continue;
		tab_del(&c->reqs, h);
		if (claim.gen)
			clm_not_run(c, claim);
		c->opts.ops->refuse(c->opts.ops_ctx, h, owner,
				    CORE_REFUSE_NO_ROUTE, 0);
	}
}

bool core_was_paused(const struct core *c)
{
	return c->last_tick_ns && c->now - c->last_tick_ns > ALC_PAUSE_NS;
}

/*
 * The systems of a tick. Leases are renewed or expire before slots are granted
 * (alc_tick_grants) and requests are assigned (adm_tick); scores precede the
 * ejections that depend on them; messages to allocators are sent last.
 */
static void run_systems(struct core *c)
{
	tmr_run(&c->tmr, c->now);
	rol_tick(c);
	mbr_tick(c);
	alc_tick_lease(c);
	hold_tick_expiry(c);
	drn_tick_pause(c);
	drn_tick(c);
	det_tick_local(c);
	det_tick(c);
	/* Ejections depend on nothing but scores. */
	if (c->scored_ns == c->now)
		ejct_tick(c);
	alc_tick_grants(c);
	clm_tick(c);
	adm_tick(c);
	rtry_tick(c);
	hold_tick_send(c);
	c->last_tick_ns = c->now;
}

static void advance_clock(struct core *c, int64_t now_ns)
{
	if (now_ns > c->now)
		c->now = now_ns;
}

void core_on_bundle(struct core *c, const struct bndl *b, int64_t now_ns)
{
	uint32_t i;

	advance_clock(c, now_ns);
	c->bundle = b;
	c->region = bndl_find_region(b, c->opts.region);
	c->zone = bndl_find_zone(b, c->opts.zone);
	for (i = 0; i < b->service_count; i++)
		set_service(c, b, &b->services[i]);
	delete_stale_rows(c, b);
	refuse_orphaned_requests(c);
	c->grant_all = true;
	run_systems(c);
}

void core_on_arrive(struct core *c, const struct core_arrive *arrive,
		    int64_t now_ns)
{
	advance_clock(c, now_ns);
	adm_arrive(c, arrive);
	run_systems(c);
}

void core_on_sent(struct core *c, struct hnd h, int64_t now_ns)
{
	struct req_row *req;

	advance_clock(c, now_ns);
	req = tab_get(&c->reqs, h);
	if (req)
		req->sent_ns = now_ns;
}

void core_on_body(struct core *c, struct hnd h, bool ended, int64_t now_ns)
{
	struct req_row *req;

	advance_clock(c, now_ns);
	req = tab_get(&c->reqs, h);
	if (!req)
		return;
	req->uploading = !ended;
	if (ended)
		req->body_end_ns = now_ns;
}

void core_on_first_byte(struct core *c, struct hnd h, int64_t now_ns)
{
	struct req_row *req;

	advance_clock(c, now_ns);
	req = tab_get(&c->reqs, h);
	if (!req)
		return;
	req->first_byte_ns = now_ns;
	det_on_first_byte(c, req);
}

bool core_on_done(struct core *c, struct hnd req, const struct core_done *done,
		  int64_t now_ns)
{
	bool requeued;

	advance_clock(c, now_ns);
	requeued = adm_done(c, req, done);
	run_systems(c);
	return requeued;
}

bool core_on_caller_disconnected(struct core *c, struct hnd req, int64_t now_ns)
{
	bool was_queued;

	advance_clock(c, now_ns);
	was_queued = adm_cancel(c, req);
	run_systems(c);
	return was_queued;
}

void core_on_msg(struct core *c, const struct msg *m, int64_t now_ns)
{
	advance_clock(c, now_ns);
	if (!mbr_accept_msg(c, m))
		return;
	dispatch(c, m);
	run_systems(c);
}

void core_on_probe(struct core *c, struct hnd h, bool ok, bool draining,
		   int64_t latency_ns, int64_t now_ns)
{
	struct backend_row *be;

	advance_clock(c, now_ns);
	be = tab_get(&c->backends, h);
	if (!be)
		return;
	det_on_probe(c, be, ok, latency_ns);
	drn_on_probe(c, be, ok, draining);
	run_systems(c);
}

void core_on_leave(struct core *c, int64_t now_ns)
{
	advance_clock(c, now_ns);
	c->leaving = true;
	mbr_announce(c);
	run_systems(c);
}

void core_on_refuse_new(struct core *c, int64_t now_ns)
{
	advance_clock(c, now_ns);
	c->refusing = true;
	run_systems(c);
}

void core_tick(struct core *c, int64_t now_ns)
{
	advance_clock(c, now_ns);
	run_systems(c);
}

int64_t core_next_due(const struct core *c)
{
	static int64_t (*const next_due[])(const struct core *c) = {
		mbr_next_due,  alc_next_due,  hold_next_due,
		det_next_due,  ejct_next_due, clm_next_due,
		rtry_next_due, adm_next_due,  rol_next_due,
	};
	int64_t due = tmr_next_due(&c->tmr);
	size_t i;

	for (i = 0; i < sizeof(next_due) / sizeof(next_due[0]); i++) {
		int64_t other = next_due[i](c);

		if (other < due)
			due = other;
	}
	return due;
}

#include "holder_shares.h"

#include <stdlib.h>

#include "allocator_lease.h"
#include "allocator_roster.h"

/*
 * The voters are queried from this long before a lease ends, so that the
 * answers are there in time. If they don't show a majority that does not hear
 * the allocator, the share is dropped this long after the end.
 */
#define QUERY_WINDOW_NS (500 * NS_PER_MS)

uint32_t hold_free_slots(struct core *c, const struct backend_row *be)
{
	const struct shard_row *shard = tab_get(&c->shards, be->shard);

	if (!shard ||
	    (shard->share_lease_until_ns <= c->now && !shard->orphan) ||
	    be->state == MSG_BACKEND_EJECTED ||
	    be->state == MSG_BACKEND_DRAINING || be->in_use >= be->share_slots)
		return 0;
	return (uint32_t)(be->share_slots - be->in_use);
}

void hold_acquire_slot(struct core *c, struct backend_row *be)
{
	if (!hold_free_slots(c, be))
		abort();
	be->in_use++;
	if (be->in_use > be->peak_in_use)
		be->peak_in_use = be->in_use;
}

void hold_release_slot(struct core *c, struct backend_row *be)
{
	if (!be->in_use)
		abort();
	be->in_use--;
}

uint32_t hold_queued(const struct core *c, const struct shard_row *shard)
{
	const struct svc_row *svc = tab_get(&c->services, shard->svc);

	if (!svc)
		return 0;
	return shard->region == c->region ? svc->queued
					  : svc->queued_may_leave_region;
}

static const struct msg_grant_item *find_item(const struct msg_grant *g,
					      uint64_t backend)
{
	uint32_t i;

	for (i = 0; i < g->item_count; i++)
		if (g->items[i].backend == backend)
			return &g->items[i];
	return NULL;
}

/* Applies a grant to one backend server; true if slots were recalled. */
static bool apply_item(struct core *c, struct backend_row *be,
		       const struct msg_grant_item *item)
{
	uint16_t slots = item ? item->slots : 0;
	bool fewer = slots < be->share_slots;

	if (slots > be->share_slots) {
		be->peak_since_ns = c->now;
		be->peak_in_use = be->in_use;
	}
	be->share_slots = slots;
	be->state = item ? (enum msg_backend_state)item->state
			 : MSG_BACKEND_ACTIVE;
	return fewer;
}

static void apply_grant(struct core *c, struct shard_row *shard,
			const struct msg_grant *g)
{
	const struct svc_row *svc = tab_get(&c->services, shard->svc);
	struct hnd shard_h = core_shard_handle(c, shard);
	struct backend_row *be;
	struct hnd h;

	for (h = svc->first_backend; (be = tab_get(&c->backends, h));
	     h = be->next) {
		if (!hnd_eq(be->shard, shard_h))
			continue;
		if (apply_item(c, be, find_item(g, be->key)))
			shard->release_now = true;
		if (be->share_slots)
			shard->holding = true;
	}
}

void hold_on_grant(struct core *c, const struct msg *m)
{
	const struct msg_grant *g = &m->u.grant;
	struct shard_row *shard = core_shard_named(c, g->service, g->region);

	if (!shard || g->epoch < shard->epoch ||
	    (g->epoch == shard->epoch && shard->is_allocator &&
	     !str_eq(m->from, c->opts.id)))
		return;
	alc_learn_epoch(c, shard, m->from, g->epoch);
	shard->allocator_heard_ns = c->now;
	alc_activate(c, shard);
	if (!g->seq) {
		shard->lease_request_now = true;
		return;
	}
	if (g->seq <= shard->applied_seq)
		return;
	shard->applied_seq = g->seq;
	shard->waiting_holders = g->waiting;
	if (!g->echo_ns)
		shard->release_now = true;
	else if (g->echo_ns + g->ttl_ns > shard->share_lease_until_ns)
		shard->share_lease_until_ns = g->echo_ns + g->ttl_ns;
	apply_grant(c, shard, g);
}

static void drop_share(struct core *c, struct shard_row *shard)
{
	const struct svc_row *svc = tab_get(&c->services, shard->svc);
	struct hnd shard_h = core_shard_handle(c, shard);
	struct backend_row *be;
	struct hnd h;

	shard->orphan = false;
	shard->holding = false;
	for (h = svc->first_backend; (be = tab_get(&c->backends, h));
	     h = be->next) {
		if (!hnd_eq(be->shard, shard_h))
			continue;
		if (be->share_slots)
			shard->lease_request_now = true;
		be->share_slots = 0;
		if (be->in_use)
			shard->holding = true;
	}
}

/*
 * An expired share is kept only while a majority does not hear the allocator.
 * As soon as that no longer holds, the share is dropped for good, even if the
 * majority loses contact again: the allocator may have granted the slots to
 * another holder in between.
 */
static void check_lease(struct core *c, struct shard_row *shard, bool paused)
{
	struct hnd shard_h = core_shard_handle(c, shard);
	int64_t left = shard->share_lease_until_ns - c->now;

	if (!shard->holding)
		return;
	if (left > 0)
		shard->orphan = false;
	if (left > QUERY_WINDOW_NS)
		return;
	if (shard->region == c->region && !shard->is_allocator)
		alcr_query(c, shard);
	if (left > 0)
		return;
	if (paused || shard->region != c->region || shard->is_allocator) {
		drop_share(c, shard);
		return;
	}
	if (alcr_majority_silent(c, shard_h, ALCR_ORPHAN_SILENCE_NS)) {
		shard->orphan = true;
		return;
	}
	if (shard->orphan || left < -QUERY_WINDOW_NS)
		drop_share(c, shard);
}

void hold_tick_expiry(struct core *c)
{
	bool paused = core_was_paused(c);
	uint32_t i;

	if (c->opts.standalone)
		return;
	for (i = 0; i < c->live_shards.len; i++) {
		struct hnd *h = tab_at(&c->live_shards, i);
		struct shard_row *shard = tab_get(&c->shards, *h);

		if (shard)
			check_lease(c, shard, paused);
	}
}
